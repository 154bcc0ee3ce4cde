/**
 * Cache of recent snapshots as bases of deltas, and a bounded set of digests.
 */
import type { Delta, Snapshot } from "@bilberrycroft/state.snapshots";
import { maxCachedSnapshots, maxRefusedDigests } from "./limits";
import type { SnapshotFunctions } from "./messages";

/** The highest versions that one node had in force, up to `maxCachedSnapshots`. */
export class SnapshotCache {
    private readonly snapshots = new Map<number, Snapshot>();
    private readonly functions: SnapshotFunctions;
    /** Deltas to the newest snapshot by base version; many peers request the same delta. */
    private readonly deltas = new Map<number, Delta>();
    private newest: Snapshot | undefined;

    constructor(functions: SnapshotFunctions) {
        this.functions = functions;
    }

    /** Adds a snapshot and evicts the lowest versions above the limit. */
    add(snapshot: Snapshot): void {
        this.snapshots.set(snapshot.version, snapshot);
        const versions = [...this.snapshots.keys()].sort((left, right) => right - left);
        versions.slice(maxCachedSnapshots).forEach(version => this.snapshots.delete(version));
    }

    get(version: number): Snapshot | undefined {
        return this.snapshots.get(version);
    }

    /** Cached versions in ascending order. */
    versions(): readonly number[] {
        return [...this.snapshots.keys()].sort((left, right) => left - right);
    }

    /** Delta from a base to `next`; `undefined` if the base is not cached or not older. */
    deltaFrom(baseVersion: number, next: Snapshot): Delta | undefined {
        if (this.newest !== next) {
            this.newest = next;
            this.deltas.clear();
        }
        const base = this.snapshots.get(baseVersion);
        if (base === undefined || baseVersion >= next.version) {
            return undefined;
        }
        const delta = this.deltas.get(baseVersion) ?? this.functions.encodeDelta(base, next);
        this.deltas.set(baseVersion, delta);
        return delta;
    }
}

/** A set of up to `maxRefusedDigests` digests that evicts the oldest. */
export class BoundedDigestSet {
    private readonly digests = new Set<string>();

    /** Adds a digest; false if the set already contained it. */
    add(digest: string): boolean {
        const isNew = !this.digests.has(digest);
        this.digests.add(digest);
        for (const oldest of this.digests) {
            if (this.digests.size <= maxRefusedDigests) {
                break;
            }
            this.digests.delete(oldest);
        }
        return isNew;
    }

    has(digest: string): boolean {
        return this.digests.has(digest);
    }
}
