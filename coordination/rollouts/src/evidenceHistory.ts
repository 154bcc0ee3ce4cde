/**
 * Counts of both versions over time, at the acting node.
 *
 * Answers faults that begin late: the counts of the whole rollout hide them, so they are also compared over the last
 * seconds. Reports are cumulative for each node; the history keeps the differences in buckets of fixed length.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import type { RouteCounts, VersionCounts } from "@bilberrycroft/protocol.forwarding";

/** Counts of one version by route. */
export type VersionTotals = ReadonlyMap<string, RouteCounts>;

export interface ComparedTotals {
    readonly before: VersionTotals;
    readonly after: VersionTotals;
}

const bucketMs: Milliseconds = 500;
/** Covers the longest window. */
const maxBuckets = 16;
/** Period of the old version that is the reference once its calls have moved. */
const referenceMs: Milliseconds = 4_000;
/** With fewer runs of the old version in a period, an earlier one is the reference. */
const minReferenceRuns = 20;
/** A plan changes its share a few times. */
const maxPeriods = 16;

interface Counts {
    readonly startsAt: Milliseconds;
    readonly before: Map<string, RouteCounts>;
    readonly after: Map<string, RouteCounts>;
}

interface Period extends Counts {
    /** Recent counts of the old version at the start of the period. */
    readonly reference: VersionTotals;
}

export interface EvidenceHistoryOptions {
    readonly clock: Clock;
    /** Version that is rolled out. */
    readonly version: string;
    readonly orderRevision: number;
}

export class EvidenceHistory {
    private readonly latestByNode = new Map<string, VersionCounts>();
    private readonly total: Counts;
    private firstRunAt: Milliseconds | undefined;
    private periods: Period[] = [];
    private buckets: Counts[] = [];

    constructor(private readonly options: EvidenceHistoryOptions) {
        this.total = this.createCounts();
        this.startPeriod();
    }

    /**
     * The share of the new version changes. Periods are compared separately: if both versions get worse after the new
     * one got more calls, more of its calls than of the old one's fall into the bad time.
     */
    startPeriod(): void {
        const { before: reference } = this.collect(this.options.clock.now() - referenceMs);
        this.periods = [...this.periods, { ...this.createCounts(), reference }].slice(-maxPeriods);
    }

    /** Adds what a node counted since its last report. */
    add(node: string, counts: VersionCounts): void {
        if (counts.orderRevision !== this.options.orderRevision) {
            return;
        }
        const latest = this.latestByNode.get(node);
        const isContinued = latest?.since === counts.since && latest.version === counts.version;
        this.latestByNode.set(node, counts);
        const earlier = new Map((isContinued ? latest.routes : []).map(route => [route.route, route]));
        const side = counts.version === this.options.version ? "after" : "before";
        const bucket = this.currentBucket();
        const period = this.periods.at(-1);
        for (const route of counts.routes) {
            const difference = combine(route, earlier.get(route.route), -1);
            // A count that shrank comes from a node that answered out of order.
            if (difference.runs >= 0 && difference.timed >= 0 && difference.failures >= 0) {
                this.firstRunAt ??= side === "after" && difference.timed > 0 ? this.options.clock.now() : undefined;
                [bucket, period, this.total].forEach(totals => totals && addTo(totals[side], difference));
            }
        }
    }

    /** Time since the first run of the new version was heard of. */
    get spanMs(): Milliseconds {
        return this.firstRunAt === undefined ? 0 : this.options.clock.now() - this.firstRunAt;
    }

    /** Returns the counts of the whole rollout. */
    get totals(): ComparedTotals {
        return this.total;
    }

    /** Returns the counts of the periods with different shares. */
    get comparedPeriods(): readonly ComparedTotals[] {
        return this.periods.map(period => withReference(period, period.reference));
    }

    /** Returns the counts of the last `durationMs`, at most back to the last change of the share. */
    window(durationMs: Milliseconds): ComparedTotals {
        const period = this.periods.at(-1);
        const startsAt = Math.max(this.options.clock.now() - durationMs, period?.startsAt ?? 0);
        return withReference(this.collect(startsAt), period?.reference ?? new Map());
    }

    private collect(startsAt: Milliseconds): ComparedTotals {
        const before = new Map<string, RouteCounts>();
        const after = new Map<string, RouteCounts>();
        for (const bucket of this.buckets.filter(({ startsAt: start }) => start >= startsAt)) {
            bucket.before.forEach(route => addTo(before, route));
            bucket.after.forEach(route => addTo(after, route));
        }
        return { before, after };
    }

    private createCounts(): Counts {
        return { startsAt: this.options.clock.now(), before: new Map(), after: new Map() };
    }

    private currentBucket(): Counts {
        const latest = this.buckets.at(-1);
        if (latest !== undefined && this.options.clock.now() - latest.startsAt < bucketMs) {
            return latest;
        }
        const created = this.createCounts();
        this.buckets = [...this.buckets, created].slice(-maxBuckets);
        return created;
    }
}

function withReference({ before, after }: ComparedTotals, reference: VersionTotals): ComparedTotals {
    return { before: countRuns(before) < minReferenceRuns ? mergeTotals(reference, before) : before, after };
}

function mergeTotals(left: VersionTotals, right: VersionTotals): VersionTotals {
    const merged = new Map(left);
    right.forEach(counts => addTo(merged, counts));
    return merged;
}

/** Returns the number of runs in all routes. */
export function countRuns(totals: VersionTotals): number {
    return [...totals.values()].reduce((sum, { runs }) => sum + runs, 0);
}

function addTo(totals: Map<string, RouteCounts>, counts: RouteCounts): void {
    totals.set(counts.route, combine(counts, totals.get(counts.route), 1));
}

function combine(left: RouteCounts, right: RouteCounts | undefined, factor: 1 | -1): RouteCounts {
    return right === undefined
        ? left
        : {
                route: left.route,
                runs: left.runs + factor * right.runs,
                failures: left.failures + factor * right.failures,
                timed: left.timed + factor * right.timed,
                logSum: left.logSum + factor * right.logSum,
                logSquareSum: left.logSquareSum + factor * right.logSquareSum,
            };
}
