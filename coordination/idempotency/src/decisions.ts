/**
 * Constructors of final claim decisions.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { CallOutcome, CallReason } from "@bilberrycroft/protocol.calls";
import type { TargetResponse } from "./response";
import { type ClaimDecision, ClaimOutputKind, type AttemptOutcome, AttemptOutcomeKind } from "./types";

/** Refuses a call that this request certainly did not run. */
export function refuseAsNotRun(callId: string, reason: CallReason, retryAfterMs?: Milliseconds): ClaimDecision {
    return { kind: ClaimOutputKind.Refuse, callId, reason, outcome: CallOutcome.NotRun, retryAfterMs };
}

/** Refuses a call whose claim cannot be committed. */
export function refuseUnavailable(callId: string, retryAfterMs: Milliseconds): ClaimDecision {
    return refuseAsNotRun(callId, CallReason.ClaimUnavailable, retryAfterMs);
}

/** Refuses a call that an earlier request may have run. */
export function refuseAsUnknown(callId: string, reason: CallReason): ClaimDecision {
    return { kind: ClaimOutputKind.Refuse, callId, reason, outcome: CallOutcome.Unknown, retryAfterMs: undefined };
}

/** Responds with the recorded response of an earlier run. */
export function replay(callId: string, response: TargetResponse): ClaimDecision {
    return { kind: ClaimOutputKind.Replay, callId, response };
}

/** Decides on a call by the outcome of a completed attempt for the same key. */
export function decideByOutcome(callId: string, outcome: AttemptOutcome): ClaimDecision {
    return outcome.kind === AttemptOutcomeKind.Ran
        ? replay(callId, outcome.response)
        : refuseAsUnknown(callId, CallReason.AnswerLost);
}
