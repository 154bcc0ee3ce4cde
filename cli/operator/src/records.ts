/**
 * Reads and verifies snapshots in the platform store.
 */
import {
    configurationHistoryKey,
    configurationHistoryPrefix,
    currentConfigurationKey,
    type Store,
    type StoredObject,
    StoreOutcomeKind,
    type UnavailableOutcome,
} from "@bilberrycroft/protocol.store";
import { RefusalReason, type Snapshot, VerificationKind, verifySnapshot } from "@bilberrycroft/state.snapshots";

export enum RecordOutcomeKind {
    Found = "found",
    Absent = "absent",
    /** The object is not a snapshot, or its digest does not match. */
    Broken = "broken",
    Unavailable = "unavailable",
}

/** A snapshot and the stored object that holds it. */
export interface FoundRecord {
    readonly kind: RecordOutcomeKind.Found;
    readonly snapshot: Snapshot;
    readonly object: StoredObject;
}

/** The object is not a valid snapshot. */
export interface BrokenRecord {
    readonly kind: RecordOutcomeKind.Broken;
    readonly key: string;
    readonly reason: string;
}

/** The store did not respond. */
export interface UnavailableRecord {
    readonly kind: RecordOutcomeKind.Unavailable;
    readonly reason: string;
}

export type RecordOutcome =
    | FoundRecord
    | { readonly kind: RecordOutcomeKind.Absent }
    | BrokenRecord
    | UnavailableRecord;

export type ArchivedVersions =
    | { readonly kind: RecordOutcomeKind.Found; readonly versions: readonly number[] }
    | UnavailableRecord;

/** Reads the accepted snapshot. */
export function readCurrent(store: Store): Promise<RecordOutcome> {
    return readSnapshot(store, currentConfigurationKey);
}

/** Reads an archived snapshot. The accepted snapshot is archived only when an update replaces it. */
export function readArchived(store: Store, version: number): Promise<RecordOutcome> {
    return readSnapshot(store, configurationHistoryKey(version));
}

/** Lists the archived versions in ascending order. */
export async function listArchivedVersions(store: Store): Promise<ArchivedVersions> {
    const listed = await store.list(configurationHistoryPrefix);
    if (listed.kind !== StoreOutcomeKind.Done) {
        return toUnavailable(listed);
    }
    const versions = listed.objects
        .map(object => Number(object.key.slice(configurationHistoryPrefix.length)))
        .filter(version => Number.isSafeInteger(version) && version > 0)
        .toSorted((left, right) => left - right);
    return { kind: RecordOutcomeKind.Found, versions };
}

async function readSnapshot(store: Store, key: string): Promise<RecordOutcome> {
    const read = await store.read(key);
    switch (read.kind) {
        case StoreOutcomeKind.Done:
            return decodeSnapshot(read.object);
        case StoreOutcomeKind.Absent:
            return { kind: RecordOutcomeKind.Absent };
        case StoreOutcomeKind.Unavailable:
            return toUnavailable(read);
    }
}

function toUnavailable(outcome: UnavailableOutcome): UnavailableRecord {
    return { kind: RecordOutcomeKind.Unavailable, reason: outcome.reason };
}

/** A snapshot whose rules the current grammar refuses is still a valid record: it can be shown and replaced. */
function decodeSnapshot(object: StoredObject): RecordOutcome {
    const snapshot = parseJsonObject(object.value) as Snapshot | undefined;
    if (snapshot === undefined) {
        return { kind: RecordOutcomeKind.Broken, key: object.key, reason: "the object is not a JSON object" };
    }
    const verification = verifySnapshot(snapshot);
    if (verification.kind === VerificationKind.Refused && verification.reason !== RefusalReason.BadRules) {
        return { kind: RecordOutcomeKind.Broken, key: object.key, reason: verification.reason };
    }
    return { kind: RecordOutcomeKind.Found, snapshot, object };
}

function parseJsonObject(text: string): object | undefined {
    try {
        const value: unknown = JSON.parse(text);
        return value instanceof Object ? value : undefined;
    }
    catch {
        return undefined;
    }
}
