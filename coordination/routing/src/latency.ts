/**
 * Smoothed latencies of one target and run-time class.
 *
 * `usual` changes slowly and ignores how far a late sample is out, so that it still describes the normal state while
 * the target is slowed. `recent` follows each sample and returns to `usual` when no samples arrive, so that a target
 * that was avoided for its latency is used again.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";

const usualGain = 0.02;
const recentGain = 0.3;
/** A sample moves `usual` as if it were at most this many times as long. */
const clipMultiple = 3;
const recentDecayMs = 500;
/** Short latencies vary by this much for reasons of the sender: garbage collection and event loop turns. */
const minimumLatenessMs = 3;
const lateMultiple = 3;
/** With exponential run times, mean plus six deviations is exceeded by one call in a thousand. */
const lateDeviations = 6;
/** Below this number of samples the deviation is not known well enough to call a latency late. */
const samplesForLateness = 4;

/** Latencies of one target and class. */
export class LatencyEstimate {
    private samples = 0;
    private usual: Milliseconds = 0;
    private deviation: Milliseconds = 0;
    private recent: Milliseconds = 0;
    private sampledAt: Milliseconds = 0;

    /** Usual latency, or `undefined` before the first sample. */
    get usualMs(): Milliseconds | undefined {
        return this.samples === 0 ? undefined : this.usual;
    }

    /** Adds a complete latency. */
    add(latencyMs: Milliseconds, now: Milliseconds): void {
        const recentMs = this.recentMs(now) ?? latencyMs;
        this.samples++;
        this.sampledAt = now;
        this.recent = this.samples === 1 ? latencyMs : recentMs + recentGain * (latencyMs - recentMs);
        this.addUsual(latencyMs);
    }

    /** Adds the age of an attempt that was given up: its latency would have been at least this. */
    addLowerBound(ageMs: Milliseconds, now: Milliseconds): void {
        const recentMs = this.recentMs(now);
        if (recentMs !== undefined && ageMs > recentMs) {
            this.recent = recentMs + recentGain * (ageMs - recentMs);
            this.sampledAt = now;
        }
    }

    /** Latency that the next call can expect, or `undefined` before the first sample. */
    recentMs(now: Milliseconds): Milliseconds | undefined {
        if (this.samples === 0) {
            return undefined;
        }
        const remembered = Math.exp((this.sampledAt - now) / recentDecayMs);
        return this.usual + (this.recent - this.usual) * remembered;
    }

    /** Age from which an unanswered call speaks against the target; infinite while too little is known. */
    get lateAfterMs(): Milliseconds {
        if (this.samples < samplesForLateness) {
            return Number.POSITIVE_INFINITY;
        }
        const byDeviation = this.usual + lateDeviations * this.deviation;
        return Math.max(minimumLatenessMs, lateMultiple * this.usual, byDeviation);
    }

    private addUsual(latencyMs: Milliseconds): void {
        if (this.samples === 1) {
            this.usual = latencyMs;
            this.deviation = latencyMs / 2;
            return;
        }
        const gain = Math.max(usualGain, 1 / this.samples);
        const clipped = Math.min(latencyMs, clipMultiple * this.usual);
        this.deviation += gain * (Math.abs(clipped - this.usual) - this.deviation);
        this.usual += gain * (clipped - this.usual);
    }
}
