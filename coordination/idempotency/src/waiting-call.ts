/**
 * Calls that have begun and have no final decision.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import type { OwnAttempt } from "./attempts";
import type { IdempotencyKey } from "./keys";
import type { Claim } from "./shard";
import type { ClaimedCall } from "./types";

/** What a call waits for. */
export enum CallPhase {
    New = "new",
    /** The write of its claim. */
    Claiming = "claiming",
    /** The attempt of another call of this node. */
    WaitingForOwn = "waiting-for-own",
    /** The reply of the node that holds the key. */
    AskingOwner = "asking-owner",
}

/** A call and what it waits for. */
export interface WaitingCall {
    readonly call: ClaimedCall;
    readonly key: IdempotencyKey;
    phase:
        | { readonly kind: CallPhase.New }
        | { readonly kind: CallPhase.Claiming; readonly own: OwnAttempt }
        | { readonly kind: CallPhase.WaitingForOwn; readonly own: OwnAttempt }
        | {
            readonly kind: CallPhase.AskingOwner;
            readonly holder: Claim;
            /** `undefined` while a question is out. */
            readonly askAgainAt: Milliseconds | undefined;
        };
    /** Attempt that the node named in its claim did not know. */
    disowned?: string;
}
