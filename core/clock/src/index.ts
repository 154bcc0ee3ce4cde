/**
 * Time in milliseconds behind one interface, so that decisions run on a clock that tests control.
 */

/** A duration or an instant in milliseconds. */
export type Milliseconds = number;

/** Source of time. */
export interface Clock {
    /** Monotonic time since an arbitrary start; never steps back. */
    now(): Milliseconds;
    /** Time since the Unix epoch; may step when the host's clock is corrected. */
    wallTime(): Milliseconds;
}

/** The host's clock. */
export class SystemClock implements Clock {
    now(): Milliseconds {
        return performance.now();
    }

    wallTime(): Milliseconds {
        return Date.now();
    }
}

/** A clock that moves only when told to. */
export class ManualClock implements Clock {
    private elapsed: Milliseconds = 0;
    private readonly epoch: Milliseconds;

    constructor(epoch: Milliseconds = 1_700_000_000_000) {
        this.epoch = epoch;
    }

    now(): Milliseconds {
        return this.elapsed;
    }

    wallTime(): Milliseconds {
        return this.epoch + this.elapsed;
    }

    /** Moves both times forward. */
    advance(duration: Milliseconds): void {
        this.elapsed += duration;
    }
}
