/**
 * Limits each caller's node to a subset of a service's targets.
 *
 * In a service with a hundred targets, a node that chooses among all of them opens a connection for nearly every call,
 * and knows the load of each target only from a call that is long past. With a subset, it calls the same targets again
 * and again. Each node ranks the targets by a hash of both names, so that the subsets of all nodes together use all
 * targets alike, and a target that joins or leaves changes few subsets.
 */
import { createHash } from "node:crypto";

/** A target that may belong to a subset. */
export interface RankedTarget {
    /** Whether the target is in the caller's zone. */
    readonly isLocal: boolean;
    /** Position in the caller's ranking; lower ranks are used first. */
    readonly rank: number;
}

/** Size of a subset: enough that at least one of its targets usually has a free slot. */
const subsetSize = 12;
/** Targets of other zones that every subset contains, to which calls can be moved when the local zone is overloaded. */
const minRemoteTargets = 4;
const rankBytes = 6;

/** Rank of a target's node for a caller's node; differs between callers, and stays the same over time. */
export function computeRank(caller: string, target: string): number {
    return createHash("sha256").update(`${caller} ${target}`).digest().readUIntBE(0, rankBytes);
}

/** Sorts targets so that `selectSubset` finds the first ones of each zone without a further comparison. */
export function sortByRank<Target extends RankedTarget>(targets: readonly Target[]): Target[] {
    return [...targets].sort((left, right) => left.rank - right.rank);
}

/**
 * Selects the first usable targets of a list sorted by rank. Targets that are not usable are replaced by the next ones,
 * so that failures and refusals widen the subset.
 */
export function selectSubset<Target extends RankedTarget>(
    sorted: readonly Target[],
    isUsable: (target: Target) => boolean,
): Target[] {
    if (sorted.length <= subsetSize) {
        return sorted.filter(isUsable);
    }
    const local: Target[] = [];
    const remote: Target[] = [];
    for (const target of sorted) {
        const zone = target.isLocal ? local : remote;
        if (zone.length < subsetSize && isUsable(target)) {
            zone.push(target);
            if (local.length + remote.length === 2 * subsetSize) {
                break;
            }
        }
    }
    const remoteCount = Math.max(minRemoteTargets, subsetSize - local.length);
    const selectedRemote = remote.slice(0, remoteCount);
    return [...local.slice(0, subsetSize - selectedRemote.length), ...selectedRemote];
}
