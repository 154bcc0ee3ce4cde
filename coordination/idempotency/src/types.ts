/**
 * Messages of the claim decision.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import type { CallOutcome, CallReason } from "@bilberrycroft/protocol.calls";
import type { ReadOutcome, WriteCondition, WriteOutcome } from "@bilberrycroft/protocol.store";
import type { TargetResponse } from "./response";

/** A call that may not be repeated, before it is sent. */
export interface ClaimedCall {
    readonly callId: string;
    /** `idempotency-key` as received. */
    readonly key: string | undefined;
    /** Digest of the call. */
    readonly fingerprint: string;
    /** Monotonic time after which the call must not be sent. */
    readonly deadlineAt: Milliseconds;
}

/** Kinds of `ClaimedCallResult`. */
export enum ClaimedCallResultKind {
    Responded = "responded",
    /** The call may have run and no complete response arrived. */
    ResponseLost = "response-lost",
    /** Every attempt was proved not begun. */
    NotRun = "not-run",
}

/** How a call ended that had been told to proceed. */
export type ClaimedCallResult =
    | { readonly kind: ClaimedCallResultKind.Responded; readonly response: TargetResponse }
    | { readonly kind: ClaimedCallResultKind.ResponseLost }
    | { readonly kind: ClaimedCallResultKind.NotRun };

/** The end of a call that had been told to proceed. */
export interface ClaimedCallEnd {
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

/** Kinds of `OwnedOutcome`. */
export enum OwnedOutcomeKind {
    /** Not decided yet; ask again. */
    Running = "running",
    Ran = "ran",
    RanNotKept = "ran-not-kept",
    /** The attempt was not sent and never will be. */
    NotRun = "not-run",
    /** This node does not know the attempt. */
    NotOwned = "not-owned",
}

/** What a node knows of its own attempt. */
export type OwnedOutcome =
    | { readonly kind: OwnedOutcomeKind.Running }
    | { readonly kind: OwnedOutcomeKind.Ran; readonly response: TargetResponse }
    | { readonly kind: OwnedOutcomeKind.RanNotKept }
    | { readonly kind: OwnedOutcomeKind.NotRun }
    | { readonly kind: OwnedOutcomeKind.NotOwned };

/** Reply to `AskOwner`; without an outcome if the node is dead or did not respond. */
export interface OwnerReply {
    readonly callId: string;
    /** Attempt that the question named. */
    readonly attempt: string;
    readonly outcome: OwnedOutcome | undefined;
}

/** Kinds of `ClaimOutput`. */
export enum ClaimOutputKind {
    ReadShard = "read-shard",
    WriteShard = "write-shard",
    Proceed = "proceed",
    Replay = "replay",
    AskOwner = "ask-owner",
    Refuse = "refuse",
}

/** A request to the store. */
export type ShardRequest =
    | { readonly kind: ClaimOutputKind.ReadShard; readonly request: number; readonly key: string }
    | {
        readonly kind: ClaimOutputKind.WriteShard;
        readonly request: number;
        readonly key: string;
        readonly value: string;
        readonly condition: WriteCondition;
    };

/** A decision on one call. All but `AskOwner` are final. */
export type ClaimDecision =
    | {
        /** Send the call now; `finished` must follow. */
        readonly kind: ClaimOutputKind.Proceed;
        readonly callId: string;
        readonly attempt: string;
    }
    | { readonly kind: ClaimOutputKind.Replay; readonly callId: string; readonly response: TargetResponse }
    | {
        /** Ask the node for `ownedOutcome` of the attempt; `ownerReplied` must follow. */
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

/** What the tasks have to do. */
export type ClaimOutput = ShardRequest | ClaimDecision;
