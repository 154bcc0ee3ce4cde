/**
 * Implements `NodeClient` over the control transport.
 */
import { type ControlClient, type ControlOutcome, ControlOutcomeKind } from "@bilberrycroft/transport.control";
import { type NodeResponse, NodeResponseKind, type NodeClient } from "./nodeClient";

/** Creates a client for one node. Nothing is sent before the first request. */
export function connectNodeOverControl(client: ControlClient, address: string): NodeClient {
    return {
        address,
        status: async () => toResponse(address, await client.status(address)),
        metrics: async () => toResponse(address, await client.metrics(address)),
        drain: async () => toResponse(address, await client.drain(address)),
    };
}

function toResponse<Report>(address: string, outcome: ControlOutcome<Report>): NodeResponse<Report> {
    return outcome.kind === ControlOutcomeKind.Done
        ? { kind: NodeResponseKind.Responded, address, report: outcome.value }
        : { kind: NodeResponseKind.Unreachable, address, reason: outcome.reason };
}
