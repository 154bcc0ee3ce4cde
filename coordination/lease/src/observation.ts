/**
 * Measures how long the lease record has not changed, with this node's clock only. Clocks of other hosts are not used.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import type { LeaseRecord } from "./messages";

/** A longer gap between reads does not count as missed renewals: the store may have been down for the holder too. */
const maxReadGapMs: Milliseconds = 6_000;

export interface ObservedRecord {
    readonly revision: string;
    readonly record: LeaseRecord | undefined;
}

export class Observation {
    private readonly clock: Clock;
    private latest: ObservedRecord | undefined;
    private unchangedSince: Milliseconds = 0;
    private readAt: Milliseconds = 0;

    constructor(clock: Clock) {
        this.clock = clock;
    }

    record(observed: ObservedRecord): void {
        const now = this.clock.now();
        const isUnchanged = this.latest?.revision === observed.revision && now - this.readAt <= maxReadGapMs;
        this.latest = observed;
        this.readAt = now;
        if (!isUnchanged) {
            this.unchangedSince = now;
        }
    }

    /** Time for which consecutive reads returned the same revision. */
    get unchangedForMs(): Milliseconds {
        return this.readAt - this.unchangedSince;
    }

    /** Holder according to the last read. */
    get holder(): string | undefined {
        return this.latest?.record?.holder;
    }
}
