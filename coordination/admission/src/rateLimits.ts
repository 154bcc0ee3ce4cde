/**
 * Token buckets of tenants and routes.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";

/** A bucket holds the tokens of this time, so that calls that arrive in groups are not refused below the rate. */
const burstMs = 1_000;
/** Buckets are kept per rule name; names of removed rules are dropped beyond this number. */
const maxBuckets = 4_096;

interface Bucket {
    tokens: number;
    filledAt: Milliseconds;
}

/** One limit that applies to a call. */
export interface RateLimit {
    readonly name: string;
    /** Unlimited if absent. */
    readonly ratePerSecond: number | undefined;
}

/** Rate limits by name. */
export class RateLimits {
    private readonly buckets = new Map<string, Bucket>();

    constructor(private readonly clock: Clock) {}

    /** Takes a token of every limit, or takes none and returns the time until all have one. */
    take(limits: readonly RateLimit[]): Milliseconds {
        let waitMs = 0;
        for (const limit of limits) {
            waitMs = Math.max(waitMs, this.waitFor(limit));
        }
        if (waitMs > 0) {
            return waitMs;
        }
        for (const limit of limits) {
            if (limit.ratePerSecond !== undefined) {
                this.fill(limit.name, limit.ratePerSecond).tokens--;
            }
        }
        return 0;
    }

    private waitFor(limit: RateLimit): Milliseconds {
        if (limit.ratePerSecond === undefined) {
            return 0;
        }
        const { tokens } = this.fill(limit.name, limit.ratePerSecond);
        return tokens >= 1 ? 0 : ((1 - tokens) * 1_000) / Math.max(limit.ratePerSecond, 0.001);
    }

    private fill(name: string, ratePerSecond: number): Bucket {
        const now = this.clock.now();
        const capacity = Math.max(1, (ratePerSecond * burstMs) / 1_000);
        const known = this.buckets.get(name);
        if (known === undefined) {
            return this.create(name, { tokens: capacity, filledAt: now });
        }
        const gained = ((now - known.filledAt) * ratePerSecond) / 1_000;
        known.tokens = Math.min(capacity, known.tokens + gained);
        known.filledAt = now;
        return known;
    }

    private create(name: string, bucket: Bucket): Bucket {
        if (this.buckets.size >= maxBuckets) {
            const oldest = this.buckets.keys().next().value as string;
            this.buckets.delete(oldest);
        }
        this.buckets.set(name, bucket);
        return bucket;
    }
}
