import { connect } from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import type { RunningNode } from "../src";
import {
    Cleanup,
    createTestStore,
    echo,
    type FakeTarget,
    send,
    sendRaw,
    startFakeTarget,
    startTestNode,
    type TargetBehaviour,
    waitUntil,
} from "./support";

const streamedBytes = 200_000;

/** Writes raw bytes to the socket, bypassing the HTTP module, and closes the connection after them if `end` is set. */
function respondWithBytes(bytes: string, end = true): TargetBehaviour {
    return response => {
        response.socket?.write(bytes, () => (end ? response.socket?.destroy() : undefined));
    };
}

describe("responses over sockets", () => {
    let cleanup: Cleanup;
    let node: RunningNode;
    let target: FakeTarget;

    beforeEach(async () => {
        cleanup = new Cleanup();
        node = await startTestNode(cleanup, await createTestStore());
        target = await startFakeTarget(cleanup, node);
    });
    afterEach(() => cleanup.run());

    /** Checks that later calls get their own responses, which shows that the damaged connection is not reused. */
    const expectMatchingResponses = async (): Promise<void> => {
        target.behaviour = echo;
        for (const body of ["a", "b", "c", "d"]) {
            const response = await send(node.callAddress, "/read", { method: "POST", body });
            expect(response).toMatchObject({ outcome: "done", body: `done /read ${body}`, complete: true });
        }
    };

    describe("a damaged response is never passed on as complete, and the node keeps serving", () => {
        const damaged: readonly { readonly name: string; readonly bytes: string; readonly open?: true }[] = [
            { name: "small, truncated", bytes: "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nleaked" },
            { name: "streamed, truncated", bytes: `HTTP/1.1 200 OK\r\ncontent-length: ${streamedBytes}\r\n\r\nleaked` },
            { name: "chunked, truncated", bytes: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n6\r\nleaked\r\n" },
            { name: "chunked, invalid chunk", bytes: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n6\r\nleaked\r\nzz\r\n", open: true },
            { name: "head truncated", bytes: "HTTP/1.1 200 OK\r\ncontent-len" },
            { name: "not HTTP", bytes: "leaked leaked\r\n\r\n", open: true },
            { name: "duplicate content-length", bytes: "HTTP/1.1 200 OK\r\ncontent-length: 6\r\ncontent-length: 3\r\n\r\nleaked", open: true },
            { name: "content-length with chunked encoding", bytes: "HTTP/1.1 200 OK\r\ncontent-length: 6\r\ntransfer-encoding: chunked\r\n\r\nleaked", open: true },
            { name: "invalid content-length", bytes: "HTTP/1.1 200 OK\r\ncontent-length: -6\r\n\r\nleaked", open: true },
            { name: "head too large", bytes: `HTTP/1.1 200 OK\r\nx: ${"x".repeat(40_000)}\r\n\r\nleaked`, open: true },
            { name: "status below 100", bytes: "HTTP/1.1 099 OK\r\ncontent-length: 6\r\n\r\nleaked", open: true },
            { name: "status 000", bytes: "HTTP/1.1 000 OK\r\ncontent-length: 6\r\n\r\nleaked", open: true },
            { name: "protocol upgrade", bytes: "HTTP/1.1 101 Switch\r\nconnection: upgrade\r\nupgrade: x\r\n\r\nleaked", open: true },
        ];
        it.each(damaged)("$name", async ({ bytes, open }) => {
            target.behaviour = respondWithBytes(bytes, open !== true);
            const response = await send(node.callAddress, "/read").catch(() => undefined);
            expect(response?.outcome === "done" && response.complete).toBe(false);
            if (response?.outcome !== "done" && response !== undefined) {
                expect(response).toMatchObject({ status: 502, outcome: "unknown", reason: "answer-lost", complete: true });
            }
            await expectMatchingResponses();
        });
    });

    describe("late, reordered and surplus responses never reach another caller", () => {
        it("delivers responses that arrive in reverse order to their own calls", async () => {
            const pending: (() => void)[] = [];
            target.behaviour = (response, call) => {
                pending.push(() => response.end(call.body));
                if (pending.length === 6) {
                    pending.reverse().forEach(respond => respond());
                }
            };
            const bodies = ["0", "1", "2", "3", "4", "5"];
            const responses = await Promise.all(bodies.map(body =>
                send(node.callAddress, "/read", { method: "POST", body })));
            expect(responses.map(response => response.body)).toEqual(bodies);
        });

        it("discards a response after the deadline and closes its connection", async () => {
            let respondLate = (): unknown => undefined;
            target.behaviour = response => {
                respondLate = () => response.end("leaked");
            };
            expect((await send(node.callAddress, "/late")).reason).toBe("timed-out");
            respondLate();
            await expectMatchingResponses();
        });

        it("discards a response after the caller disconnected and closes its connection", async () => {
            let respondLate = (): unknown => undefined;
            target.behaviour = response => {
                respondLate = () => response.end("leaked");
            };
            const [host, port] = node.callAddress.split(":");
            const caller = connect(Number(port), host);
            caller.write("GET /read HTTP/1.1\r\nhost: x\r\n\r\n");
            await waitUntil(() => target.receivedCalls.length === 1);
            caller.destroy();
            respondLate();
            await expectMatchingResponses();
        });

        it("discards a second response to the same request and closes its connection", async () => {
            const first = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirst";
            const second = "HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nleaked";
            target.behaviour = respondWithBytes(first + second, false);
            const response = await send(node.callAddress, "/read").catch(() => undefined);
            expect(["first", undefined]).toContain(response?.outcome === "done" ? response.body : undefined);
            await expectMatchingResponses();
        });

        it("forwards a large response completely", async () => {
            const body = "0123456789".repeat(streamedBytes / 10);
            target.behaviour = response => response.end(body);
            expect(await send(node.callAddress, "/read")).toMatchObject({ outcome: "done", body, complete: true });
        });
    });

    describe("garbage after a caller's request does not corrupt its response", () => {
        const request = "GET /read HTTP/1.1\r\nhost: x\r\n\r\n";

        it("does not report not-run for a call that runs", async () => {
            target.behaviour = (response, call) => setImmediate(() => echo(response, call, []));
            const received = await sendRaw(node.callAddress, `${request}\0garbage\r\n\r\n`);
            await waitUntil(() => target.receivedCalls.length === 1 || received !== "");
            expect(received).not.toContain("not-run");
        });

        it("adds no bytes to a response that is being streamed", async () => {
            let finish = (): unknown => undefined;
            target.behaviour = response => {
                response.writeHead(200, { "content-length": streamedBytes });
                response.write("x");
                finish = () => response.end("x".repeat(streamedBytes - 1));
            };
            const [host, port] = node.callAddress.split(":");
            const caller = connect(Number(port), host);
            cleanup.add(() => caller.destroy());
            let received = "";
            caller.on("error", () => undefined);
            caller.on("data", chunk => {
                received += chunk.toString("latin1");
            });
            caller.write(request);
            await waitUntil(() => received.endsWith("\r\n\r\nx"));
            caller.write("\0garbage\r\n\r\n");
            await new Promise(resolve => caller.once("close", resolve));
            finish();
            expect(received.split("\r\n\r\n")[1]).toBe("x");
        });
    });
});
