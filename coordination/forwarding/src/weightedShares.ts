/**
 * Shares out the calls of a route among its services in the proportions of their weights.
 *
 * Smooth weighted round robin keeps every node close to the proportions after a few calls already, where independent
 * random draws would leave a spread.
 */
import type { Random } from "@bilberrycroft/core.random";
import { hasSameShares, type Route, type WeightedService } from "@bilberrycroft/state.routes";
import { makeRoomFor } from "./boundedMap";

interface ShareState {
    readonly services: readonly WeightedService[];
    readonly credits: number[];
}

/** Bounds the memory for routes that come and go. */
const maxRoutes = 4_096;
/** Steps after which a cycle of usual weights has come round. */
const longestCycle = 100;

/** Picks the service of each call. */
export class WeightedShares {
    private readonly states = new Map<string, ShareState>();

    constructor(private readonly random: Random) {}

    /** The service for the next call on the route. */
    next(route: Route): string {
        const [first] = route.services;
        if (first === undefined || route.services.length === 1) {
            return first?.service ?? "";
        }
        return step(this.stateOf(route));
    }

    /** Starts at a random point of the cycle, so that nodes do not send their first calls to the same service. */
    private stateOf(route: Route): ShareState {
        const known = this.states.get(route.name);
        if (known !== undefined && hasSameShares(known.services, route.services)) {
            return known;
        }
        makeRoomFor(this.states, route.name, maxRoutes);
        const created: ShareState = { services: route.services, credits: route.services.map(() => 0) };
        for (let steps = this.random.nextInteger(longestCycle); steps > 0; steps--) {
            step(created);
        }
        this.states.set(route.name, created);
        return created;
    }
}

function step({ services, credits }: ShareState): string {
    let total = 0;
    let chosen = 0;
    services.forEach(({ weight }, index) => {
        total += weight;
        credits[index] = (credits[index] ?? 0) + weight;
        if ((credits[index] ?? 0) > (credits[chosen] ?? 0)) {
            chosen = index;
        }
    });
    credits[chosen] = (credits[chosen] ?? 0) - total;
    return services[chosen]?.service ?? "";
}
