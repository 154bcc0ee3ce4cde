/**
 * Usual sizes of the answers on each route.
 */
import { makeRoomFor } from "./boundedMap";

/** Weight of the latest answer in a route's usual size. */
const sizeGain = 0.1;
/** Bounds the memory for routes that come and go. */
const maxRoutes = 1_024;

/** Averages of answer sizes. */
export class AnswerSizes {
    private readonly byRoute = new Map<string, number>();

    /** Usual bytes of an answer on the route; 0 before the first one. */
    of(route: string): number {
        return this.byRoute.get(route) ?? 0;
    }

    add(route: string, bytes: number): void {
        const before = this.byRoute.get(route) ?? bytes;
        makeRoomFor(this.byRoute, route, maxRoutes);
        this.byRoute.set(route, before + sizeGain * (bytes - before));
    }
}
