/**
 * Calls as admission sees them, and what it decides for them.
 */
import type { EndedAttempt, RoutingTarget } from "@bilberrycroft/coordination.routing";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import type { CallReason } from "@bilberrycroft/protocol.calls";
import type { RouteRule, RunTimeClass } from "@bilberrycroft/state.rules";

/** What admission needs to know of a tenant; a `TenantRule` has it. */
export interface TenantShare {
    readonly name: string;
    readonly weight: number;
    readonly ratePerSecond: number | undefined;
}

/** A call that asks for a target. */
export interface SubmittedCall {
    readonly callId: string;
    readonly route: RouteRule;
    readonly tenant: TenantShare;
    /** On the monotonic clock. */
    readonly deadlineAt: Milliseconds;
    /** Number of calls above this one. */
    readonly depth: number;
}

/** A call with what admission has worked out for it. */
export interface PendingCall {
    readonly call: SubmittedCall;
    /** Learned class, else the declared one. */
    readonly runTimeClass: RunTimeClass;
    /** Learned run time; 0 while unknown. */
    readonly expectedMs: Milliseconds;
    /** Rank for shedding and serving; higher is served first and shed last. */
    readonly rank: number;
    /** Set when the call is queued: the call is refused if it has not started by then. */
    startBy: Milliseconds;
    queuedAt: Milliseconds;
}

/** Kinds of decisions and events. */
export enum DispatchKind {
    Start = "start",
    Queued = "queued",
    Refused = "refused",
}

/** Send the call to the target; a slot is reserved until `completed`. */
export interface Start {
    readonly kind: DispatchKind.Start;
    readonly callId: string;
    readonly target: RoutingTarget;
    /** The attempt tests a target that was suspected or had refused connections; hedge early if possible. */
    readonly trial: boolean;
}

/** The call waits; an event follows. */
export interface Queued {
    readonly kind: DispatchKind.Queued;
    readonly callId: string;
}

/** The call was not run. */
export interface Refused {
    readonly kind: DispatchKind.Refused;
    readonly callId: string;
    readonly reason: CallReason;
    readonly retryAfterMs: Milliseconds;
}

/** Decision for a submitted call. */
export type Submission = Start | Queued | Refused;

/** Decision for a call that was queued. */
export type DispatchEvent = Start | Refused;

/** Asks for a further attempt of a call. */
export interface FurtherAttempt {
    readonly callId: string;
    /** Targets that the call has tried already. */
    readonly exclude: readonly string[];
}

/** The end of an attempt. */
export type Completion = EndedAttempt;

/** Kinds of `AdmissionDecision`. */
export enum AdmissionKind {
    Run = "run",
    Queued = "queued",
    Refused = "refused",
}

/** Decision of `Admission.submit`. `Run` means: start it if a target has room, else hand it to `enqueue`. */
export type AdmissionDecision =
    | { readonly kind: AdmissionKind.Run; readonly pending: PendingCall }
    | { readonly kind: AdmissionKind.Queued; readonly pending: PendingCall; readonly shed: readonly Refused[] }
    | { readonly kind: AdmissionKind.Refused; readonly refused: Refused };
