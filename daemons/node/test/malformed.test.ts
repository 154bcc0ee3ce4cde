import { afterAll, beforeAll, describe, expect, it } from "vitest";
import type { RunningNode } from "../src";
import {
    Cleanup,
    createTestStore,
    type FakeTarget,
    send,
    sendRaw,
    startFakeTarget,
    startTestNode,
} from "./support";

const entry = {
    node: "n",
    host: "h",
    zone: "z",
    region: "r",
    controlAddress: "127.0.0.1:1",
    callAddress: "127.0.0.1:1",
    incarnation: 1,
    revision: 1,
    liveness: "alive",
    version: 0,
    digest: "",
    targets: [],
};
const exchange = {
    from: { node: "n", host: "h", zone: "z", controlAddress: "127.0.0.1:1" },
    head: { version: 0, digest: "" },
    digests: [],
    updates: [],
    versions: [],
    suspicions: [],
    crashReports: [],
    unreachableZones: [],
    rememberedVersion: 0,
    receiverUnknown: false,
};
const announcement = { id: "x", service: "svc", address: "127.0.0.1:1", state: "ready", slots: 1, connections: 1 };

describe("malformed input", () => {
    const cleanup = new Cleanup();
    let node: RunningNode;
    let target: FakeTarget;

    beforeAll(async () => {
        node = await startTestNode(cleanup, await createTestStore(), { maxRequestBytes: 1_000 });
        target = await startFakeTarget(cleanup, node);
    });
    afterAll(() => cleanup.run());

    /** Checks that the node still serves. An unhandled rejection would also fail the test run. */
    const expectServing = async (): Promise<void> => {
        expect((await send(node.callAddress, "/read")).outcome).toBe("done");
        const status = JSON.parse((await send(node.controlAddress, "/status")).body);
        expect(status.result.data.node).toBe(node.node);
        expect(node.version()).toBe(1);
    };

    describe("on the call listener", () => {
        const head = "GET /read HTTP/1.1\r\nhost: x\r\n";
        const bytes = [
            { name: "not HTTP", text: "\0\u0001\u0002garbage\r\n\r\n" },
            { name: "TLS hello", text: "\u0016\u0003\u0001\u0002\u0000\u0001\u0000\u0001\u00fc\u0003\u0003" },
            { name: "HTTP/2 preface", text: "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" },
            { name: "header over 16 KiB", text: `${head}x: ${"x".repeat(20_000)}\r\n\r\n` },
            { name: "header without colon", text: `${head}broken\r\n\r\n` },
            { name: "header with control character", text: `${head}x: a\u007fb\r\n\r\n` },
            { name: "header name with a space", text: `${head}x-cache : 1\r\n\r\n` },
            { name: "header without a name", text: `${head}: 1\r\n\r\n` },
            { name: "content-length with chunked encoding", text: `${head}content-length: 1\r\ntransfer-encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n` },
            { name: "duplicate content-length", text: `${head}content-length: 1\r\ncontent-length: 2\r\n\r\nab` },
            { name: "invalid content-length", text: `${head}content-length: -1\r\n\r\n` },
            { name: "invalid chunk", text: `${head}transfer-encoding: chunked\r\n\r\nzz\r\n` },
            { name: "absolute URL of another scheme", text: "GET ftp://x/read HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n" },
            { name: "asterisk", text: "OPTIONS * HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n" },
            { name: "body over the limit", text: `${head}content-length: 1001\r\n\r\n${"b".repeat(1_001)}` },
        ];
        it.each(bytes)("$name is refused and not run", async ({ text }) => {
            target.receivedCalls.length = 0;
            const received = await sendRaw(node.callAddress, Buffer.from(text, "latin1"));
            expect(received).toMatch(/^HTTP\/1\.1 4\d\d /);
            expect(received).toContain("not-run");
            expect(target.receivedCalls).toEqual([]);
            await expectServing();
        });

        // The HTTP server of Node.js responds to these itself, without the mesh headers.
        const closed = [
            { name: "no host", text: "GET /read HTTP/1.1\r\n\r\n" },
            { name: "CONNECT", text: "CONNECT a:1 HTTP/1.1\r\nhost: x\r\n\r\n" },
            { name: "unknown expectation", text: `${head}expect: unknown\r\nconnection: close\r\n\r\n` },
        ];
        it.each(closed)("$name is not forwarded", async ({ text }) => {
            target.receivedCalls.length = 0;
            expect(await sendRaw(node.callAddress, text)).not.toContain("done");
            expect(target.receivedCalls).toEqual([]);
            await expectServing();
        });

        it("an upgrade request is forwarded as an ordinary call", async () => {
            const text = `${head}connection: upgrade\r\nupgrade: websocket\r\n\r\n`;
            expect(await sendRaw(node.callAddress, text, received => received.includes("done /read"))).toContain("200 OK");
            await expectServing();
        });

        it("a request with a truncated body is not forwarded", async () => {
            target.receivedCalls.length = 0;
            const text = `POST /read HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\nhalf`;
            const socketEnds = sendRaw(node.callAddress, text, () => true);
            await Promise.race([socketEnds, expectServing()]);
            expect(target.receivedCalls.filter(call => call.body === "half")).toEqual([]);
        });
    });

    describe("on the control listener", () => {
        const deep = `${"[".repeat(200_000)}${"]".repeat(200_000)}`;
        const many = (item: unknown, count: number): unknown[] => Array.from({ length: count }, () => item);
        const post = (path: string, body: string): Promise<{ readonly status: number } | undefined> =>
            send(node.controlAddress, path, {
                method: "POST",
                body,
                headers: { "content-type": "application/json" },
            }).catch(() => undefined);

        const messages: readonly { readonly name: string; readonly path: string; readonly body: () => string }[] = [
            { name: "invalid JSON", path: "/exchange", body: () => "{" },
            { name: "not an object", path: "/exchange", body: () => "7" },
            { name: "empty body", path: "/exchange", body: () => "" },
            { name: "missing fields", path: "/exchange", body: () => "{}" },
            { name: "deeply nested JSON", path: "/exchange", body: () => deep },
            { name: "deeply nested field", path: "/join", body: () => JSON.stringify(entry).replace("\"n\"", deep) },
            { name: "huge array of updates", path: "/exchange", body: () => JSON.stringify({ ...exchange, updates: many({}, 300_000) }) },
            { name: "huge array of suspicions", path: "/exchange", body: () => JSON.stringify({ ...exchange, suspicions: many(0, 900_000) }) },
            { name: "huge array of targets", path: "/join", body: () => JSON.stringify({ ...entry, targets: many({}, 600_000) }) },
            { name: "huge array of edits", path: "/pushConfiguration", body: () => JSON.stringify({
                controlAddress: "127.0.0.1:1",
                node: "n",
                update: { kind: "delta", delta: {
                    base: { version: 1, digest: "" },
                    next: { version: 2, parent: 1, digest: "", changeId: "", operator: "", acceptedAt: 0 },
                    edits: many({}, 600_000),
                } },
            }) },
            { name: "huge number", path: "/join", body: () => JSON.stringify({ ...entry, revision: 1 }).replace("\"revision\":1", "\"revision\":1e999") },
            { name: "key __proto__", path: "/exchange", body: () => `{"__proto__":{"head":1}}` },
            { name: "over 2 MB", path: "/exchange", body: () => JSON.stringify({ ...exchange, x: "x".repeat(2_100_000) }) },
            { name: "unknown procedure", path: "/forgetEverything", body: () => "{}" },
            { name: "inherited name as procedure", path: "/constructor", body: () => "{}" },
            { name: "invalid encoding in path", path: "/%E0%A4%A", body: () => "{}" },
            { name: "batch of unknown procedures", path: `/${Array(500).fill("x").join(",")}?batch=1`, body: () => "{}" },
            { name: "announcement: invalid JSON", path: "/announce", body: () => "{" },
            { name: "announcement: invalid state", path: "/announce", body: () => JSON.stringify({ ...announcement, state: "x" }) },
            { name: "announcement: zero slots", path: "/announce", body: () => JSON.stringify({ ...announcement, slots: 0 }) },
            { name: "announcement: too large", path: "/announce", body: () => JSON.stringify({ ...announcement, id: "x".repeat(5_000) }) },
        ];
        it.each(messages)("$name gets an error", async ({ path, body }) => {
            const response = await post(path, body());
            // The connection of an oversized body may close before the error response is read.
            expect(response?.status ?? 413).toBeGreaterThanOrEqual(400);
            await expectServing();
        });

        it.each(["GARBAGE\r\n\r\n", "POST /exchange HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\ncontent-length: 6\r\n\r\n{}"])(
            "raw bytes %j get an error",
            async text => {
                expect(await sendRaw(node.controlAddress, text)).toMatch(/^HTTP\/1\.1 400 /);
                await expectServing();
            },
        );

        // Each call uses the announced address, and the HTTP client throws on an invalid port.
        it.each(["127.0.0.1:99999", "nowhere", "127.0.0.1:x", "\u0000:1", "127.0.0.1:1/../x", "[::1:1", ":80"])(
            "refuses the announced address %j",
            async address => {
                const response = await post("/announce", JSON.stringify({ ...announcement, service: "empty", address }));
                expect(response?.status).toBe(400);
                expect((await send(node.callAddress, "/nowhere")).reason).toBe("no-target");
                await expectServing();
            },
        );

        it.each(["127.0.0.1:1", "[::1]:1"])("accepts the announced address %s", async address => {
            const response = await post("/announce", JSON.stringify({ ...announcement, service: "empty", address }));
            expect(response?.status).toBe(204);
            await expectServing();
        });
    });
});
