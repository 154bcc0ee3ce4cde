/**
 * Adaptive limit on the calls that this node has in one target.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";

/** Answers at this multiple of the usual latency mean that calls queue inside the target. */
const queueingSlowdown = 2;
const usualSlowdown = 1.5;
const decreaseFactor = 0.9;
const shedFactor = 0.7;
/** Calls in flight together see the same queue; it is answered with one decrease. */
const decreasePauseMs = 10;
/** Slightly more calls than slots keep a slot busy while a response is on its way. */
const headroom = 1.25;

/** An answer as the limit sees it. */
export interface LimitObservation {
    readonly slowdown: number;
    /** Calls of this node that were in the target, this one included. */
    readonly calls: number;
}

/** Concurrency limit of one target. */
export class ConcurrencyLimit {
    private limit: number;
    private decreasedAt = Number.NEGATIVE_INFINITY;

    constructor(private slots: number) {
        this.limit = Math.max(1, slots);
    }

    /** Whole calls that the limit admits. */
    get calls(): number {
        return Math.floor(this.limit);
    }

    /** Takes the announced number of slots. */
    setSlots(slots: number): void {
        if (slots !== this.slots) {
            this.slots = slots;
            this.limit = Math.max(1, slots);
        }
    }

    /** Takes an answer. */
    answered(observation: LimitObservation, now: Milliseconds): void {
        const isUsed = observation.calls >= this.limit / 2;
        if (observation.slowdown > queueingSlowdown && isUsed) {
            this.decrease(decreaseFactor, now);
        }
        else if (observation.slowdown < usualSlowdown && (isUsed || this.limit < this.slots)) {
            const step = this.limit < this.slots ? 1 : 1 / this.limit;
            this.limit = Math.min(this.limit + step, Math.max(1, this.slots * headroom));
        }
    }

    /** Takes a refusal by the target, or an attempt without an answer. */
    overloaded(now: Milliseconds): void {
        this.decrease(shedFactor, now);
    }

    private decrease(factor: number, now: Milliseconds): void {
        if (now - this.decreasedAt >= decreasePauseMs) {
            this.decreasedAt = now;
            this.limit = Math.max(1, this.limit * factor);
        }
    }
}
