/**
 * Messages of the quarantine decision.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";

/** A call that was in flight when its target crashed. */
export interface CallAtCrash {
    readonly fingerprint: string;
    /** Time from its start to the crash. */
    readonly ageMs: Milliseconds;
}

/** A target whose connection broke and which was then found dead. */
export interface TargetCrash {
    readonly target: string;
    /** Calls that this node had in flight on the target. */
    readonly inFlight: readonly CallAtCrash[];
    /** Wall time at which the connection broke. */
    readonly at: Milliseconds;
}

/** Kinds of `QuarantineDecision`. */
export enum QuarantineDecisionKind {
    Allowed = "allowed",
    /** The one call that may show that the fingerprint is harmless. */
    Trial = "trial",
    Held = "held",
}

/** Whether a call may be sent. */
export type QuarantineDecision =
    | { readonly kind: QuarantineDecisionKind.Allowed }
    | { readonly kind: QuarantineDecisionKind.Trial }
    | { readonly kind: QuarantineDecisionKind.Held; readonly retryAfterMs: Milliseconds };

/** Kinds of `QuarantineReport`. */
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
}

/** A call with the fingerprint completed, which clears all earlier crash reports. */
export interface CompletionReport {
    readonly kind: QuarantineReportKind.Completion;
    readonly fingerprint: string;
    /** Wall time of the completion. */
    readonly at: Milliseconds;
}

/** What nodes tell each other in exchanges. */
export type QuarantineReport = CrashReport | CompletionReport;
