/**
 * Reads the entries of all nodes as their objects change.
 */
import { type AnnouncedCrash, type NodeEntry, parseNodeEntry } from "@bilberrycroft/protocol.forwarding";
import type { CollectionObject } from "@bilberrycroft/protocol.store";

/** What a change of the collection brought. */
export interface NodeTableChange {
    /** All entries that can be read. */
    readonly entries: readonly NodeEntry[];
    /** Entries that tell of crashes for the first time, with only these crashes. */
    readonly crashes: readonly { readonly node: string; readonly crashes: readonly AnnouncedCrash[] }[];
    /** Names of changed objects that are no entries. */
    readonly malformed: readonly string[];
}

interface ReadEntry {
    readonly object: CollectionObject;
    readonly entry: NodeEntry | undefined;
}

/** Entries of all nodes. */
export class NodeTable {
    private read = new Map<string, ReadEntry>();

    /** Takes all objects of the collection; reads those that changed. */
    take(objects: ReadonlyMap<string, CollectionObject>): NodeTableChange {
        const before = this.read;
        const read = new Map<string, ReadEntry>();
        const crashes: { node: string; crashes: AnnouncedCrash[] }[] = [];
        const malformed: string[] = [];
        for (const [name, object] of objects) {
            const known = before.get(name);
            if (known?.object.revision === object.revision) {
                read.set(name, known);
                continue;
            }
            const parsed = parseNodeEntry(object.value);
            const entry = parsed?.node === name ? parsed : undefined;
            read.set(name, { object, entry });
            if (entry === undefined) {
                malformed.push(name);
                continue;
            }
            const added = entry.crashes.filter(crash => !known?.entry?.crashes.some(({ at, fingerprint }) =>
                at === crash.at && fingerprint === crash.fingerprint));
            if (added.length > 0) {
                crashes.push({ node: name, crashes: added });
            }
        }
        this.read = read;
        const entries = [...read.values()].flatMap(({ entry }) => entry === undefined ? [] : [entry]);
        return { entries, crashes, malformed };
    }
}
