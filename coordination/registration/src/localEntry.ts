/**
 * Reconciles a node's entry in the store with the desired entry.
 *
 * Writes are compare-and-set: each one names the revision that it replaces, so a write that the store executes late
 * has no effect.
 */
import { isDeepStrictEqual } from "node:util";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { type NodeEntry, parseNodeEntry } from "@bilberrycroft/protocol.forwarding";

export interface StoredEntry {
    readonly revision: number;
    readonly value: unknown;
}

export enum EntryWriteKind {
    None = "none",
    Create = "create",
    Replace = "replace",
}

export type EntryWrite =
    | { readonly kind: EntryWriteKind.None }
    | { readonly kind: EntryWriteKind.Create; readonly entry: NodeEntry }
    | { readonly kind: EntryWriteKind.Replace; readonly entry: NodeEntry; readonly revision: number };

/** Delay after the first failed write; doubles up to the maximum. */
const initialRetryDelayMs: Milliseconds = 150;
const maxRetryDelayMs: Milliseconds = 1_000;

export class LocalEntry {
    private desired: NodeEntry | undefined;
    private stored: StoredEntry | undefined;
    private failures = 0;

    /** Sets the desired entry. */
    setDesired(entry: NodeEntry): void {
        this.desired = entry;
    }

    /**
     * Sets the stored entry, `undefined` if there is none. Ignored if a newer revision is known. Returns whether the
     * revision was new.
     */
    setStored(stored: StoredEntry | undefined): boolean {
        const known = this.stored?.revision;
        if (stored !== undefined && known !== undefined && stored.revision < known) {
            return false;
        }
        this.stored = stored;
        return stored?.revision !== known;
    }

    /** The store accepted a write. */
    handleWriteSuccess(entry: NodeEntry, revision: number): void {
        this.failures = 0;
        this.setStored({ revision, value: entry });
    }

    /** A write failed or its result is unknown; returns the delay before the retry. */
    handleWriteFailure(): Milliseconds {
        this.failures++;
        return Math.min(maxRetryDelayMs, initialRetryDelayMs * 2 ** (this.failures - 1));
    }

    /** Last known revision of the entry in the store. */
    get storedRevision(): number | undefined {
        return this.stored?.revision;
    }

    /** Whether the stored entry is known to equal the desired one. */
    get isCurrent(): boolean {
        return this.nextWrite().kind === EntryWriteKind.None;
    }

    /** Returns the write that is needed to bring the store up to date. */
    nextWrite(): EntryWrite {
        const { desired, stored } = this;
        if (desired === undefined) {
            return { kind: EntryWriteKind.None };
        }
        if (stored === undefined) {
            return { kind: EntryWriteKind.Create, entry: desired };
        }
        return isDeepStrictEqual(parseNodeEntry(stored.value), parseNodeEntry(toJsonValue(desired)))
            ? { kind: EntryWriteKind.None }
            : { kind: EntryWriteKind.Replace, entry: desired, revision: stored.revision };
    }
}

/** The entry as parsed back from its JSON text. */
function toJsonValue(entry: NodeEntry): unknown {
    return JSON.parse(JSON.stringify(entry));
}
