/**
 * What is known of one call while it is in flight, and the outcome that follows from it.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { assertInvariant, assertNever } from "@bilberrycroft/core.errors";
import { CallOutcome, CallReason } from "@bilberrycroft/protocol.calls";
import { AttemptDecisionKind, type AttemptResult, AttemptResultKind, type CallStart, type RespondDecision } from "./types";

/** Attempts of one call and their results. */
export class CallInFlight {
    readonly start: CallStart;
    /** Targets of all attempts, in order. */
    readonly tried: string[] = [];
    /** Start time of each unanswered attempt by target. */
    readonly inFlight = new Map<string, Milliseconds>();
    /** An attempt was decided and has not started. */
    attemptPending = false;
    hedged = false;
    private mayHaveRun = false;
    private reason: CallReason | undefined;
    private retryAfterMs: Milliseconds | undefined;

    constructor(start: CallStart) {
        this.start = start;
    }

    /** Adds an attempt. A second one to the same target breaks the promise that a target sees a call once. */
    attemptStarted(target: string, now: Milliseconds): void {
        assertInvariant(!this.tried.includes(target), `call ${this.start.callId} was sent to ${target} twice`);
        this.tried.push(target);
        this.inFlight.set(target, now);
        this.attemptPending = false;
    }

    /** Adds the result of an attempt that gave no response. */
    attemptFailed(result: AttemptResult): void {
        switch (result.kind) {
            case AttemptResultKind.Done:
                return;
            case AttemptResultKind.NotRun:
                this.keepShortestRetryAfter(result.retryAfterMs);
                return this.noteNotRun(CallReason.TargetRefused);
            case AttemptResultKind.ConnectFailed:
                return this.noteNotRun(CallReason.NoTarget);
            case AttemptResultKind.Broken:
            case AttemptResultKind.Cancelled:
                return this.noteMayHaveRun(CallReason.AnswerLost);
            case AttemptResultKind.TimedOut:
                return this.noteMayHaveRun(CallReason.TimedOut);
            default:
                return assertNever(result);
        }
    }

    /** Whether a further attempt can not run the call a second time against the route's rule. */
    mayRepeat(): boolean {
        return this.start.route.repeatable || !this.mayHaveRun;
    }

    /** The response with what is known now: not run only if every attempt was proved not begun. */
    respondWithoutResponse(): RespondDecision {
        return {
            kind: AttemptDecisionKind.Respond,
            outcome: this.mayHaveRun ? CallOutcome.Unknown : CallOutcome.NotRun,
            reason: this.reason ?? CallReason.NoTarget,
            target: undefined,
            retryAfterMs: this.mayHaveRun ? undefined : this.retryAfterMs,
            cancel: [...this.inFlight.keys()],
        };
    }

    /** The response with a target's complete response. */
    respondWithResponseOf(target: string): RespondDecision {
        return {
            kind: AttemptDecisionKind.Respond,
            outcome: CallOutcome.Done,
            reason: undefined,
            target,
            retryAfterMs: undefined,
            cancel: [...this.inFlight.keys()],
        };
    }

    private noteNotRun(reason: CallReason): void {
        if (!this.mayHaveRun) {
            this.reason = reason;
        }
    }

    private noteMayHaveRun(reason: CallReason): void {
        this.mayHaveRun = true;
        this.reason = reason;
    }

    private keepShortestRetryAfter(retryAfterMs: Milliseconds | undefined): void {
        if (retryAfterMs !== undefined) {
            this.retryAfterMs = Math.min(retryAfterMs, this.retryAfterMs ?? retryAfterMs);
        }
    }
}
