/**
 * Keeps a node's entry in the store equal to what the node wants it to say.
 *
 * Every write names the revision that it replaces, so that a write which the store carries out late changes nothing.
 */
import { isDeepStrictEqual } from "node:util";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { type NodeEntry, parseNodeEntry } from "@bilberrycroft/protocol.forwarding";

/** The entry as the store holds it. */
export interface StoredEntry {
    readonly revision: number;
    readonly value: unknown;
}

/** Kinds of `EntryWrite`. */
export enum EntryWriteKind {
    None = "none",
    Create = "create",
    Replace = "replace",
}

/** Next write, if one is needed. */
export type EntryWrite =
    | { readonly kind: EntryWriteKind.None }
    | { readonly kind: EntryWriteKind.Create; readonly entry: NodeEntry }
    | { readonly kind: EntryWriteKind.Replace; readonly entry: NodeEntry; readonly revision: number };

/** First wait after a write that failed; doubled up to the longest. */
const firstRetryMs: Milliseconds = 150;
const longestRetryMs: Milliseconds = 1_000;

/** The entry of one node. */
export class OwnEntry {
    private desired: NodeEntry | undefined;
    private stored: StoredEntry | undefined;
    private failures = 0;

    /** Sets what the entry is to say. */
    want(entry: NodeEntry): void {
        this.desired = entry;
    }

    /** Takes what the store holds; `undefined` if there is no entry. A revision older than the known one is ignored. */
    storeHolds(stored: StoredEntry | undefined): void {
        const isOlder = stored !== undefined && this.stored !== undefined && stored.revision < this.stored.revision;
        if (!isOlder) {
            this.stored = stored;
        }
    }

    /** The store took a write. */
    written(entry: NodeEntry, revision: number): void {
        this.failures = 0;
        this.storeHolds({ revision, value: entry });
    }

    /** A write failed or its result is unknown; returns the wait before the next try. */
    writeFailed(): Milliseconds {
        this.failures++;
        return Math.min(longestRetryMs, firstRetryMs * 2 ** (this.failures - 1));
    }

    /** Revision of the entry in the store, as far as it is known. */
    get storedRevision(): number | undefined {
        return this.stored?.revision;
    }

    /** Whether the store is known to say what it is to say. */
    get isCurrent(): boolean {
        return this.nextWrite().kind === EntryWriteKind.None;
    }

    /** The write that is needed now. */
    nextWrite(): EntryWrite {
        const { desired, stored } = this;
        if (desired === undefined) {
            return { kind: EntryWriteKind.None };
        }
        if (stored === undefined) {
            return { kind: EntryWriteKind.Create, entry: desired };
        }
        return isDeepStrictEqual(parseNodeEntry(stored.value), parseNodeEntry(toPlain(desired)))
            ? { kind: EntryWriteKind.None }
            : { kind: EntryWriteKind.Replace, entry: desired, revision: stored.revision };
    }
}

/** The entry as it reads back from JSON. */
function toPlain(entry: NodeEntry): unknown {
    return JSON.parse(JSON.stringify(entry));
}
