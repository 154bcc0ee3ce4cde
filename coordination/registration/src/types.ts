/**
 * What a target says of itself to the node beside it.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import type { TargetPhase } from "@bilberrycroft/protocol.forwarding";

/** One heartbeat. */
export interface TargetHeartbeat {
    readonly id: string;
    readonly service: string;
    /** `host:port` of the target. */
    readonly address: string;
    readonly slots: number;
    readonly phase: TargetPhase;
    /** How much longer the target is slow after its start. */
    readonly coldLeftMs: Milliseconds;
    /** Grows with each heartbeat of one incarnation. */
    readonly sequence: number;
    /** Wall time of the target's start; `undefined` if it does not say. */
    readonly startedAt: Milliseconds | undefined;
}

/** A target says that it leaves for good. */
export interface TargetDeparture {
    readonly id: string;
    readonly startedAt: Milliseconds | undefined;
}

/** Kinds of `HeartbeatOutcome`. */
export enum HeartbeatOutcomeKind {
    /** Known already; nothing changes. */
    Refreshed = "refreshed",
    /** The belief about the target changed. */
    Changed = "changed",
    /** Sent before something that is known already. */
    Outdated = "outdated",
    /** Not from the target of this host. */
    Foreign = "foreign",
}

/** What a heartbeat did. */
export interface HeartbeatOutcome {
    readonly kind: HeartbeatOutcomeKind;
}
