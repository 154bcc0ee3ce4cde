/** Fake nodes that respond with prepared reports. */
import { type Entry, Liveness } from "@bilberrycroft/coordination.membership";
import { type MemberReport, type NodeResponse, NodeResponseKind, type NodeClient, type StatusReport } from "../src/index";

export const acceptedHead = { version: 5, digest: "d5" };

/** Creates a member that has the accepted version, with the given changes. */
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
        ...acceptedHead,
        refusal: undefined,
        targets: [],
        ...change,
    };
    return { entry, ageMs: 0, zoneUnreachable };
}

export function response(node: string, members: readonly MemberReport[], change: Partial<StatusReport> = {}) {
    const report: StatusReport = {
        node,
        zone: "east",
        ...acceptedHead,
        heardHead: undefined,
        notServing: undefined,
        storeReachable: true,
        members,
        ...change,
    };
    return { kind: NodeResponseKind.Responded as const, address: `${node}:1`, report };
}

export function unreachable(address: string): NodeResponse<never> {
    return { kind: NodeResponseKind.Unreachable, address, reason: "refused" };
}

/** Creates a client that returns the given status responses in order and then repeats the last one. */
export function fakeNode(address: string, ...responses: readonly NodeResponse<StatusReport>[]): NodeClient {
    let statusCalls = 0;
    return {
        address,
        status: async () => responses[Math.min(statusCalls++, responses.length - 1)] ?? unreachable(address),
        metrics: async () => ({ kind: NodeResponseKind.Responded, address, report: "up 1\n" }),
        drain: async () => ({ kind: NodeResponseKind.Responded, address, report: { node: address, state: "draining" } }),
    };
}
