/**
 * Carries messages between decisions on a manual clock: a fixed delay, no other model of a network.
 */
import { ManualClock, type Milliseconds } from "@bilberrycroft/core.clock";

/** Runs what is due in order of time. Times are whole milliseconds. */
export class Schedule {
    readonly clock = new ManualClock();
    private readonly due = new Map<number, (() => void)[]>();

    /** Runs `work` after the delay. */
    after(delay: Milliseconds, work: () => void): void {
        const at = this.clock.now() + Math.max(1, Math.round(delay));
        const slot = this.due.get(at);
        if (slot === undefined) {
            this.due.set(at, [work]);
        }
        else {
            slot.push(work);
        }
    }

    /** Lets time pass. */
    advance(duration: Milliseconds): void {
        for (let step = 0; step < duration; step++) {
            this.clock.advance(1);
            const now = this.clock.now();
            this.due.get(now)?.forEach(work => work());
            this.due.delete(now);
        }
    }

    /** Lets time pass until the condition holds, checked every 50 ms; gives the time, or `Infinity` at the limit. */
    advanceUntil(condition: () => boolean, limit: Milliseconds): Milliseconds {
        const startedAt = this.clock.now();
        while (!condition()) {
            if (this.clock.now() - startedAt >= limit) {
                return Infinity;
            }
            this.advance(50);
        }
        return this.clock.now() - startedAt;
    }
}

/** Traffic of one node since its start, both directions. */
export class Traffic {
    bytes = 0;
    callEnds = 0;
}

/** Handling time of messages by decision and kind. */
export class HandlingTimes {
    private readonly totals = new Map<string, { count: number; milliseconds: number }>();

    measure<Result>(kind: string, work: () => Result): Result {
        const startedAt = performance.now();
        const result = work();
        const milliseconds = performance.now() - startedAt;
        const total = this.totals.get(kind);
        if (total === undefined) {
            this.totals.set(kind, { count: 1, milliseconds });
        }
        else {
            total.count++;
            total.milliseconds += milliseconds;
        }
        return result;
    }

    /** Number of messages, mean microseconds of each, and the sum in milliseconds. */
    report(): readonly { readonly kind: string; readonly count: number; readonly meanUs: number; totalMs: number }[] {
        return [...this.totals]
            .map(([kind, { count, milliseconds }]) => ({
                kind,
                count,
                meanUs: Math.round(milliseconds * 10_000 / count) / 10,
                totalMs: Math.round(milliseconds),
            }))
            .sort((left, right) => right.totalMs - left.totalMs);
    }

    reset(): void {
        this.totals.clear();
    }
}
