/**
 * Calls offered to a target queue, the decisions on them, and the results of their runs.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import type { CallReason } from "@bilberrycroft/protocol.calls";

/** A call offered by another node. */
export interface OfferedCall {
    readonly callId: string;
    readonly route: string;
    readonly priority: number;
    /** `undefined` for calls that belong to none; they count as one organisation. */
    readonly organisation?: string | undefined;
    /** The call was made by a target while it ran another call. */
    readonly isInner: boolean;
    /** The call is granted only if a slot is free now; it is never queued. */
    readonly spareOnly: boolean;
    readonly objectiveAt: Milliseconds;
    readonly deadlineAt: Milliseconds;
    /** Estimated time to send the response over this host's link. */
    readonly transferMs: Milliseconds;
    /** Returns a number from 0 to 1 that belongs to the call, the same at every target; 1 by default. */
    draw?(): number;
}

export enum OfferDecisionKind {
    Granted = "granted",
    Queued = "queued",
    Refused = "refused",
}

export type OfferDecision =
    | { readonly kind: OfferDecisionKind.Granted; readonly callId: string }
    | {
        readonly kind: OfferDecisionKind.Queued;
        readonly callId: string;
        readonly expectedWaitMs: Milliseconds;
        /** Refusal of a queued call of another organisation that gives way to this one. */
        readonly evicted?: OfferRefusal;
    }
    | OfferRefusal;

/** The offer was refused without reaching the target. */
export interface OfferRefusal {
    readonly kind: OfferDecisionKind.Refused;
    readonly callId: string;
    readonly reason: CallReason;
    /** Delay after which a retry is sensible. */
    readonly retryAfterMs: Milliseconds;
}

/** Decision on a queued call. */
export type QueueEvent = Extract<OfferDecision, { kind: OfferDecisionKind.Granted | OfferDecisionKind.Refused }>;

export enum RunResult {
    /** The target responded. */
    Answered = "answered",
    /** The target responded with a failure. */
    Failed = "failed",
    /** The target responded that it did not run the call. */
    Shed = "shed",
    /** No usable response arrived. */
    Broken = "broken",
    /** No byte of a response arrived, and the target has probably never queued the call because it was full. */
    Unqueued = "unqueued",
    /** The call was cancelled before it ended. */
    Cancelled = "cancelled",
}
