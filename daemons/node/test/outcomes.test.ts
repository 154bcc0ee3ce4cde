import { MemoryStore, StoreFaultKind } from "@bilberrycroft/protocol.store";
import { TargetState } from "@bilberrycroft/coordination.membership";
import { v7 as createKey } from "uuid";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import type { RunningNode } from "../src";
import {
    type Behaviour,
    Cleanup,
    createTestStore,
    type FakeTarget,
    send,
    startFakeTarget,
    startTestNode,
    until,
} from "./support";

const notRun: Behaviour = response => response.writeHead(503, { "x-mesh-outcome": "not-run" }).end();
const breakOff: Behaviour = response => response.destroy();
const neverAnswer: Behaviour = () => undefined;

describe("outcomes of calls over sockets", () => {
    let cleanup: Cleanup;
    let store: MemoryStore;
    let node: RunningNode;
    let target: FakeTarget;

    beforeEach(async () => {
        cleanup = new Cleanup();
        store = await createTestStore();
        node = await startTestNode(cleanup, store, { maxRequestBytes: 1_000 });
        target = await startFakeTarget(cleanup, node);
    });
    afterEach(() => cleanup.run());

    const once = (): Record<string, string> => ({ "idempotency-key": createKey() });

    describe("not-run is true: the target saw no call, or said itself that it did not begin it", () => {
        const refusals = [
            { path: "/absent", status: 404, reason: "no-route" },
            { path: "/nowhere", status: 503, reason: "no-target" },
            { path: "/private", status: 403, reason: "tenant-not-allowed" },
            { path: "/write", status: 400, reason: "idempotency-key-missing" },
            { path: "/write", headers: { "idempotency-key": "1" }, status: 400, reason: "bad-request" },
            { path: "/read", headers: { "x-mesh-timeout-ms": "0" }, status: 400, reason: "bad-request" },
            { path: "/read", headers: { "x-mesh-timeout-ms": "1e3" }, status: 400, reason: "bad-request" },
            { path: "/read", headers: { "x-mesh-depth": "65" }, status: 400, reason: "bad-request" },
            { path: "/read", headers: { "x-mesh-attempt": "-1" }, status: 400, reason: "bad-request" },
            { path: "/read", headers: { "idempotency-key": "k".repeat(65) }, status: 400, reason: "bad-request" },
            { path: "/read", body: "b".repeat(1_001), status: 413, reason: "bad-request" },
        ];
        it.each(refusals)("$path $headers: $status $reason", async ({ path, headers, body, status, reason }) => {
            const seen = await send(node.callAddress, path, {
                method: "POST",
                headers: headers as Record<string, string> | undefined ?? {},
                body: body ?? "",
            });
            expect(seen).toMatchObject({ status, outcome: "not-run", reason, complete: true });
            expect(target.seen).toEqual([]);
        });

        it.each(["/read", "/write"])("%s: refused connections of a target that ended", async path => {
            target.crash();
            const seen = await send(node.callAddress, path, { headers: once() });
            expect(seen.outcome).toBe("not-run");
            expect(target.seen).toEqual([]);
        });

        it.each(["/read", "/write"])("%s: the target says not-run", async path => {
            target.behaviour = notRun;
            const seen = await send(node.callAddress, path, { headers: once() });
            expect(seen).toMatchObject({ status: 503, outcome: "not-run", reason: "target-refused" });
        });

        it("no configuration yet", async () => {
            const empty = await startTestNode(cleanup, new MemoryStore(), { host: "h2" });
            expect(await send(empty.callAddress, "/read")).toMatchObject({
                status: 503,
                outcome: "not-run",
                reason: "no-configuration",
                headers: { "retry-after": "1" },
            });
        });

        it("the rate of the route is used up", async () => {
            const answers = await Promise.all(Array.from({ length: 20 }, () => send(node.callAddress, "/limited")));
            const refused = answers.filter(answer => answer.outcome === "not-run");
            expect(refused.length).toBeGreaterThan(0);
            expect(refused.every(answer => answer.status === 429 && answer.reason === "rate-limited")).toBe(true);
            expect(target.seen).toHaveLength(answers.length - refused.length);
        });

        it("overload: calls that waited past their deadline never reached the target", async () => {
            target.behaviour = neverAnswer;
            const answers = await Promise.all(Array.from({ length: 40 }, (_, index) =>
                send(node.callAddress, "/lateonce", { method: "POST", body: String(index), headers: once() })));
            const refused = answers.filter(answer => answer.outcome === "not-run");
            expect(refused.length).toBeGreaterThan(0);
            expect(target.seen).toHaveLength(answers.length - refused.length);
            expect(answers.every(answer => answer.outcome !== "done")).toBe(true);
        });

        it("a store that is down", async () => {
            store.inject({ kind: StoreFaultKind.Down });
            expect(await send(node.callAddress, "/write", { headers: once() })).toMatchObject({
                status: 503,
                outcome: "not-run",
                reason: "claim-unavailable",
                headers: { "retry-after": "1" },
            });
            expect(target.seen).toEqual([]);
            expect((await send(node.callAddress, "/read")).outcome).toBe("done");
        });
    });

    describe("unknown is said whenever the target may have run the call", () => {
        const lost = [
            { name: "connection broken after the request", path: "/write", behaviour: breakOff, status: 502, reason: "answer-lost" },
            { name: "time out of a call with a key", path: "/lateonce", behaviour: neverAnswer, status: 504, reason: "timed-out" },
            { name: "time out of a repeatable call", path: "/late", behaviour: neverAnswer, status: 504, reason: "timed-out" },
        ];
        it.each(lost)("$name", async ({ path, behaviour, status, reason }) => {
            target.behaviour = behaviour;
            const seen = await send(node.callAddress, path, { headers: once() });
            expect(seen).toMatchObject({ status, outcome: "unknown", reason });
            expect(target.seen).toHaveLength(1);
        });

        it("never sends a call with a key to a second target after its answer was lost", async () => {
            const second = await startFakeTarget(cleanup, node, { id: "t2" });
            target.behaviour = breakOff;
            second.behaviour = breakOff;
            const seen = await send(node.callAddress, "/write", { headers: once() });
            expect(seen.outcome).toBe("unknown");
            expect(target.seen.length + second.seen.length).toBe(1);
        });

        // The retry budget and the ramp of a new target may leave a resend to the caller.
        it("runs a call with a key once at another target after the first said not-run", async () => {
            const second = await startFakeTarget(cleanup, node, { id: "t2" });
            target.behaviour = notRun;
            const headers = once();
            await until(async () => (await send(node.callAddress, "/write", { headers })).outcome === "done");
            expect(second.seen).toHaveLength(1);
        });
    });

    describe("what a target is told", () => {
        it("gets the remaining time, depth and attempt, and no header of the caller's connection", async () => {
            await send(node.callAddress, "/read?a=1", {
                method: "POST",
                body: "x",
                headers: { "x-mesh-timeout-ms": "9000", "x-mesh-depth": "3", te: "trailers", "x-own": "kept" },
            });
            const headers = target.seen[0]?.headers;
            expect(target.seen[0]).toMatchObject({ path: "/read?a=1", body: "x" });
            expect(headers).toMatchObject({ "x-mesh-depth": "3", "x-mesh-attempt": "1", "x-own": "kept" });
            expect(Number(headers?.["x-mesh-timeout-ms"])).toBeLessThan(9_000);
            expect(headers?.te).toBeUndefined();
        });
    });

    describe("a target that leaves gets no new work", () => {
        const leaving = [
            { name: "after its announcement", leave: () => target.announce(TargetState.Draining) },
            {
                name: "after it said so with an answer",
                leave: async () => {
                    target.behaviour = response => response.setHeader("x-mesh-draining", "1").end();
                },
            },
        ];
        it.each(leaving)("$name", async ({ leave }) => {
            // The other target is slow, so that the leaving one would be preferred.
            const slow: Behaviour = response => setTimeout(() => response.end(), 20);
            await startFakeTarget(cleanup, node, { id: "t2", behaviour: slow });
            await until(async () => {
                await send(node.callAddress, "/read");
                return target.seen.length > 0;
            });
            await leave();
            await until(async () => {
                const before = target.seen.length;
                await Promise.all(Array.from({ length: 8 }, () => send(node.callAddress, "/read")));
                return target.seen.length === before;
            });
            const before = target.seen.length;
            for (let calls = 0; calls < 50; calls++) {
                await send(node.callAddress, "/read");
            }
            expect(target.seen).toHaveLength(before);
        });
    });

    it("holds a request that crashed two targets while other calls go on", async () => {
        const ids = ["t2", "t3", "t4"];
        const targets = [target, ...await Promise.all(ids.map(id => startFakeTarget(cleanup, node, { id })))];
        const crashed = new Set<FakeTarget>();
        for (const each of targets) {
            each.behaviour = (response, call) => {
                if (call.body !== "poison") {
                    response.end("done");
                    return;
                }
                crashed.add(each);
                each.crash();
            };
        }
        let held: string | undefined;
        await until(async () => {
            held = (await send(node.callAddress, "/read", { method: "POST", body: "poison" })).reason;
            return held === "quarantined" || crashed.size === targets.length;
        });
        expect(held).toBe("quarantined");
        expect(crashed.size).toBe(2);
        expect((await send(node.callAddress, "/read", { method: "POST", body: "harmless" })).outcome).toBe("done");
    });
});
