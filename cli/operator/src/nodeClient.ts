/**
 * Node interface of the operator client. `connectNodeOverControl` implements it over the control transport.
 */
import type { DrainReport, StatusReport } from "@bilberrycroft/protocol.control";

export type { DrainReport, MemberReport, StatusReport } from "@bilberrycroft/protocol.control";

export enum NodeResponseKind {
    Responded = "answered",
    Unreachable = "unreachable",
}

/** Response of a node, or the reason why there is none. */
export type NodeResponse<Report> =
    | { readonly kind: NodeResponseKind.Responded; readonly address: string; readonly report: Report }
    | { readonly kind: NodeResponseKind.Unreachable; readonly address: string; readonly reason: string };

/** Client for the control listener of one node. Failures resolve as `Unreachable`; no method rejects. */
export interface NodeClient {
    /** `host:port` of the control listener. */
    readonly address: string;
    status(): Promise<NodeResponse<StatusReport>>;
    /** Metrics in the Prometheus text format. */
    metrics(): Promise<NodeResponse<string>>;
    drain(): Promise<NodeResponse<DrainReport>>;
}
