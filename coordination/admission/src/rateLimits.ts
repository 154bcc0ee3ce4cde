/**
 * Token-bucket rate limits for tenants and routes.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";

/** A bucket holds at most the tokens of this period, so that a burst is not refused while the mean rate is kept. */
const burstMs = 1_000;
/** Buckets are kept by rule name. Beyond this number the oldest is evicted, so that removed rules do not leak. */
const maxBuckets = 4_096;

interface TokenBucket {
    tokens: number;
    refilledAt: Milliseconds;
}

export interface RateLimit {
    readonly name: string;
    /** `undefined` for no limit. */
    readonly ratePerSecond: number | undefined;
}

export class RateLimits {
    private readonly buckets = new Map<string, TokenBucket>();

    constructor(private readonly clock: Clock) {}

    /** Takes a token from every bucket and returns 0, or takes none and returns the time until all have one. */
    tryAcquire(limits: readonly RateLimit[]): Milliseconds {
        let waitMs = 0;
        for (const limit of limits) {
            waitMs = Math.max(waitMs, this.waitMsFor(limit));
        }
        if (waitMs > 0) {
            return waitMs;
        }
        for (const limit of limits) {
            if (limit.ratePerSecond !== undefined) {
                this.refill(limit.name, limit.ratePerSecond).tokens--;
            }
        }
        return 0;
    }

    private waitMsFor(limit: RateLimit): Milliseconds {
        if (limit.ratePerSecond === undefined) {
            return 0;
        }
        const { tokens } = this.refill(limit.name, limit.ratePerSecond);
        return tokens >= 1 ? 0 : ((1 - tokens) * 1_000) / Math.max(limit.ratePerSecond, 0.001);
    }

    private refill(name: string, ratePerSecond: number): TokenBucket {
        const now = this.clock.now();
        const capacity = Math.max(1, (ratePerSecond * burstMs) / 1_000);
        const existing = this.buckets.get(name);
        if (existing === undefined) {
            return this.addBucket(name, { tokens: capacity, refilledAt: now });
        }
        const earnedTokens = ((now - existing.refilledAt) * ratePerSecond) / 1_000;
        existing.tokens = Math.min(capacity, existing.tokens + earnedTokens);
        existing.refilledAt = now;
        return existing;
    }

    private addBucket(name: string, bucket: TokenBucket): TokenBucket {
        if (this.buckets.size >= maxBuckets) {
            const oldest = this.buckets.keys().next().value as string;
            this.buckets.delete(oldest);
        }
        this.buckets.set(name, bucket);
        return bucket;
    }
}
