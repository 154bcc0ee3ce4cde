/**
 * Deterministic subsetting: computes the share of each target's connections that a calling node may use.
 *
 * Each caller gets a position on the ring of targets in proportion to its rank, and a window of adjacent targets from
 * there. Each target then appears in floor or ceil(budget x callers / targets) windows, which is at most its limit. If
 * callers and targets are both ordered by zone, windows lie in the caller's zone where possible.
 */

export interface SubsetRequest {
    /** Connection limits of the targets, in ring order. */
    readonly limits: readonly number[];
    /** Number of calling nodes. */
    readonly callers: number;
    /** Rank of this caller among them, from 0. */
    readonly rank: number;
}

/** Connections that the caller may use on each target, in ring order. */
export function shareConnections(request: SubsetRequest): number[] {
    const { limits, callers, rank } = request;
    if (limits.length === 0) {
        return [];
    }
    const targets = limits.length;
    const limit = Math.max(1, Math.min(...limits));
    const budget = Math.max(1, Math.floor((limit * targets) / callers));
    const perTarget = Math.floor(budget / targets);
    const extra = budget % targets;
    const start = Math.floor((rank * targets) / callers) - Math.floor(extra / 2);
    return limits.map((targetLimit, index) => {
        const isInWindow = (((index - start) % targets) + targets) % targets < extra;
        return Math.max(perTarget + (isInWindow ? 1 : 0), Math.floor(targetLimit / callers));
    });
}
