/**
 * Calls submitted for admission and the decisions on them.
 */
import type { EndedAttempt, RoutingTarget } from "@bilberrycroft/coordination.routing";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import type { CallReason } from "@bilberrycroft/protocol.calls";
import type { RouteRule, RunTimeClass } from "@bilberrycroft/state.rules";

/** The part of a `TenantRule` that admission uses. */
export interface TenantLimits {
    readonly name: string;
    /** Weight in fair queueing. */
    readonly weight: number;
    /** `undefined` for no limit. */
    readonly ratePerSecond: number | undefined;
}

export interface SubmittedCall {
    readonly callId: string;
    readonly route: RouteRule;
    readonly tenant: TenantLimits;
    /** Monotonic time. */
    readonly deadlineAt: Milliseconds;
    /** Depth in the call chain; 0 for a call that no other call made. */
    readonly depth: number;
}

/** A submitted call with the values that admission derived for it. */
export interface PendingCall {
    readonly call: SubmittedCall;
    /** Learned class, or the declared class while none is learned. */
    readonly runTimeClass: RunTimeClass;
    /** Learned run time; 0 while it is unknown. */
    readonly expectedRunTimeMs: Milliseconds;
    /** Calls of higher rank are served first and shed last. */
    readonly rank: number;
    /** Set when the call is queued. A call that has not started by then is refused. */
    latestStartAt: Milliseconds;
}

export enum DispatchKind {
    Start = "start",
    Queued = "queued",
    Refused = "refused",
}

/** The call is to be sent to the target. A slot is reserved until the end of the attempt is reported. */
export interface StartDecision {
    readonly kind: DispatchKind.Start;
    readonly callId: string;
    readonly target: RoutingTarget;
    /** The attempt tests a target that was suspected or refused connections. It should be hedged early if possible. */
    readonly isTrial: boolean;
}

/** The call is queued. A `DispatchEvent` follows unless the call is cancelled. */
export interface QueuedDecision {
    readonly kind: DispatchKind.Queued;
    readonly callId: string;
}

/** The call or the further attempt was not started. */
export interface RefusedDecision {
    readonly kind: DispatchKind.Refused;
    readonly callId: string;
    readonly reason: CallReason;
    readonly retryAfterMs: Milliseconds;
}

export type SubmitDecision = StartDecision | QueuedDecision | RefusedDecision;

/** Decision on a queued call. */
export type DispatchEvent = StartDecision | RefusedDecision;

/** Request for a retry or a hedge. */
export interface FurtherAttemptRequest {
    readonly callId: string;
    /** Targets that the call has already been sent to. */
    readonly exclude: readonly string[];
}

export type Completion = EndedAttempt;

export enum AdmissionKind {
    Run = "run",
    Queued = "queued",
    Refused = "refused",
}

/** `Run` means that the call starts if a target has capacity; otherwise it is passed to `Admission.enqueue`. */
export type AdmissionDecision =
    | { readonly kind: AdmissionKind.Run; readonly pending: PendingCall }
    | { readonly kind: AdmissionKind.Queued; readonly pending: PendingCall; readonly shed: readonly RefusedDecision[] }
    | { readonly kind: AdmissionKind.Refused; readonly refused: RefusedDecision };
