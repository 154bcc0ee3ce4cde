/**
 * Slots of a target: calls run at once up to a limit, a few wait in order, the rest are shed.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { CallReason } from "@bilberrycroft/protocol.calls";
import type { SchedulerLike } from "rxjs";

/** A call that asks for a slot. Exactly one of the two functions is called, unless the ticket is released first. */
export interface SlotRequest {
    /** Longest time in the queue; `undefined` when the call has no deadline. */
    readonly maxWaitMs: Milliseconds | undefined;
    start(): void;
    shed(reason: CallReason): void;
}

/** Place of a call in the target. */
export interface SlotTicket {
    /** Gives up the slot or the place in the queue. Further calls have no effect. */
    release(): void;
}

/** Bounds of `Slots`. */
export interface SlotBounds {
    readonly slots: number;
    readonly queue: number;
}

interface WaitingCall {
    readonly run: () => void;
}

/** Owner of the slots and the queue. */
export class Slots {
    private runningCalls = 0;
    private readonly waiting = new Set<WaitingCall>();

    constructor(private readonly bounds: SlotBounds, private readonly scheduler: SchedulerLike) {}

    /** Calls that hold a slot. */
    get running(): number {
        return this.runningCalls;
    }

    /** Calls that hold a slot or wait for one. */
    get calls(): number {
        return this.runningCalls + this.waiting.size;
    }

    /** Starts, queues or sheds a call. */
    request(request: SlotRequest): SlotTicket {
        if (this.runningCalls < this.bounds.slots) {
            const ticket = this.takeSlot();
            request.start();
            return ticket;
        }
        if (this.waiting.size >= this.bounds.queue) {
            request.shed(CallReason.Overloaded);
            return { release: () => undefined };
        }
        return this.enqueue(request);
    }

    private takeSlot(): SlotTicket {
        let held = true;
        this.runningCalls++;
        return {
            release: () => {
                if (held) {
                    held = false;
                    this.runningCalls--;
                    this.startNext();
                }
            },
        };
    }

    private enqueue(request: SlotRequest): SlotTicket {
        let slot: SlotTicket | undefined;
        const leave = (): void => {
            timer?.unsubscribe();
            this.waiting.delete(call);
        };
        const call: WaitingCall = {
            run: () => {
                leave();
                slot = this.takeSlot();
                request.start();
            },
        };
        const expire = (): void => {
            leave();
            request.shed(CallReason.DeadlinePassed);
        };
        const timer = request.maxWaitMs === undefined
            ? undefined
            : this.scheduler.schedule(expire, request.maxWaitMs);
        this.waiting.add(call);
        return {
            release: () => {
                leave();
                slot?.release();
            },
        };
    }

    private startNext(): void {
        const next = this.waiting.values().next().value;
        if (next !== undefined && this.runningCalls < this.bounds.slots) {
            next.run();
        }
    }
}
