/**
 * Counts and latency percentiles of a run, per class.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { build, type Histogram } from "hdr-histogram-js";

/** Outcome of a call as its caller sees it. */
export enum LoadOutcome {
    Done = "done",
    NotRun = "not-run",
    Unknown = "unknown",
    /** Neither a valid complete response nor a reported outcome; `LoadFailure` gives the reason. */
    Failed = "failed",
}

/** Reason of a `Failed` outcome; `None` for all other outcomes. */
export enum LoadFailure {
    None = "none",
    Connection = "connection",
    Truncated = "truncated",
    /** No complete response within the timeout plus a margin. */
    Abandoned = "abandoned",
    /** The response belongs to another request. */
    Mismatched = "mismatched",
    /** A complete response with an error status and without an outcome header. */
    Status = "status",
    /** The generator reached its limit of calls in flight. */
    NotSent = "not-sent",
}

export interface CallRecord {
    readonly id: string;
    readonly className: string;
    readonly idempotencyKey: string | undefined;
    readonly outcome: LoadOutcome;
    readonly failure: LoadFailure;
    /** Scheduled start, since the start of the run. */
    readonly dueMs: Milliseconds;
    /** From the scheduled start to the end of the response. */
    readonly latencyMs: Milliseconds;
    readonly timeoutMs: Milliseconds;
}

/** All values are 0 if there are no samples. */
export interface LatencySummary {
    readonly p50: Milliseconds;
    readonly p99: Milliseconds;
    readonly max: Milliseconds;
}

/** Result of one class. Latencies include only calls with the outcome `Done`. */
export interface ClassResult extends LatencySummary {
    readonly className: string;
    readonly offered: number;
    readonly done: number;
    readonly notRun: number;
    readonly unknown: number;
    readonly errors: number;
    readonly failures: Readonly<Record<LoadFailure, number>>;
    /** Calls per second that completed within their timeout. */
    readonly goodput: number;
    /** Share of the offered calls that completed within their timeout, from 0 to 1. */
    readonly inTimeShare: number;
}

export interface LoadResult {
    readonly seed: number;
    /** Measured time, without the warm-up. */
    readonly durationMs: Milliseconds;
    readonly total: ClassResult;
    readonly classes: readonly ClassResult[];
    /** Delay between scheduled and actual starts. If it is high, the generator was the bottleneck. */
    readonly lag: LatencySummary;
}

const microsecondsPerMillisecond = 1_000;
/** Ten minutes, far above any timeout. */
const maxLatencyMicroseconds = 600_000_000;

/** HDR histogram of latencies in microseconds with three significant digits. */
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
        // The histogram returns the upper edge of a bucket, which can exceed the highest recorded value.
        const toMilliseconds = (microseconds: number): Milliseconds =>
            Math.min(microseconds, maxValue) / microsecondsPerMillisecond;
        return this.histogram.totalCount === 0
            ? { p50: 0, p99: 0, max: 0 }
            : {
                    p50: toMilliseconds(this.histogram.getValueAtPercentile(50)),
                    p99: toMilliseconds(this.histogram.getValueAtPercentile(99)),
                    max: toMilliseconds(maxValue),
                };
    }
}

/** Aggregates the records of one class. */
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
