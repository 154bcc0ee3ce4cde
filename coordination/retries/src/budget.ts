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
    /** Length of the sliding window; 10 s by default. */
    readonly windowMs?: Milliseconds;
}

/** Length of the sliding window. */
export const budgetWindowMs: Milliseconds = 10_000;

// A finer bucket makes the window exact at the cost of a longer sum; 100 ms is 1 % of the usual window.
const bucketMs: Milliseconds = 100;

/** Counts calls and additional attempts of the last window. */
export class Budget {
    private readonly calls: WindowCounter;
    private readonly spent: WindowCounter;
    private readonly options: BudgetOptions;

    constructor(options: BudgetOptions) {
        this.options = options;
        const buckets = Math.ceil(this.windowMs / bucketMs);
        this.calls = new WindowCounter(buckets);
        // One bucket more than the window: an attempt leaves the sum only when it is certainly older than the window.
        this.spent = new WindowCounter(buckets + 1);
    }

    /** Counts one call, which earns its share. */
    callStarted(now: Milliseconds): void {
        this.calls.add(now, 1);
    }

    /** Takes one additional attempt from the budget; `false` if there is none left. */
    trySpend(now: Milliseconds): boolean {
        const minimum = this.options.minimumPerSecond * this.windowMs / 1_000;
        return this.trySpendOf(Math.max(minimum, this.calls.sum(now) * this.options.share), now);
    }

    /** The same with an allowance on top of the share, for a budget that several nodes share. */
    trySpendWithAllowance(allowance: number, now: Milliseconds): boolean {
        return this.trySpendOf(allowance + this.calls.sum(now) * this.options.share, now);
    }

    /** Counts attempts that happened without being asked for. */
    charge(attempts: number, now: Milliseconds): void {
        this.spent.add(now, attempts);
    }

    private trySpendOf(allowed: number, now: Milliseconds): boolean {
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
