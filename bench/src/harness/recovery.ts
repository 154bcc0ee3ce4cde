/**
 * Measures the recovery time after a failure.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { type CallRecord, LoadOutcome } from "../load";

/** Interval of a segment; `toMs` is exclusive. */
export interface TimeSpan {
    readonly fromMs: Milliseconds;
    readonly toMs: Milliseconds;
}

const bucketMs: Milliseconds = 100;
/** Share of a bucket's calls that must be done within their timeout for the bucket to count as recovered. */
const recoveredShare = 0.9;

/**
 * Returns the time from the start of the span, at which the failure ends, to the recovery. The recovery is the start of
 * the first 100 ms bucket such that in it and in all later buckets at least nine of ten calls are done within their
 * timeout. Returns the length of the span if the last bucket has not recovered.
 */
export function measureRecovery(calls: readonly CallRecord[], span: TimeSpan): Milliseconds {
    const bucketCount = Math.floor((span.toMs - span.fromMs) / bucketMs);
    const offered = new Array<number>(bucketCount).fill(0);
    const served = new Array<number>(bucketCount).fill(0);
    for (const call of calls) {
        const bucket = Math.floor((call.dueMs - span.fromMs) / bucketMs);
        if (bucket >= 0 && bucket < bucketCount) {
            const isServed = call.outcome === LoadOutcome.Done && call.latencyMs <= call.timeoutMs;
            offered[bucket] = (offered[bucket] ?? 0) + 1;
            served[bucket] = (served[bucket] ?? 0) + (isServed ? 1 : 0);
        }
    }
    let recoveredBucket = bucketCount;
    while (recoveredBucket > 0
        && (served[recoveredBucket - 1] ?? 0) >= recoveredShare * (offered[recoveredBucket - 1] ?? 0)) {
        recoveredBucket--;
    }
    return recoveredBucket * bucketMs;
}
