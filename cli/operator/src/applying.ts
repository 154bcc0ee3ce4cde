/**
 * Creates a new version of the configuration by compare-and-set. If the response of a write is lost, the stored
 * configuration is read back. An update never takes effect twice and is never reported as failed after it took effect.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import {
    configurationHistoryKey,
    currentConfigurationKey,
    maxObjectBytes,
    type Store,
    StoreOutcomeKind,
    type WriteCondition,
    WriteConditionKind,
} from "@bilberrycroft/protocol.store";
import {
    parseRules,
    type RuleChange,
    RuleParseKind,
    type RuleProblem,
    RuleProblemCode,
    type RuleSet,
    compareRules,
} from "@bilberrycroft/state.rules";
import { createSnapshot, type Snapshot } from "@bilberrycroft/state.snapshots";
import { type ConflictReport, createConflictReport } from "./conflicts";
import {
    type BrokenRecord,
    type FoundRecord,
    listArchivedVersions,
    readArchived,
    readCurrent,
    RecordOutcomeKind,
    type UnavailableRecord,
} from "./records";

/** Maximum attempts of one write. A commit that conflicts or has an unknown outcome is followed by a read-back. */
const maxWriteAttempts = 4;
const retryDelayMs = 500;

/** Dependencies of the commands that change the configuration. */
export interface OperatorContext {
    readonly store: Store;
    readonly clock: Clock;
    /** Recorded as the author of new versions. */
    readonly operator: string;
    /** Returns a new identifier for each update. */
    createChangeId(): string;
    sleep(duration: Milliseconds): Promise<void>;
}

export interface ApplyRequest {
    readonly text: string;
    /** Version that the operator edited; by default the version that is accepted when the command starts. */
    readonly base?: number;
}

export enum ApplyOutcomeKind {
    Applied = "applied",
    /** The accepted version already has this text. */
    Unchanged = "unchanged",
    Refused = "refused",
    Conflict = "conflict",
    StoreUnavailable = "store unavailable",
    BrokenRecord = "broken record",
    /** The update may have taken effect. */
    Unknown = "unknown",
}

/** The update took effect. */
export interface AppliedUpdate {
    readonly kind: ApplyOutcomeKind.Applied;
    readonly snapshot: Snapshot;
    readonly changes: readonly RuleChange[];
    /** Newer version that another operator applied before this update was confirmed. */
    readonly supersededBy: number | undefined;
}

export type ApplyOutcome =
    | AppliedUpdate
    | { readonly kind: ApplyOutcomeKind.Unchanged; readonly snapshot: Snapshot }
    | { readonly kind: ApplyOutcomeKind.Refused; readonly problems: readonly RuleProblem[] }
    | { readonly kind: ApplyOutcomeKind.Conflict; readonly conflict: ConflictReport }
    | { readonly kind: ApplyOutcomeKind.StoreUnavailable; readonly reason: string }
    | { readonly kind: ApplyOutcomeKind.BrokenRecord; readonly key: string; readonly reason: string }
    | {
        readonly kind: ApplyOutcomeKind.Unknown;
        readonly version: number;
        readonly changeId: string;
        readonly reason: string;
    };

/** Version that an update replaces. */
interface ReplacedVersion {
    readonly kind: RecordOutcomeKind.Found;
    /** Accepted snapshot; `undefined` if there is none or it was deleted. */
    readonly record: FoundRecord | undefined;
    /** Accepted version, or the newest archived one; 0 if there is neither. */
    readonly version: number;
    readonly nextVersion: number;
}

interface Update {
    readonly base: ReplacedVersion;
    readonly next: Snapshot;
    readonly value: string;
    readonly rules: RuleSet;
}

enum ReadBackKind {
    Applied = "applied",
    OtherChange = "other",
    NotApplied = "not applied",
    Unreadable = "unreadable",
}

type ReadBack =
    | { readonly kind: ReadBackKind.Applied; readonly supersededBy: number | undefined }
    | { readonly kind: ReadBackKind.OtherChange; readonly current: Snapshot }
    | { readonly kind: ReadBackKind.NotApplied }
    | { readonly kind: ReadBackKind.Unreadable; readonly reason: string };

/** Validates the rules and stores them as the next version. */
export async function applyRules(context: OperatorContext, request: ApplyRequest): Promise<ApplyOutcome> {
    const parse = parseRules(request.text);
    if (parse.kind === RuleParseKind.Refused) {
        return { kind: ApplyOutcomeKind.Refused, problems: parse.problems };
    }
    const base = await readBase(context.store);
    if (base.kind !== RecordOutcomeKind.Found) {
        return toFailedOutcome(base);
    }
    const snapshot = base.record?.snapshot;
    // Compared before the base is checked, so that a retry after an unknown outcome does not conflict with itself.
    if (snapshot?.text === request.text) {
        return { kind: ApplyOutcomeKind.Unchanged, snapshot };
    }
    if (request.base !== undefined && request.base !== base.version) {
        const details = { baseVersion: request.base, base: undefined, current: snapshot, proposed: parse.rules };
        return { kind: ApplyOutcomeKind.Conflict, conflict: await createConflictReport(context.store, details) };
    }
    const next = createSnapshot({
        version: base.nextVersion,
        parent: base.version,
        text: request.text,
        changeId: context.createChangeId(),
        operator: context.operator,
        acceptedAt: context.clock.wallTime(),
    });
    const update: Update = { base, next, value: JSON.stringify(next), rules: parse.rules };
    const bytes = Buffer.byteLength(update.value);
    if (bytes > maxObjectBytes) {
        return { kind: ApplyOutcomeKind.Refused, problems: [createOversizeProblem(bytes)] };
    }
    return await archiveBase(context, base.record) ?? commitUpdate(context, update);
}

/** A text within the limit can exceed it in JSON, where a line break or a quote takes two bytes. */
function createOversizeProblem(bytes: number): RuleProblem {
    return {
        code: RuleProblemCode.TooLarge,
        line: 1,
        column: 1,
        reason: `the encoded snapshot has ${bytes} bytes; the store accepts at most ${maxObjectBytes}`,
        hint: "Remove rules or shorten their comments.",
        requester: undefined,
    };
}

/** Converts a failed read of a snapshot to the outcome of the command. */
export function toFailedOutcome(read: BrokenRecord | UnavailableRecord): ApplyOutcome {
    return read.kind === RecordOutcomeKind.Broken
        ? { kind: ApplyOutcomeKind.BrokenRecord, key: read.key, reason: read.reason }
        : { kind: ApplyOutcomeKind.StoreUnavailable, reason: read.reason };
}

/** If the accepted snapshot was deleted, numbering continues above its version, so that no version is used twice. */
async function readBase(store: Store): Promise<ReplacedVersion | BrokenRecord | UnavailableRecord> {
    const read = await readCurrent(store);
    if (read.kind === RecordOutcomeKind.Found) {
        const { version } = read.snapshot;
        return { kind: RecordOutcomeKind.Found, record: read, version, nextVersion: version + 1 };
    }
    if (read.kind !== RecordOutcomeKind.Absent) {
        return read;
    }
    const archived = await listArchivedVersions(store);
    if (archived.kind !== RecordOutcomeKind.Found) {
        return archived;
    }
    const newest = archived.versions.at(-1) ?? 0;
    // The deleted snapshot had the version after the newest archived one.
    const nextVersion = newest === 0 ? 1 : newest + 2;
    return { kind: RecordOutcomeKind.Found, record: undefined, version: newest, nextVersion };
}

/** Archives the snapshot that the update replaces. Returns `undefined` on success, otherwise the failure. */
async function archiveBase(
    context: OperatorContext,
    record: FoundRecord | undefined,
): Promise<ApplyOutcome | undefined> {
    if (record === undefined) {
        return undefined;
    }
    const key = configurationHistoryKey(record.snapshot.version);
    let reason = "";
    for (let attempt = 0; attempt < maxWriteAttempts; attempt++) {
        const written = await context.store.write(key, record.object.value, { kind: WriteConditionKind.Absent });
        switch (written.kind) {
            case StoreOutcomeKind.Done:
                return undefined;
            case StoreOutcomeKind.Conflict:
                return await checkArchived(context.store, key, record.snapshot);
            case StoreOutcomeKind.Unavailable:
                return { kind: ApplyOutcomeKind.StoreUnavailable, reason: written.reason };
            case StoreOutcomeKind.Unknown:
                reason = written.reason;
                await context.sleep(retryDelayMs);
        }
    }
    return { kind: ApplyOutcomeKind.StoreUnavailable, reason };
}

async function checkArchived(store: Store, key: string, expected: Snapshot): Promise<ApplyOutcome | undefined> {
    const read = await readArchived(store, expected.version);
    switch (read.kind) {
        case RecordOutcomeKind.Found:
            return read.snapshot.digest === expected.digest
                ? undefined
                : { kind: ApplyOutcomeKind.BrokenRecord, key, reason: "the archive has another snapshot of this version" };
        case RecordOutcomeKind.Absent:
            return { kind: ApplyOutcomeKind.BrokenRecord, key, reason: "the archived snapshot was removed" };
        default:
            return toFailedOutcome(read);
    }
}

/**
 * Writes until the outcome is known or the attempts are used up. Retries are safe: the condition is the replaced
 * revision, which the store never uses again, so at most one attempt takes effect.
 */
async function commitUpdate(context: OperatorContext, update: Update): Promise<ApplyOutcome> {
    const { store } = context;
    const condition = toCondition(update.base.record);
    let mayHaveTakenEffect = false;
    let reason = "";
    for (let attempt = 0; attempt < maxWriteAttempts; attempt++) {
        const written = await store.write(currentConfigurationKey, update.value, condition);
        if (written.kind === StoreOutcomeKind.Done) {
            return createAppliedUpdate(update, undefined);
        }
        if (written.kind === StoreOutcomeKind.Unavailable && !mayHaveTakenEffect) {
            return { kind: ApplyOutcomeKind.StoreUnavailable, reason: written.reason };
        }
        mayHaveTakenEffect ||= written.kind === StoreOutcomeKind.Unknown;
        reason = "reason" in written ? written.reason : reason;
        const readBackResult = await readBack(store, update.next);
        if (readBackResult.kind === ReadBackKind.Applied) {
            return createAppliedUpdate(update, readBackResult.supersededBy);
        }
        const lostRace = written.kind === StoreOutcomeKind.Conflict && !mayHaveTakenEffect;
        if (readBackResult.kind === ReadBackKind.OtherChange || lostRace) {
            return await createConflictOutcome(store, update, readBackResult);
        }
        reason = readBackResult.kind === ReadBackKind.Unreadable ? readBackResult.reason : reason;
        await context.sleep(retryDelayMs);
    }
    const { version, changeId } = update.next;
    return { kind: ApplyOutcomeKind.Unknown, version, changeId, reason };
}

function toCondition(replaced: FoundRecord | undefined): WriteCondition {
    return replaced === undefined
        ? { kind: WriteConditionKind.Absent }
        : { kind: WriteConditionKind.Revision, revision: replaced.object.revision };
}

/** Looks up the change in the accepted snapshot or, if the accepted version is newer, in the archive. */
async function readBack(store: Store, next: Snapshot): Promise<ReadBack> {
    const read = await readCurrent(store);
    if (read.kind === RecordOutcomeKind.Absent) {
        return { kind: ReadBackKind.NotApplied };
    }
    if (read.kind !== RecordOutcomeKind.Found) {
        return { kind: ReadBackKind.Unreadable, reason: read.reason };
    }
    const current = read.snapshot;
    if (current.changeId === next.changeId) {
        return { kind: ReadBackKind.Applied, supersededBy: undefined };
    }
    if (current.version <= next.version) {
        const replaced = current.version === next.version;
        return replaced ? { kind: ReadBackKind.OtherChange, current } : { kind: ReadBackKind.NotApplied };
    }
    const archived = await readArchived(store, next.version);
    if (archived.kind !== RecordOutcomeKind.Found) {
        const reason = archived.kind === RecordOutcomeKind.Absent ? "the archive lacks this version" : archived.reason;
        return { kind: ReadBackKind.Unreadable, reason };
    }
    return archived.snapshot.changeId === next.changeId
        ? { kind: ReadBackKind.Applied, supersededBy: current.version }
        : { kind: ReadBackKind.OtherChange, current };
}

function createAppliedUpdate(update: Update, supersededBy: number | undefined): AppliedUpdate {
    const before = parseRules(update.base.record?.snapshot.text ?? "");
    return {
        kind: ApplyOutcomeKind.Applied,
        snapshot: update.next,
        changes: before.kind === RuleParseKind.Accepted ? compareRules(before.rules, update.rules) : [],
        supersededBy,
    };
}

async function createConflictOutcome(store: Store, update: Update, readBackResult: ReadBack): Promise<ApplyOutcome> {
    const conflict = await createConflictReport(store, {
        baseVersion: update.base.version,
        base: update.base.record?.snapshot,
        current: readBackResult.kind === ReadBackKind.OtherChange ? readBackResult.current : undefined,
        proposed: update.rules,
    });
    return { kind: ApplyOutcomeKind.Conflict, conflict };
}
