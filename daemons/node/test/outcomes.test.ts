import type { ServerResponse } from "node:http";
import { MemoryStore, StoreFaultKind } from "@bilberrycroft/protocol.store";
import { TargetState } from "@bilberrycroft/coordination.membership";
import { v7 as createKey } from "uuid";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import type { RunningNode } from "../src";
import {
    Cleanup,
    createTestStore,
    type FakeTarget,
    send,
    startFakeTarget,
    startTestNode,
    type TargetBehaviour,
    waitUntil,
} from "./support";

const notRun: TargetBehaviour = response => response.writeHead(503, { "x-mesh-outcome": "not-run" }).end();
const breakConnection: TargetBehaviour = response => response.destroy();
const neverRespond: TargetBehaviour = () => undefined;

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

    const createKeyHeader = (): Record<string, string> => ({ "idempotency-key": createKey() });

    describe("not-run: the target received no call, or reported that it did not start it", () => {
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
            const response = await send(node.callAddress, path, {
                method: "POST",
                headers: headers as Record<string, string> | undefined ?? {},
                body: body ?? "",
            });
            expect(response).toMatchObject({ status, outcome: "not-run", reason, complete: true });
            expect(target.receivedCalls).toEqual([]);
        });

        it.each(["/read", "/write"])("%s: connections refused by a target that crashed", async path => {
            target.crash();
            const response = await send(node.callAddress, path, { headers: createKeyHeader() });
            expect(response.outcome).toBe("not-run");
            expect(target.receivedCalls).toEqual([]);
        });

        it.each(["/read", "/write"])("%s: the target reports not-run", async path => {
            target.behaviour = notRun;
            const response = await send(node.callAddress, path, { headers: createKeyHeader() });
            expect(response).toMatchObject({ status: 503, outcome: "not-run", reason: "target-refused" });
        });

        it("no configuration in force", async () => {
            const empty = await startTestNode(cleanup, new MemoryStore(), { host: "h2" });
            expect(await send(empty.callAddress, "/read")).toMatchObject({
                status: 503,
                outcome: "not-run",
                reason: "no-configuration",
                headers: { "retry-after": "1" },
            });
        });

        it("rate limit of the route exceeded", async () => {
            const responses = await Promise.all(Array.from({ length: 20 }, () => send(node.callAddress, "/limited")));
            const refused = responses.filter(response => response.outcome === "not-run");
            expect(refused.length).toBeGreaterThan(0);
            expect(refused.every(response => response.status === 429 && response.reason === "rate-limited")).toBe(true);
            expect(target.receivedCalls).toHaveLength(responses.length - refused.length);
        });

        it("overload: calls that were queued past their deadline never reach the target", async () => {
            target.behaviour = neverRespond;
            const responses = await Promise.all(Array.from({ length: 40 }, (_, index) =>
                send(node.callAddress, "/lateonce", { method: "POST", body: String(index), headers: createKeyHeader() })));
            const refused = responses.filter(response => response.outcome === "not-run");
            expect(refused.length).toBeGreaterThan(0);
            expect(target.receivedCalls).toHaveLength(responses.length - refused.length);
            expect(responses.every(response => response.outcome !== "done")).toBe(true);
        });

        it("the store is down", async () => {
            store.inject({ kind: StoreFaultKind.Down });
            expect(await send(node.callAddress, "/write", { headers: createKeyHeader() })).toMatchObject({
                status: 503,
                outcome: "not-run",
                reason: "claim-unavailable",
                headers: { "retry-after": "1" },
            });
            expect(target.receivedCalls).toEqual([]);
            expect((await send(node.callAddress, "/read")).outcome).toBe("done");
        });
    });

    describe("unknown: the target may have run the call", () => {
        const lostResponses = [
            { name: "connection broken after the request was sent", path: "/write", behaviour: breakConnection, status: 502, reason: "answer-lost" },
            { name: "timeout of a call with a key", path: "/lateonce", behaviour: neverRespond, status: 504, reason: "timed-out" },
            { name: "timeout of a repeatable call", path: "/late", behaviour: neverRespond, status: 504, reason: "timed-out" },
        ];
        it.each(lostResponses)("$name", async ({ path, behaviour, status, reason }) => {
            target.behaviour = behaviour;
            const response = await send(node.callAddress, path, { headers: createKeyHeader() });
            expect(response).toMatchObject({ status, outcome: "unknown", reason });
            expect(target.receivedCalls).toHaveLength(1);
        });

        it("never sends a call with a key to a second target after its response was lost", async () => {
            const second = await startFakeTarget(cleanup, node, { id: "t2" });
            target.behaviour = breakConnection;
            second.behaviour = breakConnection;
            const response = await send(node.callAddress, "/write", { headers: createKeyHeader() });
            expect(response.outcome).toBe("unknown");
            expect(target.receivedCalls.length + second.receivedCalls.length).toBe(1);
        });

        // The retry budget and the slow start of a new target may prevent a retry by the node; the caller then resends.
        it("runs a call with a key once on another target after the first reported not-run", async () => {
            const second = await startFakeTarget(cleanup, node, { id: "t2" });
            target.behaviour = notRun;
            const headers = createKeyHeader();
            await waitUntil(async () => (await send(node.callAddress, "/write", { headers })).outcome === "done");
            expect(second.receivedCalls).toHaveLength(1);
        });
    });

    describe("request forwarded to a target", () => {
        it("carries the remaining time, depth and attempt, and no hop-by-hop header of the caller", async () => {
            await send(node.callAddress, "/read?a=1", {
                method: "POST",
                body: "x",
                headers: { "x-mesh-timeout-ms": "9000", "x-mesh-depth": "3", te: "trailers", "x-own": "kept" },
            });
            const headers = target.receivedCalls[0]?.headers;
            expect(target.receivedCalls[0]).toMatchObject({ path: "/read?a=1", body: "x" });
            expect(headers).toMatchObject({ "x-mesh-depth": "3", "x-mesh-attempt": "1", "x-own": "kept" });
            expect(Number(headers?.["x-mesh-timeout-ms"])).toBeLessThan(9_000);
            expect(headers?.te).toBeUndefined();
        });
    });

    describe("a draining target receives no new calls", () => {
        const drainSignals = [
            { name: "after its announcement", startDraining: () => target.announce(TargetState.Draining) },
            {
                name: "after the draining header of a response",
                startDraining: async () => {
                    target.behaviour = response => response.setHeader("x-mesh-draining", "1").end();
                },
            },
        ];
        it.each(drainSignals)("$name", async ({ startDraining }) => {
            // The other target is slow, so that routing would prefer the draining one.
            const slow: TargetBehaviour = response => setTimeout(() => response.end(), 20);
            await startFakeTarget(cleanup, node, { id: "t2", behaviour: slow });
            await waitUntil(async () => {
                await send(node.callAddress, "/read");
                return target.receivedCalls.length > 0;
            });
            await startDraining();
            await waitUntil(async () => {
                const before = target.receivedCalls.length;
                await Promise.all(Array.from({ length: 8 }, () => send(node.callAddress, "/read")));
                return target.receivedCalls.length === before;
            });
            const before = target.receivedCalls.length;
            for (let calls = 0; calls < 50; calls++) {
                await send(node.callAddress, "/read");
            }
            expect(target.receivedCalls).toHaveLength(before);
        });
    });

    it("quarantines a request that crashed two targets and serves other calls", async () => {
        await expectQuarantineOfCrashes((_, crash) => crash());
    });

    // Guards against a request that is never held back because its targets crash after they have begun to respond.
    const begunResponses: readonly { readonly name: string; readonly begin: (response: ServerResponse) => void }[] = [
        { name: "a short response", begin: response => response.writeHead(200, { "content-length": 100 }).write("a") },
        { name: "a streamed response", begin: response => response.writeHead(200).write("a") },
    ];
    it.each(begunResponses)("quarantines a request that crashed two targets within $name", async ({ begin }) => {
        await expectQuarantineOfCrashes((response, crash) => {
            begin(response);
            setTimeout(crash, 30);
        });
    });

    it("does not quarantine a request whose targets truncate the response and live on", async () => {
        target.behaviour = response => {
            response.writeHead(200).write("a");
            setTimeout(() => response.destroy(), 30);
        };
        for (let calls = 0; calls < 6; calls++) {
            expect((await send(node.callAddress, "/read").catch(() => undefined))?.reason).not.toBe("quarantined");
        }
        // Two crashes would have been enough.
        expect(target.receivedCalls.length).toBeGreaterThanOrEqual(2);
    });

    const expectQuarantineOfCrashes = async (
        respond: (response: ServerResponse, crash: () => void) => void,
    ): Promise<void> => {
        const ids = ["t2", "t3", "t4"];
        const targets = [target, ...await Promise.all(ids.map(id => startFakeTarget(cleanup, node, { id })))];
        const crashed = new Set<FakeTarget>();
        for (const each of targets) {
            each.behaviour = (response, call) => {
                if (call.body !== "poison") {
                    response.end("done");
                    return;
                }
                respond(response, () => {
                    crashed.add(each);
                    each.crash();
                });
            };
        }
        let reason: string | undefined;
        await waitUntil(async () => {
            const response = await send(node.callAddress, "/read", { method: "POST", body: "poison" }).catch(() => undefined);
            reason = response?.reason;
            return reason === "quarantined" || crashed.size === targets.length;
        });
        expect(reason).toBe("quarantined");
        expect(crashed.size).toBe(2);
        expect((await send(node.callAddress, "/read", { method: "POST", body: "harmless" })).outcome).toBe("done");
    };
});
