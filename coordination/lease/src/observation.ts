/**
 * How long the record has not changed, as this node saw it. Clocks of other hosts play no part.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import type { LeaseRecord } from "./messages";

/** A longer gap between two reads proves nothing about the holder: it may have found the store down as well. */
const maxReadGapMs: Milliseconds = 6_000;

/** One revision of the record. */
export interface ObservedRecord {
    readonly revision: string;
    readonly record: LeaseRecord | undefined;
}

/** The revision seen last, and for how long. */
export class Observation {
    private readonly clock: Clock;
    private latest: ObservedRecord | undefined;
    private unchangedSince: Milliseconds = 0;
    private readAt: Milliseconds = 0;

    constructor(clock: Clock) {
        this.clock = clock;
    }

    /** Notes what a read returned. */
    note(observed: ObservedRecord): void {
        const now = this.clock.now();
        const isUnchanged = this.latest?.revision === observed.revision && now - this.readAt <= maxReadGapMs;
        this.latest = observed;
        this.readAt = now;
        if (!isUnchanged) {
            this.unchangedSince = now;
        }
    }

    /** Time for which reads returned the same revision. */
    get unchangedForMs(): Milliseconds {
        return this.readAt - this.unchangedSince;
    }

    /** Holder according to the last read. */
    get holder(): string | undefined {
        return this.latest?.record?.holder;
    }
}
