/**
 * Recent latencies of the routes that a node forwards.
 */
import { RouteLatencies } from "@bilberrycroft/coordination.retries";
import { evictOldestIfFull } from "./boundedMap";

/** Bounds memory use when routes are added and removed. */
const maxRoutes = 512;

/** Recent latencies by route. */
export class RouteLatencyTable {
    private readonly routes = new Map<string, RouteLatencies>();

    latenciesOf(route: string): RouteLatencies {
        const existing = this.routes.get(route);
        if (existing !== undefined) {
            return existing;
        }
        evictOldestIfFull(this.routes, route, maxRoutes);
        const created = new RouteLatencies();
        this.routes.set(route, created);
        return created;
    }
}
