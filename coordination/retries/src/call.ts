/**
 * State of one call in flight: its attempts, their results and the outcome that the results allow.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { assertInvariant, assertNever } from "@bilberrycroft/core.errors";
import { CallOutcome, CallReason } from "@bilberrycroft/protocol.calls";
import { AttemptDecisionKind, type AttemptResult, AttemptResultKind, type CallStart, type RespondDecision } from "./types";

export class CallInFlight {
    readonly start: CallStart;
    /** Targets of all attempts, in the order of the attempts. */
    readonly triedTargets: string[] = [];
    /** Monotonic start time of each attempt in flight, by target. */
    readonly inFlight = new Map<string, Milliseconds>();
    /** Whether a further attempt was decided and has not started yet. */
    isAttemptPending = false;
    isHedged = false;
    private mayHaveRun = false;
    private reason: CallReason | undefined;
    private retryAfterMs: Milliseconds | undefined;

    constructor(start: CallStart) {
        this.start = start;
    }

    /** Adds an attempt. Throws for a second attempt on the same target: each target receives a call at most once. */
    addAttempt(target: string, now: Milliseconds): void {
        assertInvariant(!this.triedTargets.includes(target), `second attempt of call ${this.start.callId} on ${target}`);
        this.triedTargets.push(target);
        this.inFlight.set(target, now);
        this.isAttemptPending = false;
    }

    /** Records the result of an attempt that ended without a response. */
    recordFailure(result: AttemptResult): void {
        switch (result.kind) {
            case AttemptResultKind.Done:
                return;
            case AttemptResultKind.NotRun:
                this.recordRetryAfter(result.retryAfterMs);
                return this.recordNotRun(CallReason.TargetRefused);
            case AttemptResultKind.ConnectFailed:
                return this.recordNotRun(CallReason.NoTarget);
            case AttemptResultKind.Broken:
            case AttemptResultKind.Cancelled:
                return this.recordMayHaveRun(CallReason.AnswerLost);
            case AttemptResultKind.TimedOut:
                return this.recordMayHaveRun(CallReason.TimedOut);
            default:
                return assertNever(result);
        }
    }

    /** Whether a further attempt is safe: the route is repeatable, or no earlier attempt can have run the call. */
    canRepeat(): boolean {
        return this.start.route.repeatable || !this.mayHaveRun;
    }

    /** Failure response. Its outcome is `NotRun` only if every attempt provably did not start to run. */
    respondWithFailure(): RespondDecision {
        return {
            kind: AttemptDecisionKind.Respond,
            outcome: this.mayHaveRun ? CallOutcome.Unknown : CallOutcome.NotRun,
            reason: this.reason ?? CallReason.NoTarget,
            target: undefined,
            retryAfterMs: this.mayHaveRun ? undefined : this.retryAfterMs,
            cancel: [...this.inFlight.keys()],
        };
    }

    respondWithSuccess(target: string): RespondDecision {
        return {
            kind: AttemptDecisionKind.Respond,
            outcome: CallOutcome.Done,
            reason: undefined,
            target,
            retryAfterMs: undefined,
            cancel: [...this.inFlight.keys()],
        };
    }

    private recordNotRun(reason: CallReason): void {
        if (!this.mayHaveRun) {
            this.reason = reason;
        }
    }

    private recordMayHaveRun(reason: CallReason): void {
        this.mayHaveRun = true;
        this.reason = reason;
    }

    private recordRetryAfter(retryAfterMs: Milliseconds | undefined): void {
        if (retryAfterMs !== undefined) {
            this.retryAfterMs = Math.min(retryAfterMs, this.retryAfterMs ?? retryAfterMs);
        }
    }
}
