/**
 * Inputs and decisions of the retry policy.
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
    /** `x-mesh-depth` of the call: 0 for a call that no other call made. */
    readonly depth: number;
    /** `x-mesh-attempt` of the call: above 1 if the calling side already retries it. */
    readonly attempt: number;
}

export interface HedgeSchedule {
    /** Monotonic time at which to decide on the hedge; `undefined` if the call is not hedged. */
    readonly hedgeAt: Milliseconds | undefined;
}

export interface AttemptStart {
    readonly callId: string;
    readonly target: string;
}

export interface AttemptEnd {
    readonly callId: string;
    readonly target: string;
    readonly result: AttemptResult;
}

export enum AttemptResultKind {
    /** The target's response was received completely. */
    Done = "done",
    /** The target responded that it did not start to run the call. */
    NotRun = "not-run",
    /** No byte of the request was sent. */
    ConnectFailed = "connect-failed",
    /** The connection broke after bytes of the request were sent. */
    Broken = "broken",
    /** No response in time, after bytes of the request were sent. */
    TimedOut = "timed-out",
    /** The node cancelled the attempt after bytes of the request were sent, e.g. because the caller disconnected. */
    Cancelled = "cancelled",
}

export type AttemptResult =
    | { readonly kind: AttemptResultKind.Done; readonly status: number }
    | { readonly kind: AttemptResultKind.NotRun; readonly retryAfterMs?: Milliseconds }
    | { readonly kind: AttemptResultKind.ConnectFailed }
    | { readonly kind: AttemptResultKind.Broken }
    | { readonly kind: AttemptResultKind.TimedOut }
    | { readonly kind: AttemptResultKind.Cancelled };

export enum AttemptDecisionKind {
    Respond = "respond",
    RetryAt = "retry-at",
    Wait = "wait",
    /** The caller has already received the response, or the call is unknown. */
    Ignored = "ignored",
}

/** Final decision for a call. */
export interface RespondDecision {
    readonly kind: AttemptDecisionKind.Respond;
    readonly outcome: CallOutcome;
    /** `undefined` if the outcome is `Done`. */
    readonly reason: CallReason | undefined;
    /** Target whose response is forwarded to the caller; `undefined` unless the outcome is `Done`. */
    readonly target: string | undefined;
    /** Shortest retry-after time that a target sent; only set if the outcome is `NotRun`. */
    readonly retryAfterMs: Milliseconds | undefined;
    /** Targets whose attempts in flight have to be cancelled. */
    readonly cancel: readonly string[];
}

export type AttemptDecision =
    | RespondDecision
    | {
        readonly kind: AttemptDecisionKind.RetryAt;
        /** Monotonic time of the next attempt. */
        readonly at: Milliseconds;
        /** Targets that the call has already been sent to. */
        readonly exclude: readonly string[];
    }
    | { readonly kind: AttemptDecisionKind.Wait }
    | { readonly kind: AttemptDecisionKind.Ignored };

export enum HedgeDecisionKind {
    Hedge = "hedge",
    NoHedge = "no-hedge",
}

export type HedgeDecision =
    | { readonly kind: HedgeDecisionKind.Hedge; readonly exclude: readonly string[] }
    | { readonly kind: HedgeDecisionKind.NoHedge };
