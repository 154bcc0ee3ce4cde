/**
 * Combines the answers of several nodes into one view of a version. It states what was heard and nothing beyond it.
 */
import { assertNever } from "@bilberrycroft/core.errors";
import { type Entry, Liveness, type ReportedRefusal } from "@bilberrycroft/coordination.membership";
import type { ConfigurationHead } from "@bilberrycroft/state.snapshots";
import { type NodeAnswer, NodeAnswerKind, type StatusReport } from "./nodeClient";

/** How a node stands towards the accepted version. */
export enum Standing {
    InForce = "in force",
    /** Has a later version, which was accepted after the store was read. */
    Newer = "newer",
    /** Has an earlier version and did not refuse the accepted one. */
    Behind = "behind",
    Refused = "refused",
    /** Has another snapshot under the same version number. */
    Diverged = "diverged",
    /** Cannot be reached; its last known version is shown. */
    Unknown = "unknown",
}

/** One node of the view. */
export interface NodeStanding {
    readonly node: string;
    readonly host: string;
    readonly zone: string;
    readonly controlAddress: string;
    readonly standing: Standing;
    /** Version in force when the node was last heard; 0 before the first. */
    readonly version: number;
    readonly digest: string;
    readonly refusal: ReportedRefusal | undefined;
    /** Why the node's state is unknown. */
    readonly unknownReason: string | undefined;
}

/** A configured node that did not answer. */
export interface UnansweredAddress {
    readonly address: string;
    readonly reason: string;
}

/** The state of one version across the mesh, as far as it was heard. */
export interface StatusView {
    /** `undefined` if neither the store nor a node told of a version. */
    readonly accepted: ConfigurationHead | undefined;
    /** `false` if the store could not be read and `accepted` is the highest version that a node heard of. */
    readonly acceptedFromStore: boolean;
    /** Nodes that answered. */
    readonly answeredBy: readonly string[];
    readonly unanswered: readonly UnansweredAddress[];
    /** Sorted by zone and node; without nodes that are dead or left. */
    readonly nodes: readonly NodeStanding[];
    /** Nodes declared dead whose host was not replaced. */
    readonly dead: readonly string[];
    /** Zones of which no node's state is known. */
    readonly unknownZones: readonly string[];
    readonly inForceCount: number;
    /** Nodes whose state is known. */
    readonly heardCount: number;
    readonly unknownCount: number;
}

/** What a view is computed from. */
export interface StatusInput {
    /** The accepted version as the store has it; `undefined` if the store could not be read or has none. */
    readonly accepted: ConfigurationHead | undefined;
    readonly answers: readonly NodeAnswer<StatusReport>[];
}

/** A node as heard from all answers together. */
interface HeardNode {
    readonly entry: Entry;
    /** Some answering node reaches the entry's zone, or the node answered itself. */
    readonly reachable: boolean;
}

/** At equal incarnation and revision the worse claim wins, as it does between nodes. */
const livenessOrder: Readonly<Record<Liveness, number>> = {
    [Liveness.Alive]: 0,
    [Liveness.Suspect]: 1,
    [Liveness.Dead]: 2,
    [Liveness.Left]: 3,
};

/** Computes the view. */
export function computeStatus(input: StatusInput): StatusView {
    const reports: StatusReport[] = [];
    const unanswered: UnansweredAddress[] = [];
    for (const answer of input.answers) {
        if (answer.kind === NodeAnswerKind.Answered) {
            reports.push(answer.report);
        }
        else {
            unanswered.push({ address: answer.address, reason: answer.reason });
        }
    }
    const accepted = input.accepted ?? findHighestHead(reports);
    const present = dropReplaced(mergeReports(reports));
    const nodes = present
        .filter(({ entry }) => isRunning(entry))
        .map(node => describeNode(node, accepted))
        .toSorted((left, right) => compareText(left.zone, right.zone) || compareText(left.node, right.node));
    const known = nodes.filter(node => node.standing !== Standing.Unknown);
    const knownZones = new Set(known.map(node => node.zone));
    return {
        accepted,
        acceptedFromStore: input.accepted !== undefined,
        answeredBy: [...new Set(reports.map(report => report.node))],
        unanswered,
        nodes,
        dead: present.filter(({ entry }) => entry.liveness === Liveness.Dead).map(({ entry }) => entry.node).toSorted(),
        unknownZones: [...new Set(nodes.map(node => node.zone))].filter(zone => !knownZones.has(zone)),
        inForceCount: nodes.filter(node => node.standing === Standing.InForce).length,
        heardCount: known.length,
        unknownCount: nodes.length - known.length,
    };
}

/** Whether every node heard from has the version or a later one. With no node heard from, nothing is confirmed. */
export function isInForceEverywhere(view: StatusView): boolean {
    return view.heardCount > 0 && view.nodes.every(node => {
        switch (node.standing) {
            case Standing.InForce:
            case Standing.Newer:
            case Standing.Unknown:
                return true;
            case Standing.Behind:
            case Standing.Refused:
            case Standing.Diverged:
                return false;
            default:
                return assertNever(node.standing);
        }
    });
}

function findHighestHead(reports: readonly StatusReport[]): ConfigurationHead | undefined {
    const heads = reports.flatMap(({ version, digest, heardHead }) => {
        const own = version > 0 ? [{ version, digest }] : [];
        return heardHead === undefined ? own : [...own, heardHead];
    });
    return heads.toSorted((left, right) => right.version - left.version)[0];
}

function mergeReports(reports: readonly StatusReport[]): readonly HeardNode[] {
    const heard = new Map<string, HeardNode>();
    for (const report of reports) {
        for (const { entry, zoneUnreachable } of report.members) {
            const earlier = heard.get(entry.node);
            heard.set(entry.node, {
                entry: earlier === undefined || isNewer(entry, earlier.entry) ? entry : earlier.entry,
                reachable: (earlier?.reachable ?? false) || !zoneUnreachable,
            });
        }
    }
    for (const report of reports) {
        heard.set(report.node, mergeOwnReport(report, heard.get(report.node)?.entry));
    }
    return [...heard.values()];
}

/** A node that answered is alive, and its own answer is at least as recent as any table. */
function mergeOwnReport(report: StatusReport, entry: Entry | undefined): HeardNode {
    const { node, zone, version, digest } = report;
    const known = entry ?? {
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
    return { entry: { ...known, node, zone, version, digest, liveness }, reachable: true };
}

function isNewer(candidate: Entry, other: Entry): boolean {
    const difference = candidate.incarnation - other.incarnation
        || candidate.revision - other.revision
        || livenessOrder[candidate.liveness] - livenessOrder[other.liveness];
    return difference > 0;
}

/** Drops nodes whose host runs a later process. */
function dropReplaced(nodes: readonly HeardNode[]): readonly HeardNode[] {
    const latest = new Map<string, number>();
    for (const { entry } of nodes) {
        latest.set(entry.host, Math.max(latest.get(entry.host) ?? 0, entry.incarnation));
    }
    return nodes.filter(({ entry }) => entry.host === "" || entry.incarnation === latest.get(entry.host));
}

function isRunning(entry: Entry): boolean {
    return entry.liveness === Liveness.Alive || entry.liveness === Liveness.Suspect;
}

function describeNode({ entry, reachable }: HeardNode, accepted: ConfigurationHead | undefined): NodeStanding {
    const { node, host, zone, controlAddress, version, digest } = entry;
    const refusesAccepted = entry.refusal?.version === accepted?.version && entry.refusal?.digest === accepted?.digest;
    const refusal = refusesAccepted ? entry.refusal : undefined;
    const unknownReason = describeUnknown(entry, reachable);
    const standing = unknownReason === undefined ? judgeVersion(entry, accepted, refusal) : Standing.Unknown;
    return { node, host, zone, controlAddress, standing, version, digest, refusal, unknownReason };
}

function describeUnknown(entry: Entry, reachable: boolean): string | undefined {
    if (!reachable) {
        return `zone ${entry.zone} is unreachable`;
    }
    return entry.liveness === Liveness.Suspect ? "suspected of failure" : undefined;
}

function judgeVersion(
    entry: Entry,
    accepted: ConfigurationHead | undefined,
    refusal: ReportedRefusal | undefined,
): Standing {
    const acceptedVersion = accepted?.version ?? 0;
    if (entry.version > acceptedVersion) {
        return Standing.Newer;
    }
    if (entry.version === acceptedVersion && accepted !== undefined) {
        return entry.digest === accepted.digest ? Standing.InForce : Standing.Diverged;
    }
    return refusal === undefined ? Standing.Behind : Standing.Refused;
}

function compareText(left: string, right: string): number {
    return left < right ? -1 : Number(left > right);
}
