/**
 * Recent latencies of one route, for its hedge delay.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";

const keptSamples = 256;
// Below this the 95th percentile rests on fewer than four samples.
const minimumSamples = 64;
// Sorting 256 numbers for every call would cost more than the delay needs in precision.
const samplesBetweenSorts = 32;
const hedgeQuantile = 0.95;

/** The last 256 latencies and their 95th percentile. */
export class RouteLatencies {
    private readonly samples: Milliseconds[] = [];
    private recorded = 0;
    private quantile: Milliseconds | undefined;

    /** Adds the latency of an attempt, or the time that a cancelled attempt had taken so far. */
    record(latency: Milliseconds): void {
        this.samples[this.recorded % keptSamples] = latency;
        this.recorded++;
        if (this.recorded >= minimumSamples && this.recorded % samplesBetweenSorts === 0) {
            const sorted = [...this.samples].sort((left, right) => left - right);
            this.quantile = sorted[Math.floor(sorted.length * hedgeQuantile)];
        }
    }

    /** The 95th percentile; `undefined` until there are enough samples. */
    percentile95(): Milliseconds | undefined {
        return this.quantile;
    }
}
