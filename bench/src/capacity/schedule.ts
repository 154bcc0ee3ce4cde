/**
 * Event schedule on a manual clock, and counters of traffic and handling times. Messages have a fixed delay; there is
 * no other network model.
 */
import { ManualClock, type Milliseconds } from "@bilberrycroft/core.clock";

/** Runs scheduled work in time order. Times are whole milliseconds. */
export class Schedule {
    readonly clock = new ManualClock();
    private readonly workByTime = new Map<number, (() => void)[]>();

    /** Runs `work` after the delay, rounded to whole milliseconds and at least 1 ms. */
    runAfter(delayMs: Milliseconds, work: () => void): void {
        const at = this.clock.now() + Math.max(1, Math.round(delayMs));
        const existing = this.workByTime.get(at);
        if (existing === undefined) {
            this.workByTime.set(at, [work]);
        }
        else {
            existing.push(work);
        }
    }

    /** Advances the clock in steps of 1 ms and runs the work that is due at each step. */
    advance(durationMs: Milliseconds): void {
        for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs++) {
            this.clock.advance(1);
            const now = this.clock.now();
            this.workByTime.get(now)?.forEach(work => work());
            this.workByTime.delete(now);
        }
    }

    /**
     * Advances until the condition holds, which is checked every 50 ms. Returns the elapsed time, or `Infinity` at the
     * timeout.
     */
    advanceUntil(condition: () => boolean, timeoutMs: Milliseconds): Milliseconds {
        const startedAt = this.clock.now();
        while (!condition()) {
            if (this.clock.now() - startedAt >= timeoutMs) {
                return Infinity;
            }
            this.advance(50);
        }
        return this.clock.now() - startedAt;
    }
}

/** Traffic of one node since its start, in both directions. */
export class NodeTraffic {
    bytes = 0;
    /** Calls sent plus calls received. */
    callEnds = 0;
}

/** Handling time of messages by component and kind. */
export class HandlingTimes {
    private readonly totalsByKind = new Map<string, { count: number; milliseconds: number }>();

    measure<Result>(kind: string, work: () => Result): Result {
        const startedAt = performance.now();
        const result = work();
        const milliseconds = performance.now() - startedAt;
        const total = this.totalsByKind.get(kind);
        if (total === undefined) {
            this.totalsByKind.set(kind, { count: 1, milliseconds });
        }
        else {
            total.count++;
            total.milliseconds += milliseconds;
        }
        return result;
    }

    /** Message count, mean in microseconds and total in milliseconds of each kind, highest total first. */
    report(): readonly { readonly kind: string; readonly count: number; readonly meanUs: number; totalMs: number }[] {
        return [...this.totalsByKind]
            .map(([kind, { count, milliseconds }]) => ({
                kind,
                count,
                meanUs: Math.round(milliseconds * 10_000 / count) / 10,
                totalMs: Math.round(milliseconds),
            }))
            .sort((left, right) => right.totalMs - left.totalMs);
    }

    reset(): void {
        this.totalsByKind.clear();
    }
}
