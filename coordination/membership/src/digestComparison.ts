/**
 * Anti-entropy: decides when a zone's table is pulled because gossip missed an update. Digests also differ while
 * updates still arrive, so a pull is due only if a difference persists while the local digest is unchanged.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import { mismatchesBeforePull, minPullIntervalMs } from "./limits";
import type { ZoneDigest } from "./messages";

interface Mismatch {
    localDigest: string;
    count: number;
}

/** Digest mismatches by zone. */
export class DigestComparison {
    private readonly clock: Clock;
    private readonly mismatches = new Map<string, Mismatch>();
    private readonly matchedAt = new Map<string, Milliseconds>();
    private nextPullAt: Milliseconds = 0;

    constructor(clock: Clock) {
        this.clock = clock;
    }

    /** Compares the digests of one zone; true if the zone's table is to be pulled from the peer now. */
    compare(local: ZoneDigest, remoteDigest: string): boolean {
        if (local.digest === remoteDigest) {
            this.mismatches.delete(local.zone);
            return false;
        }
        const existing = this.mismatches.get(local.zone);
        const count = existing?.localDigest === local.digest ? existing.count + 1 : 1;
        this.mismatches.set(local.zone, { localDigest: local.digest, count });
        return count >= mismatchesBeforePull && this.tryStartPull(local.zone);
    }

    /** Records that a member of the zone has the same digest of the zone as this node. */
    recordMatch(zone: string): void {
        this.matchedAt.set(zone, this.clock.now());
    }

    /** Time of the last matching digest from a member of the zone. */
    lastMatchAt(zone: string): Milliseconds | undefined {
        return this.matchedAt.get(zone);
    }

    private tryStartPull(zone: string): boolean {
        const now = this.clock.now();
        if (now < this.nextPullAt) {
            return false;
        }
        this.nextPullAt = now + minPullIntervalMs;
        this.mismatches.delete(zone);
        return true;
    }
}
