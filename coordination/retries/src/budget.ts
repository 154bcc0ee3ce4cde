/**
 * Retry budget: limits additional attempts (retries or hedges) to a ratio of the calls in a sliding window, so that the
 * load on failing targets stays bounded however many calls fail.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";

export interface BudgetOptions {
    /** Additional attempts allowed per call, 0 to 1. */
    readonly share: number;
    /** Additional attempts per second allowed regardless of the number of calls. */
    readonly minimumPerSecond: number;
    /** Length of the sliding window; `budgetWindowMs` by default. */
    readonly windowMs?: Milliseconds;
}

/** Default length of the sliding window. */
export const budgetWindowMs: Milliseconds = 10_000;

// Smaller buckets make the window more exact but need more counters. 100 ms is 1 % of the default window.
const bucketMs: Milliseconds = 100;

export class Budget {
    private readonly calls: SlidingWindowCounter;
    private readonly spent: SlidingWindowCounter;
    private readonly options: BudgetOptions;

    constructor(options: BudgetOptions) {
        this.options = options;
        const buckets = Math.ceil(this.windowMs / bucketMs);
        this.calls = new SlidingWindowCounter(buckets);
        // One bucket more than the window, so that an attempt counts until it is certainly older than the window.
        this.spent = new SlidingWindowCounter(buckets + 1);
    }

    /** Counts a call, which adds `share` attempts to the budget. */
    recordCall(now: Milliseconds): void {
        this.calls.add(now, 1);
    }

    /** Spends one additional attempt. Returns `false` if the budget is exhausted. */
    trySpend(now: Milliseconds): boolean {
        const minimum = this.options.minimumPerSecond * this.windowMs / 1_000;
        return this.trySpendWithin(Math.max(minimum, this.calls.sum(now) * this.options.share), now);
    }

    /** Like `trySpend`, with an allowance on top of the share instead of the minimum, for a budget shared by nodes. */
    trySpendWithAllowance(allowance: number, now: Milliseconds): boolean {
        return this.trySpendWithin(allowance + this.calls.sum(now) * this.options.share, now);
    }

    /** Counts attempts that were made without `trySpend`. They may exceed the budget. */
    charge(attempts: number, now: Milliseconds): void {
        this.spent.add(now, attempts);
    }

    private trySpendWithin(allowed: number, now: Milliseconds): boolean {
        if (this.spent.sum(now) + 1 > allowed) {
            return false;
        }
        this.spent.add(now, 1);
        return true;
    }

    private get windowMs(): Milliseconds {
        return this.options.windowMs ?? budgetWindowMs;
    }
}

/** Sliding-window counter over a ring buffer of time buckets. */
class SlidingWindowCounter {
    private readonly counts: number[];
    private total = 0;
    private newestBucket = 0;

    constructor(buckets: number) {
        this.counts = new Array<number>(buckets).fill(0);
    }

    add(now: Milliseconds, count: number): void {
        this.advanceTo(now);
        const index = this.newestBucket % this.counts.length;
        this.counts[index] = (this.counts[index] ?? 0) + count;
        this.total += count;
    }

    sum(now: Milliseconds): number {
        this.advanceTo(now);
        return this.total;
    }

    private advanceTo(now: Milliseconds): void {
        const bucket = Math.floor(now / bucketMs);
        const steps = Math.min(bucket - this.newestBucket, this.counts.length);
        for (let step = 1; step <= steps; step++) {
            const index = (bucket - steps + step) % this.counts.length;
            this.total -= this.counts[index] ?? 0;
            this.counts[index] = 0;
        }
        this.newestBucket = Math.max(bucket, this.newestBucket);
    }
}
