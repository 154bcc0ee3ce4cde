/**
 * Moving average (EWMA) of the response sizes on each route.
 */
import { evictOldestIfFull } from "./boundedMap";

/** Weight of the latest response in the average. */
const ewmaWeight = 0.1;
/** Bounds memory use when routes are added and removed. */
const maxRoutes = 1_024;

export class ResponseSizes {
    private readonly byRoute = new Map<string, number>();

    /** Average response size on the route in bytes; 0 before the first response. */
    meanBytes(route: string): number {
        return this.byRoute.get(route) ?? 0;
    }

    add(route: string, bytes: number): void {
        const before = this.byRoute.get(route) ?? bytes;
        evictOldestIfFull(this.byRoute, route, maxRoutes);
        this.byRoute.set(route, before + ewmaWeight * (bytes - before));
    }
}
