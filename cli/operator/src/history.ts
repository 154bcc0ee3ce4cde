/**
 * Reads the version history, newest first, with the changes of each version.
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

export interface HistoryEntry {
    readonly version: number;
    readonly parent: number;
    readonly digest: string;
    readonly operator: string;
    readonly acceptedAt: Milliseconds;
    readonly changeId: string;
    /** Whether this is the accepted version. */
    readonly current: boolean;
    /** `undefined` if the replaced version was not read or one of the two texts cannot be parsed. */
    readonly changes: readonly RuleChange[] | undefined;
}

export type HistoryOutcome =
    | {
        readonly kind: RecordOutcomeKind.Found;
        readonly entries: readonly HistoryEntry[];
        /** Records that are not valid snapshots. */
        readonly broken: readonly BrokenRecord[];
    }
    | UnavailableRecord;

/** Reads the newest `limit` versions, and one more record to compute the changes of the oldest listed version. */
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
    // The accepted version may already be archived by an update that archived it and then lost the race.
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
    const entries = snapshots.slice(0, limit).map(snapshot => createHistoryEntry(snapshot, snapshots, currentVersion));
    return { kind: RecordOutcomeKind.Found, entries, broken };
}

/** Reads an accepted or archived version; `undefined` if it does not exist. */
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

function createHistoryEntry(
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
