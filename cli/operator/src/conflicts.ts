/**
 * Explains a compare-and-set conflict: the rules that other operators changed since the base of the refused update.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import type { Store } from "@bilberrycroft/protocol.store";
import { compareRules, parseRules, type RuleChange, RuleParseKind, type RuleSet } from "@bilberrycroft/state.rules";
import type { Snapshot } from "@bilberrycroft/state.snapshots";
import { readArchived, RecordOutcomeKind } from "./records";

/** Limits the reads from the store for one report. */
const maxReportedVersions = 50;

/** A rule that another operator changed. */
export interface ConcurrentChange extends RuleChange {
    /** Whether the refused update changes the same rule. */
    readonly contested: boolean;
}

/** Changes made by one version. */
export interface VersionChanges {
    readonly version: number;
    readonly operator: string;
    readonly acceptedAt: Milliseconds;
    readonly changes: readonly ConcurrentChange[];
}

export interface ConflictReport {
    readonly baseVersion: number;
    /** `undefined` if the accepted version could not be read. */
    readonly currentVersion: number | undefined;
    /** Versions accepted since the base, in ascending order. */
    readonly versions: readonly VersionChanges[];
    /** `false` if a version between base and current could not be read; changes may then be missing. */
    readonly complete: boolean;
}

export interface ConflictRequest {
    readonly baseVersion: number;
    /** Snapshot of the base, if it has already been read. */
    readonly base: Snapshot | undefined;
    readonly current: Snapshot | undefined;
    /** Rules of the refused update. */
    readonly proposed: RuleSet;
}

interface VersionChain {
    /** In ascending order. The first is the base, if it could be read. */
    readonly snapshots: readonly Snapshot[];
    readonly complete: boolean;
}

const noRules: RuleSet = { tenants: new Map(), services: new Map(), routes: new Map() };

/** Lists the changes between the base and the accepted version, by version, with their operators and requesters. */
export async function createConflictReport(store: Store, request: ConflictRequest): Promise<ConflictReport> {
    const { baseVersion, current } = request;
    if (current === undefined) {
        return { baseVersion, currentVersion: undefined, versions: [], complete: false };
    }
    const versionChain = await readVersionChain(store, request, current);
    const baseSnapshot = versionChain.snapshots.find(snapshot => snapshot.version === baseVersion);
    const proposedKeys = baseSnapshot === undefined && baseVersion !== 0
        ? new Set<string>()
        : new Set(compareRules(parseSnapshotRules(baseSnapshot), request.proposed).map(formatRuleKey));
    const versions = versionChain.snapshots.filter(snapshot => snapshot.version > baseVersion);
    return {
        baseVersion,
        currentVersion: current.version,
        versions: versions.map(snapshot => {
            const before = versionChain.snapshots.find(candidate => candidate.version === snapshot.parent);
            const hasParent = before !== undefined || snapshot.parent === 0;
            const changes = hasParent ? compareRules(parseSnapshotRules(before), parseSnapshotRules(snapshot)) : [];
            const { version, operator, acceptedAt } = snapshot;
            const marked = changes.map(change => ({ ...change, contested: proposedKeys.has(formatRuleKey(change)) }));
            return { version, operator, acceptedAt, changes: marked };
        }),
        complete: versionChain.complete && versionChain.snapshots.every(isReadable),
    };
}

function formatRuleKey(change: RuleChange): string {
    return `${change.ruleKind} ${change.name}`;
}

async function readVersionChain(store: Store, request: ConflictRequest, current: Snapshot): Promise<VersionChain> {
    const snapshots = [current];
    let oldest = current;
    while (oldest.version > request.baseVersion && oldest.parent > 0) {
        const parent = oldest.parent;
        if (request.base?.version === parent) {
            snapshots.unshift(request.base);
            return { snapshots, complete: true };
        }
        const read = snapshots.length < maxReportedVersions ? await readArchived(store, parent) : undefined;
        if (read?.kind !== RecordOutcomeKind.Found) {
            return { snapshots, complete: false };
        }
        oldest = read.snapshot;
        snapshots.unshift(oldest);
    }
    return { snapshots, complete: true };
}

function parseSnapshotRules(snapshot: Snapshot | undefined): RuleSet {
    const parse = parseRules(snapshot?.text ?? "");
    return parse.kind === RuleParseKind.Accepted ? parse.rules : noRules;
}

function isReadable(snapshot: Snapshot): boolean {
    return parseRules(snapshot.text).kind === RuleParseKind.Accepted;
}
