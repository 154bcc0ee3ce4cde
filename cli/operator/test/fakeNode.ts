/** Nodes that answer with a prepared report. */
import { type Entry, Liveness } from "@bilberrycroft/coordination.membership";
import { type MemberReport, type NodeAnswer, NodeAnswerKind, type NodeClient, type StatusReport } from "../src/index";

export const head = { version: 5, digest: "d5" };

/** A member that has the accepted version, changed as given. */
export function member(node: string, change: Partial<Entry> = {}, zoneUnreachable = false): MemberReport {
    const entry: Entry = {
        node,
        host: `host-${node}`,
        zone: "east",
        region: "r",
        controlAddress: `${node}:1`,
        callAddress: `${node}:2`,
        incarnation: 1,
        revision: 1,
        liveness: Liveness.Alive,
        ...head,
        refusal: undefined,
        targets: [],
        ...change,
    };
    return { entry, ageMs: 0, zoneUnreachable };
}

export function answer(node: string, members: readonly MemberReport[], change: Partial<StatusReport> = {}) {
    const report: StatusReport = {
        node,
        zone: "east",
        ...head,
        heardHead: undefined,
        notServing: undefined,
        storeReachable: true,
        members,
        ...change,
    };
    return { kind: NodeAnswerKind.Answered as const, address: `${node}:1`, report };
}

export function silence(address: string): NodeAnswer<never> {
    return { kind: NodeAnswerKind.Unreachable, address, reason: "refused" };
}

/** A client whose status changes with each question; the last one is repeated. */
export function fakeNode(address: string, ...answers: readonly NodeAnswer<StatusReport>[]): NodeClient {
    let asked = 0;
    return {
        address,
        status: async () => answers[Math.min(asked++, answers.length - 1)] ?? silence(address),
        metrics: async () => ({ kind: NodeAnswerKind.Answered, address, report: "up 1\n" }),
        drain: async () => ({ kind: NodeAnswerKind.Answered, address, report: { node: address, state: "draining" } }),
    };
}
