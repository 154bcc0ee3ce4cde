/**
 * Merges the status reports of several nodes into one view of a version. A node counts as unknown if it is suspected of
 * failure or if no responding node reaches its zone, regardless of its last reported version.
 */
import { assertNever } from "@bilberrycroft/core.errors";
import { type Entry, Liveness, type ReportedRefusal } from "@bilberrycroft/coordination.membership";
import type { ConfigurationHead } from "@bilberrycroft/state.snapshots";
import { type NodeResponse, NodeResponseKind, type StatusReport } from "./nodeClient";

/** State of the accepted version on a node. */
export enum VersionState {
    InForce = "in force",
    /** The node has a newer version, which was accepted after the store was read. */
    Newer = "newer",
    /** The node has an older version and did not refuse the accepted one. */
    Behind = "behind",
    Refused = "refused",
    /** The node has another snapshot with the same version number. */
    Diverged = "diverged",
    /** The node is suspected of failure or cannot be reached; its last known version is shown. */
    Unknown = "unknown",
}

export interface NodeStatus {
    readonly node: string;
    readonly host: string;
    readonly zone: string;
    readonly controlAddress: string;
    /** State of the accepted version on the node. */
    readonly standing: VersionState;
    /** Last known version in force on the node; 0 before the first. */
    readonly version: number;
    readonly digest: string;
    readonly refusal: ReportedRefusal | undefined;
    /** Why the node's state is unknown. */
    readonly unknownReason: string | undefined;
}

/** A configured node that did not respond. */
export interface UnreachableAddress {
    readonly address: string;
    readonly reason: string;
}

/** State of one version across the mesh, according to the nodes that responded. */
export interface StatusView {
    /** `undefined` if neither the store nor a node reported a version. */
    readonly accepted: ConfigurationHead | undefined;
    /** If `false`, the store has no version or could not be read; `accepted` is the highest that a node reported. */
    readonly acceptedFromStore: boolean;
    /** Nodes that responded. */
    readonly answeredBy: readonly string[];
    readonly unanswered: readonly UnreachableAddress[];
    /** Sorted by zone and node, without dead nodes and nodes that left. */
    readonly nodes: readonly NodeStatus[];
    /** Nodes marked as dead whose host has no newer node. */
    readonly dead: readonly string[];
    /** Zones in which the state of every node is unknown. */
    readonly unknownZones: readonly string[];
    readonly inForceCount: number;
    /** Number of nodes whose state is known. */
    readonly heardCount: number;
    readonly unknownCount: number;
}

export interface StatusInput {
    /** Accepted version in the store; `undefined` if the store could not be read or has none. */
    readonly accepted: ConfigurationHead | undefined;
    readonly responses: readonly NodeResponse<StatusReport>[];
}

/** A node merged from all status reports. */
interface MergedNode {
    readonly entry: Entry;
    /** Whether a responding node reaches the zone of this node, or the node itself responded. */
    readonly reachable: boolean;
}

/** At equal incarnation and revision the worse liveness wins, as in the membership protocol. */
const livenessOrder: Readonly<Record<Liveness, number>> = {
    [Liveness.Alive]: 0,
    [Liveness.Suspect]: 1,
    [Liveness.Dead]: 2,
    [Liveness.Left]: 3,
};

export function computeStatus(input: StatusInput): StatusView {
    const reports: StatusReport[] = [];
    const unanswered: UnreachableAddress[] = [];
    for (const response of input.responses) {
        if (response.kind === NodeResponseKind.Responded) {
            reports.push(response.report);
        }
        else {
            unanswered.push({ address: response.address, reason: response.reason });
        }
    }
    const accepted = input.accepted ?? findHighestHead(reports);
    const currentNodes = removeReplacedNodes(mergeReports(reports));
    const nodes = currentNodes
        .filter(({ entry }) => isRunning(entry))
        .map(node => createNodeStatus(node, accepted))
        .toSorted((left, right) => compareText(left.zone, right.zone) || compareText(left.node, right.node));
    const knownNodes = nodes.filter(node => node.standing !== VersionState.Unknown);
    const knownZones = new Set(knownNodes.map(node => node.zone));
    return {
        accepted,
        acceptedFromStore: input.accepted !== undefined,
        answeredBy: [...new Set(reports.map(report => report.node))],
        unanswered,
        nodes,
        dead: currentNodes
            .filter(({ entry }) => entry.liveness === Liveness.Dead)
            .map(({ entry }) => entry.node)
            .toSorted(),
        unknownZones: [...new Set(nodes.map(node => node.zone))].filter(zone => !knownZones.has(zone)),
        inForceCount: nodes.filter(node => node.standing === VersionState.InForce).length,
        heardCount: knownNodes.length,
        unknownCount: nodes.length - knownNodes.length,
    };
}

/** Whether every node with known state has the version or a newer one; `false` if no state is known. */
export function isInForceEverywhere(view: StatusView): boolean {
    return view.heardCount > 0 && view.nodes.every(node => {
        switch (node.standing) {
            case VersionState.InForce:
            case VersionState.Newer:
            case VersionState.Unknown:
                return true;
            case VersionState.Behind:
            case VersionState.Refused:
            case VersionState.Diverged:
                return false;
            default:
                return assertNever(node.standing);
        }
    });
}

function findHighestHead(reports: readonly StatusReport[]): ConfigurationHead | undefined {
    const heads = reports.flatMap(({ version, digest, heardHead }) => {
        const activeHeads = version > 0 ? [{ version, digest }] : [];
        return heardHead === undefined ? activeHeads : [...activeHeads, heardHead];
    });
    return heads.toSorted((left, right) => right.version - left.version)[0];
}

function mergeReports(reports: readonly StatusReport[]): readonly MergedNode[] {
    const merged = new Map<string, MergedNode>();
    for (const report of reports) {
        for (const { entry, zoneUnreachable } of report.members) {
            const existing = merged.get(entry.node);
            merged.set(entry.node, {
                entry: existing === undefined || isNewer(entry, existing.entry) ? entry : existing.entry,
                reachable: (existing?.reachable ?? false) || !zoneUnreachable,
            });
        }
    }
    for (const report of reports) {
        merged.set(report.node, mergeSelfReport(report, merged.get(report.node)?.entry));
    }
    return [...merged.values()];
}

/** A node that responded is alive, and its report is at least as recent as the tables of other nodes. */
function mergeSelfReport(report: StatusReport, entry: Entry | undefined): MergedNode {
    const { node, zone, version, digest } = report;
    const base = entry ?? {
        host: "",
        region: "",
        controlAddress: "",
        callAddress: "",
        incarnation: 0,
        revision: 0,
        refusal: undefined,
        targets: [],
    };
    const liveness = entry?.liveness === Liveness.Left ? Liveness.Left : Liveness.Alive;
    return { entry: { ...base, node, zone, version, digest, liveness }, reachable: true };
}

function isNewer(candidate: Entry, other: Entry): boolean {
    const difference = candidate.incarnation - other.incarnation
        || candidate.revision - other.revision
        || livenessOrder[candidate.liveness] - livenessOrder[other.liveness];
    return difference > 0;
}

/** Removes nodes whose host runs a process with a higher incarnation. */
function removeReplacedNodes(nodes: readonly MergedNode[]): readonly MergedNode[] {
    const latest = new Map<string, number>();
    for (const { entry } of nodes) {
        latest.set(entry.host, Math.max(latest.get(entry.host) ?? 0, entry.incarnation));
    }
    return nodes.filter(({ entry }) => entry.host === "" || entry.incarnation === latest.get(entry.host));
}

function isRunning(entry: Entry): boolean {
    return entry.liveness === Liveness.Alive || entry.liveness === Liveness.Suspect;
}

function createNodeStatus({ entry, reachable }: MergedNode, accepted: ConfigurationHead | undefined): NodeStatus {
    const { node, host, zone, controlAddress, version, digest } = entry;
    const refusesAccepted = entry.refusal?.version === accepted?.version && entry.refusal?.digest === accepted?.digest;
    const refusal = refusesAccepted ? entry.refusal : undefined;
    const unknownReason = describeUnknownReason(entry, reachable);
    const standing = unknownReason === undefined ? classifyVersion(entry, accepted, refusal) : VersionState.Unknown;
    return { node, host, zone, controlAddress, standing, version, digest, refusal, unknownReason };
}

function describeUnknownReason(entry: Entry, reachable: boolean): string | undefined {
    if (!reachable) {
        return `zone ${entry.zone} is unreachable`;
    }
    return entry.liveness === Liveness.Suspect ? "suspected of failure" : undefined;
}

function classifyVersion(
    entry: Entry,
    accepted: ConfigurationHead | undefined,
    refusal: ReportedRefusal | undefined,
): VersionState {
    const acceptedVersion = accepted?.version ?? 0;
    if (entry.version > acceptedVersion) {
        return VersionState.Newer;
    }
    if (entry.version === acceptedVersion && accepted !== undefined) {
        return entry.digest === accepted.digest ? VersionState.InForce : VersionState.Diverged;
    }
    return refusal === undefined ? VersionState.Behind : VersionState.Refused;
}

function compareText(left: string, right: string): number {
    return left < right ? -1 : Number(left > right);
}
