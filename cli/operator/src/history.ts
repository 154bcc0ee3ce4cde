/**
 * Versions, newest first, with what each changed.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import type { Store } from "@bilberrycroft/protocol.store";
import { compareRules, parseRules, type RuleChange, RuleParseKind } from "@bilberrycroft/state.rules";
import type { Snapshot } from "@bilberrycroft/state.snapshots";
import {
    type BrokenRecord,
    type FoundRecord,
    listArchivedVersions,
    readArchived,
    readCurrent,
    RecordOutcomeKind,
    type UnavailableRecord,
} from "./records";

/** One version. */
export interface HistoryEntry {
    readonly version: number;
    readonly parent: number;
    readonly digest: string;
    readonly operator: string;
    readonly acceptedAt: Milliseconds;
    readonly changeId: string;
    /** The version that is accepted now. */
    readonly current: boolean;
    /** `undefined` if the version that it replaced was not read or cannot be parsed. */
    readonly changes: readonly RuleChange[] | undefined;
}

/** Result of reading the history. */
export type HistoryOutcome =
    | {
        readonly kind: RecordOutcomeKind.Found;
        readonly entries: readonly HistoryEntry[];
        /** Versions whose record cannot be used. */
        readonly broken: readonly BrokenRecord[];
    }
    | UnavailableRecord;

/** Reads the newest `limit` versions. One record more is read, to tell what the oldest listed version changed. */
export async function readHistory(store: Store, limit: number): Promise<HistoryOutcome> {
    const current = await readCurrent(store);
    if (current.kind === RecordOutcomeKind.Unavailable) {
        return current;
    }
    const archived = await listArchivedVersions(store);
    if (archived.kind === RecordOutcomeKind.Unavailable) {
        return archived;
    }
    const currentVersion = current.kind === RecordOutcomeKind.Found ? current.snapshot.version : undefined;
    const broken: BrokenRecord[] = current.kind === RecordOutcomeKind.Broken ? [current] : [];
    const snapshots: Snapshot[] = current.kind === RecordOutcomeKind.Found ? [current.snapshot] : [];
    // The accepted version may be archived already by an update that then lost.
    const older = archived.versions.filter(version => version !== currentVersion).toReversed();
    for (const version of older.slice(0, limit + 1 - snapshots.length)) {
        const read = await readArchived(store, version);
        if (read.kind === RecordOutcomeKind.Unavailable) {
            return read;
        }
        if (read.kind === RecordOutcomeKind.Found) {
            snapshots.push(read.snapshot);
        }
        if (read.kind === RecordOutcomeKind.Broken) {
            broken.push(read);
        }
    }
    const entries = snapshots.slice(0, limit).map(snapshot => describeVersion(snapshot, snapshots, currentVersion));
    return { kind: RecordOutcomeKind.Found, entries, broken };
}

/** Reads one version, accepted or archived. */
export async function readVersion(
    store: Store,
    version: number,
): Promise<FoundRecord | BrokenRecord | UnavailableRecord | undefined> {
    const current = await readCurrent(store);
    if (current.kind === RecordOutcomeKind.Found && current.snapshot.version === version) {
        return current;
    }
    const archived = await readArchived(store, version);
    return archived.kind === RecordOutcomeKind.Absent ? undefined : archived;
}

function describeVersion(
    snapshot: Snapshot,
    snapshots: readonly Snapshot[],
    currentVersion: number | undefined,
): HistoryEntry {
    const { version, parent, digest, operator, acceptedAt, changeId } = snapshot;
    const replaced = parent === 0 ? "" : snapshots.find(other => other.version === parent)?.text;
    return {
        version,
        parent,
        digest,
        operator,
        acceptedAt,
        changeId,
        current: version === currentVersion,
        changes: replaced === undefined ? undefined : compareTexts(replaced, snapshot.text),
    };
}

function compareTexts(before: string, after: string): readonly RuleChange[] | undefined {
    const parsedBefore = parseRules(before);
    const parsedAfter = parseRules(after);
    return parsedBefore.kind === RuleParseKind.Accepted && parsedAfter.kind === RuleParseKind.Accepted
        ? compareRules(parsedBefore.rules, parsedAfter.rules)
        : undefined;
}
