/**
 * Number of calls that a target accepts at once, learned from calls that it never responded to.
 *
 * Some targets do not refuse a call that they cannot queue, but leave it without a response. Each such call lowers the
 * number below what ran when the call was sent. The number doubles again after a short time, because a single call may
 * have been slow for another reason. If that shows the limit once more, the number grows by one at a time, and the
 * intervals become longer.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";

const initialGrowthIntervalMs: Milliseconds = 5_000;
/** A target that always accepts fewer calls than it announces loses one call in this time. */
const maxGrowthIntervalMs: Milliseconds = 300_000;

export class AcceptedCalls {
    private calls = Number.POSITIVE_INFINITY;
    private isConfirmed = false;
    private changedAt: Milliseconds = 0;
    private growthIntervalMs = initialGrowthIntervalMs;

    constructor(private readonly clock: Clock) {}

    /** Forgets what was learned, because the target was replaced or a call was answered after all. */
    reset(): void {
        this.calls = Number.POSITIVE_INFINITY;
        this.isConfirmed = false;
        this.growthIntervalMs = initialGrowthIntervalMs;
    }

    /** The target accepted at most `calls` calls at once when a call was sent that it left without a response. */
    recordOverflow(calls: number, sentAt: Milliseconds): void {
        const before = this.limitWithin(Number.POSITIVE_INFINITY);
        // Calls that were sent before the number last changed show nothing new about it.
        if (Number.isFinite(before) && sentAt >= this.changedAt) {
            this.isConfirmed = true;
            this.growthIntervalMs = Math.min(maxGrowthIntervalMs, this.growthIntervalMs * 2);
        }
        this.calls = Math.max(1, Math.min(before, calls));
        this.changedAt = this.clock.now();
    }

    /** Number of calls that the target accepts, at most `slots`. */
    limitWithin(slots: number): number {
        const now = this.clock.now();
        while (this.calls < slots && now >= this.changedAt + this.growthIntervalMs && Number.isFinite(this.calls)) {
            this.calls = this.isConfirmed ? this.calls + 1 : this.calls * 2;
            this.changedAt += this.growthIntervalMs;
        }
        return Math.min(slots, this.calls);
    }
}
