/**
 * Counts runs, so that tests can verify which calls ran and how often.
 */
import type { CallReason } from "@bilberrycroft/protocol.calls";

/** Counters of a target since its start. A simulated crash does not reset them. */
export interface TargetCounters {
    /** Calls whose request was received completely. */
    readonly received: number;
    readonly started: number;
    /** Calls whose complete response was written to the connection. */
    readonly completed: number;
    /** Calls whose connection closed while they ran or waited. */
    readonly cancelled: number;
    readonly shed: Readonly<Partial<Record<CallReason, number>>>;
    readonly crashes: number;
    readonly maxRunning: number;
    readonly innerCalls: number;
}

/** Limits the memory of long benchmarks; the oldest key is evicted first. */
const maxTrackedKeys = 200_000;

export class RunStatistics {
    private readonly runsByKey = new Map<string, number>();
    private readonly shedByReason: Partial<Record<CallReason, number>> = {};
    private evictedKeys = 0;
    received = 0;
    started = 0;
    completed = 0;
    cancelled = 0;
    crashes = 0;
    maxRunning = 0;
    innerCalls = 0;

    /** Records the start of a call; `key` is its idempotency key. */
    recordStart(key: string | undefined, running: number): void {
        this.started++;
        this.maxRunning = Math.max(this.maxRunning, running);
        if (key !== undefined) {
            this.runsByKey.set(key, (this.runsByKey.get(key) ?? 0) + 1);
            this.evictOldestKey();
        }
    }

    /** Records a call that was refused with the outcome "not-run". */
    recordShed(reason: CallReason): void {
        this.shedByReason[reason] = (this.shedByReason[reason] ?? 0) + 1;
    }

    /** Number of runs by idempotency key. */
    runs(): ReadonlyMap<string, number> {
        return this.runsByKey;
    }

    /** Returns the body of `GET /runs`; `forgotten` is the number of evicted keys. */
    describe(): { readonly runs: Readonly<Record<string, number>>; readonly forgotten: number } {
        return { runs: Object.fromEntries(this.runsByKey), forgotten: this.evictedKeys };
    }

    counters(): TargetCounters {
        const { received, started, completed, cancelled, crashes, maxRunning, innerCalls } = this;
        const shed = { ...this.shedByReason };
        return { received, started, completed, cancelled, shed, crashes, maxRunning, innerCalls };
    }

    private evictOldestKey(): void {
        const oldest = this.runsByKey.size > maxTrackedKeys ? this.runsByKey.keys().next().value : undefined;
        if (oldest !== undefined) {
            this.runsByKey.delete(oldest);
            this.evictedKeys++;
        }
    }
}
