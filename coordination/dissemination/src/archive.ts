/**
 * Snapshots that a node holds as bases of deltas, and digests that it refused.
 */
import type { Delta, Snapshot } from "@bilberrycroft/state.snapshots";
import { maxHeldSnapshots, maxRefusedDigests } from "./limits";
import type { SnapshotFunctions } from "./messages";

/** The last few snapshots of one node. */
export class Archive {
    private readonly snapshots = new Map<number, Snapshot>();
    private readonly functions: SnapshotFunctions;
    /** Deltas to the newest snapshot, by version of the base; many peers ask for the same one. */
    private readonly deltas = new Map<number, Delta>();
    private newest: Snapshot | undefined;

    constructor(functions: SnapshotFunctions) {
        this.functions = functions;
    }

    /** Adds a snapshot; the lowest versions give way. */
    add(snapshot: Snapshot): void {
        this.snapshots.set(snapshot.version, snapshot);
        const versions = [...this.snapshots.keys()].sort((left, right) => right - left);
        versions.slice(maxHeldSnapshots).forEach(version => this.snapshots.delete(version));
    }

    /** The snapshot of a version. */
    get(version: number): Snapshot | undefined {
        return this.snapshots.get(version);
    }

    /** Versions held, in ascending order. */
    versions(): readonly number[] {
        return [...this.snapshots.keys()].sort((left, right) => left - right);
    }

    /** Delta from a base to `next`; `undefined` if the base is not held. */
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

/** A bounded set of digests; the oldest give way. */
export class DigestMemory {
    private readonly digests = new Set<string>();

    /** Adds a digest; false if it was there. */
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

    /** Whether the digest is remembered. */
    has(digest: string): boolean {
        return this.digests.has(digest);
    }
}
