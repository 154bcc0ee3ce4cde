/**
 * Status report of a node for operators.
 */
import type { Membership } from "@bilberrycroft/coordination.membership";
import type { StatusReport } from "@bilberrycroft/protocol.control";
import type { ConfigurationHead, VerifiedSnapshot } from "@bilberrycroft/state.snapshots";

export interface StatusSource {
    readonly membership: Membership;
    readonly inForce: VerifiedSnapshot | undefined;
    /** Head of the highest version that this node has or that a peer reported. */
    readonly highestHead: ConfigurationHead | undefined;
    /** Reason why no version is in force; `undefined` once one is. */
    readonly startBlocker: string | undefined;
    readonly storeReachable: boolean;
}

/** The report contains only what this node has in force and what other nodes reported to it. */
export function createStatusReport(source: StatusSource): StatusReport {
    const { membership, inForce } = source;
    const localEntry = membership.localEntry();
    const unreachable = new Set(membership.unreachableZones());
    return {
        node: localEntry.node,
        zone: localEntry.zone,
        version: inForce?.snapshot.version ?? 0,
        digest: inForce?.snapshot.digest ?? "",
        heardHead: source.highestHead,
        notServing: source.startBlocker,
        storeReachable: source.storeReachable,
        members: membership.entries().map(entry => ({
            entry,
            ageMs: membership.ageOf(entry.node) ?? 0,
            zoneUnreachable: unreachable.has(entry.zone),
        })),
    };
}
