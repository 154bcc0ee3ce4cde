/**
 * Connections of the operators' client to nodes, over the control transport.
 */
import { type ControlClient, type ControlOutcome, ControlOutcomeKind } from "@bilberrycroft/transport.control";
import { type NodeAnswer, NodeAnswerKind, type NodeClient } from "./nodeClient";

/** Connects to one node; nothing is sent before the first question. */
export function connectNodeOverControl(client: ControlClient, address: string): NodeClient {
    return {
        address,
        status: async () => toAnswer(address, await client.status(address)),
        metrics: async () => toAnswer(address, await client.metrics(address)),
        drain: async () => toAnswer(address, await client.drain(address)),
    };
}

function toAnswer<Report>(address: string, outcome: ControlOutcome<Report>): NodeAnswer<Report> {
    return outcome.kind === ControlOutcomeKind.Done
        ? { kind: NodeAnswerKind.Answered, address, report: outcome.value }
        : { kind: NodeAnswerKind.Unreachable, address, reason: outcome.reason };
}
