/**
 * A budget for additional attempts as a share of the calls of a sliding window. A share keeps the load on failing
 * targets bounded whatever the number of calls that fail.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";

/** What a `Budget` is created from. */
export interface BudgetOptions {
    /** Additional attempts for each call, 0 to 1. */
    readonly share: number;
    /** Additional attempts per second that are allowed at any number of calls. */
    readonly minimumPerSecond: number;
}

/** Length of the sliding window. */
export const budgetWindowMs: Milliseconds = 10_000;

// A finer bucket makes the window exact at the cost of a longer sum; 100 ms is 1 % of the window.
const bucketMs: Milliseconds = 100;
const bucketsOfWindow = budgetWindowMs / bucketMs;

/** Counts calls and additional attempts of the last 10 s. */
export class Budget {
    private readonly calls = new WindowCounter(bucketsOfWindow);
    // One bucket more than the window: an attempt leaves the sum only when it is certainly older than the window.
    private readonly spent = new WindowCounter(bucketsOfWindow + 1);
    private readonly options: BudgetOptions;

    constructor(options: BudgetOptions) {
        this.options = options;
    }

    /** Counts one call, which earns its share. */
    callStarted(now: Milliseconds): void {
        this.calls.add(now, 1);
    }

    /** Takes one additional attempt from the budget; `false` if there is none left. */
    trySpend(now: Milliseconds): boolean {
        const minimum = this.options.minimumPerSecond * budgetWindowMs / 1_000;
        const allowed = Math.max(minimum, this.calls.sum(now) * this.options.share);
        if (this.spent.sum(now) + 1 > allowed) {
            return false;
        }
        this.spent.add(now, 1);
        return true;
    }
}

/** Sum over the newest buckets of a ring. */
class WindowCounter {
    private readonly counts: number[];
    private total = 0;
    private newestBucket = 0;

    constructor(buckets: number) {
        this.counts = new Array<number>(buckets).fill(0);
    }

    add(now: Milliseconds, count: number): void {
        this.moveTo(now);
        const index = this.newestBucket % this.counts.length;
        this.counts[index] = (this.counts[index] ?? 0) + count;
        this.total += count;
    }

    sum(now: Milliseconds): number {
        this.moveTo(now);
        return this.total;
    }

    private moveTo(now: Milliseconds): void {
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
