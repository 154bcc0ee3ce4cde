/**
 * Counts of runs, so that tests can prove which calls ran and how often.
 */
import type { CallReason } from "@bilberrycroft/protocol.calls";

/** Counters of a target since its start; a crash in the same process keeps them. */
export interface TargetCounters {
    /** Calls whose request arrived completely. */
    readonly received: number;
    readonly started: number;
    /** Calls whose whole response was handed to the connection. */
    readonly completed: number;
    /** Calls that ended because their connection closed while they ran or waited. */
    readonly cancelled: number;
    readonly shed: Readonly<Partial<Record<CallReason, number>>>;
    readonly crashes: number;
    readonly maxRunning: number;
    readonly innerCalls: number;
}

/** Keys that are kept; a bench with more forgets the oldest. */
const maxKeys = 200_000;

/** Owner of the counters. */
export class RunLedger {
    private readonly runsByKey = new Map<string, number>();
    private readonly shedByReason: Partial<Record<CallReason, number>> = {};
    private forgotten = 0;
    received = 0;
    started = 0;
    completed = 0;
    cancelled = 0;
    crashes = 0;
    maxRunning = 0;
    innerCalls = 0;

    /** Records that a call began; `key` is its idempotency key. */
    recordStart(key: string | undefined, running: number): void {
        this.started++;
        this.maxRunning = Math.max(this.maxRunning, running);
        if (key !== undefined) {
            this.runsByKey.set(key, (this.runsByKey.get(key) ?? 0) + 1);
            this.forgetOldest();
        }
    }

    /** Records that a call was refused as not run. */
    recordShed(reason: CallReason): void {
        this.shedByReason[reason] = (this.shedByReason[reason] ?? 0) + 1;
    }

    /** Runs by idempotency key. */
    runs(): ReadonlyMap<string, number> {
        return this.runsByKey;
    }

    /** The content of `GET /runs`. */
    describe(): { readonly runs: Readonly<Record<string, number>>; readonly forgotten: number } {
        return { runs: Object.fromEntries(this.runsByKey), forgotten: this.forgotten };
    }

    counters(): TargetCounters {
        const { received, started, completed, cancelled, crashes, maxRunning, innerCalls } = this;
        const shed = { ...this.shedByReason };
        return { received, started, completed, cancelled, shed, crashes, maxRunning, innerCalls };
    }

    private forgetOldest(): void {
        const oldest = this.runsByKey.size > maxKeys ? this.runsByKey.keys().next().value : undefined;
        if (oldest !== undefined) {
            this.runsByKey.delete(oldest);
            this.forgotten++;
        }
    }
}
