/**
 * Text output of the operators' client.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { type RuleChange, RuleChangeKind, type RuleProblem } from "@bilberrycroft/state.rules";
import type { ConflictReport, OtherChange } from "./conflicts";
import type { RuleExplanation } from "./explaining";
import type { HistoryEntry } from "./history";
import { type NodeStanding, Standing, type StatusView } from "./statusView";

/** Largest time that a date can represent. */
const maxDateMs = 8.64e15;
const shownDigestLength = 12;

const changeSigns: Readonly<Record<RuleChangeKind, string>> = {
    [RuleChangeKind.Added]: "+",
    [RuleChangeKind.Removed]: "-",
    [RuleChangeKind.Changed]: "~",
};

/** Replaces control characters: text from the store or from nodes must not control the terminal. */
export function toPrintable(text: string): string {
    return text.replace(/(?![\n\t])\p{Cc}|[\u202a-\u202e\u2066-\u2069]/gu, "\ufffd");
}

/** An instant in ISO 8601. */
export function formatTime(instant: Milliseconds): string {
    return Math.abs(instant) <= maxDateMs ? new Date(instant).toISOString() : `${instant} ms`;
}

/** A problem the way compilers print it, so that editors can jump to it. */
export function formatProblem(file: string, problem: RuleProblem): readonly string[] {
    const { line, column, code, reason, hint, requester } = problem;
    const asked = requester === undefined ? "" : ` (requested by ${requester})`;
    return [`${file}:${line}:${column}: ${code}: ${reason}${asked}`, `    ${hint}`];
}

/** A changed rule: its lines before and after. */
export function formatChange(change: RuleChange): readonly string[] {
    const { before, after, kind, ruleKind, name, line, requester } = change;
    return [
        `${changeSigns[kind]} ${ruleKind} ${name}, ${kind} at line ${line}, requested by ${requester}`,
        ...before === undefined ? [] : [`    before: ${before.text}`],
        ...after === undefined ? [] : [`    after:  ${after.text}`],
    ];
}

/** What other operators changed since the base. */
export function formatConflict(conflict: ConflictReport): readonly string[] {
    const { baseVersion, currentVersion, versions, complete } = conflict;
    return [
        currentVersion === undefined
            ? `Conflict: version ${baseVersion} was replaced. The accepted version could not be read.`
            : `Conflict: your base is version ${baseVersion}, the accepted version is ${currentVersion}.`,
        ...versions.flatMap(({ version, operator, acceptedAt, changes }) => [
            `Version ${version} by ${operator} at ${formatTime(acceptedAt)}:`,
            ...changes.flatMap(change => formatOtherChange(change)).map(line => `  ${line}`),
        ]),
        ...complete ? [] : ["Some versions in between could not be read; further rules may have changed."],
        "Nothing was applied. Merge these changes into your file, then run diff and apply again.",
    ];
}

function formatOtherChange(change: OtherChange): readonly string[] {
    return change.contested ? [...formatChange(change), "    your file changes this rule as well"] : formatChange(change);
}

/** One version of the history. */
export function formatHistoryEntry(entry: HistoryEntry): readonly string[] {
    const { version, operator, acceptedAt, digest, current, changes } = entry;
    const label = current ? " (accepted)" : "";
    return [
        `Version ${version}${label} by ${operator} at ${formatTime(acceptedAt)}, digest ${shorten(digest)}`,
        ...changes === undefined ? ["  changes are not known"] : changes.flatMap(formatChange).map(line => `  ${line}`),
    ];
}

/** The state of the accepted version. */
export function formatStatus(view: StatusView): readonly string[] {
    const { accepted, acceptedFromStore, inForceCount, heardCount, unknownCount } = view;
    const source = acceptedFromStore ? "accepted" : "highest version heard from nodes (the store was not read)";
    const nodes = view.nodes.filter(node => node.standing !== Standing.InForce);
    return [
        accepted === undefined
            ? "No accepted version is known."
            : `Version ${accepted.version}, digest ${shorten(accepted.digest)}: ${source}`,
        heardCount === 0
            ? "No node's state is known."
            : `In force on ${inForceCount} of ${heardCount} nodes heard from; ${unknownCount} unknown`,
        ...nodes.map(formatStanding),
        ...view.unknownZones.map(zone => `Zone ${zone}: unknown, no node of it is reachable`),
        ...view.dead.map(node => `Node ${node}: declared dead and not replaced`),
        ...view.unanswered.map(({ address, reason }) => `No answer from ${address}: ${reason}`),
    ];
}

/** One node. */
export function formatStanding(node: NodeStanding): string {
    const { standing, version, refusal, unknownReason } = node;
    const label = `${node.node} (${node.zone})`;
    switch (standing) {
        case Standing.Unknown:
            return `${label}: unknown, ${unknownReason}; last heard with version ${version}`;
        case Standing.Refused:
            return `${label}: refused at line ${refusal?.line}, requested by ${refusal?.requester}: ${refusal?.reason};`
                + ` version ${version} in force`;
        case Standing.Diverged:
            return `${label}: another snapshot of version ${version} in force, digest ${shorten(node.digest)}`;
        default:
            return `${label}: ${standing}, version ${version}`;
    }
}

/** Origin of a rule and where it is in force. */
export function formatExplanation(explanation: RuleExplanation): readonly string[] {
    const { rule, attribution, presence } = explanation;
    const since = attribution.exact ? "introduced by" : "present since or before";
    return [
        `${rule.kind} ${rule.name}, line ${rule.line}: ${rule.text}`,
        `  requested by ${rule.requester}${rule.reason === undefined ? "" : `: ${rule.reason}`}`,
        `  ${since} version ${attribution.version}, operator ${attribution.operator},`
        + ` ${formatTime(attribution.acceptedAt)}`,
        `  in force on ${listNames(presence.inForce)}`,
        `  not in force on ${listNames(presence.notInForce)}`,
        `  unknown on ${listNames(presence.unknown)}`,
    ];
}

function listNames(names: readonly string[]): string {
    return names.length === 0 ? "no node" : `${names.length}: ${names.join(", ")}`;
}

function shorten(digest: string): string {
    return digest.slice(0, shownDigestLength);
}
