import { connect, createServer, type AddressInfo, type Server, type Socket } from "node:net";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { flushTurn, writeInTurn } from "../src/turnWrites";

describe("the writes of one turn", () => {
    let server: Server;
    let socket: Socket;
    let received: Promise<string>;

    beforeEach(async () => {
        received = new Promise(resolve => {
            server = createServer(accepted => {
                let text = "";
                accepted.on("data", chunk => text += chunk.toString());
                accepted.on("close", () => resolve(text));
            });
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", () => resolve()));
        const { port } = server.address() as AddressInfo;
        socket = await new Promise(resolve => {
            const opened = connect(port, "127.0.0.1", () => resolve(opened));
        });
    });
    afterEach(() => {
        socket.destroy();
        server.close();
    });

    // Guards against a system call for each frame of a short response.
    it("go out in one system call, in order", async () => {
        const writeMany = vi.spyOn(socket as Required<Socket>, "_writev");
        const writeOne = vi.spyOn(socket, "_write");
        writeInTurn(socket, Buffer.from("head "));
        process.nextTick(() => writeInTurn(socket, Buffer.from("data ")));
        void Promise.resolve().then(() => writeInTurn(socket, Buffer.from("end")));
        await new Promise(resolve => setImmediate(resolve));
        expect([writeMany.mock.calls.length, writeOne.mock.calls.length]).toEqual([1, 0]);
        writeInTurn(socket, Buffer.from(" next"));
        await new Promise(resolve => setImmediate(resolve));
        socket.end();
        expect(await received).toMatch(/^head (data end|end ?data ) next$/u);
    });

    // Guards against a node that stops and loses the response that it has just sent.
    it("are handed over before the connection is closed in the same turn", async () => {
        writeInTurn(socket, Buffer.from("last response"));
        flushTurn(socket);
        socket.destroy();
        expect(await received).toBe("last response");
    });

    // Guards against the loss of a response behind which the connection ends in order.
    it("precede the end of the connection", async () => {
        writeInTurn(socket, Buffer.from("response"));
        socket.end();
        expect(await received).toBe("response");
    });
});
