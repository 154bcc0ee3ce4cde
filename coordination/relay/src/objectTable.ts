/**
 * Replica of one collection of the store. Updates come from this node's reads and watches and from deltas of other
 * nodes, in any order. Removals are kept as tombstones.
 */
import { isNumber, isRecord, isText } from "@bilberrycroft/core.json";
import type { CollectionChange, CollectionObject } from "@bilberrycroft/protocol.store";

/** Delta of a collection that one node sends to another, or a snapshot if `base` is 0. */
export interface ObjectChanges {
    /** Store revision after which all changes are listed; 0 if all objects are listed. */
    readonly base: number;
    /** Store revision up to which all changes are listed. */
    readonly revision: number;
    /** Revision of the latest change, including removals. */
    readonly newestChange: number;
    readonly objects: readonly CollectionObject[];
    /** Names of removed objects. */
    readonly removed: readonly string[];
}

/** Maximum number of tombstones to keep for nodes that have not received them. */
const maxTombstones = 256;

interface Tombstone {
    readonly name: string;
    /** Store revision at which the object was known to be removed. */
    readonly revision: number;
}

export class ObjectTable {
    private objectsByName: ReadonlyMap<string, CollectionObject> = new Map();
    private storeRevision = 0;
    private newestChangeRevision = 0;
    private tombstones: Tombstone[] = [];
    /** All removals after this store revision have a tombstone. */
    private tombstonesSince = 0;

    get objects(): ReadonlyMap<string, CollectionObject> {
        return this.objectsByName;
    }

    /** Store revision up to which all changes are applied; 0 before the first read. */
    get revision(): number {
        return this.storeRevision;
    }

    /** Revision of the latest change. */
    get newestChange(): number {
        return this.newestChangeRevision;
    }

    /** Replaces all objects with a snapshot at a revision. Returns `false` if the snapshot is outdated. */
    replaceAll(objects: readonly CollectionObject[], revision: number): boolean {
        if (revision < this.storeRevision) {
            return false;
        }
        const before = [...this.objectsByName.keys()];
        this.objectsByName = new Map(objects.map(object => [object.name, object]));
        this.tombstones = [];
        this.tombstonesSince = revision;
        const hasRemovals = before.some(name => !this.objectsByName.has(name));
        this.raiseRevisions(hasRemovals ? revision : newestRevisionOf(objects), revision);
        return true;
    }

    /** Applies changes from a watch. */
    apply(changes: readonly CollectionChange[], revision: number): void {
        const latest = [...new Map(changes.map(change => [change.object.name, change])).values()];
        this.merge(
            latest.filter(({ isRemoved }) => !isRemoved).map(({ object }) => object),
            latest.filter(({ isRemoved }) => isRemoved).map(({ object }) => object.name),
            revision,
        );
        // A removed object may carry the revision of its last change, but other nodes must detect the removal too.
        const hasRemovals = changes.some(({ isRemoved }) => isRemoved);
        this.raiseRevisions(hasRemovals ? revision : newestRevisionOf(changes.map(({ object }) => object)), revision);
    }

    /** Applies a delta or snapshot from another node. Returns `false` if it is outdated or its base is unknown. */
    applyRemote({ base, revision, newestChange, objects, removed }: ObjectChanges): boolean {
        if (revision <= this.storeRevision || base > this.storeRevision) {
            return false;
        }
        if (base === 0) {
            this.replaceAll(objects, revision);
        }
        else {
            this.merge(objects, removed, revision);
        }
        this.raiseRevisions(newestChange, revision);
        return true;
    }

    /** Marks all relevant changes up to a revision as known; used if they were received by other means. */
    advanceTo(revision: number): void {
        this.raiseRevisions(0, revision);
    }

    /** Returns the delta for a node that has all changes up to a revision, or a snapshot if tombstones are missing. */
    changesSince(revision: number): ObjectChanges {
        const objects = [...this.objectsByName.values()];
        const { newestChange, storeRevision } = this;
        if (revision === 0 || revision < this.tombstonesSince) {
            return { base: 0, revision: storeRevision, newestChange, objects, removed: [] };
        }
        return {
            base: revision,
            revision: storeRevision,
            newestChange,
            objects: objects.filter(object => object.revision > revision),
            // Excludes objects that were created again after the removal.
            removed: this.tombstones.filter(tombstone => tombstone.revision > revision).map(({ name }) => name)
                .filter(name => !this.objectsByName.has(name)),
        };
    }

    private merge(objects: readonly CollectionObject[], removed: readonly string[], revision: number): void {
        const merged = new Map(this.objectsByName);
        for (const name of removed) {
            // The object may have been created again after these changes, and received from another node since.
            if ((merged.get(name)?.revision ?? 0) <= revision) {
                merged.delete(name);
            }
            // Also for an object that this node never had, because other nodes may have it.
            this.tombstones.push({ name, revision });
        }
        for (const object of objects) {
            const existing = merged.get(object.name);
            if (existing === undefined || existing.revision < object.revision) {
                merged.set(object.name, object);
            }
        }
        this.objectsByName = merged;
        const evicted = this.tombstones.splice(0, Math.max(0, this.tombstones.length - maxTombstones));
        this.tombstonesSince = evicted.at(-1)?.revision ?? this.tombstonesSince;
    }

    private raiseRevisions(newestChange: number, revision: number): void {
        this.storeRevision = Math.max(this.storeRevision, revision);
        this.newestChangeRevision = Math.max(this.newestChangeRevision, newestChange);
    }
}

function newestRevisionOf(objects: readonly CollectionObject[]): number {
    return objects.reduce((newest, { revision }) => Math.max(newest, revision), 0);
}

/** Parses changes from another node; returns `undefined` if any part is missing or has the wrong type. */
export function parseObjectChanges(value: unknown): ObjectChanges | undefined {
    if (!isRecord(value) || !Array.isArray(value.objects) || !Array.isArray(value.removed)) {
        return undefined;
    }
    const { base, revision, newestChange, objects, removed } = value;
    const isValid = isNumber(base) && isNumber(revision) && isNumber(newestChange) && removed.every(isText)
        && objects.every(isCollectionObject);
    return isValid ? { base, revision, newestChange, objects, removed } : undefined;
}

function isCollectionObject(value: unknown): value is CollectionObject {
    return isRecord(value) && isText(value.name) && isNumber(value.revision);
}
