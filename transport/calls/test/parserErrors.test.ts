import { createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { SystemClock } from "@bilberrycroft/core.clock";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { AttemptEventKind, describeConnectionError, TargetClient } from "../src";

// Guards against logs that show a parser's error code in place of the header, as some versions of Node.js do.
describe("an invalid header of a response", () => {
    let server: Server;
    let respond: (socket: Socket) => void;
    const client = new TargetClient(new SystemClock());

    beforeEach(async () => {
        server = createServer(socket => {
            socket.on("error", () => undefined);
            socket.once("data", () => respond(socket));
        });
        await new Promise<void>(resolve => {
            server.listen(0, "127.0.0.1", resolve);
        });
    });
    afterEach(() => {
        client.close();
        server.close();
    });

    const send = async (): Promise<unknown> => {
        const { port } = server.address() as AddressInfo;
        const request = { address: `127.0.0.1:${port}`, method: "GET", path: "/", headers: {}, body: Buffer.alloc(0) };
        return client.send({ ...request, freshConnection: true }).event;
    };

    describe("whichever check refuses it", () => {
        it.each([
            ["x-cache : hit", "x-cache "],
            [": hit", ""],
            ["x cache: hit", "x cache"],
            ["x-(a): hit", "x-(a)"],
            ["x-a: h\u0001it", "x-a"],
        ])("is named (%j)", async (line, name) => {
            respond = socket => socket.end(`HTTP/1.1 200 OK\r\nx-first: 1\r\n${line}\r\ncontent-length: 2\r\n\r\nok`);
            expect(await send()).toEqual({ kind: AttemptEventKind.Broken, reason: `invalid header ${JSON.stringify(name)}` });
        });
    });

    describe("that began in an earlier packet", () => {
        it("is reported by the code of the error", () => {
            const error = Object.assign(new Error("Parse Error"), {
                code: "HPE_INVALID_HEADER_TOKEN",
                bytesParsed: 3,
                rawPacket: Buffer.from("che : hit\r\n"),
            });
            expect(describeConnectionError(error)).toBe("HPE_INVALID_HEADER_TOKEN");
        });
    });

    describe("in another kind of error", () => {
        it("is not looked for", () => {
            expect(describeConnectionError(Object.assign(new Error("reset"), { code: "ECONNRESET" }))).toBe("ECONNRESET");
            expect(describeConnectionError(new Error("connection closed"))).toBe("connection closed");
        });
    });
});
