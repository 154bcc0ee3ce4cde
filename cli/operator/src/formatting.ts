/**
 * Formats the text output of the operator client.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { type RuleChange, RuleChangeKind, type RuleProblem } from "@bilberrycroft/state.rules";
import type { ConflictReport, ConcurrentChange } from "./conflicts";
import type { RuleExplanation } from "./explaining";
import type { HistoryEntry } from "./history";
import { type NodeStatus, VersionState, type StatusView } from "./statusView";

/** Largest time value of an ECMAScript `Date`. */
const maxDateMs = 8.64e15;
/** Nodes of one zone in the same state that are listed by name. */
const maxListedNodes = 10;
const displayedDigestLength = 12;

const changeSigns: Readonly<Record<RuleChangeKind, string>> = {
    [RuleChangeKind.Added]: "+",
    [RuleChangeKind.Removed]: "-",
    [RuleChangeKind.Changed]: "~",
};

/** Replaces control characters, because text from the store or from nodes must not control the terminal. */
export function toPrintable(text: string): string {
    return text.replace(/(?![\n\t])\p{Cc}|[\u202a-\u202e\u2066-\u2069]/gu, "\ufffd");
}

/** Formats a time in ISO 8601, or in milliseconds if a `Date` cannot represent it. */
export function formatTime(instant: Milliseconds): string {
    return Math.abs(instant) <= maxDateMs ? new Date(instant).toISOString() : `${instant} ms`;
}

/** Formats a problem like a compiler error, so that editors can jump to its position. */
export function formatProblem(file: string, problem: RuleProblem): readonly string[] {
    const { line, column, code, reason, hint, requester } = problem;
    const requestedBy = requester === undefined ? "" : ` (requested by ${requester})`;
    return [`${file}:${line}:${column}: ${code}: ${reason}${requestedBy}`, `    ${hint}`];
}

/** Formats a changed rule with its text before and after. */
export function formatChange(change: RuleChange): readonly string[] {
    const { before, after, kind, ruleKind, name, line, requester } = change;
    return [
        `${changeSigns[kind]} ${ruleKind} ${name}, ${kind} at line ${line}, requested by ${requester}`,
        ...before === undefined ? [] : [`    before: ${before.text}`],
        ...after === undefined ? [] : [`    after:  ${after.text}`],
    ];
}

export function formatConflict(conflict: ConflictReport): readonly string[] {
    const { baseVersion, currentVersion, versions, complete } = conflict;
    return [
        currentVersion === undefined
            ? `Conflict: version ${baseVersion} was replaced. The accepted version could not be read.`
            : `Conflict: your base is version ${baseVersion}, the accepted version is ${currentVersion}.`,
        ...versions.flatMap(({ version, operator, acceptedAt, changes }) => [
            `Version ${version} by ${operator} at ${formatTime(acceptedAt)}:`,
            ...changes.flatMap(change => formatConcurrentChange(change)).map(line => `  ${line}`),
        ]),
        ...complete ? [] : ["Some versions in between could not be read; other rules may have changed as well."],
        "Nothing was applied. Merge these changes into your file, then run diff and apply again.",
    ];
}

function formatConcurrentChange(change: ConcurrentChange): readonly string[] {
    return change.contested ? [...formatChange(change), "    your file also changes this rule"] : formatChange(change);
}

export function formatHistoryEntry(entry: HistoryEntry): readonly string[] {
    const { version, operator, acceptedAt, digest, current, changes } = entry;
    const label = current ? " (accepted)" : "";
    return [
        `Version ${version}${label} by ${operator} at ${formatTime(acceptedAt)}, digest ${shortenDigest(digest)}`,
        ...changes === undefined ? ["  changes unknown"] : changes.flatMap(formatChange).map(line => `  ${line}`),
    ];
}

export function formatStatus(view: StatusView): readonly string[] {
    const { accepted, acceptedFromStore, inForceCount, heardCount, unknownCount } = view;
    const source = acceptedFromStore ? "accepted" : "highest version reported by nodes (the store was not read)";
    return [
        accepted === undefined
            ? "No accepted version is known."
            : `Version ${accepted.version}, digest ${shortenDigest(accepted.digest)}: ${source}`,
        heardCount === 0
            ? "The state of every node is unknown."
            : `In force on ${inForceCount} of ${heardCount} nodes with known state; ${unknownCount} unknown`,
        ...formatZones(view.nodes),
        ...formatDeviatingNodes(view.nodes),
        ...view.unknownZones.map(zone => `Zone ${zone}: unknown, none of its nodes is reachable`),
        ...view.dead.map(node => `Node ${node}: marked as dead and not replaced`),
        ...view.unanswered.map(({ address, reason }) => `No response from ${address}: ${reason}`),
    ];
}

/** One line for each zone, unless there is only one. */
function formatZones(nodes: readonly NodeStatus[]): readonly string[] {
    const zones = groupBy(nodes, ({ zone }) => zone);
    if (zones.size < 2) {
        return [];
    }
    return [...zones].map(([zone, members]) => {
        const states = groupBy(members, ({ standing }) => standing);
        const inForceCount = states.get(VersionState.InForce)?.length ?? 0;
        const others = [...states]
            .filter(([standing]) => standing !== VersionState.InForce)
            .map(([standing, { length }]) => `, ${length} ${standing}`);
        return `Zone ${zone}: ${inForceCount} of ${members.length} nodes in force${others.join("")}`;
    });
}

/** The nodes without the accepted version, with a count instead of names where a zone has many in the same state. */
function formatDeviatingNodes(nodes: readonly NodeStatus[]): readonly string[] {
    const deviating = nodes.filter(({ standing }) => standing !== VersionState.InForce);
    const groups = groupBy(deviating, ({ zone, standing }) => `${zone}: ${standing}`);
    return [...groups].flatMap(([group, members]) => {
        const unlistedCount = members.length - maxListedNodes;
        return [
            ...members.slice(0, maxListedNodes).map(formatNodeStatus),
            ...unlistedCount > 0 ? [`${unlistedCount} more nodes in zone ${group}; "nodes" lists all`] : [],
        ];
    });
}

function groupBy<Item, Key>(items: readonly Item[], getKey: (item: Item) => Key): Map<Key, Item[]> {
    const groups = new Map<Key, Item[]>();
    for (const item of items) {
        const key = getKey(item);
        const group = groups.get(key) ?? [];
        groups.set(key, group);
        group.push(item);
    }
    return groups;
}

export function formatNodeStatus(node: NodeStatus): string {
    const { standing, version, refusal, unknownReason } = node;
    const label = `${node.node} (${node.zone})`;
    switch (standing) {
        case VersionState.Unknown:
            return `${label}: unknown, ${unknownReason}; last known version ${version}`;
        case VersionState.Refused:
            return `${label}: refused at line ${refusal?.line}, requested by ${refusal?.requester}: ${refusal?.reason};`
                + ` version ${version} in force`;
        case VersionState.Diverged:
            return `${label}: another snapshot of version ${version} in force, digest ${shortenDigest(node.digest)}`;
        default:
            return `${label}: ${standing}, version ${version}`;
    }
}

export function formatExplanation(explanation: RuleExplanation): readonly string[] {
    const { rule, attribution, presence } = explanation;
    const origin = attribution.exact ? "introduced by" : "introduced by or before";
    return [
        `${rule.kind} ${rule.name}, line ${rule.line}: ${rule.text}`,
        `  requested by ${rule.requester}${rule.reason === undefined ? "" : `: ${rule.reason}`}`,
        `  ${origin} version ${attribution.version}, operator ${attribution.operator},`
        + ` ${formatTime(attribution.acceptedAt)}`,
        `  in force on ${formatNames(presence.inForce)}`,
        `  not in force on ${formatNames(presence.notInForce)}`,
        `  unknown on ${formatNames(presence.unknown)}`,
    ];
}

function formatNames(names: readonly string[]): string {
    return names.length === 0 ? "no node" : `${names.length}: ${names.join(", ")}`;
}

function shortenDigest(digest: string): string {
    return digest.slice(0, displayedDigestLength);
}
