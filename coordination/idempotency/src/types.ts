/**
 * Inputs and outputs of the claim state machine.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import type { CallOutcome, CallReason } from "@bilberrycroft/protocol.calls";
import type { ReadOutcome, WriteCondition, WriteOutcome } from "@bilberrycroft/protocol.store";
import type { TargetResponse } from "./response";

/** A call that must not run more than once and has not been sent yet. */
export interface ClaimedCall {
    readonly callId: string;
    /** Value of the `idempotency-key` header as received. */
    readonly key: string | undefined;
    readonly fingerprint: string;
    /** Monotonic clock time after which the call must not be sent. */
    readonly deadlineAt: Milliseconds;
}

export enum ClaimedCallResultKind {
    Responded = "responded",
    /** The call may have run and no complete response arrived. */
    ResponseLost = "response-lost",
    /** Every attempt was proved not to have started. */
    NotRun = "not-run",
}

/** Result of a call after the decision `Proceed`. */
export type ClaimedCallResult =
    | { readonly kind: ClaimedCallResultKind.Responded; readonly response: TargetResponse }
    | { readonly kind: ClaimedCallResultKind.ResponseLost }
    | { readonly kind: ClaimedCallResultKind.NotRun };

/** Completion of a call after the decision `Proceed`. */
export interface ClaimedCallCompletion {
    readonly attempt: string;
    readonly result: ClaimedCallResult;
}

/** Completion of `ReadShard`. */
export interface ShardRead {
    readonly request: number;
    readonly outcome: ReadOutcome;
}

/** Completion of `WriteShard`. */
export interface ShardWritten {
    readonly request: number;
    readonly outcome: WriteOutcome;
}

export enum AttemptOutcomeKind {
    /** Not decided yet; query again later. */
    Running = "running",
    Ran = "ran",
    RanNotKept = "ran-not-kept",
    /** The attempt was not sent and will not be sent. */
    NotRun = "not-run",
    /** The queried node has no record of the attempt. */
    NotOwned = "not-owned",
}

/** Outcome of an attempt according to the node that made it. */
export type AttemptOutcome =
    | { readonly kind: AttemptOutcomeKind.Running }
    | { readonly kind: AttemptOutcomeKind.Ran; readonly response: TargetResponse }
    | { readonly kind: AttemptOutcomeKind.RanNotKept }
    | { readonly kind: AttemptOutcomeKind.NotRun }
    | { readonly kind: AttemptOutcomeKind.NotOwned };

/** Reply to `AskOwner`. The outcome is `undefined` if the node is dead or did not respond. */
export interface OwnerReply {
    readonly callId: string;
    /** Attempt that was queried. */
    readonly attempt: string;
    readonly outcome: AttemptOutcome | undefined;
}

export enum ClaimOutputKind {
    ReadShard = "read-shard",
    WriteShard = "write-shard",
    Proceed = "proceed",
    Replay = "replay",
    AskOwner = "ask-owner",
    Refuse = "refuse",
}

export type ShardRequest =
    | { readonly kind: ClaimOutputKind.ReadShard; readonly request: number; readonly key: string }
    | {
        readonly kind: ClaimOutputKind.WriteShard;
        readonly request: number;
        readonly key: string;
        readonly value: string;
        readonly condition: WriteCondition;
    };

/** A decision on a call. All kinds except `AskOwner` are final. */
export type ClaimDecision =
    | {
        /** Send the call now and report its completion afterwards. */
        readonly kind: ClaimOutputKind.Proceed;
        readonly callId: string;
        readonly attempt: string;
    }
    | { readonly kind: ClaimOutputKind.Replay; readonly callId: string; readonly response: TargetResponse }
    | {
        /** Query the node for the outcome of the attempt and report its reply afterwards. */
        readonly kind: ClaimOutputKind.AskOwner;
        readonly callId: string;
        readonly node: string;
        readonly key: string;
        readonly attempt: string;
    }
    | {
        readonly kind: ClaimOutputKind.Refuse;
        readonly callId: string;
        readonly reason: CallReason;
        readonly outcome: CallOutcome;
        readonly retryAfterMs: Milliseconds | undefined;
    };

/** Action for the caller of the state machine to carry out. */
export type ClaimOutput = ShardRequest | ClaimDecision;
