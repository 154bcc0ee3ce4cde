import { once } from "node:events";
import type { IncomingMessage, ServerResponse } from "node:http";
import { connect, type Socket } from "node:net";
import { ClientLimit, type ClientLimits, type Listener, splitAddress, startListener } from "@bilberrycroft/transport.calls";
import { afterEach, describe, expect, it } from "vitest";

const head = "GET / HTTP/1.1\r\nhost: x\r\n\r\n";
const maxConnections = 3;

describe("the connections of clients", () => {
    let listener: Listener;
    let sockets: Socket[] = [];
    let limits: ClientLimit[] = [];
    let open: ServerResponse[] = [];

    const start = async (changes: Partial<ClientLimits> = {}, isAnswering = true): Promise<void> => {
        sockets = [];
        limits = [];
        open = [];
        listener = await startListener({
            host: "127.0.0.1",
            port: 0,
            maxConnections: 1_000,
            requestTimeoutMs: 60_000,
            clients: {
                maxConnections,
                maxConnectionsPerAddress: maxConnections,
                maxPipelinedRequests: 2,
                accounts: { open: () => ({ set: () => undefined }), hasRoom: () => true },
                onLimit: limit => limits.push(limit),
                refuse: (_request: IncomingMessage, response) => void response.writeHead(503).end(),
                ...changes,
            },
            handle: (_request, response) => {
                open.push(response);
                if (isAnswering) {
                    response.end("ok");
                }
            },
        });
    };
    afterEach(async () => {
        sockets.forEach(socket => socket.destroy());
        await listener.close();
    });

    const openConnection = async (text = "", localAddress?: string): Promise<Socket> => {
        const { host, port } = splitAddress(listener.address);
        const socket = connect({ host, port, localAddress });
        sockets.push(socket);
        socket.on("error", () => undefined);
        await once(socket, "connect");
        socket.resume();
        socket.write(text);
        return socket;
    };
    const waitForClose = async (socket: Socket): Promise<void> => {
        if (!socket.closed) {
            await once(socket, "close");
        }
    };
    const openAnswered = async (): Promise<Socket> => {
        const socket = await openConnection(head);
        await once(socket, "data");
        return socket;
    };

    // Guards against clients that hold all connections without sending a request.
    it("that have sent no head give way first, the oldest of them", async () => {
        await start();
        const idle = await openAnswered();
        const first = await openConnection("GET / HT");
        const second = await openConnection();
        // The server accepts connections in the order in which they were made.
        await openAnswered();
        await waitForClose(first);
        expect(limits).toEqual([ClientLimit.ConnectionEvicted]);
        expect([idle.destroyed, second.destroyed]).toEqual([false, false]);
    });

    // Guards against ending calls that have been forwarded.
    it("with a request in progress never give way", async () => {
        await start({}, false);
        for (let count = 0; count < maxConnections; count++) {
            await openConnection(head);
        }
        while (open.length < maxConnections) {
            await new Promise(resolve => setImmediate(resolve));
        }
        const refused = await openConnection();
        await waitForClose(refused);
        expect(limits).toEqual([ClientLimit.ConnectionRefused]);
        expect(open.every(({ destroyed }) => !destroyed)).toBe(true);
    });

    // Guards against one address that takes the connections of all others.
    it("of one address give way to others of this address only", async () => {
        await start({ maxConnectionsPerAddress: 1 });
        const other = await openConnection("", "127.0.0.2");
        const first = await openConnection();
        await openAnswered();
        await waitForClose(first);
        expect(other.destroyed).toBe(false);
        expect(listener.clientConnections).toBe(2);
    });
});
