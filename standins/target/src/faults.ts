/**
 * Faults that a control request injects into a target, with an optional duration.
 */
import type { SchedulerLike, Subscription } from "rxjs";
import { z } from "zod";

/** Call header whose value is compared with `crashOn`. */
export const crashHeader = "x-standin-crash";

/** Schema of a fault request. Each request replaces all faults of the previous one. */
export const targetFaultSchema = z.strictObject({
    /** Factor of the run time of calls that start while the fault is active. */
    slowFactor: z.number().min(0.01).max(10_000).optional(),
    /** Number of calls that the load header reports instead of the actual one. */
    lieAboutLoad: z.number().int().min(0).max(999_999).optional(),
    /** A call with this value in the crash header crashes the target when it starts to run. */
    crashOn: z.string().min(1).optional(),
    /** Refuses every call with the outcome "not-run". */
    refuse: z.boolean().optional(),
    /** Number of responses that are truncated in the middle. */
    cutResponses: z.number().int().min(0).max(1_000_000).optional(),
    /** Time until all of these faults end; without it they stay active. */
    forMs: z.number().min(0).max(3_600_000).optional(),
});

export type TargetFault = z.output<typeof targetFaultSchema>;

/** Active faults of a target. */
export class TargetFaults {
    private current: TargetFault;
    private remainingTruncations = 0;
    private expiry: Subscription | undefined;

    constructor(private readonly scheduler: SchedulerLike, initial: TargetFault) {
        this.current = initial;
    }

    /** Replaces the active faults. */
    inject(fault: TargetFault): void {
        this.clear();
        this.current = fault;
        this.remainingTruncations = fault.cutResponses ?? 0;
        if (fault.forMs !== undefined) {
            this.expiry = this.scheduler.schedule(() => this.clear(), fault.forMs);
        }
    }

    /** Ends all faults. */
    clear(): void {
        this.expiry?.unsubscribe();
        this.expiry = undefined;
        this.current = {};
        this.remainingTruncations = 0;
    }

    get slowFactor(): number {
        return this.current.slowFactor ?? 1;
    }

    get isRefusing(): boolean {
        return this.current.refuse === true;
    }

    /** Returns the number of calls to report if the actual one is `calls`. */
    toReportedCalls(calls: number): number {
        return this.current.lieAboutLoad ?? calls;
    }

    /** Whether a call with this value of the crash header crashes the target. */
    shouldCrash(header: string | undefined): boolean {
        return header !== undefined && header === this.current.crashOn;
    }

    /** Whether the next response is to be truncated. Consumes one of `cutResponses`. */
    consumeTruncation(): boolean {
        const isTruncated = this.remainingTruncations > 0;
        this.remainingTruncations = Math.max(0, this.remainingTruncations - 1);
        return isTruncated;
    }
}
