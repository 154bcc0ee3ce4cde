/**
 * Concurrency limit of a target. Calls run up to the number of slots, further calls wait in a bounded FIFO queue, and
 * the rest are shed.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { CallReason } from "@bilberrycroft/protocol.calls";
import type { SchedulerLike } from "rxjs";

/** Exactly one of `start` and `shed` is called, unless the ticket is released first. */
export interface SlotRequest {
    /** Maximum time in the queue; `undefined` if the call has no deadline. */
    readonly maxWaitMs: Milliseconds | undefined;
    start(): void;
    shed(reason: CallReason): void;
}

/** Slot or queue position of a call. */
export interface SlotTicket {
    /** Releases the slot or the queue position. Idempotent. */
    release(): void;
}

export interface SlotBounds {
    /** Maximum concurrent calls. */
    readonly slots: number;
    /** Maximum waiting calls. */
    readonly queue: number;
}

interface WaitingCall {
    readonly run: () => void;
}

export class Slots {
    private runningCount = 0;
    private readonly waiting = new Set<WaitingCall>();

    constructor(private readonly bounds: SlotBounds, private readonly scheduler: SchedulerLike) {}

    /** Number of calls that hold a slot. */
    get running(): number {
        return this.runningCount;
    }

    /** Number of calls that hold a slot or wait for one. */
    get calls(): number {
        return this.runningCount + this.waiting.size;
    }

    /** Starts, queues or sheds a call. */
    request(request: SlotRequest): SlotTicket {
        if (this.runningCount < this.bounds.slots) {
            const ticket = this.acquireSlot();
            request.start();
            return ticket;
        }
        if (this.waiting.size >= this.bounds.queue) {
            request.shed(CallReason.Overloaded);
            return { release: () => undefined };
        }
        return this.enqueue(request);
    }

    private acquireSlot(): SlotTicket {
        let isHeld = true;
        this.runningCount++;
        return {
            release: () => {
                if (isHeld) {
                    isHeld = false;
                    this.runningCount--;
                    this.startNext();
                }
            },
        };
    }

    private enqueue(request: SlotRequest): SlotTicket {
        let slot: SlotTicket | undefined;
        const dequeue = (): void => {
            timer?.unsubscribe();
            this.waiting.delete(call);
        };
        const call: WaitingCall = {
            run: () => {
                dequeue();
                slot = this.acquireSlot();
                request.start();
            },
        };
        const expire = (): void => {
            dequeue();
            request.shed(CallReason.DeadlinePassed);
        };
        const timer = request.maxWaitMs === undefined
            ? undefined
            : this.scheduler.schedule(expire, request.maxWaitMs);
        this.waiting.add(call);
        return {
            release: () => {
                dequeue();
                slot?.release();
            },
        };
    }

    private startNext(): void {
        const next = this.waiting.values().next().value;
        if (next !== undefined && this.runningCount < this.bounds.slots) {
            next.run();
        }
    }
}
