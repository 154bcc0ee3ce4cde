/**
 * Clock abstraction, so that tests can control time.
 */

/** A duration or an instant in milliseconds. */
export type Milliseconds = number;

export interface Clock {
    /** Monotonic time since an arbitrary origin. */
    now(): Milliseconds;
    /** Time since the Unix epoch; can jump when the host's clock is adjusted. */
    wallTime(): Milliseconds;
}

export class SystemClock implements Clock {
    now(): Milliseconds {
        return performance.now();
    }

    wallTime(): Milliseconds {
        return Date.now();
    }
}

/** Clock for tests; advances only by `advance`. */
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

    /** Advances monotonic and wall time. */
    advance(duration: Milliseconds): void {
        this.elapsed += duration;
    }
}
