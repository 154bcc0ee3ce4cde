/**
 * Decides when a zone's table has to be fetched because gossip missed something. While updates still arrive, digests
 * differ anyway; a fetch is due only if a difference lasts while the own digest stays the same.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import { mismatchesBeforePull, pullSpacingMs } from "./limits";
import type { ZoneDigest } from "./messages";

interface Mismatch {
    ownDigest: string;
    count: number;
}

/** Differences of digests by zone. */
export class DigestComparison {
    private readonly clock: Clock;
    private readonly mismatches = new Map<string, Mismatch>();
    private readonly matchedAt = new Map<string, Milliseconds>();
    private nextPullAt: Milliseconds = 0;

    constructor(clock: Clock) {
        this.clock = clock;
    }

    /** Compares one zone; true if its table is to be fetched from the peer now. */
    compare(own: ZoneDigest, theirs: string): boolean {
        if (own.digest === theirs) {
            this.mismatches.delete(own.zone);
            return false;
        }
        const known = this.mismatches.get(own.zone);
        const count = known?.ownDigest === own.digest ? known.count + 1 : 1;
        this.mismatches.set(own.zone, { ownDigest: own.digest, count });
        return count >= mismatchesBeforePull && this.takePull(own.zone);
    }

    /** Notes that a member of a zone has the same table of that zone as this node. */
    noteMatchWithMember(zone: string): void {
        this.matchedAt.set(zone, this.clock.now());
    }

    /** When a member of a zone last confirmed this node's table of that zone. */
    lastMatchWithMember(zone: string): Milliseconds | undefined {
        return this.matchedAt.get(zone);
    }

    private takePull(zone: string): boolean {
        const now = this.clock.now();
        if (now < this.nextPullAt) {
            return false;
        }
        this.nextPullAt = now + pullSpacingMs;
        this.mismatches.delete(zone);
        return true;
    }
}
