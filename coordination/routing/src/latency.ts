/**
 * Latency estimates (EWMA) for one target and run-time class.
 *
 * `baseline` changes slowly and clips outliers, so that it still describes the normal state while the target is slow.
 * `recent` follows each sample and decays to `baseline` when no samples arrive, so that a target that was avoided for
 * its latency is used again.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";

const baselineEwmaWeight = 0.02;
const recentEwmaWeight = 0.3;
/** Samples are clipped to this multiple of `baseline` before they are added to it. */
const maxOutlierFactor = 3;
const recentDecayMs = 500;
/** Garbage collection and event loop delays on the sender add up to this much to short latencies. */
const minLateThresholdMs = 3;
const lateFactor = 3;
/** If run times are exponentially distributed, one call in a thousand exceeds the mean plus six deviations. */
const lateDeviations = 6;
/** With fewer samples the deviation is too uncertain to classify a latency as late. */
const minSamplesForLateness = 4;

export class LatencyEstimate {
    private samples = 0;
    private baseline: Milliseconds = 0;
    private deviation: Milliseconds = 0;
    private recent: Milliseconds = 0;
    private sampledAt: Milliseconds = 0;

    /** Normal latency; `undefined` before the first sample. */
    get baselineMs(): Milliseconds | undefined {
        return this.samples === 0 ? undefined : this.baseline;
    }

    /** Adds the latency of an answered call. */
    add(latencyMs: Milliseconds, now: Milliseconds): void {
        const recentMs = this.recentMs(now) ?? latencyMs;
        this.samples++;
        this.sampledAt = now;
        this.recent = this.samples === 1 ? latencyMs : recentMs + recentEwmaWeight * (latencyMs - recentMs);
        this.updateBaseline(latencyMs);
    }

    /** Adds the age of an abandoned attempt, which is a lower bound of its latency. */
    addLowerBound(ageMs: Milliseconds, now: Milliseconds): void {
        const recentMs = this.recentMs(now);
        if (recentMs !== undefined && ageMs > recentMs) {
            this.recent = recentMs + recentEwmaWeight * (ageMs - recentMs);
            this.sampledAt = now;
        }
    }

    /** Expected latency of the next call; `undefined` before the first sample. */
    recentMs(now: Milliseconds): Milliseconds | undefined {
        if (this.samples === 0) {
            return undefined;
        }
        const weight = Math.exp((this.sampledAt - now) / recentDecayMs);
        return this.baseline + (this.recent - this.baseline) * weight;
    }

    /** Age above which an unanswered call counts as late; infinite while there are too few samples. */
    get lateThresholdMs(): Milliseconds {
        if (this.samples < minSamplesForLateness) {
            return Number.POSITIVE_INFINITY;
        }
        const byDeviation = this.baseline + lateDeviations * this.deviation;
        return Math.max(minLateThresholdMs, lateFactor * this.baseline, byDeviation);
    }

    private updateBaseline(latencyMs: Milliseconds): void {
        if (this.samples === 1) {
            this.baseline = latencyMs;
            this.deviation = latencyMs / 2;
            return;
        }
        const weight = Math.max(baselineEwmaWeight, 1 / this.samples);
        const clipped = Math.min(latencyMs, maxOutlierFactor * this.baseline);
        this.deviation += weight * (Math.abs(clipped - this.baseline) - this.deviation);
        this.baseline += weight * (clipped - this.baseline);
    }
}
