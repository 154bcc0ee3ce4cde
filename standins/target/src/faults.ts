/**
 * Faults that a control request switches on in a target, with an optional end.
 */
import type { SchedulerLike, Subscription } from "rxjs";
import { z } from "zod";

/** Header of a call whose value is compared with `crashOn`. */
export const crashHeader = "x-standin-crash";

/** Schema of a control request; each request replaces every fault of the one before. */
export const targetFaultSchema = z.strictObject({
    /** Multiplies the run time of calls that start from now on. */
    slowFactor: z.number().min(0.01).max(10_000).optional(),
    /** The number of calls that the load header reports in place of the true one. */
    lieAboutLoad: z.number().int().min(0).max(999_999).optional(),
    /** A call with this value in the crash header crashes the target once it has begun. */
    crashOn: z.string().min(1).optional(),
    /** Answers every call as not run. */
    refuse: z.boolean().optional(),
    /** Number of responses that break off in the middle. */
    cutResponses: z.number().int().min(0).max(1_000_000).optional(),
    /** All of these faults end after this time; absent: they stay. */
    forMs: z.number().min(0).max(3_600_000).optional(),
});

/** A control request. */
export type TargetFault = z.output<typeof targetFaultSchema>;

/** Faults in force. */
export class TargetFaults {
    private current: TargetFault;
    private cutsLeft = 0;
    private expiry: Subscription | undefined;

    constructor(private readonly scheduler: SchedulerLike, initial: TargetFault) {
        this.current = initial;
    }

    /** Replaces the faults in force. */
    inject(fault: TargetFault): void {
        this.clear();
        this.current = fault;
        this.cutsLeft = fault.cutResponses ?? 0;
        if (fault.forMs !== undefined) {
            this.expiry = this.scheduler.schedule(() => this.clear(), fault.forMs);
        }
    }

    /** Ends every fault. */
    clear(): void {
        this.expiry?.unsubscribe();
        this.expiry = undefined;
        this.current = {};
        this.cutsLeft = 0;
    }

    get slowFactor(): number {
        return this.current.slowFactor ?? 1;
    }

    get refuses(): boolean {
        return this.current.refuse === true;
    }

    /** The number of calls to report when the true one is `calls`. */
    reportedCalls(calls: number): number {
        return this.current.lieAboutLoad ?? calls;
    }

    /** Whether a call with this crash header crashes the target. */
    crashesOn(header: string | undefined): boolean {
        return header !== undefined && header === this.current.crashOn;
    }

    /** Whether the next response breaks off. */
    takeCut(): boolean {
        const cut = this.cutsLeft > 0;
        this.cutsLeft = Math.max(0, this.cutsLeft - 1);
        return cut;
    }
}
