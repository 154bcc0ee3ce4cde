/**
 * Estimates the response time of a node to offers and derives the timeout from it (RFC 6298 estimator).
 *
 * A node with a slow processor or a saturated link usually responds late. A fixed timeout would mark it as failed and
 * move its calls to other nodes, which adds load there.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";

/** Weights of the latest sample in the mean and in the deviation, as in RFC 6298. */
const meanEwmaWeight = 1 / 8;
const deviationEwmaWeight = 1 / 4;
/** The timeout is the mean plus this many deviations, as in RFC 6298. */
const timeoutDeviations = 4;
/** Timeout before the first sample: sufficient for a distant node with a busy processor. */
const initialTimeoutMs: Milliseconds = 150;
/** A process that has used up its CPU quota is paused for the rest of the 100 ms period. */
const minTimeoutMs: Milliseconds = 100;
const maxTimeoutMs: Milliseconds = 400;

export class ResponseTimes {
    private meanMs: Milliseconds | undefined;
    private deviationMs: Milliseconds = 0;

    /** Adds the time from an offer to the response. */
    add(elapsedMs: Milliseconds): void {
        if (this.meanMs === undefined) {
            this.meanMs = elapsedMs;
            this.deviationMs = elapsedMs / 2;
            return;
        }
        this.deviationMs += deviationEwmaWeight * (Math.abs(elapsedMs - this.meanMs) - this.deviationMs);
        this.meanMs += meanEwmaWeight * (elapsedMs - this.meanMs);
    }

    /** Time to wait for the response to an offer. */
    get timeoutMs(): Milliseconds {
        if (this.meanMs === undefined) {
            return initialTimeoutMs;
        }
        const timeoutMs = this.meanMs + timeoutDeviations * this.deviationMs;
        return Math.min(maxTimeoutMs, Math.max(minTimeoutMs, timeoutMs));
    }

    /** Mean response time; 0 before the first sample. */
    get typicalMs(): Milliseconds {
        return this.meanMs ?? 0;
    }
}
