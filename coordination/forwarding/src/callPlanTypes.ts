/**
 * The call that a plan carries out, the events that it handles and the actions that it returns.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import type { CallReason } from "@bilberrycroft/protocol.calls";
import type { Route } from "@bilberrycroft/state.routes";
import type { TargetCandidate } from "./targetDirectory";

/** A call that a node forwards for its caller. */
export interface PlannedCall {
    readonly route: Route;
    readonly service: string;
    /** Priority of the call; that of its outer call for an inner call. 0 is the highest. */
    readonly priority: number;
    /** Organisation of the call; `undefined` if it belongs to none. */
    readonly organisation?: string | undefined;
    /** The call was made by a target while it ran another call. */
    readonly isInner: boolean;
    /** The call was made by a target during a repeated run of another call. */
    readonly isFromRepeat: boolean;
    readonly deadlineAt: Milliseconds;
}

export enum PlanActionKind {
    /** Offer the call to a target. */
    Offer = "offer",
    /** Send the request body; from now on the target may run the call. */
    Proceed = "proceed",
    /** Withdraw an attempt, or cancel it if it is running. */
    Withdraw = "withdraw",
    /** Wake the plan at the given time so that it can start a hedged attempt. */
    WakeAt = "wake-at",
    /** Send the response of this attempt to the caller. */
    Answer = "answer",
    /** Report to the caller that the call did not run. */
    Refuse = "refuse",
    /** Report to the caller that the call may have run. */
    Fail = "fail",
}

/** Next step for the task that carries out the call. */
export type PlanAction =
    | {
        readonly kind: PlanActionKind.Offer;
        readonly attempt: number;
        readonly candidate: TargetCandidate;
        /** The target grants the offer only if a slot is free now; it does not queue it. */
        readonly spareOnly: boolean;
        /** Another target may have run the call or may still be running it. */
        readonly isRepeat: boolean;
    }
    | { readonly kind: PlanActionKind.Proceed; readonly attempt: number }
    | { readonly kind: PlanActionKind.Withdraw; readonly attempt: number }
    | { readonly kind: PlanActionKind.WakeAt; readonly at: Milliseconds }
    | { readonly kind: PlanActionKind.Answer; readonly attempt: number }
    | { readonly kind: PlanActionKind.Refuse; readonly reason: CallReason; readonly retryAfterMs: Milliseconds }
    | { readonly kind: PlanActionKind.Fail; readonly reason: CallReason };

export enum AttemptEndKind {
    /** The target's node refused the offer. */
    Refused = "refused",
    /** The node did not respond, or the connection broke before the grant. */
    Unreachable = "unreachable",
    /** The target reported that it did not run the call. */
    NotRun = "not-run",
    /** A complete response arrived. */
    Answered = "answered",
    /** A complete response arrived that reports a failure of the target. */
    Failed = "failed",
    /** The call may have run, but no usable response arrived. */
    Lost = "lost",
}

export type AttemptEnd =
    | {
        readonly kind: AttemptEndKind.Refused | AttemptEndKind.NotRun;
        readonly reason: CallReason;
        readonly retryAfterMs: Milliseconds;
    }
    | { readonly kind: AttemptEndKind.Unreachable }
    | { readonly kind: AttemptEndKind.Answered }
    | { readonly kind: AttemptEndKind.Failed }
    | {
        readonly kind: AttemptEndKind.Lost;
        /** `TimedOut` if the target's node observed the deadline of the call first. */
        readonly reason: CallReason;
    };
