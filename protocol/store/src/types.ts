/**
 * The object interface of the platform store: versions, conditional updates and watches. Every answer is a value.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";

/** Largest value that the store takes. */
export const maxObjectBytes = 1_000_000;

/** One object as the store holds it. */
export interface StoredObject {
    readonly key: string;
    /** Changes with each write of the object; never used again after a removal. */
    readonly revision: string;
    /** JSON text. */
    readonly value: string;
}

/** Kinds of store outcomes. */
export enum StoreOutcomeKind {
    Done = "done",
    /** The object does not exist. */
    Absent = "absent",
    /** The condition of a write did not hold. */
    Conflict = "conflict",
    /** The call did not take effect. */
    Unavailable = "unavailable",
    /** The write may have taken effect; read back. */
    Unknown = "unknown",
    /** A watch ended without a change. */
    Unchanged = "unchanged",
}

/** The store did not take the call. */
export interface UnavailableStore {
    readonly kind: StoreOutcomeKind.Unavailable;
    readonly reason: string;
}

/** Result of a read. */
export type ReadOutcome =
    | { readonly kind: StoreOutcomeKind.Done; readonly object: StoredObject }
    | { readonly kind: StoreOutcomeKind.Absent }
    | UnavailableStore;

/** Result of a list: keys and revisions, without values. */
export type ListOutcome =
    | { readonly kind: StoreOutcomeKind.Done; readonly objects: readonly Omit<StoredObject, "value">[] }
    | UnavailableStore;

/** Condition under which a write takes effect. */
export type WriteCondition =
    | { readonly kind: WriteConditionKind.Absent }
    | { readonly kind: WriteConditionKind.Revision; readonly revision: string };

/** Kinds of `WriteCondition`. */
export enum WriteConditionKind {
    /** The object must not exist. */
    Absent = "absent",
    /** The object must have this revision. */
    Revision = "revision",
}

/** Result of a write or a removal. */
export type WriteOutcome =
    | { readonly kind: StoreOutcomeKind.Done; readonly revision: string }
    | { readonly kind: StoreOutcomeKind.Conflict }
    | { readonly kind: StoreOutcomeKind.Unknown; readonly reason: string }
    | UnavailableStore;

/** Result of a watch. */
export type WatchOutcome =
    | { readonly kind: StoreOutcomeKind.Done; readonly object: StoredObject }
    | { readonly kind: StoreOutcomeKind.Unchanged }
    | UnavailableStore;

/** A watch for the next revision of one object. */
export interface WatchRequest {
    readonly key: string;
    /** Revision that the watcher has; `undefined` waits for the object to exist. */
    readonly after: string | undefined;
    readonly waitMs: Milliseconds;
    /** Ends the watch early; the outcome is then `Unchanged`. */
    readonly signal?: AbortSignal;
}

/** The platform store. */
export interface Store {
    read(key: string): Promise<ReadOutcome>;
    list(prefix: string): Promise<ListOutcome>;
    write(key: string, value: string, condition: WriteCondition): Promise<WriteOutcome>;
    remove(key: string, revision: string): Promise<WriteOutcome>;
    watch(request: WatchRequest): Promise<WatchOutcome>;
}
