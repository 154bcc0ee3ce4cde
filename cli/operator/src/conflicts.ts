/**
 * Explains a lost race: which rules other operators changed since the version that this operator read.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import type { Store } from "@bilberrycroft/protocol.store";
import { compareRules, parseRules, type RuleChange, RuleParseKind, type RuleSet } from "@bilberrycroft/state.rules";
import type { Snapshot } from "@bilberrycroft/state.snapshots";
import { readArchived, RecordOutcomeKind } from "./records";

/** Bounds the reads from the store for one report. */
const maxReportedVersions = 50;

/** A rule that another operator changed. */
export interface OtherChange extends RuleChange {
    /** The refused update changes the same rule. */
    readonly contested: boolean;
}

/** What one version changed. */
export interface VersionChanges {
    readonly version: number;
    readonly operator: string;
    readonly acceptedAt: Milliseconds;
    readonly changes: readonly OtherChange[];
}

/** Why an update lost. */
export interface ConflictReport {
    readonly baseVersion: number;
    /** `undefined` if the accepted version could not be read. */
    readonly currentVersion: number | undefined;
    /** Accepted since the base, in ascending order. */
    readonly versions: readonly VersionChanges[];
    /** `false` if a version between base and current could not be read; changes may then be missing. */
    readonly complete: boolean;
}

/** What a conflict is explained from. */
export interface ConflictRequest {
    readonly baseVersion: number;
    /** The snapshot of the base, if it was read already. */
    readonly base: Snapshot | undefined;
    readonly current: Snapshot | undefined;
    /** Rules of the refused update. */
    readonly own: RuleSet;
}

interface VersionChain {
    /** Ascending; starts with the base if it is known. */
    readonly snapshots: readonly Snapshot[];
    readonly complete: boolean;
}

const noRules: RuleSet = { tenants: new Map(), services: new Map(), routes: new Map() };

/** Lists what changed between the base and the accepted version, by version, operator and requester. */
export async function describeConflict(store: Store, request: ConflictRequest): Promise<ConflictReport> {
    const { baseVersion, current } = request;
    if (current === undefined) {
        return { baseVersion, currentVersion: undefined, versions: [], complete: false };
    }
    const chain = await readChain(store, request, current);
    const first = chain.snapshots.find(snapshot => snapshot.version === baseVersion);
    const ownNames = first === undefined && baseVersion !== 0
        ? new Set<string>()
        : new Set(compareRules(rulesOf(first), request.own).map(nameChange));
    const versions = chain.snapshots.filter(snapshot => snapshot.version > baseVersion);
    return {
        baseVersion,
        currentVersion: current.version,
        versions: versions.map(snapshot => {
            const before = chain.snapshots.find(other => other.version === snapshot.parent);
            const known = before !== undefined || snapshot.parent === 0;
            const changes = known ? compareRules(rulesOf(before), rulesOf(snapshot)) : [];
            const { version, operator, acceptedAt } = snapshot;
            const marked = changes.map(change => ({ ...change, contested: ownNames.has(nameChange(change)) }));
            return { version, operator, acceptedAt, changes: marked };
        }),
        complete: chain.complete && chain.snapshots.every(isReadable),
    };
}

function nameChange(change: RuleChange): string {
    return `${change.ruleKind} ${change.name}`;
}

async function readChain(store: Store, request: ConflictRequest, current: Snapshot): Promise<VersionChain> {
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

function rulesOf(snapshot: Snapshot | undefined): RuleSet {
    const parse = parseRules(snapshot?.text ?? "");
    return parse.kind === RuleParseKind.Accepted ? parse.rules : noRules;
}

function isReadable(snapshot: Snapshot): boolean {
    return parseRules(snapshot.text).kind === RuleParseKind.Accepted;
}
