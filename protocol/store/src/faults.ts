/**
 * Fault injection for store implementations, and counters of the calls they receive.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { z } from "zod";

export enum StoreFaultKind {
    Down = "down",
    Up = "up",
    Slow = "slow",
    LoseResponses = "lose-responses",
    LoseRequests = "lose-requests",
    Clear = "clear",
}

const maxLostWrites = 1_000_000;
const maxDelayMs = 600_000;
const writeCountSchema = z.number().int().min(0).max(maxLostWrites);

export const storeFaultSchema = z.discriminatedUnion("kind", [
    z.strictObject({ kind: z.literal(StoreFaultKind.Down) }),
    z.strictObject({ kind: z.literal(StoreFaultKind.Up) }),
    z.strictObject({ kind: z.literal(StoreFaultKind.Slow), delayMs: z.number().min(0).max(maxDelayMs) }),
    z.strictObject({ kind: z.literal(StoreFaultKind.LoseResponses), count: writeCountSchema }),
    z.strictObject({ kind: z.literal(StoreFaultKind.LoseRequests), count: writeCountSchema }),
    z.strictObject({ kind: z.literal(StoreFaultKind.Clear) }),
]);

/**
 * A fault to inject. `Down` refuses all calls and ends pending watches, until `Up`. `Slow` delays each call before it
 * takes effect. `LoseResponses` drops the responses of the next `count` writes and removals that take effect.
 * `LoseRequests` drops the next `count` writes and removals before they take effect. `Clear` ends all faults.
 */
export type StoreFault = z.output<typeof storeFaultSchema>;

export enum StoreCallKind {
    Read = "read",
    List = "list",
    Write = "write",
    Remove = "remove",
    Watch = "watch",
}

/** Counters of the calls received since the store started. A watch counts once, regardless of its duration. */
export interface StoreCallCounts {
    readonly calls: Readonly<Record<StoreCallKind, number>>;
    /** Calls refused because the store was down, including watches ended by the outage. Included in `calls`. */
    readonly refused: number;
    /** Writes and removals that took effect. */
    readonly committed: number;
    /** Calls currently delayed by the `Slow` fault. */
    readonly delayed: number;
    /** Watches currently waiting for a change. */
    readonly waitingWatches: number;
}

/** Fault injection and counters of a store. */
export interface StoreFaultControl {
    inject(fault: StoreFault): void;
    counts(): StoreCallCounts;
}

/** The active faults. */
export class FaultState {
    isDown = false;
    delayMs: Milliseconds = 0;
    private responsesToLose = 0;
    private requestsToLose = 0;

    apply(fault: StoreFault): void {
        switch (fault.kind) {
            case StoreFaultKind.Down:
                this.isDown = true;
                return;
            case StoreFaultKind.Up:
                this.isDown = false;
                return;
            case StoreFaultKind.Slow:
                this.delayMs = fault.delayMs;
                return;
            case StoreFaultKind.LoseResponses:
                this.responsesToLose = fault.count;
                return;
            case StoreFaultKind.LoseRequests:
                this.requestsToLose = fault.count;
                return;
            case StoreFaultKind.Clear:
                this.clear();
        }
    }

    /** Returns whether the next write is lost before it takes effect, and counts it against the fault. */
    consumeLostRequest(): boolean {
        const isLost = this.requestsToLose > 0;
        this.requestsToLose = Math.max(0, this.requestsToLose - 1);
        return isLost;
    }

    /** Returns whether the response of a committed write is lost, and counts it against the fault. */
    consumeLostResponse(): boolean {
        const isLost = this.responsesToLose > 0;
        this.responsesToLose = Math.max(0, this.responsesToLose - 1);
        return isLost;
    }

    private clear(): void {
        this.isDown = false;
        this.delayMs = 0;
        this.responsesToLose = 0;
        this.requestsToLose = 0;
    }
}
