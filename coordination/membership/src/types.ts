/**
 * Entries of the membership table. Only the node that an entry describes raises its revision.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";

/** What a target says of itself, or what its node concluded. */
export enum TargetState {
    Warming = "warming",
    Ready = "ready",
    Draining = "draining",
    Gone = "gone",
}

/** A target as its own host's node announces it. */
export interface Target {
    readonly id: string;
    readonly service: string;
    /** `host:port` of the target's call listener. */
    readonly address: string;
    readonly state: TargetState;
    /** Calls that the target runs at once. */
    readonly slots: number;
    /** Connections that the target accepts. */
    readonly connections: number;
    /** Wall time of the last change of state. */
    readonly since: Milliseconds;
}

/** How other nodes see a node. */
export enum Liveness {
    Alive = "alive",
    Suspect = "suspect",
    Dead = "dead",
    /** The node left after a planned stop. */
    Left = "left",
}

/** Configuration that a node refused, with the line to blame. */
export interface ReportedRefusal {
    readonly version: number;
    readonly digest: string;
    readonly line: number;
    readonly requester: string;
    readonly reason: string;
}

/** One node of the membership table. */
export interface Entry {
    /** Unique for one run of one process. */
    readonly node: string;
    /** Stays the same when the host's process is replaced. */
    readonly host: string;
    readonly zone: string;
    readonly region: string;
    /** `host:port` of the control listener. */
    readonly controlAddress: string;
    /** `host:port` of the call listener. */
    readonly callAddress: string;
    /** Wall time of the process start; a later process on a host replaces an earlier one. */
    readonly incarnation: number;
    /** Rises with each change that the node makes to its own entry. */
    readonly revision: number;
    readonly liveness: Liveness;
    /** Version in force; 0 before the first. */
    readonly version: number;
    /** Digest of the version in force; empty before the first. */
    readonly digest: string;
    readonly refusal: ReportedRefusal | undefined;
    readonly targets: readonly Target[];
}
