/**
 * Versions that hosts had in force, kept beyond the process that ran them. A returning host asks for its own, so that
 * it never activates an older one.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import { endedRetentionMs, maxRememberedHosts } from "./limits";
import type { RememberedVersion } from "./messages";

interface Memory {
    version: number;
    at: Milliseconds;
}

/** Highest version seen in force on each host within the last 24 h. */
export class HostVersions {
    private readonly clock: Clock;
    /** In order of the last confirmation, oldest first. */
    private readonly memories = new Map<string, Memory>();

    constructor(clock: Clock) {
        this.clock = clock;
    }

    /** Notes that a host had a version in force `ageMs` ago. */
    remember(host: string, version: number, ageMs: Milliseconds = 0): void {
        const known = this.memories.get(host);
        const at = this.clock.now() - ageMs;
        if (version === 0 || ageMs > endedRetentionMs || (known !== undefined && known.version > version)) {
            return;
        }
        this.memories.delete(host);
        this.memories.set(host, { version, at: known?.version === version ? Math.max(known.at, at) : at });
        this.dropOldest();
    }

    /** Highest version remembered for a host; 0 if none. */
    versionOf(host: string): number {
        const memory = this.memories.get(host);
        return memory === undefined || this.isExpired(memory) ? 0 : memory.version;
    }

    /** Everything that is remembered and above the version that `versionInForce` gives for the host. */
    above(versionInForce: (host: string) => number): readonly RememberedVersion[] {
        const result: RememberedVersion[] = [];
        for (const [host, memory] of this.memories) {
            if (!this.isExpired(memory) && memory.version > versionInForce(host)) {
                result.push({ host, version: memory.version, ageMs: this.clock.now() - memory.at });
            }
        }
        return result;
    }

    private isExpired(memory: Memory): boolean {
        return this.clock.now() - memory.at > endedRetentionMs;
    }

    private dropOldest(): void {
        for (const host of this.memories.keys()) {
            if (this.memories.size <= maxRememberedHosts) {
                return;
            }
            this.memories.delete(host);
        }
    }
}
