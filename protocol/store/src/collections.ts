/**
 * Collections of objects of one kind. A collection is read as a whole, watched for changes and written with
 * compare-and-set conditions.
 *
 * `Store` accesses single objects by key. A collection also reports which objects were added and removed. Revisions are
 * positions (see `positions.ts`): comparable over all eras of the store.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import type { StoreOutcomeKind, UnavailableOutcome } from "./types";

export interface CollectionObject {
    readonly name: string;
    /** Store revision of the latest change to the object. */
    readonly revision: number;
    /** Parsed JSON. The shape is not validated, because other processes write too. */
    readonly value: unknown;
    /** What the system tells the writer of the value; parsed JSON, `undefined` if there is none. */
    readonly status?: unknown;
}

export interface CollectionChange {
    readonly object: CollectionObject;
    readonly isRemoved: boolean;
}

/** Outcomes specific to collections. */
export enum CollectionOutcomeKind {
    /** The changes since the requested revision have been compacted; the whole collection must be read again. */
    HistoryGone = "history-gone",
    /** The changes exceed the size of one response; the whole collection, which has pages, must be read again. */
    TooManyChanges = "too-many-changes",
}

export type CollectionRead =
    | {
        readonly kind: StoreOutcomeKind.Done;
        readonly objects: readonly CollectionObject[];
        /** Store revision at the time of the read. */
        readonly revision: number;
    }
    | UnavailableOutcome;

export type CollectionWatch =
    | {
        readonly kind: StoreOutcomeKind.Done;
        readonly changes: readonly CollectionChange[];
        /** Revision from which to continue watching. */
        readonly revision: number;
    }
    | { readonly kind: CollectionOutcomeKind.HistoryGone | CollectionOutcomeKind.TooManyChanges }
    | UnavailableOutcome;

export type CollectionWrite =
    | { readonly kind: StoreOutcomeKind.Done; readonly revision: number }
    /** The condition did not hold. `object` is the current object, if the store returned it. */
    | { readonly kind: StoreOutcomeKind.Conflict; readonly object: CollectionObject | undefined }
    | { readonly kind: StoreOutcomeKind.Absent }
    | { readonly kind: StoreOutcomeKind.Unknown; readonly reason: string }
    | UnavailableOutcome;

export interface CollectionWatchRequest {
    readonly after: number;
    readonly waitMs: Milliseconds;
    /** Ends the wait early with `Unavailable` or `HistoryGone`. */
    readonly signal?: AbortSignal;
}

export interface ObjectCollection {
    read(): Promise<CollectionRead>;
    watch(request: CollectionWatchRequest): Promise<CollectionWatch>;
    create(name: string, value: unknown): Promise<CollectionWrite>;
    replace(name: string, value: unknown, revision: number): Promise<CollectionWrite>;
    /** Replaces the status and leaves the value; the object gets a new revision. */
    replaceStatus(name: string, status: unknown, revision: number): Promise<CollectionWrite>;
    remove(name: string, revision: number): Promise<CollectionWrite>;
}
