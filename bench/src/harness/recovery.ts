/**
 * Time until calls are served as before a failure.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { type CallRecord, LoadOutcome } from "../load";

/** Times of a segment. */
export interface TimeSpan {
    readonly fromMs: Milliseconds;
    readonly toMs: Milliseconds;
}

const bucketMs: Milliseconds = 100;
const servedShare = 0.9;

/**
 * Time from the end of a failure to the start of the first of the buckets that all have nine of ten calls done in
 * time until the end of the span; the whole span if there is none.
 */
export function measureRecovery(calls: readonly CallRecord[], span: TimeSpan): Milliseconds {
    const buckets = Math.floor((span.toMs - span.fromMs) / bucketMs);
    const offered = new Array<number>(buckets).fill(0);
    const served = new Array<number>(buckets).fill(0);
    for (const call of calls) {
        const bucket = Math.floor((call.dueMs - span.fromMs) / bucketMs);
        if (bucket >= 0 && bucket < buckets) {
            const isServed = call.outcome === LoadOutcome.Done && call.latencyMs <= call.timeoutMs;
            offered[bucket] = (offered[bucket] ?? 0) + 1;
            served[bucket] = (served[bucket] ?? 0) + (isServed ? 1 : 0);
        }
    }
    let recovered = buckets;
    while (recovered > 0 && (served[recovered - 1] ?? 0) >= servedShare * (offered[recovered - 1] ?? 0)) {
        recovered--;
    }
    return recovered * bucketMs;
}
