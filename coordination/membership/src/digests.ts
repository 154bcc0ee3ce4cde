/**
 * Incremental digests of zones. A digest is the XOR of one hash per entry, so that a change costs one hash and not one
 * for each of 670 entries.
 */
import { createHash } from "node:crypto";
import type { ZoneDigest } from "./messages";
import type { Entry } from "./types";

const halfBytes = 3;
const halfHexDigits = 6;

interface SplitHash {
    high: number;
    low: number;
}

/** Zone digests over the live entries. */
export class ZoneDigests {
    private readonly digests = new Map<string, SplitHash>();
    private readonly hashes = new Map<string, SplitHash>();

    /** Replaces the hash of the entry's node in the digest of its zone. */
    put(entry: Entry): void {
        this.remove(entry);
        const hash = hashEntry(entry);
        this.hashes.set(entry.node, hash);
        this.xorIntoZone(entry.zone, hash);
    }

    /** Removes the hash of the entry's node from the digest of its zone. */
    remove(entry: Entry): void {
        const hash = this.hashes.get(entry.node);
        if (hash !== undefined) {
            this.hashes.delete(entry.node);
            this.xorIntoZone(entry.zone, hash);
        }
    }

    digestOf(zone: string): string {
        const digest = this.digests.get(zone) ?? { high: 0, low: 0 };
        return toHex(digest.high) + toHex(digest.low);
    }

    all(): readonly ZoneDigest[] {
        return [...this.digests.keys()].map(zone => ({ zone, digest: this.digestOf(zone) }));
    }

    private xorIntoZone(zone: string, hash: SplitHash): void {
        const digest = this.digests.get(zone) ?? { high: 0, low: 0 };
        digest.high ^= hash.high;
        digest.low ^= hash.low;
        this.digests.set(zone, digest);
    }
}

/** Covers only fields that the described node sets. Liveness is omitted: a suspicion is local and temporary. */
function hashEntry(entry: Entry): SplitHash {
    const bytes = createHash("sha256").update(`${entry.node} ${entry.incarnation} ${entry.revision}`).digest();
    return { high: bytes.readUIntBE(0, halfBytes), low: bytes.readUIntBE(halfBytes, halfBytes) };
}

function toHex(half: number): string {
    return half.toString(16).padStart(halfHexDigits, "0");
}
