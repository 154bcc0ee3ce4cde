/**
 * Entry types of the membership table. Only the node that an entry describes raises the entry's revision.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";

/** State announced by the target, or set by its node when announcements stop or the node drains. */
export enum TargetState {
    Warming = "warming",
    Ready = "ready",
    Draining = "draining",
    Gone = "gone",
}

/** A target as announced by the node on its host. */
export interface Target {
    readonly id: string;
    readonly service: string;
    /** `host:port` of the target's call listener. */
    readonly address: string;
    readonly state: TargetState;
    /** Maximum number of calls that the target runs concurrently. */
    readonly slots: number;
    /** Maximum number of connections that the target accepts. */
    readonly connections: number;
    /** Wall time of the last state change. */
    readonly since: Milliseconds;
}

/** Liveness of a node as seen by other nodes. */
export enum Liveness {
    Alive = "alive",
    Suspect = "suspect",
    Dead = "dead",
    /** The node left the table in a graceful shutdown. */
    Left = "left",
}

/** A configuration version that a node refused, with the line that caused the refusal. */
export interface ReportedRefusal {
    readonly version: number;
    readonly digest: string;
    readonly line: number;
    readonly requester: string;
    readonly reason: string;
}

/** One node of the membership table. */
export interface Entry {
    /** Unique per process run. */
    readonly node: string;
    /** Unchanged when the host's process is replaced. */
    readonly host: string;
    readonly zone: string;
    readonly region: string;
    /** `host:port` of the control listener. */
    readonly controlAddress: string;
    /** `host:port` of the call listener. */
    readonly callAddress: string;
    /**
     * Wall time of the process start, or a higher value to exceed the incarnation of a predecessor. On one host, the
     * process with the higher incarnation replaces the other.
     */
    readonly incarnation: number;
    /** Incremented with each change that the node makes to its own entry. */
    readonly revision: number;
    readonly liveness: Liveness;
    /** Version in force; 0 before the first activation. */
    readonly version: number;
    /** Digest of the version in force; empty before the first activation. */
    readonly digest: string;
    readonly refusal: ReportedRefusal | undefined;
    readonly targets: readonly Target[];
}
