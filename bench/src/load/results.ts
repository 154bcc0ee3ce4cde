/**
 * Counts and latencies of a run, by class.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { build, type Histogram } from "hdr-histogram-js";

/** What a caller knows of a call at its end. */
export enum LoadOutcome {
    Done = "done",
    NotRun = "not-run",
    Unknown = "unknown",
    /** Neither a complete response nor an outcome: broken, cut, abandoned, mixed up, or not sent at all. */
    Failed = "failed",
}

/** Why a call failed, or that it did not. */
export enum LoadFailure {
    None = "none",
    Connection = "connection",
    Truncated = "truncated",
    /** The caller gave up after the timeout and a margin. */
    Abandoned = "abandoned",
    /** The response belongs to another request. */
    Mismatched = "mismatched",
    /** A complete response with an error status and without an outcome. */
    Status = "status",
    /** The generator's own bound on calls in flight. */
    NotSent = "not-sent",
}

/** End of one call. */
export interface CallRecord {
    readonly id: string;
    readonly className: string;
    readonly idempotencyKey: string | undefined;
    readonly outcome: LoadOutcome;
    readonly failure: LoadFailure;
    /** Intended start, since the start of the run. */
    readonly dueMs: Milliseconds;
    /** From the intended start to the end of the response. */
    readonly latencyMs: Milliseconds;
    readonly timeoutMs: Milliseconds;
}

/** Percentiles in milliseconds; 0 without samples. */
export interface LatencySummary {
    readonly p50: Milliseconds;
    readonly p99: Milliseconds;
    readonly max: Milliseconds;
}

/** Result of one class. The latencies are those of calls that were done. */
export interface ClassResult extends LatencySummary {
    readonly className: string;
    readonly offered: number;
    readonly done: number;
    readonly notRun: number;
    readonly unknown: number;
    readonly errors: number;
    readonly failures: Readonly<Record<LoadFailure, number>>;
    /** Calls per second that were done within their timeout. */
    readonly goodput: number;
    /** Share of the offered calls that were done within their timeout. */
    readonly inTimeShare: number;
}

/** Result of a run. */
export interface LoadResult {
    readonly seed: number;
    /** Time that was counted, without the warm-up. */
    readonly durationMs: Milliseconds;
    readonly total: ClassResult;
    readonly classes: readonly ClassResult[];
    /** Delay of sends behind their intended start; if it is high, the generator was the bottleneck. */
    readonly lag: LatencySummary;
}

const microsecondsPerMillisecond = 1_000;
/** Ten minutes in microseconds; far beyond any timeout. */
const maxLatencyMicroseconds = 600_000_000;

/** Latencies in microseconds with three significant digits. */
export class LatencyRecorder {
    private readonly histogram: Histogram = build({
        bitBucketSize: 32,
        lowestDiscernibleValue: 1,
        highestTrackableValue: maxLatencyMicroseconds,
        numberOfSignificantValueDigits: 3,
    });

    record(latencyMs: Milliseconds): void {
        const microseconds = Math.round(latencyMs * microsecondsPerMillisecond);
        this.histogram.recordValue(Math.min(Math.max(microseconds, 0), maxLatencyMicroseconds));
    }

    summarize(): LatencySummary {
        const { maxValue } = this.histogram;
        // A percentile is the upper edge of its bucket, which may lie above the highest value.
        const toMilliseconds = (microseconds: number): Milliseconds => Math.min(microseconds, maxValue) / microsecondsPerMillisecond;
        return this.histogram.totalCount === 0
            ? { p50: 0, p99: 0, max: 0 }
            : {
                    p50: toMilliseconds(this.histogram.getValueAtPercentile(50)),
                    p99: toMilliseconds(this.histogram.getValueAtPercentile(99)),
                    max: toMilliseconds(maxValue),
                };
    }
}

/** Collects the records of one class. */
export class ClassRecorder {
    private readonly latencies = new LatencyRecorder();
    private readonly outcomes: Record<LoadOutcome, number> = createCounters(Object.values(LoadOutcome));
    private readonly failures: Record<LoadFailure, number> = createCounters(Object.values(LoadFailure));
    private inTimeCount = 0;

    constructor(private readonly className: string) {}

    record(call: CallRecord): void {
        this.outcomes[call.outcome]++;
        this.failures[call.failure]++;
        if (call.outcome === LoadOutcome.Done) {
            this.latencies.record(call.latencyMs);
            this.inTimeCount += call.latencyMs <= call.timeoutMs ? 1 : 0;
        }
    }

    summarize(durationMs: Milliseconds): ClassResult {
        const offered = Object.values(this.outcomes).reduce((sum, count) => sum + count, 0);
        return {
            className: this.className,
            offered,
            done: this.outcomes[LoadOutcome.Done],
            notRun: this.outcomes[LoadOutcome.NotRun],
            unknown: this.outcomes[LoadOutcome.Unknown],
            errors: this.outcomes[LoadOutcome.Failed],
            failures: { ...this.failures },
            goodput: this.inTimeCount * 1_000 / durationMs,
            inTimeShare: offered === 0 ? 0 : this.inTimeCount / offered,
            ...this.latencies.summarize(),
        };
    }
}

function createCounters<Name extends string>(names: readonly Name[]): Record<Name, number> {
    return Object.fromEntries(names.map(name => [name, 0])) as Record<Name, number>;
}
