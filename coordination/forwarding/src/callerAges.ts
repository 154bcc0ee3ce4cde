/**
 * Estimates how long a caller has been waiting when its call arrives.
 *
 * A caller that was refused returns with what is left of its time, and its latency objective still counts from its
 * first attempt. Under overload, calls that return would otherwise take slots from new calls that can still be in time.
 * The callers of a route usually allow the same time, so a call with less than the longest recent time has returned.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import { evictOldestIfFull } from "./boundedMap";

/** The longest time is that of the current and the previous window. */
const windowMs: Milliseconds = 10_000;
/** A caller's time varies by less than this share before its first attempt. */
const firstAttemptTolerance = 0.05;
/** Bounds memory use when routes are added and removed. */
const maxRoutes = 512;

interface LongestTimes {
    windowStart: Milliseconds;
    currentMs: Milliseconds;
    previousMs: Milliseconds;
}

export class CallerAges {
    private readonly routes = new Map<string, LongestTimes>();

    constructor(private readonly clock: Clock) {}

    /** Records a call whose caller waits for `waitMs` more, and returns the time for which it has been waiting. */
    recordCall(route: string, waitMs: Milliseconds): Milliseconds {
        const longest = this.longestTimesOf(route);
        longest.currentMs = Math.max(longest.currentMs, waitMs);
        const fullMs = Math.max(longest.currentMs, longest.previousMs);
        const ageMs = fullMs - waitMs;
        return ageMs > firstAttemptTolerance * fullMs ? ageMs : 0;
    }

    private longestTimesOf(route: string): LongestTimes {
        const now = this.clock.now();
        const existing = this.routes.get(route);
        if (existing === undefined) {
            evictOldestIfFull(this.routes, route, maxRoutes);
            const created = { windowStart: now, currentMs: 0, previousMs: 0 };
            this.routes.set(route, created);
            return created;
        }
        const elapsedMs = now - existing.windowStart;
        if (elapsedMs >= windowMs) {
            existing.previousMs = elapsedMs < 2 * windowMs ? existing.currentMs : 0;
            existing.currentMs = 0;
            existing.windowStart = now;
        }
        return existing;
    }
}
