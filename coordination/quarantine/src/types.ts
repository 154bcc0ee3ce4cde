/**
 * Inputs, decisions and reports of the quarantine.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";

/** A call that was in flight when its target crashed. */
export interface CallAtCrash {
    readonly fingerprint: string;
    /** Time from the start of the call to the crash. */
    readonly ageMs: Milliseconds;
}

/** A target whose connection broke and that was then marked as failed. */
export interface TargetCrash {
    readonly target: string;
    /** Calls that this node had in flight on the target. */
    readonly inFlight: readonly CallAtCrash[];
    /** Wall time at which the connection broke. */
    readonly at: Milliseconds;
}

export enum QuarantineDecisionKind {
    Allowed = "allowed",
    /** The single call that tests whether the fingerprint is harmless after a hold. */
    Trial = "trial",
    /** The call must not be sent now. */
    Held = "held",
}

export type QuarantineDecision =
    | { readonly kind: QuarantineDecisionKind.Allowed }
    | { readonly kind: QuarantineDecisionKind.Trial }
    | { readonly kind: QuarantineDecisionKind.Held; readonly retryAfterMs: Milliseconds };

export enum QuarantineReportKind {
    Crash = "crash",
    Completion = "completion",
}

/** A call with the fingerprint was in flight when a target crashed. */
export interface CrashReport {
    readonly kind: QuarantineReportKind.Crash;
    readonly fingerprint: string;
    readonly target: string;
    /** Wall time of the crash. */
    readonly at: Milliseconds;
    /** Wall time at which the call started. */
    readonly startedAt: Milliseconds;
    /** Node that had the call in flight. */
    readonly node: string;
    /** Wall time of the last completion that this node knew at the crash; `undefined` if it knew none. */
    readonly completedAt?: Milliseconds | undefined;
}

/** A call with the fingerprint completed. This invalidates all earlier crash reports. */
export interface CompletionReport {
    readonly kind: QuarantineReportKind.Completion;
    readonly fingerprint: string;
    /** Wall time of the completion. */
    readonly at: Milliseconds;
}

/** Report that nodes share by gossip. */
export type QuarantineReport = CrashReport | CompletionReport;
