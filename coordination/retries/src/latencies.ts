/**
 * Sliding sample of a route's latencies, from which its hedge delay is computed.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";

const maxSamples = 256;
// With fewer samples, the 95th percentile would depend on fewer than four of them.
const minSamples = 64;
// The hedge delay needs no more precision than this, and sorting 256 samples for every call is expensive.
const samplesPerUpdate = 32;
const hedgeQuantile = 0.95;

export class RouteLatencies {
    private readonly samples: Milliseconds[] = [];
    private recordedSamples = 0;
    private percentile95Ms: Milliseconds | undefined;

    /** Adds the latency of an attempt; for a cancelled attempt, the time from its start to its cancellation. */
    record(latencyMs: Milliseconds): void {
        this.samples[this.recordedSamples % maxSamples] = latencyMs;
        this.recordedSamples++;
        if (this.recordedSamples >= minSamples && this.recordedSamples % samplesPerUpdate === 0) {
            const sorted = [...this.samples].sort((left, right) => left - right);
            this.percentile95Ms = sorted[Math.floor(sorted.length * hedgeQuantile)];
        }
    }

    /** `undefined` until there are enough samples. */
    percentile95(): Milliseconds | undefined {
        return this.percentile95Ms;
    }
}
