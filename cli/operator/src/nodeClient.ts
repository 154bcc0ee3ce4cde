/**
 * What the operators' client asks of a node. The control transport implements it.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import type { Entry } from "@bilberrycroft/coordination.membership";
import type { ConfigurationHead } from "@bilberrycroft/state.snapshots";

/** Kinds of `NodeAnswer`. */
export enum NodeAnswerKind {
    Answered = "answered",
    Unreachable = "unreachable",
}

/** A node's answer, or why there is none. */
export type NodeAnswer<Report> =
    | { readonly kind: NodeAnswerKind.Answered; readonly address: string; readonly report: Report }
    | { readonly kind: NodeAnswerKind.Unreachable; readonly address: string; readonly reason: string };

/** One entry of a node's membership table. */
export interface MemberReport {
    readonly entry: Entry;
    /** Time since the entry was heard. Entries of idle nodes are not repeated, so a high age alone is no fault. */
    readonly ageMs: Milliseconds;
    /** The entry's zone does not respond to the reporting node. */
    readonly zoneUnreachable: boolean;
}

/** What one node knows. */
export interface StatusReport {
    readonly node: string;
    readonly zone: string;
    /** Version in force; 0 before the first. */
    readonly version: number;
    /** Digest of the version in force; empty before the first. */
    readonly digest: string;
    /** Highest accepted version that the node has heard of. */
    readonly heardHead: ConfigurationHead | undefined;
    /** The whole membership table. The node's own entry may be among them. */
    readonly members: readonly MemberReport[];
}

/** Result of asking a node to stop. */
export interface DrainReport {
    readonly node: string;
    /** State of the node's stop, as it names it. */
    readonly state: string;
}

/** Connection to the control listener of one node. Failures are answers; no method rejects. */
export interface NodeClient {
    /** `host:port` of the control listener. */
    readonly address: string;
    status(): Promise<NodeAnswer<StatusReport>>;
    /** Metrics in the Prometheus text format. */
    metrics(): Promise<NodeAnswer<string>>;
    drain(): Promise<NodeAnswer<DrainReport>>;
}
