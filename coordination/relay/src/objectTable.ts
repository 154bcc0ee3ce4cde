/**
 * A copy of one collection of the store, brought up to date by reads and watches of this node or by what other nodes
 * pass on, in any order.
 */
import { isNumber, isRecord, isText } from "@bilberrycroft/core.json";
import type { CollectionChange, CollectionObject } from "@bilberrycroft/protocol.store";

/** Changes of a collection that one node passes to another. */
export interface ObjectChanges {
    /** Store revision since which all changes are listed; 0 if all objects are. */
    readonly base: number;
    /** Store revision up to which all changes are listed. */
    readonly revision: number;
    /** Revision of the change that came last, a removal included. */
    readonly newestChange: number;
    readonly objects: readonly CollectionObject[];
    /** Names of objects that are gone. */
    readonly removed: readonly string[];
}

/** Removals that are remembered for nodes that have not heard of them. */
const maxRemovals = 256;

interface Removal {
    readonly name: string;
    /** Store revision at which the object was known to be gone. */
    readonly revision: number;
}

/** Objects of one collection. */
export class ObjectTable {
    private objectsByName: ReadonlyMap<string, CollectionObject> = new Map();
    private storeRevision = 0;
    private newest = 0;
    private removals: Removal[] = [];
    /** Removals from this store revision on are all remembered. */
    private removalsSince = 0;

    get objects(): ReadonlyMap<string, CollectionObject> {
        return this.objectsByName;
    }

    /** Store revision up to which all changes are known; 0 before the first read. */
    get revision(): number {
        return this.storeRevision;
    }

    /** Revision of the change that came last. */
    get newestChange(): number {
        return this.newest;
    }

    /** Takes the whole collection as it was at a revision. Returns whether anything is new. */
    replaceAll(objects: readonly CollectionObject[], revision: number): boolean {
        if (revision < this.storeRevision) {
            return false;
        }
        const before = [...this.objectsByName.keys()];
        this.objectsByName = new Map(objects.map(object => [object.name, object]));
        this.removals = [];
        this.removalsSince = revision;
        const isAnyGone = before.some(name => !this.objectsByName.has(name));
        this.advance(isAnyGone ? revision : newestOf(objects), revision);
        return true;
    }

    /** Takes the changes that a watch tells. */
    apply(changes: readonly CollectionChange[], revision: number): void {
        const latest = [...new Map(changes.map(change => [change.object.name, change])).values()];
        this.merge(
            latest.filter(({ isRemoved }) => !isRemoved).map(({ object }) => object),
            latest.filter(({ isRemoved }) => isRemoved).map(({ object }) => object.name),
            revision,
        );
        // The revision of a removed object may be that of its last change; other nodes are to notice its removal too.
        const isAnyGone = changes.some(({ isRemoved }) => isRemoved);
        this.advance(isAnyGone ? revision : newestOf(changes.map(({ object }) => object)), revision);
    }

    /** Takes what another node passes on. Returns whether anything is new. */
    take({ base, revision, newestChange, objects, removed }: ObjectChanges): boolean {
        if (revision <= this.storeRevision || base > this.storeRevision) {
            return false;
        }
        if (base === 0) {
            this.replaceAll(objects, revision);
        }
        else {
            this.merge(objects, removed, revision);
        }
        this.advance(newestChange, revision);
        return true;
    }

    /** All that matters up to a revision is known from elsewhere. */
    advanceTo(revision: number): void {
        this.advance(0, revision);
    }

    /** What a node that knows all changes up to a revision has to be told. */
    changesSince(revision: number): ObjectChanges {
        const objects = [...this.objectsByName.values()];
        const { newestChange, storeRevision } = this;
        if (revision === 0 || revision < this.removalsSince) {
            return { base: 0, revision: storeRevision, newestChange, objects, removed: [] };
        }
        return {
            base: revision,
            revision: storeRevision,
            newestChange,
            objects: objects.filter(object => object.revision > revision),
            // An object that was created anew is not gone.
            removed: this.removals.filter(removal => removal.revision > revision).map(({ name }) => name)
                .filter(name => !this.objectsByName.has(name)),
        };
    }

    private merge(objects: readonly CollectionObject[], removed: readonly string[], revision: number): void {
        const merged = new Map(this.objectsByName);
        for (const name of removed) {
            merged.delete(name);
            // Also of an object that this node never had: others may have it.
            this.removals.push({ name, revision });
        }
        for (const object of objects) {
            const known = merged.get(object.name);
            if (known === undefined || known.revision < object.revision) {
                merged.set(object.name, object);
            }
        }
        this.objectsByName = merged;
        const forgotten = this.removals.splice(0, Math.max(0, this.removals.length - maxRemovals));
        this.removalsSince = forgotten.at(-1)?.revision ?? this.removalsSince;
    }

    private advance(newestChange: number, revision: number): void {
        this.storeRevision = Math.max(this.storeRevision, revision);
        this.newest = Math.max(this.newest, newestChange);
    }
}

function newestOf(objects: readonly CollectionObject[]): number {
    return objects.reduce((newest, { revision }) => Math.max(newest, revision), 0);
}

/** Reads changes that another node sent; `undefined` if any part is missing or of another type. */
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
