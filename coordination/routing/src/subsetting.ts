/**
 * Deterministic subsetting: which share of a target's connections a calling node may use.
 *
 * Every caller is placed on the ring of targets in proportion to its rank and takes a window of neighbouring targets.
 * Each target then appears in floor or ceil(budget x callers / targets) windows, which is at most its limit. When
 * callers are ranked by zone and targets are ordered by zone, windows lie in the caller's own zone where they can.
 */

/** What the shares of one caller are computed from. */
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
    const onEach = Math.floor(budget / targets);
    const extra = budget % targets;
    const start = Math.floor((rank * targets) / callers) - Math.floor(extra / 2);
    return limits.map((own, index) => {
        const inWindow = (((index - start) % targets) + targets) % targets < extra;
        return Math.max(onEach + (inWindow ? 1 : 0), Math.floor(own / callers));
    });
}
