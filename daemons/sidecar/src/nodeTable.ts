import { isDeepStrictEqual } from "node:util";
import {
    type AnnouncedCompletion,
    type AnnouncedCrash,
    isRolloutPlanName,
    type NodeEntry,
    parseNodeEntry,
    parseRolloutPlan,
    type RolloutPlan,
    rolloutPlanName,
    TargetPhase,
} from "@bilberrycroft/protocol.forwarding";
import { type CollectionObject, eraOf } from "@bilberrycroft/protocol.store";

/** Result of an update of the table. */
export interface NodeTableChange {
    /** All valid entries. */
    readonly entries: readonly NodeEntry[];
    /** Crashes and completions that an entry reports for the first time. */
    readonly reports: readonly EntryReports[];
    /** Names of changed objects that are not valid entries. */
    readonly malformed: readonly string[];
    /** Plans of rollouts, which are objects of the same collection. */
    readonly plans: readonly StoredPlan[];
}

/** What a node reports of requests that were in flight at crashes. */
export interface EntryReports {
    readonly node: string;
    readonly crashes: readonly AnnouncedCrash[];
    readonly completions: readonly AnnouncedCompletion[];
}

/** A plan with the revision on which the next write depends. */
export interface StoredPlan {
    readonly plan: RolloutPlan;
    readonly revision: number;
}

/** Decodes an object of the collection: an entry or, where rollouts are enabled, a plan. */
export function decodeNodeObject(value: unknown, usesRollouts: boolean): NodeEntry | RolloutPlan | undefined {
    return parseNodeEntry(value) ?? (usesRollouts ? parseRolloutPlan(value) : undefined);
}

interface ParsedEntry {
    readonly object: CollectionObject;
    readonly entry: NodeEntry | undefined;
    readonly plan?: RolloutPlan | undefined;
}

/**
 * Returns the entry with its target draining if it was so before the store came back from a copy: an acknowledged
 * departure is binding, and the target's node may not have written it again yet.
 */
function keepDraining(entry: NodeEntry, { revision }: CollectionObject, known: ParsedEntry | undefined): NodeEntry {
    const { target } = entry;
    const knownTarget = known?.entry?.target;
    const wasDraining = knownTarget?.phase === TargetPhase.Draining
        && knownTarget.id === target?.id && knownTarget.startedAt === target.startedAt;
    return target !== undefined && wasDraining && known !== undefined && eraOf(known.object.revision) < eraOf(revision)
        ? { ...entry, target: { ...target, phase: TargetPhase.Draining } }
        : entry;
}

/** Parsed entries of all nodes. */
export class NodeTable {
    private parsedEntries = new Map<string, ParsedEntry>();

    /** Replaces the content with `objects`, which are all objects of the collection. Parses only those that changed. */
    update(objects: ReadonlyMap<string, CollectionObject>): NodeTableChange {
        const previous = this.parsedEntries;
        const parsedEntries = new Map<string, ParsedEntry>();
        const reports: EntryReports[] = [];
        const malformed: string[] = [];
        for (const [name, object] of objects) {
            const existing = previous.get(name);
            if (existing?.object.revision === object.revision) {
                parsedEntries.set(name, existing);
                continue;
            }
            if (isRolloutPlanName(name)) {
                const plan = parseRolloutPlan(object.value);
                const isNamed = plan !== undefined && rolloutPlanName(plan.service) === name;
                parsedEntries.set(name, { object, entry: undefined, plan: isNamed ? plan : undefined });
                malformed.push(...isNamed ? [] : [name]);
                continue;
            }
            const parsed = parseNodeEntry(object.value);
            const entry = parsed?.node === name ? keepDraining(parsed, object, existing) : undefined;
            parsedEntries.set(name, { object, entry });
            if (entry === undefined) {
                malformed.push(name);
                continue;
            }
            const newCrashes = entry.crashes.filter(crash => !existing?.entry?.crashes.some(({ at, fingerprint }) =>
                at === crash.at && fingerprint === crash.fingerprint));
            const newCompletions = (entry.completions ?? []).filter(completion =>
                !existing?.entry?.completions?.some(known => isDeepStrictEqual(known, completion)));
            if (newCrashes.length + newCompletions.length > 0) {
                reports.push({ node: name, crashes: newCrashes, completions: newCompletions });
            }
        }
        this.parsedEntries = parsedEntries;
        const entries = [...parsedEntries.values()].flatMap(({ entry }) => entry === undefined ? [] : [entry]);
        const plans = [...parsedEntries.values()].flatMap(({ object: { revision }, plan }) =>
            plan === undefined ? [] : [{ plan, revision }]);
        return { entries, reports, malformed, plans };
    }
}
