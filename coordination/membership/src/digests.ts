/**
 * Digests of zones, kept up to date entry by entry. The digest is the exclusive or of one hash for each entry, so that
 * a change costs one hash and not one for each of 670 entries.
 */
import { createHash } from "node:crypto";
import type { ZoneDigest } from "./messages";
import type { Entry } from "./types";

const halfBytes = 3;
const halfHexDigits = 6;

interface Halves {
    high: number;
    low: number;
}

/** One digest for each zone. */
export class ZoneDigests {
    private readonly zones = new Map<string, Halves>();
    private readonly hashes = new Map<string, Halves>();

    /** Takes the entry into its zone's digest in place of what was there for its node. */
    put(entry: Entry): void {
        this.remove(entry);
        const hash = hashEntry(entry);
        this.hashes.set(entry.node, hash);
        this.toggle(entry.zone, hash);
    }

    /** Takes a node out of its zone's digest. */
    remove(entry: Entry): void {
        const hash = this.hashes.get(entry.node);
        if (hash !== undefined) {
            this.hashes.delete(entry.node);
            this.toggle(entry.zone, hash);
        }
    }

    /** Digest of one zone. */
    digestOf(zone: string): string {
        const halves = this.zones.get(zone) ?? { high: 0, low: 0 };
        return toHex(halves.high) + toHex(halves.low);
    }

    /** Digests of all zones. */
    all(): readonly ZoneDigest[] {
        return [...this.zones.keys()].map(zone => ({ zone, digest: this.digestOf(zone) }));
    }

    private toggle(zone: string, hash: Halves): void {
        const halves = this.zones.get(zone) ?? { high: 0, low: 0 };
        halves.high ^= hash.high;
        halves.low ^= hash.low;
        this.zones.set(zone, halves);
    }
}

/** Only what the owner decides counts; a suspicion is local and passes. */
function hashEntry(entry: Entry): Halves {
    const bytes = createHash("sha256").update(`${entry.node} ${entry.incarnation} ${entry.revision}`).digest();
    return { high: bytes.readUIntBE(0, halfBytes), low: bytes.readUIntBE(halfBytes, halfBytes) };
}

function toHex(half: number): string {
    return half.toString(16).padStart(halfHexDigits, "0");
}
