/**
 * Faults that tests inject into a store, and counters of the calls that reached it.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { z } from "zod";

/** Kinds of `StoreFault`. */
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

/** Schema of one fault message. */
export const storeFaultSchema = z.discriminatedUnion("kind", [
    z.strictObject({ kind: z.literal(StoreFaultKind.Down) }),
    z.strictObject({ kind: z.literal(StoreFaultKind.Up) }),
    z.strictObject({ kind: z.literal(StoreFaultKind.Slow), delayMs: z.number().min(0).max(maxDelayMs) }),
    z.strictObject({ kind: z.literal(StoreFaultKind.LoseResponses), count: writeCountSchema }),
    z.strictObject({ kind: z.literal(StoreFaultKind.LoseRequests), count: writeCountSchema }),
    z.strictObject({ kind: z.literal(StoreFaultKind.Clear) }),
]);

/**
 * One fault message. `Down` refuses every call and ends waiting watches until `Up`. `Slow` delays each call before it
 * takes effect. `LoseResponses` loses the response of the next writes and removals that took effect. `LoseRequests`
 * loses the next writes and removals before they take effect. `Clear` ends every fault.
 */
export type StoreFault = z.output<typeof storeFaultSchema>;

/** Kinds of calls that the store counts. */
export enum StoreCallKind {
    Read = "read",
    List = "list",
    Write = "write",
    Remove = "remove",
    Watch = "watch",
}

/** Calls that reached the store since its start; each watch counts once, however long it waits. */
export interface StoreCallCounts {
    readonly calls: Readonly<Record<StoreCallKind, number>>;
    /** Calls refused because the store was down; they are part of `calls` too. */
    readonly refused: number;
    /** Writes and removals that took effect. */
    readonly committed: number;
    /** Calls that the slow fault holds now. */
    readonly delayed: number;
    /** Watches that wait for a change now. */
    readonly waitingWatches: number;
}

/** What tests control and read of a store. */
export interface StoreFaultControl {
    inject(fault: StoreFault): void;
    counts(): StoreCallCounts;
}

/** Faults in force. */
export class FaultState {
    down = false;
    delayMs: Milliseconds = 0;
    private responsesToLose = 0;
    private requestsToLose = 0;

    /** Applies one fault message. */
    apply(fault: StoreFault): void {
        switch (fault.kind) {
            case StoreFaultKind.Down:
                this.down = true;
                return;
            case StoreFaultKind.Up:
                this.down = false;
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

    /** Whether the next write is lost before it takes effect. */
    consumeLostRequest(): boolean {
        const lost = this.requestsToLose > 0;
        this.requestsToLose = Math.max(0, this.requestsToLose - 1);
        return lost;
    }

    /** Whether the response of a write that took effect is lost. */
    consumeLostResponse(): boolean {
        const lost = this.responsesToLose > 0;
        this.responsesToLose = Math.max(0, this.responsesToLose - 1);
        return lost;
    }

    private clear(): void {
        this.down = false;
        this.delayMs = 0;
        this.responsesToLose = 0;
        this.requestsToLose = 0;
    }
}
