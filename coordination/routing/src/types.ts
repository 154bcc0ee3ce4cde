/**
 * Inputs and results of target selection.
 */
import type { TargetState } from "@bilberrycroft/coordination.membership";
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import type { Random } from "@bilberrycroft/core.random";
import type { ReportedLoad } from "@bilberrycroft/protocol.calls";
import type { RunTimeClass } from "@bilberrycroft/state.rules";

/** Routing information of a target, from the membership table. */
export interface RoutingTarget {
    readonly id: string;
    readonly service: string;
    readonly address: string;
    readonly zone: string;
    readonly state: TargetState;
    readonly slots: number;
    readonly connections: number;
    /** False while the target's node has failed or its zone does not respond. */
    readonly reachable: boolean;
    /** Time since the target entered its state; if absent, the target counts as new unless it is in the first table. */
    readonly stateAgeMs?: Milliseconds;
}

export interface RouterOptions {
    readonly clock: Clock;
    readonly random: Random;
    /** Zone of this node. */
    readonly zone: string;
}

/** Measured round trip to a zone, for example the time to open a connection. */
export interface ZoneDistance {
    readonly zone: string;
    readonly roundTripMs: Milliseconds;
}

/** Estimated load of a target that is considered for a call. */
export interface EstimatedTargetLoad {
    readonly target: RoutingTarget;
    /** Estimated calls of other nodes in the target. */
    readonly otherCalls: number;
    /** Calls of other nodes according to a recent load report, without discount; `undefined` if there is none. */
    readonly reportedOtherCalls: number | undefined;
    /** Share of the capacity that is used while the target is new or cold, greater than 0 and at most 1. */
    readonly ramp: number;
    /** Number of long calls that this node may run in the target regardless of the other nodes. */
    readonly longCallShare: number;
}

export interface TargetRequest {
    readonly service: string;
    readonly runTimeClass: RunTimeClass;
    /** Targets that the call has already tried. */
    readonly exclude: readonly string[];
    /** Whether the attempt may serve as a trial of a suspected target. */
    readonly isTrialAllowed: boolean;
    /** Whether the target's concurrency limits admit another call; if absent, they always do. */
    readonly hasCapacity?: (load: EstimatedTargetLoad) => boolean;
}

export enum TargetChoiceKind {
    Chosen = "chosen",
    NoTarget = "no-target",
}

export enum NoTargetReason {
    /** The service has no target. */
    UnknownService = "unknown-service",
    /** Every target is draining or gone. */
    Leaving = "leaving",
    /** The call has tried every remaining target. */
    Tried = "tried",
    /** Every remaining target recently refused or broke a connection. */
    Refusing = "refusing",
    /** A target may have free capacity soon, so waiting helps. */
    Busy = "busy",
}

export type TargetChoice =
    | { readonly kind: TargetChoiceKind.Chosen; readonly target: RoutingTarget; readonly isTrial: boolean }
    | { readonly kind: TargetChoiceKind.NoTarget; readonly reason: NoTargetReason };

/** An attempt that was sent to a target. */
export interface StartedAttempt {
    readonly callId: string;
    readonly target: string;
    readonly runTimeClass: RunTimeClass;
}

/** How an attempt ended, from the sender's view. */
export enum AttemptResult {
    /** The complete response arrived. */
    Answered = "answered",
    /** The target responded that it did not run the call. */
    Shed = "shed",
    /** The connection was refused or could not be opened. */
    ConnectionRefused = "connection-refused",
    /** The connection broke with the call in flight. */
    Broken = "broken",
    /** The attempt timed out. */
    TimedOut = "timed-out",
    /** The sender cancelled the attempt: the caller disconnected, or another attempt succeeded first. */
    Cancelled = "cancelled",
}

export interface EndedAttempt {
    readonly callId: string;
    readonly target: string;
    readonly latencyMs: Milliseconds;
    readonly result: AttemptResult;
    readonly load: ReportedLoad | undefined;
    readonly draining: boolean;
}

/** Evaluation of an ended attempt. */
export interface AttemptAssessment {
    /** Run time relative to the target's normal latency for the class; 1 if unknown. */
    readonly slowdown: number;
    /** Latency without the round trip to the target's zone. */
    readonly runTimeMs: Milliseconds;
}

/** State of a target for status output. */
export interface TargetView {
    readonly id: string;
    readonly service: string;
    readonly isSuspected: boolean;
    readonly isRefusing: boolean;
    readonly draining: boolean;
    readonly callsInFlight: number;
    readonly ramp: number;
    readonly otherCalls: number;
    readonly baselineShortMs: Milliseconds | undefined;
    readonly recentShortMs: Milliseconds | undefined;
    readonly connectionShare: number;
}
