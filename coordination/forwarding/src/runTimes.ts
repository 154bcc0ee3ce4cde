/**
 * Moving averages (EWMA) of the run times in one target, per route and over all routes.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { evictOldestIfFull } from "./boundedMap";

/** Weight of a new sample: when a target becomes slow, the estimate follows within about ten calls. */
const ewmaWeight = 0.1;
/** Estimate before any call has ended. */
const initialRunTimeMs: Milliseconds = 50;
/** Bounds memory use when routes are added and removed. */
const maxRoutes = 1_024;

export class RunTimeEstimates {
    private readonly byRoute = new Map<string, Milliseconds>();
    private mean: Milliseconds | undefined;

    /** Adds the run time of a call that ended with a response. */
    add(route: string, runTimeMs: Milliseconds): void {
        this.mean = updateAverage(this.mean, runTimeMs);
        const before = this.byRoute.get(route);
        evictOldestIfFull(this.byRoute, route, maxRoutes);
        this.byRoute.set(route, updateAverage(before, runTimeMs));
    }

    /** Expected run time on the route; the mean over all routes before its first sample. */
    expectedMs(route: string): Milliseconds {
        return this.byRoute.get(route) ?? this.meanMs;
    }

    /** Mean run time over all routes. */
    get meanMs(): Milliseconds {
        return this.mean ?? initialRunTimeMs;
    }
}

function updateAverage(before: Milliseconds | undefined, sample: Milliseconds): Milliseconds {
    return before === undefined ? sample : before + ewmaWeight * (sample - before);
}
