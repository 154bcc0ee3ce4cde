import { type AnnouncedCrash, type NodeEntry, parseNodeEntry } from "@bilberrycroft/protocol.forwarding";
import type { CollectionObject } from "@bilberrycroft/protocol.store";

/** Result of an update of the table. */
export interface NodeTableChange {
    /** All valid entries. */
    readonly entries: readonly NodeEntry[];
    /** Crashes that an entry reports for the first time, by node. */
    readonly crashes: readonly { readonly node: string; readonly crashes: readonly AnnouncedCrash[] }[];
    /** Names of changed objects that are not valid entries. */
    readonly malformed: readonly string[];
}

interface ParsedEntry {
    readonly object: CollectionObject;
    readonly entry: NodeEntry | undefined;
}

/** Parsed entries of all nodes. */
export class NodeTable {
    private parsedEntries = new Map<string, ParsedEntry>();

    /** Replaces the content with `objects`, which are all objects of the collection. Parses only those that changed. */
    update(objects: ReadonlyMap<string, CollectionObject>): NodeTableChange {
        const previous = this.parsedEntries;
        const parsedEntries = new Map<string, ParsedEntry>();
        const crashes: { node: string; crashes: AnnouncedCrash[] }[] = [];
        const malformed: string[] = [];
        for (const [name, object] of objects) {
            const existing = previous.get(name);
            if (existing?.object.revision === object.revision) {
                parsedEntries.set(name, existing);
                continue;
            }
            const parsed = parseNodeEntry(object.value);
            const entry = parsed?.node === name ? parsed : undefined;
            parsedEntries.set(name, { object, entry });
            if (entry === undefined) {
                malformed.push(name);
                continue;
            }
            const newCrashes = entry.crashes.filter(crash => !existing?.entry?.crashes.some(({ at, fingerprint }) =>
                at === crash.at && fingerprint === crash.fingerprint));
            if (newCrashes.length > 0) {
                crashes.push({ node: name, crashes: newCrashes });
            }
        }
        this.parsedEntries = parsedEntries;
        const entries = [...parsedEntries.values()].flatMap(({ entry }) => entry === undefined ? [] : [entry]);
        return { entries, crashes, malformed };
    }
}
