/**
 * Where a rule comes from and where it is in force.
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
import { type NodeStanding, Standing, type StatusView } from "./statusView";

/** Bounds the reads from the store for one rule. */
const maxHistoryReads = 200;

/** Where one line is in force. */
export interface RulePresence {
    readonly inForce: readonly string[];
    /** Nodes with a version that lacks the line. */
    readonly notInForce: readonly string[];
    /** Nodes that cannot be reached or whose version is not known here. */
    readonly unknown: readonly string[];
}

/** One rule of the accepted version. */
export interface RuleExplanation {
    readonly rule: Rule;
    readonly attribution: Attribution;
    readonly presence: RulePresence;
}

/** Kinds of `ExplainOutcome`. */
export enum ExplainOutcomeKind {
    Explained = "explained",
    NoSuchRule = "no such rule",
    NothingAccepted = "nothing accepted",
}

/** Result of an explanation. */
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

/** Finds the rules that `query` names: a name of any kind, `<kind> <name>`, or a path that a route serves. */
export function findRules(rules: RuleSet, query: string): readonly Rule[] {
    if (query.startsWith("/")) {
        const route = findRoute(rules, query);
        return route === undefined ? [] : [route];
    }
    const all: readonly Rule[] = [...rules.tenants.values(), ...rules.services.values(), ...rules.routes.values()];
    return all.filter(rule => query === rule.name || query === `${rule.kind} ${rule.name}`);
}

/** Explains rules of the accepted version. `readStatus` asks the nodes about that version. */
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
    const found = parse.kind === RuleParseKind.Accepted ? findRules(parse.rules, query) : [];
    if (found.length === 0) {
        return { kind: ExplainOutcomeKind.NoSuchRule, version: snapshot.version };
    }
    const view = await readStatus(snapshot);
    const attributions = await attributeLines(store, snapshot, found.map(rule => rule.text));
    const explanations = found.flatMap(rule => {
        const attribution = attributions.find(({ line }) => line === rule.line);
        return attribution === undefined ? [] : [{ rule, attribution, presence: locateRule(attribution, view) }];
    });
    return { kind: ExplainOutcomeKind.Explained, version: snapshot.version, explanations };
}

/** A line is in force where the version lies between its introduction and the accepted version. */
export function locateRule(attribution: Attribution, view: StatusView): RulePresence {
    const found = { inForce: [] as string[], notInForce: [] as string[], unknown: [] as string[] };
    for (const node of view.nodes) {
        found[judgePresence(node, attribution)].push(node.node);
    }
    return found;
}

function judgePresence(node: NodeStanding, attribution: Attribution): keyof RulePresence {
    switch (node.standing) {
        case Standing.InForce:
            return "inForce";
        case Standing.Behind:
        case Standing.Refused:
            if (node.version >= attribution.version) {
                return "inForce";
            }
            return attribution.exact || node.version === 0 ? "notInForce" : "unknown";
        default:
            // A later or another version may have changed the line.
            return "unknown";
    }
}

/** Reads older versions until each line is missing in one of them, so that the cost follows the age of the lines. */
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
