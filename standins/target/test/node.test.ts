import { CallHeader } from "@bilberrycroft/protocol.calls";
import { TargetState } from "@bilberrycroft/coordination.membership";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { waitUntil } from "../../../protocol/store/test/virtualTime";
import { innerCallHeader, type TargetStandin } from "../src";
import { call, type RecordingNode, startRecordingNode, startTestTarget, VirtualTime } from "./support";

describe("target and the node of its host", () => {
    let time: VirtualTime;
    let node: RecordingNode;
    let target: TargetStandin;

    beforeEach(async () => {
        time = new VirtualTime();
        node = await startRecordingNode();
        target = await startTestTarget(time, {
            nodeControl: node.address,
            nodeCalls: node.address,
            coldStartMs: 1_000,
            coldFactor: 1,
        });
        await waitUntil(() => node.requests.length === 1);
    });
    afterEach(async () => {
        await target.close();
        node.close();
    });

    const lastState = (): TargetState => JSON.parse(node.requests.at(-1)?.body ?? "{}").state as TargetState;

    describe("announcements", () => {
        it("contain the data that routing needs, and are sent immediately and then every second", async () => {
            expect(JSON.parse(node.requests[0]?.body ?? "")).toEqual({
                id: "r1",
                service: "readings",
                address: target.address,
                state: TargetState.Warming,
                slots: 6,
                connections: 100,
            });
            time.advance(1_000);
            await waitUntil(() => node.requests.length === 2);
            expect(lastState()).toBe(TargetState.Ready);
        });

        it("continue after the node failed, so that a restarted node discovers its targets", async () => {
            node.status = 0;
            time.advance(1_000);
            await waitUntil(() => node.requests.length === 2);
            node.status = 200;
            time.advance(1_000);
            await waitUntil(() => node.requests.length === 3);
        });

        it("report a drain at the start of its grace period, so that no node sends new calls after it", async () => {
            const drained = target.drain();
            await waitUntil(() => node.requests.length === 2);
            expect(lastState()).toBe(TargetState.Draining);
            await time.advanceUntilSettled(drained, 100);
            await waitUntil(() => lastState() === TargetState.Gone);
        });
    });

    describe("inner calls", () => {
        const innerRequests = (): RecordingNode["requests"] => node.requests.filter(({ url }) => url !== "/announce");

        it("pass on tenant, remaining time, depth and attempt, so that limits apply to the whole chain", async () => {
            const outer = call(target.address, "/a", {
                [innerCallHeader]: "/b,/c",
                [CallHeader.Tenant]: "co-op",
                [CallHeader.Timeout]: "900",
                [CallHeader.Depth]: "2",
                [CallHeader.Attempt]: "2",
                [CallHeader.IdempotencyKey]: "k",
            });
            const response = await time.advanceUntilSettled(outer.response, 1);
            expect(JSON.parse(response.body).inner).toEqual({ status: 200 });
            const inner = innerRequests()[0];
            expect(inner).toMatchObject({
                url: "/b",
                headers: {
                    [innerCallHeader]: "/c",
                    [CallHeader.Tenant]: "co-op",
                    [CallHeader.Depth]: "3",
                    [CallHeader.Attempt]: "2",
                },
            });
            expect(Number(inner?.headers[CallHeader.Timeout])).toBeLessThanOrEqual(900);
            expect(inner?.headers[CallHeader.IdempotencyKey]).toBeUndefined();
        });

        const failures = [
            { name: "is refused", status: 503, path: "/b", inner: { status: 503 } },
            { name: "receives no response", status: 0, path: "/b", inner: { status: 0 } },
            { name: "has a malformed path", status: 200, path: "b c", inner: { status: 0 } },
        ];
        it.each(failures)("cause a 502 response if the inner call $name, and the slot is released", async ({ status, path, inner }) => {
            node.status = status;
            const outer = call(target.address, "/a", { [innerCallHeader]: path });
            const response = await time.advanceUntilSettled(outer.response, 1);
            expect(response.status).toBe(502);
            expect(JSON.parse(response.body).inner).toEqual(inner);
            expect(target.counters().completed).toBe(1);
        });
    });
});
