/**
 * How long other nodes take to respond to an offer, and how long to wait for it.
 *
 * A node on a slow processor or behind a full link responds late as a rule; taking it for lost would move its calls to
 * others and load those. The wait follows the mean and the deviation of what was observed, as retransmission timers do
 * (RFC 6298).
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";

/** Weights of the latest sample in the mean and in the deviation, as in RFC 6298. */
const meanGain = 1 / 8;
const deviationGain = 1 / 4;
/** Deviations beyond the mean after which a response is late, as in RFC 6298. */
const lateDeviations = 4;
/** The wait for a node that has not responded yet: a distant one with a busy processor. */
const unknownWaitMs: Milliseconds = 150;
/** A processor that has used up its share of a tenth of a second stands still for the rest of it. */
const shortestWaitMs: Milliseconds = 100;
const longestWaitMs: Milliseconds = 400;

/** Response times of one node. */
export class ResponseTimes {
    private meanMs: Milliseconds | undefined;
    private deviationMs: Milliseconds = 0;

    /** The node responded to an offer after this time. */
    add(elapsedMs: Milliseconds): void {
        if (this.meanMs === undefined) {
            this.meanMs = elapsedMs;
            this.deviationMs = elapsedMs / 2;
            return;
        }
        this.deviationMs += deviationGain * (Math.abs(elapsedMs - this.meanMs) - this.deviationMs);
        this.meanMs += meanGain * (elapsedMs - this.meanMs);
    }

    /** Time after which a response is no longer expected. */
    get waitMs(): Milliseconds {
        if (this.meanMs === undefined) {
            return unknownWaitMs;
        }
        const waitMs = this.meanMs + lateDeviations * this.deviationMs;
        return Math.min(longestWaitMs, Math.max(shortestWaitMs, waitMs));
    }

    /** Usual time until a response. */
    get usualMs(): Milliseconds {
        return this.meanMs ?? 0;
    }
}
