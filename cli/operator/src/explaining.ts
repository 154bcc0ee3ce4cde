/**
 * Determines which version introduced a rule and on which nodes the rule is in force.
 */
import type { Store } from "@bilberrycroft/protocol.store";
import {
    attributeRules,
    type Attribution,
    findRoute,
    parseRules,
    type Rule,
    RuleParseKind,
    type RuleSet,
} from "@bilberrycroft/state.rules";
import type { Snapshot } from "@bilberrycroft/state.snapshots";
import { readArchived, readCurrent, RecordOutcomeKind, type BrokenRecord, type UnavailableRecord } from "./records";
import { type NodeStatus, VersionState, type StatusView } from "./statusView";

/** Limits the reads from the store for one command. */
const maxHistoryReads = 200;

/** Nodes, grouped by whether one line of the rules is in force on them. */
export interface RulePresence {
    readonly inForce: readonly string[];
    /** Nodes whose version does not contain the line. */
    readonly notInForce: readonly string[];
    /** Nodes whose state is unknown or whose version may or may not contain the line. */
    readonly unknown: readonly string[];
}

export interface RuleExplanation {
    /** Rule of the accepted version. */
    readonly rule: Rule;
    readonly attribution: Attribution;
    readonly presence: RulePresence;
}

export enum ExplainOutcomeKind {
    Explained = "explained",
    NoSuchRule = "no such rule",
    NothingAccepted = "nothing accepted",
}

export type ExplainOutcome =
    | {
        readonly kind: ExplainOutcomeKind.Explained;
        readonly version: number;
        readonly explanations: readonly RuleExplanation[];
    }
    | { readonly kind: ExplainOutcomeKind.NoSuchRule; readonly version: number }
    | { readonly kind: ExplainOutcomeKind.NothingAccepted }
    | BrokenRecord
    | UnavailableRecord;

/** Finds the rules that match `query`: a rule name of any kind, `<kind> <name>`, or a path that a route serves. */
export function findRules(rules: RuleSet, query: string): readonly Rule[] {
    if (query.startsWith("/")) {
        const route = findRoute(rules, query);
        return route === undefined ? [] : [route];
    }
    const allRules: readonly Rule[] = [...rules.tenants.values(), ...rules.services.values(), ...rules.routes.values()];
    return allRules.filter(rule => query === rule.name || query === `${rule.kind} ${rule.name}`);
}

/** Explains rules of the accepted version. `readStatus` queries the nodes for the state of that version. */
export async function explainRules(
    store: Store,
    query: string,
    readStatus: (accepted: Snapshot) => Promise<StatusView>,
): Promise<ExplainOutcome> {
    const current = await readCurrent(store);
    if (current.kind === RecordOutcomeKind.Absent) {
        return { kind: ExplainOutcomeKind.NothingAccepted };
    }
    if (current.kind !== RecordOutcomeKind.Found) {
        return current;
    }
    const { snapshot } = current;
    const parse = parseRules(snapshot.text);
    const matches = parse.kind === RuleParseKind.Accepted ? findRules(parse.rules, query) : [];
    if (matches.length === 0) {
        return { kind: ExplainOutcomeKind.NoSuchRule, version: snapshot.version };
    }
    const view = await readStatus(snapshot);
    const attributions = await attributeLines(store, snapshot, matches.map(rule => rule.text));
    const explanations = matches.flatMap(rule => {
        const attribution = attributions.find(({ line }) => line === rule.line);
        return attribution === undefined ? [] : [{ rule, attribution, presence: locateRule(attribution, view) }];
    });
    return { kind: ExplainOutcomeKind.Explained, version: snapshot.version, explanations };
}

/** A line is in force on nodes whose version is between the version that introduced it and the accepted version. */
export function locateRule(attribution: Attribution, view: StatusView): RulePresence {
    const presence = { inForce: [] as string[], notInForce: [] as string[], unknown: [] as string[] };
    for (const node of view.nodes) {
        presence[classifyPresence(node, attribution)].push(node.node);
    }
    return presence;
}

function classifyPresence(node: NodeStatus, attribution: Attribution): keyof RulePresence {
    switch (node.standing) {
        case VersionState.InForce:
            return "inForce";
        case VersionState.Behind:
        case VersionState.Refused:
            if (node.version >= attribution.version) {
                return "inForce";
            }
            return attribution.exact || node.version === 0 ? "notInForce" : "unknown";
        default:
            // A newer version or a diverged snapshot may have changed the line.
            return "unknown";
    }
}

/** Reads older versions until one contains none of the lines, so that the cost depends on the age of the lines. */
async function attributeLines(
    store: Store,
    snapshot: Snapshot,
    lines: readonly string[],
): Promise<readonly Attribution[]> {
    const history = [snapshot];
    let oldest = snapshot;
    while (oldest.parent > 0 && history.length < maxHistoryReads && containsAny(oldest, lines)) {
        const read = await readArchived(store, oldest.parent);
        if (read.kind !== RecordOutcomeKind.Found) {
            break;
        }
        oldest = read.snapshot;
        history.push(oldest);
    }
    return attributeRules(history);
}

function containsAny(snapshot: Snapshot, lines: readonly string[]): boolean {
    const present = new Set(snapshot.text.split("\n").map(line => line.trim()));
    return lines.some(line => present.has(line));
}
