import { once } from "node:events";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import { setImmediate } from "node:timers/promises";
import { type Store, StoreOutcomeKind, WriteConditionKind } from "@bilberrycroft/protocol.store";
import { VirtualTimeScheduler } from "rxjs";
import { afterEach, describe, expect, it } from "vitest";
import { advance, waitUntil } from "../../../protocol/store/test/virtualTime";
import { HttpStore, type HttpStoreOptions } from "../src";

const timeoutMs = 2_000;
const absent = { kind: WriteConditionKind.Absent } as const;
const cleanups: (() => void)[] = [];

interface BrokenServer {
    readonly address: string;
    readonly server: Server;
    requests: number;
}

/** Starts a server that calls `respond` for each received chunk. Each chunk is a whole request in these tests. */
async function startBrokenServer(respond: (socket: Socket, request: number) => void): Promise<BrokenServer> {
    const sockets = new Set<Socket>();
    const server = createServer(socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.on("data", () => {
            broken.requests++;
            respond(socket, broken.requests);
        });
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    cleanups.push(() => {
        sockets.forEach(socket => socket.destroy());
        server.close();
    });
    const broken = { address: `127.0.0.1:${(server.address() as AddressInfo).port}`, server, requests: 0 };
    return broken;
}

function connect(options: HttpStoreOptions): HttpStore {
    const store = new HttpStore(options);
    cleanups.push(() => store.close());
    return store;
}

async function callEveryKind(store: Store): Promise<StoreOutcomeKind[]> {
    const outcomes = await Promise.all([
        store.read("a"),
        store.list(""),
        store.watch({ key: "a", after: undefined, waitMs: 0 }),
        store.write("a", "1", absent),
        store.remove("a", "r1"),
    ]);
    return outcomes.map(outcome => outcome.kind);
}

const { Unavailable, Unknown, Conflict, Done } = StoreOutcomeKind;
const readsUnavailableWritesUnknown = [Unavailable, Unavailable, Unavailable, Unknown, Unknown];
const allUnavailable = [Unavailable, Unavailable, Unavailable, Unavailable, Unavailable];

describe("HttpStore", () => {
    afterEach(() => cleanups.splice(0).forEach(cleanup => cleanup()));

    describe("reports only what a response proves", () => {
        const cases = [
            { name: "a connection closed instead of a response", response: undefined },
            { name: "bytes that are not HTTP", response: "hello\r\n\r\n" },
            { name: "a success without an entity tag", response: "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n1" },
            { name: "an entity tag that is not a revision", response: "HTTP/1.1 200 OK\r\netag: x\r\ncontent-length: 1\r\n\r\n1" },
            { name: "an internal error", response: "HTTP/1.1 500 Oops\r\ncontent-length: 0\r\n\r\n" },
            { name: "a redirect", response: "HTTP/1.1 302 Found\r\nlocation: /x\r\ncontent-length: 0\r\n\r\n" },
            { name: "a truncated body", response: "HTTP/1.1 200 OK\r\netag: \"r1\"\r\ncontent-length: 9\r\n\r\n1" },
            {
                name: "a body over the size limit",
                response: `HTTP/1.1 200 OK\r\netag: "r1"\r\ncontent-length: 5000000\r\n\r\n${" ".repeat(5_000_000)}`,
            },
        ];
        it.each(cases)("$name: reads are unavailable, writes unknown", async ({ response }) => {
            const server = await startBrokenServer(socket => socket.end(response ?? ""));
            expect(await callEveryKind(connect({ address: server.address }))).toEqual(readsUnavailableWritesUnknown);
        });

        it("a refused connection proves that nothing took effect", async () => {
            const server = await startBrokenServer(() => undefined);
            server.server.close();
            await once(server.server, "close");
            expect(await callEveryKind(connect({ address: server.address }))).toEqual(allUnavailable);
        });

        it("a response body that is not JSON is not returned as an object", async () => {
            const server = await startBrokenServer(socket =>
                socket.end("HTTP/1.1 200 OK\r\netag: \"r1\"\r\ncontent-length: 1\r\n\r\n{"));
            expect((await connect({ address: server.address }).read("a")).kind).toBe(Unavailable);
        });
    });

    describe("timeouts", () => {
        it("ends each call after its timeout, and a watch after its wait time plus timeout, if the store is silent", async () => {
            const server = await startBrokenServer(() => undefined);
            const scheduler = new VirtualTimeScheduler();
            const store = connect({ address: server.address, timeoutMs, scheduler });
            const calls = callEveryKind(store);
            let watchEnded = false;
            const watch = store.watch({ key: "a", after: undefined, waitMs: 5_000 });
            void watch.then(() => {
                watchEnded = true;
            });
            await waitUntil(() => server.requests >= 6);
            advance(scheduler, timeoutMs);
            expect(await calls).toEqual(readsUnavailableWritesUnknown);
            advance(scheduler, 4_999);
            await setImmediate();
            expect(watchEnded).toBe(false);
            advance(scheduler, 1);
            expect((await watch).kind).toBe(Unavailable);
        });

        it("reports a queued write that was never sent as unavailable, not as unknown", async () => {
            const server = await startBrokenServer(() => undefined);
            const scheduler = new VirtualTimeScheduler();
            const store = connect({ address: server.address, timeoutMs, scheduler, maxConnections: 1 });
            const first = store.write("a", "1", absent);
            await waitUntil(() => server.requests === 1);
            const queued = store.write("b", "1", absent);
            // Both timeouts fire together. The queued call must not get the connection of the first one.
            advance(scheduler, timeoutMs);
            expect([(await first).kind, (await queued).kind]).toEqual([Unknown, Unavailable]);
        });
    });

    it("does not leak listeners on a connection that is reused for many calls", async () => {
        const warnings: Error[] = [];
        const recordWarning = (warning: Error): number => warnings.push(warning);
        process.on("warning", recordWarning);
        const server = await startBrokenServer(socket =>
            socket.write("HTTP/1.1 404 No\r\ncontent-length: 0\r\n\r\n"));
        const store = connect({ address: server.address });
        for (let calls = 0; calls < 30; calls++) {
            expect((await store.read("a")).kind).toBe(StoreOutcomeKind.Absent);
        }
        await setImmediate();
        process.off("warning", recordWarning);
        expect(warnings).toEqual([]);
    });

    describe("an idle connection closed by the store", () => {
        const conflict = "HTTP/1.1 412 No\r\ncontent-length: 0\r\n\r\n";
        const object = "HTTP/1.1 200 OK\r\netag: \"r1\"\r\ncontent-length: 1\r\n\r\n1";
        const breakSecond = (first: string, third: string) => (socket: Socket, request: number): void => {
            if (request === 2) {
                socket.destroy();
                return;
            }
            socket.write(request === 1 ? first : third);
        };

        it("causes a retry of a read on a new connection", async () => {
            const server = await startBrokenServer(breakSecond(object, object));
            const store = connect({ address: server.address });
            expect((await store.read("a")).kind).toBe(Done);
            expect((await store.read("a")).kind).toBe(Done);
            expect(server.requests).toBe(3);
        });

        it("makes a write Unknown; it is not retried", async () => {
            const server = await startBrokenServer(breakSecond(conflict, conflict));
            const store = connect({ address: server.address });
            expect((await store.write("a", "1", absent)).kind).toBe(Conflict);
            expect((await store.write("a", "1", absent)).kind).toBe(Unknown);
            expect(server.requests).toBe(2);
        });
    });
});
