/**
 * Precedence of entries. The order is total, so that tables converge independently of the order of arrival.
 */
import { Liveness, TargetState, type Entry } from "./types";

const livenessRank: Readonly<Record<Liveness, number>> = {
    [Liveness.Alive]: 0,
    [Liveness.Suspect]: 1,
    [Liveness.Dead]: 2,
    [Liveness.Left]: 3,
};

/** Positive if `left` replaces `right`, 0 if they are equal. Both describe the same node. */
export function compareEntries(left: Entry, right: Entry): number {
    return left.incarnation - right.incarnation
        || left.revision - right.revision
        || livenessRank[left.liveness] - livenessRank[right.liveness];
}

/** Positive if `left` is the newer of two processes on one host. */
export function compareProcesses(left: Entry, right: Entry): number {
    return left.incarnation - right.incarnation || compareText(left.node, right.node);
}

/** Compares by code units, independently of the host's locale. */
export function compareText(left: string, right: string): number {
    return left < right ? -1 : Number(left > right);
}

/** Whether the process of an entry has failed or left. */
export function hasEnded(entry: Entry): boolean {
    return entry.liveness === Liveness.Dead || entry.liveness === Liveness.Left;
}

/** Whether a change is pushed before the next gossip round, because a node or target must no longer be called. */
export function isUrgentChange(before: Entry | undefined, after: Entry): boolean {
    if (hasEnded(after)) {
        return before !== undefined && !hasEnded(before);
    }
    return after.targets.some(target => isWithdrawn(target.state)
        && before?.targets.find(candidate => candidate.id === target.id)?.state !== target.state);
}

/** Whether callers must no longer use a target in this state. */
export function isWithdrawn(state: TargetState): boolean {
    return state === TargetState.Draining || state === TargetState.Gone;
}
