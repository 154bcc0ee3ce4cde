/**
 * State of calls that are waiting for a final claim decision.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import type { LocalAttempt } from "./attempts";
import type { IdempotencyKey } from "./keys";
import type { Claim } from "./shard";
import type { ClaimedCall } from "./types";

/** Event that a call is waiting for. */
export enum CallPhase {
    New = "new",
    /** The conditional write of its claim. */
    Claiming = "claiming",
    /** The outcome of an attempt that another call on this node made for the same key. */
    WaitingForLocalAttempt = "waiting-for-own",
    /** The reply of the node whose claim holds the key. */
    AskingOwner = "asking-owner",
}

export interface WaitingCall {
    readonly call: ClaimedCall;
    readonly key: IdempotencyKey;
    phase:
        | { readonly kind: CallPhase.New }
        | { readonly kind: CallPhase.Claiming; readonly localAttempt: LocalAttempt }
        | { readonly kind: CallPhase.WaitingForLocalAttempt; readonly localAttempt: LocalAttempt }
        | {
            readonly kind: CallPhase.AskingOwner;
            readonly holder: Claim;
            /** `undefined` while a query to the owner is in flight. */
            readonly nextPollAt: Milliseconds | undefined;
        };
    /** Attempt that the node named in the claim did not recognize. */
    attemptUnknownToOwner?: string;
}
