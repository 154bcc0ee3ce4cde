/**
 * Inputs and results of the choice of a target.
 */
import type { TargetState } from "@bilberrycroft/coordination.membership";
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import type { Random } from "@bilberrycroft/core.random";
import type { ReportedLoad } from "@bilberrycroft/protocol.calls";
import type { RunTimeClass } from "@bilberrycroft/state.rules";

/** What routing needs to know of a target; built from the membership table. */
export interface RoutingTarget {
    readonly id: string;
    readonly service: string;
    readonly address: string;
    readonly zone: string;
    readonly state: TargetState;
    readonly slots: number;
    readonly connections: number;
    /** False while the target's node is dead or its zone does not respond. */
    readonly reachable: boolean;
    /** Time that the target has been in its state; absent if unknown, and then it counts as new. */
    readonly stateAgeMs?: Milliseconds;
}

/** Options of a `Router`. */
export interface RouterOptions {
    readonly clock: Clock;
    readonly random: Random;
    /** Zone of this node. */
    readonly zone: string;
}

/** Measured round trip to a zone, for example the time that a connection took. */
export interface ZoneDistance {
    readonly zone: string;
    readonly roundTripMs: Milliseconds;
}

/** What routing knows of the load of a target when it is considered for a call. */
export interface TargetLoad {
    readonly target: RoutingTarget;
    /** Calls of other nodes that are probably in the target. */
    readonly others: number;
    /** The same by a recent load report without discount; absent if there is none. */
    readonly reportedOthers: number | undefined;
    /** Share of its capacity that a new or cold target gets, from above 0 to 1. */
    readonly ramp: number;
    /** Long calls that all other nodes leave to this node in the target. */
    readonly longShare: number;
}

/** What a target is chosen for. */
export interface TargetRequest {
    readonly service: string;
    readonly runTimeClass: RunTimeClass;
    /** Targets that the call has tried already. */
    readonly exclude: readonly string[];
    /** Whether the attempt may serve as a trial of a suspected target. */
    readonly trialAllowed: boolean;
    /** Whether the target's concurrency limits admit one more call; all do if absent. */
    readonly hasRoom?: (load: TargetLoad) => boolean;
}

/** Kinds of `TargetChoice`. */
export enum TargetChoiceKind {
    Chosen = "chosen",
    NoTarget = "no-target",
}

/** Why no target was chosen. */
export enum NoTargetReason {
    /** The service has no target. */
    UnknownService = "unknown-service",
    /** Every target is draining or gone. */
    Leaving = "leaving",
    /** Every remaining target was tried by this call. */
    Tried = "tried",
    /** Every remaining target refuses connections or has just broken one. */
    Refusing = "refusing",
    /** A target may have room soon: waiting helps. */
    Busy = "busy",
}

/** Result of a choice. */
export type TargetChoice =
    | { readonly kind: TargetChoiceKind.Chosen; readonly target: RoutingTarget; readonly trial: boolean }
    | { readonly kind: TargetChoiceKind.NoTarget; readonly reason: NoTargetReason };

/** An attempt that was sent to a target. */
export interface StartedAttempt {
    readonly callId: string;
    readonly target: string;
    readonly runTimeClass: RunTimeClass;
}

/** How an attempt ended, as the sender saw it. */
export enum AttemptResult {
    /** The complete response arrived. */
    Answered = "answered",
    /** The target answered that it did not run the call. */
    Shed = "shed",
    /** The connection was refused or could not be opened. */
    ConnectionRefused = "connection-refused",
    /** The connection broke with the call in flight. */
    Broken = "broken",
    /** The time for the attempt ran out. */
    TimedOut = "timed-out",
    /** The sender gave the attempt up: the caller left, or another attempt answered first. */
    Cancelled = "cancelled",
}

/** The end of an attempt. */
export interface EndedAttempt {
    readonly callId: string;
    readonly target: string;
    readonly latencyMs: Milliseconds;
    readonly result: AttemptResult;
    readonly load: ReportedLoad | undefined;
    readonly draining: boolean;
}

/** What an ended attempt says of its target. */
export interface AttemptAssessment {
    /** Latency relative to the target's usual latency for the class; 1 if unknown. */
    readonly slowdown: number;
    /** Latency without the distance to the target's zone. */
    readonly runTimeMs: Milliseconds;
}

/** What status output shows of a target. */
export interface TargetView {
    readonly id: string;
    readonly service: string;
    readonly suspected: boolean;
    readonly refusing: boolean;
    readonly draining: boolean;
    readonly callsInFlight: number;
    readonly ramp: number;
    readonly othersInTarget: number;
    readonly usualShortMs: Milliseconds | undefined;
    readonly recentShortMs: Milliseconds | undefined;
    readonly connectionShare: number;
}
