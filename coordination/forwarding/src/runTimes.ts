/**
 * Run times of one target's calls, by route and over all routes.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { makeRoomFor } from "./boundedMap";

/** Weight of a new sample: the estimate follows a target that turns slow within about ten calls. */
const gain = 0.1;
/** Run time that is assumed before any call has ended. */
const unknownRunTimeMs: Milliseconds = 50;
/** Bounds the memory for routes that come and go. */
const maxRoutes = 1_024;

/** Averages of run times. */
export class RunTimeEstimates {
    private readonly byRoute = new Map<string, Milliseconds>();
    private mean: Milliseconds | undefined;

    /** Adds the run time of a call that ended with an answer. */
    add(route: string, runTimeMs: Milliseconds): void {
        this.mean = average(this.mean, runTimeMs);
        const before = this.byRoute.get(route);
        makeRoomFor(this.byRoute, route, maxRoutes);
        this.byRoute.set(route, average(before, runTimeMs));
    }

    /** Expected run time of a call on the route. */
    expectedMs(route: string): Milliseconds {
        return this.byRoute.get(route) ?? this.meanMs;
    }

    /** Expected run time of any call. */
    get meanMs(): Milliseconds {
        return this.mean ?? unknownRunTimeMs;
    }
}

function average(before: Milliseconds | undefined, sample: Milliseconds): Milliseconds {
    return before === undefined ? sample : before + gain * (sample - before);
}
