/**
 * Adaptive concurrency limit for the calls that this node has in flight on one target.
 *
 * The limit follows AIMD: it decreases by a factor on latency that shows queueing, on refusals and on timeouts. It
 * increases by one call for each `limit` responses, and below the announced number of slots by one for each response.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";

/** Above this multiple of the typical latency, calls are assumed to queue inside the target. */
const queueingSlowdownRatio = 2;
const normalSlowdownRatio = 1.5;
const latencyDecreaseRatio = 0.9;
const overloadDecreaseRatio = 0.7;
/** Calls in flight at the same time observe the same queue, which must cause only one decrease. */
const minDecreaseIntervalMs = 10;
/** Slightly more calls than slots keep a slot busy while a response is in transit. */
const slotHeadroomRatio = 1.25;

export interface LimitObservation {
    /** Latency of the response as a multiple of the typical latency. */
    readonly slowdown: number;
    /** Calls that this node had in flight on the target, including this one. */
    readonly calls: number;
}

export class ConcurrencyLimit {
    private limit: number;
    private decreasedAt = Number.NEGATIVE_INFINITY;

    constructor(private slots: number) {
        this.limit = Math.max(1, slots);
    }

    /** The limit, rounded down to whole calls. */
    get maxCalls(): number {
        return Math.floor(this.limit);
    }

    /** Resets the limit to the announced number of slots if that number has changed. */
    setSlots(slots: number): void {
        if (slots !== this.slots) {
            this.slots = slots;
            this.limit = Math.max(1, slots);
        }
    }

    /** Adjusts the limit to a latency. It decreases, or grows beyond the slots, only while half of it is used. */
    recordResponse(observation: LimitObservation, now: Milliseconds): void {
        const isUtilized = observation.calls >= this.limit / 2;
        if (observation.slowdown > queueingSlowdownRatio && isUtilized) {
            this.decrease(latencyDecreaseRatio, now);
        }
        else if (observation.slowdown < normalSlowdownRatio && (isUtilized || this.limit < this.slots)) {
            const step = this.limit < this.slots ? 1 : 1 / this.limit;
            this.limit = Math.min(this.limit + step, Math.max(1, this.slots * slotHeadroomRatio));
        }
    }

    /** Lowers the limit after the target refused a call or an attempt timed out. */
    recordOverload(now: Milliseconds): void {
        this.decrease(overloadDecreaseRatio, now);
    }

    private decrease(factor: number, now: Milliseconds): void {
        if (now - this.decreasedAt >= minDecreaseIntervalMs) {
            this.decreasedAt = now;
            this.limit = Math.max(1, this.limit * factor);
        }
    }
}
