/**
 * Messages from a target to its node.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import type { TargetPhase } from "@bilberrycroft/protocol.forwarding";

export interface TargetHeartbeat {
    readonly id: string;
    readonly service: string;
    /** `host:port` of the target. */
    readonly address: string;
    readonly slots: number;
    readonly phase: TargetPhase;
    /** Remaining time of the cold start, in which the target is slow. */
    readonly remainingColdMs: Milliseconds;
    /** Increases with each heartbeat of an incarnation. */
    readonly sequence: number;
    /** Wall time of the target's start; `undefined` if the target does not report it. */
    readonly startedAt: Milliseconds | undefined;
    /** `undefined` if the target names none. */
    readonly version?: string | undefined;
}

/** Permanent departure of a target. */
export interface TargetDeparture {
    readonly id: string;
    readonly startedAt: Milliseconds | undefined;
}

export enum HeartbeatOutcomeKind {
    /** Nothing changed. */
    Refreshed = "refreshed",
    /** The announced target or its availability changed. */
    Changed = "changed",
    /** Older than the known state. */
    Outdated = "outdated",
    /** Not from the target of this host; ignored. */
    Foreign = "foreign",
}

/** Effect of a heartbeat or departure. */
export interface HeartbeatOutcome {
    readonly kind: HeartbeatOutcomeKind;
}
