import { connect } from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import type { RunningNode } from "../src";
import {
    type Behaviour,
    Cleanup,
    createTestStore,
    echo,
    type FakeTarget,
    send,
    sendRaw,
    startFakeTarget,
    startTestNode,
    until,
} from "./support";

const streamedBytes = 200_000;

/** Writes bytes past the HTTP module and, if asked, ends the connection after them. */
function raw(bytes: string, end = true): Behaviour {
    return response => {
        response.socket?.write(bytes, () => (end ? response.socket?.destroy() : undefined));
    };
}

describe("answers over sockets", () => {
    let cleanup: Cleanup;
    let node: RunningNode;
    let target: FakeTarget;

    beforeEach(async () => {
        cleanup = new Cleanup();
        node = await startTestNode(cleanup, await createTestStore());
        target = await startFakeTarget(cleanup, node);
    });
    afterEach(() => cleanup.run());

    /** Calls that follow get their own answers; a damaged connection was not used again. */
    const expectOwnAnswers = async (): Promise<void> => {
        target.behaviour = echo;
        for (const body of ["a", "b", "c", "d"]) {
            const seen = await send(node.callAddress, "/read", { method: "POST", body });
            expect(seen).toMatchObject({ outcome: "done", body: `done /read ${body}`, complete: true });
        }
    };

    describe("a damaged answer never looks whole, and the node goes on", () => {
        const damaged: readonly { readonly name: string; readonly bytes: string; readonly open?: true }[] = [
            { name: "small, truncated", bytes: "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nstolen" },
            { name: "streamed, truncated", bytes: `HTTP/1.1 200 OK\r\ncontent-length: ${streamedBytes}\r\n\r\nstolen` },
            { name: "chunked, truncated", bytes: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n6\r\nstolen\r\n" },
            { name: "chunked, bad chunk", bytes: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n6\r\nstolen\r\nzz\r\n", open: true },
            { name: "head cut off", bytes: "HTTP/1.1 200 OK\r\ncontent-len" },
            { name: "no HTTP", bytes: "stolen stolen\r\n\r\n", open: true },
            { name: "two lengths", bytes: "HTTP/1.1 200 OK\r\ncontent-length: 6\r\ncontent-length: 3\r\n\r\nstolen", open: true },
            { name: "length and chunks", bytes: "HTTP/1.1 200 OK\r\ncontent-length: 6\r\ntransfer-encoding: chunked\r\n\r\nstolen", open: true },
            { name: "bad length", bytes: "HTTP/1.1 200 OK\r\ncontent-length: -6\r\n\r\nstolen", open: true },
            { name: "head too large", bytes: `HTTP/1.1 200 OK\r\nx: ${"x".repeat(40_000)}\r\n\r\nstolen`, open: true },
            { name: "status below 100", bytes: "HTTP/1.1 099 OK\r\ncontent-length: 6\r\n\r\nstolen", open: true },
            { name: "switch of protocols", bytes: "HTTP/1.1 101 Switch\r\nconnection: upgrade\r\nupgrade: x\r\n\r\nstolen", open: true },
        ];
        it.each(damaged)("$name", async ({ bytes, open }) => {
            target.behaviour = raw(bytes, open !== true);
            const seen = await send(node.callAddress, "/read").catch(() => undefined);
            expect(seen?.outcome === "done" && seen.complete).toBe(false);
            if (seen?.outcome !== "done" && seen !== undefined) {
                expect(seen).toMatchObject({ status: 502, outcome: "unknown", reason: "answer-lost", complete: true });
            }
            await expectOwnAnswers();
        });
    });

    describe("late, swapped and surplus answers never reach another caller", () => {
        it("answers in reverse order go to the calls that they belong to", async () => {
            const pending: (() => void)[] = [];
            target.behaviour = (response, call) => {
                pending.push(() => response.end(call.body));
                if (pending.length === 6) {
                    pending.reverse().forEach(answer => answer());
                }
            };
            const bodies = ["0", "1", "2", "3", "4", "5"];
            const seen = await Promise.all(bodies.map(body =>
                send(node.callAddress, "/read", { method: "POST", body })));
            expect(seen.map(answer => answer.body)).toEqual(bodies);
        });

        it("an answer after the deadline is dropped with its connection", async () => {
            let answerLate = (): unknown => undefined;
            target.behaviour = response => {
                answerLate = () => response.end("stolen");
            };
            expect((await send(node.callAddress, "/late")).reason).toBe("timed-out");
            answerLate();
            await expectOwnAnswers();
        });

        it("an answer after its caller left is dropped with its connection", async () => {
            let answerLate = (): unknown => undefined;
            target.behaviour = response => {
                answerLate = () => response.end("stolen");
            };
            const [host, port] = node.callAddress.split(":");
            const caller = connect(Number(port), host);
            caller.write("GET /read HTTP/1.1\r\nhost: x\r\n\r\n");
            await until(() => target.seen.length === 1);
            caller.destroy();
            answerLate();
            await expectOwnAnswers();
        });

        it("a second answer after the first is dropped with its connection", async () => {
            const first = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirst";
            const second = "HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nstolen";
            target.behaviour = raw(first + second, false);
            const seen = await send(node.callAddress, "/read").catch(() => undefined);
            expect(["first", undefined]).toContain(seen?.outcome === "done" ? seen.body : undefined);
            await expectOwnAnswers();
        });

        it("passes a large answer on whole", async () => {
            const body = "0123456789".repeat(streamedBytes / 10);
            target.behaviour = response => response.end(body);
            expect(await send(node.callAddress, "/read")).toMatchObject({ outcome: "done", body, complete: true });
        });
    });

    describe("garbage after a caller's request does not damage the response to it", () => {
        const request = "GET /read HTTP/1.1\r\nhost: x\r\n\r\n";

        it("gives no not-run for a call that runs", async () => {
            target.behaviour = (response, call) => setImmediate(() => echo(response, call, []));
            const received = await sendRaw(node.callAddress, `${request}\0garbage\r\n\r\n`);
            await until(() => target.seen.length === 1 || received !== "");
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
            await until(() => received.endsWith("\r\n\r\nx"));
            caller.write("\0garbage\r\n\r\n");
            await new Promise(resolve => caller.once("close", resolve));
            finish();
            expect(received.split("\r\n\r\n")[1]).toBe("x");
        });
    });
});
