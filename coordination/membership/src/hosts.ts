/**
 * Highest configuration version that each host had in force, kept after the process that activated it has ended. A
 * host that restarts receives this version from its peers, so that it never activates an older one.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import { endedRetentionMs, maxRememberedHosts } from "./limits";
import type { RememberedVersion } from "./messages";

interface RecordedVersion {
    version: number;
    at: Milliseconds;
}

/** Highest version in force on each host within the last 24 h. */
export class HostVersions {
    private readonly clock: Clock;
    /** Ordered by last confirmation, oldest first. */
    private readonly recorded = new Map<string, RecordedVersion>();

    constructor(clock: Clock) {
        this.clock = clock;
    }

    /** Records that a host had a version in force `ageMs` ago. */
    record(host: string, version: number, ageMs: Milliseconds = 0): void {
        const existing = this.recorded.get(host);
        const at = this.clock.now() - ageMs;
        if (version === 0 || ageMs > endedRetentionMs || (existing !== undefined && existing.version > version)) {
            return;
        }
        this.recorded.delete(host);
        this.recorded.set(host, { version, at: existing?.version === version ? Math.max(existing.at, at) : at });
        this.evictOldest();
    }

    /** Highest recorded version of a host; 0 if none. */
    versionOf(host: string): number {
        const found = this.recorded.get(host);
        return found === undefined || this.isExpired(found) ? 0 : found.version;
    }

    /** Recorded versions that are higher than the host's version according to `versionInForce`. */
    listAbove(versionInForce: (host: string) => number): readonly RememberedVersion[] {
        const result: RememberedVersion[] = [];
        for (const [host, recorded] of this.recorded) {
            if (!this.isExpired(recorded) && recorded.version > versionInForce(host)) {
                result.push({ host, version: recorded.version, ageMs: this.clock.now() - recorded.at });
            }
        }
        return result;
    }

    private isExpired(candidate: RecordedVersion): boolean {
        return this.clock.now() - candidate.at > endedRetentionMs;
    }

    private evictOldest(): void {
        for (const host of this.recorded.keys()) {
            if (this.recorded.size <= maxRememberedHosts) {
                return;
            }
            this.recorded.delete(host);
        }
    }
}
