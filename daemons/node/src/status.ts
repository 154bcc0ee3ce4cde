/**
 * What a node reports to operators.
 */
import type { Membership } from "@bilberrycroft/coordination.membership";
import type { StatusReport } from "@bilberrycroft/protocol.control";
import type { ConfigurationHead, VerifiedSnapshot } from "@bilberrycroft/state.snapshots";

/** What a report is made from. */
export interface StatusSource {
    readonly membership: Membership;
    readonly inForce: VerifiedSnapshot | undefined;
    readonly heardHead: ConfigurationHead | undefined;
    readonly notServing: string | undefined;
    readonly storeReachable: boolean;
}

/** Reports only what this node itself has in force and what it heard of others. */
export function createStatusReport(source: StatusSource): StatusReport {
    const { membership, inForce } = source;
    const own = membership.localEntry();
    const unreachable = new Set(membership.unreachableZones());
    return {
        node: own.node,
        zone: own.zone,
        version: inForce?.snapshot.version ?? 0,
        digest: inForce?.snapshot.digest ?? "",
        heardHead: source.heardHead,
        notServing: source.notServing,
        storeReachable: source.storeReachable,
        members: membership.entries().map(entry => ({
            entry,
            ageMs: membership.ageOf(entry.node) ?? 0,
            zoneUnreachable: unreachable.has(entry.zone),
        })),
    };
}
