/**
 * Distributes the calls of a route over its services by weight, with smooth weighted round robin.
 *
 * Unlike independent random choices, it keeps every node close to the weights after only a few calls.
 */
import type { Random } from "@bilberrycroft/core.random";
import { hasSameWeights, type Route, type WeightedService } from "@bilberrycroft/state.routes";
import { evictOldestIfFull } from "./boundedMap";

interface RotationState {
    readonly services: readonly WeightedService[];
    readonly credits: number[];
}

/** Bounds memory use when routes are added and removed. */
const maxRoutes = 4_096;
/** A rotation with typical weights repeats after at most this many steps. */
const maxInitialSteps = 100;

export class WeightedRoundRobin {
    private readonly states = new Map<string, RotationState>();

    constructor(private readonly random: Random) {}

    /** Returns the service for the next call on the route. */
    nextService(route: Route): string {
        const [first] = route.services;
        if (first === undefined || route.services.length === 1) {
            return first?.service ?? "";
        }
        return step(this.stateOf(route));
    }

    /** Starts at a random point of the rotation, so that the nodes do not all start with the same service. */
    private stateOf(route: Route): RotationState {
        const existing = this.states.get(route.name);
        if (existing !== undefined && hasSameWeights(existing.services, route.services)) {
            return existing;
        }
        evictOldestIfFull(this.states, route.name, maxRoutes);
        const created: RotationState = { services: route.services, credits: route.services.map(() => 0) };
        for (let steps = this.random.nextInteger(maxInitialSteps); steps > 0; steps--) {
            step(created);
        }
        this.states.set(route.name, created);
        return created;
    }
}

function step({ services, credits }: RotationState): string {
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
