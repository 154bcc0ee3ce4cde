import { once } from "node:events";
import { Agent, createServer, type IncomingMessage, request, type Server, type ServerResponse } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import {
    BodyOutcomeKind,
    discardRequestBody,
    discardResponseBody,
    maxDiscardedBytes,
    readBody,
} from "@bilberrycroft/transport.calls";
import { afterEach, beforeEach, describe, expect, it } from "vitest";

const host = "127.0.0.1";
const chunk = Buffer.alloc(16_384);
const writesPerTurn = 64;
/** What sockets and streams may hold besides the discarded bytes. */
const maxBufferedBytes = 16_777_216;

describe("a discarded body", () => {
    let server: Server;
    let port: number;
    let handle: (request: IncomingMessage, response: ServerResponse) => void;
    let sockets: Socket[];
    let sentBytes: number;

    beforeEach(async () => {
        sockets = [];
        sentBytes = 0;
        server = createServer((incoming, response) => handle(incoming, response));
        server.on("connection", socket => sockets.push(socket));
        server.listen(0, host);
        await once(server, "listening");
        ({ port } = server.address() as AddressInfo);
    });
    afterEach(async () => {
        server.closeAllConnections();
        await new Promise(resolve => server.close(resolve));
    });

    /** Writes to the connection until it is closed. */
    const writeWithoutEnd = (socket: Socket, bytes: Buffer): void => {
        const writeMore = (): void => {
            for (let count = 0; count < writesPerTurn && !socket.destroyed; count++) {
                if (!socket.write(bytes)) {
                    return;
                }
                sentBytes += bytes.length;
            }
            setImmediate(writeMore);
        };
        socket.on("error", () => undefined);
        socket.on("drain", () => setImmediate(writeMore));
        writeMore();
    };

    describe("of a response", () => {
        const agent = new Agent({ keepAlive: true });
        const fetchResponse = async (): Promise<IncomingMessage> => {
            const outgoing = request({ host, port, agent });
            outgoing.on("error", () => undefined);
            outgoing.end();
            const [response] = await once(outgoing, "response") as [IncomingMessage];
            return response;
        };
        afterEach(() => agent.destroy());

        it("leaves its connection usable if it is short", async () => {
            handle = (_, response) => void response.end("short");
            for (let count = 0; count < 3; count++) {
                const response = await fetchResponse();
                discardResponseBody(response);
                await once(response, "close");
            }
            expect(sockets).toHaveLength(1);
        });

        it("is read no further than the limit if it has no end", async () => {
            handle = (_, response) => {
                response.writeHead(503);
                response.flushHeaders();
                writeWithoutEnd(response.socket as Socket, Buffer.from("1\r\na\r\n".repeat(1_000)));
            };
            const response = await fetchResponse();
            discardResponseBody(response);
            await new Promise(resolve => response.once("close", resolve));
            expect(response.complete).toBe(false);
            expect(sentBytes).toBeLessThan(maxDiscardedBytes + maxBufferedBytes);
        });

        it("is not waited for without end if nothing arrives", async () => {
            handle = (_, response) => void response.writeHead(503, { "content-length": 100 }).write("a");
            const response = await fetchResponse();
            discardResponseBody(response);
            await new Promise(resolve => response.once("close", resolve));
            expect(response.complete).toBe(false);
        });
    });

    describe("of a request", () => {
        const sendEndless = async (): Promise<string> => {
            const socket = connect(port, host);
            let received = "";
            socket.on("data", data => {
                received += data.toString();
            });
            socket.write("POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n");
            writeWithoutEnd(socket, Buffer.concat([Buffer.from(`${chunk.length.toString(16)}\r\n`), chunk, Buffer.from("\r\n")]));
            await new Promise(resolve => socket.once("close", resolve));
            return received;
        };

        it("is read no further than the limit if it has no end, and its sender gets the response", async () => {
            handle = (incoming, response) => {
                discardRequestBody(incoming);
                response.writeHead(503).end();
            };
            expect(await sendEndless()).toMatch(/^HTTP\/1\.1 503 /);
            expect(sentBytes).toBeLessThan(maxDiscardedBytes + maxBufferedBytes);
        });

        it("that exceeds the limit of the reader is discarded as well", async () => {
            handle = (incoming, response) => {
                void readBody(incoming, 1_000).then(({ kind }) =>
                    response.writeHead(kind === BodyOutcomeKind.TooLarge ? 413 : 500).end());
            };
            expect(await sendEndless()).toMatch(/^HTTP\/1\.1 413 /);
            expect(sentBytes).toBeLessThan(maxDiscardedBytes + maxBufferedBytes);
        });
    });
});
