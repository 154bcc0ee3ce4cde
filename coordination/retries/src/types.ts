/**
 * Messages of the retry decision.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import type { CallOutcome, CallReason } from "@bilberrycroft/protocol.calls";
import type { RouteRule } from "@bilberrycroft/state.rules";

/** A call that a node is about to send to its first target. */
export interface CallStart {
    readonly callId: string;
    readonly route: RouteRule;
    /** Monotonic time after which no attempt starts. */
    readonly deadlineAt: Milliseconds;
    /** `x-mesh-depth` of the call. */
    readonly depth: number;
    /** `x-mesh-attempt` of the call: above 1 if the calling side already repeats it. */
    readonly attempt: number;
}

/** What the call task does after `callStarted`. */
export interface CallPlan {
    /** Monotonic time for `hedgeDue`; `undefined` if the call is not hedged. */
    readonly hedgeAt: Milliseconds | undefined;
}

/** An attempt that is about to be sent. */
export interface AttemptStart {
    readonly callId: string;
    readonly target: string;
}

/** The end of an attempt. */
export interface AttemptEnd {
    readonly callId: string;
    readonly target: string;
    readonly result: AttemptResult;
}

/** Kinds of `AttemptResult`. */
export enum AttemptResultKind {
    /** The target's complete response arrived. */
    Done = "done",
    /** The target itself responded that it did not begin the call. */
    NotRun = "not-run",
    /** No byte of the request was sent. */
    ConnectFailed = "connect-failed",
    /** The connection broke after bytes of the request were sent. */
    Broken = "broken",
    /** No response in time, after bytes of the request were sent. */
    TimedOut = "timed-out",
    /** The node gave the attempt up after bytes of the request were sent, for example because the caller left. */
    Cancelled = "cancelled",
}

/** How an attempt ended. */
export type AttemptResult =
    | { readonly kind: AttemptResultKind.Done; readonly status: number }
    | { readonly kind: AttemptResultKind.NotRun; readonly retryAfterMs?: Milliseconds }
    | { readonly kind: AttemptResultKind.ConnectFailed }
    | { readonly kind: AttemptResultKind.Broken }
    | { readonly kind: AttemptResultKind.TimedOut }
    | { readonly kind: AttemptResultKind.Cancelled };

/** Kinds of `AttemptDecision`. */
export enum AttemptDecisionKind {
    Respond = "respond",
    RetryAt = "retry-at",
    Wait = "wait",
    /** The call has already been responded to. */
    Ignored = "ignored",
}

/** The final decision of a call. */
export interface RespondDecision {
    readonly kind: AttemptDecisionKind.Respond;
    readonly outcome: CallOutcome;
    /** Reason of an outcome other than done. */
    readonly reason: CallReason | undefined;
    /** Target whose response is the caller's response, if the outcome is done. */
    readonly target: string | undefined;
    /** Shortest time that a target asked to wait, if the outcome is not run. */
    readonly retryAfterMs: Milliseconds | undefined;
    /** Targets of attempts in flight, which are to be cancelled. */
    readonly cancel: readonly string[];
}

/** What follows the end of an attempt. */
export type AttemptDecision =
    | RespondDecision
    | {
        readonly kind: AttemptDecisionKind.RetryAt;
        /** Monotonic time of the next attempt. */
        readonly at: Milliseconds;
        /** Targets that have been tried. */
        readonly exclude: readonly string[];
    }
    | { readonly kind: AttemptDecisionKind.Wait }
    | { readonly kind: AttemptDecisionKind.Ignored };

/** Kinds of `HedgeDecision`. */
export enum HedgeDecisionKind {
    Hedge = "hedge",
    NoHedge = "no-hedge",
}

/** What follows the hedge time of a call. */
export type HedgeDecision =
    | { readonly kind: HedgeDecisionKind.Hedge; readonly exclude: readonly string[] }
    | { readonly kind: HedgeDecisionKind.NoHedge };
