/**
 * What the operators' client asks of a node. The control transport implements it.
 */
import type { DrainReport, StatusReport } from "@bilberrycroft/protocol.control";

export type { DrainReport, MemberReport, StatusReport } from "@bilberrycroft/protocol.control";

/** Kinds of `NodeAnswer`. */
export enum NodeAnswerKind {
    Answered = "answered",
    Unreachable = "unreachable",
}

/** A node's answer, or why there is none. */
export type NodeAnswer<Report> =
    | { readonly kind: NodeAnswerKind.Answered; readonly address: string; readonly report: Report }
    | { readonly kind: NodeAnswerKind.Unreachable; readonly address: string; readonly reason: string };

/** Connection to the control listener of one node. Failures are answers; no method rejects. */
export interface NodeClient {
    /** `host:port` of the control listener. */
    readonly address: string;
    status(): Promise<NodeAnswer<StatusReport>>;
    /** Metrics in the Prometheus text format. */
    metrics(): Promise<NodeAnswer<string>>;
    drain(): Promise<NodeAnswer<DrainReport>>;
}
