/**
 * Interface of the platform store: revisioned objects, compare-and-set writes and watches. Calls never reject; every
 * result, including a failure, is an outcome value.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";

/** Maximum size of a value. */
export const maxObjectBytes = 1_000_000;

export interface StoredObject {
    readonly key: string;
    /** Changes with each write of the object; never reused, not even after a removal. */
    readonly revision: string;
    /** JSON text. */
    readonly value: string;
}

export enum StoreOutcomeKind {
    Done = "done",
    /** The object does not exist. */
    Absent = "absent",
    /** The condition of a write did not hold. */
    Conflict = "conflict",
    /** The call did not take effect. */
    Unavailable = "unavailable",
    /** The write may have taken effect; read the object to find out. */
    Unknown = "unknown",
    /** A watch ended without a change. */
    Unchanged = "unchanged",
}

/** The call did not take effect. */
export interface UnavailableOutcome {
    readonly kind: StoreOutcomeKind.Unavailable;
    readonly reason: string;
}

export type ReadOutcome =
    | { readonly kind: StoreOutcomeKind.Done; readonly object: StoredObject }
    | { readonly kind: StoreOutcomeKind.Absent }
    | UnavailableOutcome;

/** Result of a list; contains keys and revisions, but no values. */
export type ListOutcome =
    | { readonly kind: StoreOutcomeKind.Done; readonly objects: readonly Omit<StoredObject, "value">[] }
    | UnavailableOutcome;

/** Condition under which a write takes effect. */
export type WriteCondition =
    | { readonly kind: WriteConditionKind.Absent }
    | { readonly kind: WriteConditionKind.Revision; readonly revision: string };

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
    | UnavailableOutcome;

export type WatchOutcome =
    | { readonly kind: StoreOutcomeKind.Done; readonly object: StoredObject }
    | { readonly kind: StoreOutcomeKind.Unchanged }
    | UnavailableOutcome;

/** Waits for the next revision of one object. */
export interface WatchRequest {
    readonly key: string;
    /** Revision known to the watcher; `undefined` waits until the object exists. */
    readonly after: string | undefined;
    readonly waitMs: Milliseconds;
    /** Ends the watch early with `Unchanged`. */
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
