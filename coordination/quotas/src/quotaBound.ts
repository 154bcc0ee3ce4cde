/**
 * Values that follow from the accuracy that a deployment requires of quotas; derived in `docs/design/quotas.md`.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import type { QuotaLimit } from "@bilberrycroft/protocol.forwarding";

/** In each window, calls may exceed the quota (rate x window + burst) by a share of it and by a number of calls. */
export interface QuotaBound {
    readonly windowMs: Milliseconds;
    readonly overage: number;
    readonly slack: number;
}

export const millisecondsPerSecond = 1_000;
/** Part of the overage that the lifetime of tokens uses up. The rest is the reserve for failures. */
const lifetimeOverageShare = 0.6;
/** Longer lifetimes save few messages, and prefetched tokens would be withheld from the other nodes for longer. */
const maxLifetimeMs: Milliseconds = 1_000;
/** Shorter lifetimes would end before a grant arrives; with less overage than that, the bound may be exceeded. */
const minLifetimeMs: Milliseconds = 50;
/** A bucket that is well filled grants for longer, as far as it has room for what it granted; saves messages. */
const wellFilledLifetimeFactor = 1.6;
/** Part of the slack that enlarges the bucket, so that small organisations may send several calls at once. */
const bucketSlackShare = 0.5;
/** Time for which two accounting nodes may both grant while nodes change from one to the other. */
const handoverMs: Milliseconds = 500;

/** Time from a request until its tokens expire if the bucket is not well filled. */
export function computeLifetimeMs({ windowMs, overage }: QuotaBound): Milliseconds {
    return Math.min(maxLifetimeMs, Math.max(minLifetimeMs, lifetimeOverageShare * overage * windowMs));
}

/** Time from a request until its tokens expire if the bucket is well filled. */
export function computeLongLifetimeMs(bound: QuotaBound): Milliseconds {
    return wellFilledLifetimeFactor * computeLifetimeMs(bound);
}

/** Tokens that the bucket of an organisation holds when it is full; at least one, as no call could pass otherwise. */
export function computeCapacity({ burst }: QuotaLimit, { slack }: QuotaBound): number {
    return Math.max(1, burst + bucketSlackShare * slack);
}

/** Calls by which failures may exceed the quota in one window. */
export function computeReserve(limit: QuotaLimit, bound: QuotaBound): number {
    const quota = limit.callsPerSecond * bound.windowMs / millisecondsPerSecond + limit.burst;
    const spent = limit.callsPerSecond * computeLifetimeMs(bound) / millisecondsPerSecond;
    return Math.max(0, bound.overage * quota + bound.slack - spent - (computeCapacity(limit, bound) - limit.burst));
}

/** Part of the reserve that a new accounting node may grant at once; the rest is for a second change in a window. */
const initialReserveShare = 0.5;

/**
 * Tokens in the bucket of a new accounting node that grants a share of the rate; negative if the change itself may cost
 * more than the reserve. Small organisations, for which a change costs little, begin with a part of the reserve,
 * because an empty bucket would refuse their calls for as long as a second.
 */
export function computeInitialTokens(limit: QuotaLimit, bound: QuotaBound, share: number): number {
    const handoverCalls = share * limit.callsPerSecond * handoverMs / millisecondsPerSecond;
    const spare = share * computeMaxInitialTokens(limit, bound) - handoverCalls;
    return spare > 0
        ? Math.min(spare, computeCapacity(limit, bound))
        : Math.min(0, computeReserve(limit, bound) - handoverCalls);
}

/** Most tokens with which the bucket of any new accounting node begins. */
export function computeMaxInitialTokens(limit: QuotaLimit, bound: QuotaBound): number {
    return initialReserveShare * computeReserve(limit, bound);
}
