/**
 * HTTP listener with limits on connections, header size and request time, used for calls and for control.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { type AddressInfo, Server as NetServer } from "node:net";
import type { Duplex } from "node:stream";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { describeInvalidHeader } from "@bilberrycroft/protocol.calls";
import { ClientConnections, type ClientLimits } from "./clientConnections";

const headersTimeoutMs: Milliseconds = 10_000;
const defaultIdleTimeoutMs: Milliseconds = 30_000;
const defaultMaxHeaderBytes = 16_384;
const badRequestStatus = 400;

export interface ListenerOptions {
    /** IP address to bind to. */
    readonly host: string;
    /** 0 selects any free port. */
    readonly port: number;
    readonly maxConnections: number;
    /** Time within which a request must arrive completely. */
    readonly requestTimeoutMs: Milliseconds;
    /** Limit on the size of the request headers; 16 KiB by default. */
    readonly maxHeaderBytes?: number;
    /** Limits for clients outside our control, in place of `maxConnections`. */
    readonly clients?: ClientLimits;
    handle(request: IncomingMessage, response: ServerResponse): void;
}

export interface Listener {
    /** `host:port` to which the listener is bound. */
    readonly address: string;
    /** Number of open connections; 0 without `clients`. */
    readonly clientConnections: number;
    /** Sets the time after which idle connections are closed. */
    setIdleTimeout(idleTimeoutMs: Milliseconds): void;
    /** Continues to accept connections, but closes each after its next response, so that callers use other nodes. */
    announceStop(): void;
    /** Stops accepting connections; resolves when all connections have ended after their current response. */
    stopAccepting(): Promise<void>;
    /** Stops accepting connections and closes all open ones. */
    close(): Promise<void>;
}

/** Starts listening; rejects if the address cannot be bound. */
export function startListener(options: ListenerOptions): Promise<Listener> {
    let isStopping = false;
    const openResponses = new OpenResponses();
    const connections = options.clients && new ClientConnections(options.clients);
    const closingConnections = new ClosingConnections();
    const server = createServer({
        maxHeaderSize: options.maxHeaderBytes ?? defaultMaxHeaderBytes,
        headersTimeout: Math.min(headersTimeoutMs, options.requestTimeoutMs),
        requestTimeout: options.requestTimeoutMs,
        keepAliveTimeout: defaultIdleTimeoutMs,
        noDelay: true,
    }, (request, response) => {
        const { socket } = request;
        if (openResponses.hasClosing(socket)) {
            closingConnections.add(socket);
        }
        if (closingConnections.dropRequest(socket)) {
            return;
        }
        if (connections?.admitRequest(socket, response) === false) {
            closingConnections.add(socket);
            // Nothing more is read: each head that is read costs memory until the connection closes.
            socket.pause();
            openResponses.add(socket, response);
            response.setHeader("connection", "close");
            options.clients?.refuse(request, response);
            return;
        }
        if (isStopping) {
            response.setHeader("connection", "close");
        }
        openResponses.add(socket, response);
        if (describeInvalidHeader(request.headers) !== undefined) {
            response.writeHead(badRequestStatus, { connection: "close", "x-mesh-outcome": "not-run" }).end();
            return;
        }
        options.handle(request, response);
    });
    server.maxConnections = connections === undefined ? options.maxConnections : Number.POSITIVE_INFINITY;
    server.prependListener("connection", socket => connections?.add(socket));
    server.on("clientError", (_error, socket) => {
        closingConnections.add(socket);
        openResponses.closeAfterError(socket);
    });
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(options.port, options.host, () => {
            resolve({
                address: formatAddress(server),
                get clientConnections() {
                    return connections?.size ?? 0;
                },
                setIdleTimeout: idleTimeoutMs => {
                    server.keepAliveTimeout = idleTimeoutMs;
                },
                announceStop: () => {
                    isStopping = true;
                },
                stopAccepting: () => {
                    isStopping = true;
                    return new Promise(closed => {
                        // The method of the HTTP server would also close connections on which a response is being sent.
                        NetServer.prototype.close.call(server, () => closed());
                        openResponses.closeConnections();
                    });
                },
                close: () => closeServer(server),
            });
        });
    });
}

/** What the handler of a parsed head returns for an upgrade, after which no HTTP follows. */
const upgradeResult = 2;
/** Requests behind a response that closes its connection, beyond which the client is taken for hostile. */
const maxDroppedRequests = 64;

/**
 * Connections that close after the last response. What follows on them counts as not read, so it must not be handled.
 * Its objects stay until the connection closes: one read holds about a thousand heads, each of them 3 KB of objects.
 */
class ClosingConnections {
    private readonly dropped = new WeakMap<Duplex, number>();

    add(socket: Duplex): void {
        if (!this.dropped.has(socket)) {
            this.dropped.set(socket, 0);
            stopParsing(socket);
        }
    }

    /** Whether the request must not be handled. */
    dropRequest(socket: Duplex): boolean {
        const count = this.dropped.get(socket);
        if (count === undefined) {
            return false;
        }
        this.dropped.set(socket, count + 1);
        if (count >= maxDroppedRequests) {
            socket.destroy();
        }
        return true;
    }
}

/**
 * Stops Node's parser behind the present request. Pausing the socket does not: one read of 64 KB holds about 700 heads,
 * so that the objects of 100 such reads exceeded a heap of 128 MB. The parser has no public method for this; it stops
 * when its handler reports an upgrade. Where it has no such handler, the requests are dropped one by one.
 */
function stopParsing(socket: Duplex): void {
    const { parser } = socket as Duplex & { readonly parser?: { onIncoming?: () => number } };
    if (typeof parser?.onIncoming === "function") {
        parser.onIncoming = () => upgradeResult;
    }
}

/**
 * Tracks unfinished responses per connection. Malformed bytes may follow a request whose response is still in progress.
 * The caller would mistake an error response to them for the response to that request, or for a part of it.
 */
class OpenResponses {
    private readonly responses = new Map<Duplex, Set<ServerResponse>>();
    private readonly failed = new WeakSet<Duplex>();
    /** Connections on which a response has been sent. */
    private readonly answered = new WeakSet<Duplex>();
    private isClosing = false;

    add(socket: Duplex, response: ServerResponse): void {
        const open = this.responses.get(socket) ?? this.addConnection(socket);
        open.add(response);
        response.on("error", () => undefined);
        response.once("close", () => {
            open.delete(response);
            this.answered.add(socket);
            if (this.isClosing && open.size === 0) {
                socket.end();
            }
        });
    }

    /** Closes the connections that have received a request, those with a response in progress once it has been sent. */
    closeConnections(): void {
        this.isClosing = true;
        for (const [socket, open] of this.responses) {
            if (open.size === 0) {
                socket.destroy();
            }
        }
    }

    /** Whether a response on the connection, complete or not, closes the connection. */
    hasClosing(socket: Duplex): boolean {
        const open = this.responses.get(socket);
        return open !== undefined && (!socket.writable || [...open].some(isClosing));
    }

    /** Closes a connection whose last bytes are not HTTP, after the responses to the good requests before them. */
    closeAfterError(socket: Duplex): void {
        if (!this.failed.has(socket)) {
            this.failed.add(socket);
            // Each further read would be an error again.
            socket.pause();
            this.whenComplete(socket, () => endMalformed(socket, {
                canSendError: this.canSendError(socket),
                isFirstResponse: !this.answered.has(socket),
            }));
        }
    }

    /** Runs an action when all requests that have arrived completely have their responses. */
    private whenComplete(socket: Duplex, run: () => void): void {
        const pending = [...this.responses.get(socket) ?? []].filter(({ req }) => req.complete);
        let remaining = pending.length;
        if (remaining === 0) {
            return run();
        }
        for (const response of pending) {
            response.once("close", () => {
                remaining--;
                if (remaining === 0) {
                    run();
                }
            });
        }
    }

    private addConnection(socket: Duplex): Set<ServerResponse> {
        const open = new Set<ServerResponse>();
        this.responses.set(socket, open);
        socket.once("close", () => {
            this.responses.delete(socket);
            setImmediate(() => closeResponses(open));
        });
        return open;
    }

    /** Whether the connection has no response in progress other than that to the malformed request itself. */
    canSendError(socket: Duplex): boolean {
        const open = [...this.responses.get(socket) ?? []];
        return open.every(response => !response.headersSent && !response.req.complete);
    }
}

/**
 * Reports the end of responses that were waiting for others on their connection. Node only does so for the response
 * that is being sent, so that the calls of the others would go on for nobody and never be released.
 */
function closeResponses(open: ReadonlySet<ServerResponse>): void {
    for (const response of [...open]) {
        response.destroy();
        response.emit("close");
    }
}

/** Whether the connection closes after the response. */
function isClosing(response: ServerResponse): boolean {
    return !response.shouldKeepAlive || response.getHeader("connection") === "close";
}

/**
 * Closes a connection, with a response to its last bytes if that cannot be misunderstood. Behind the response to a call
 * it does not say that a call has not run, because the caller might take it for a part of that response.
 */
function endMalformed(
    socket: Duplex,
    { canSendError, isFirstResponse }: { readonly canSendError: boolean; readonly isFirstResponse: boolean },
): void {
    if (!socket.writable) {
        // It already closes after its last response.
        return;
    }
    if (!canSendError) {
        socket.destroy();
        return;
    }
    const outcome = isFirstResponse ? "x-mesh-outcome: not-run\r\n" : "";
    socket.end(`HTTP/1.1 400 Bad Request\r\nconnection: close\r\n${outcome}\r\n`);
}

function formatAddress(server: Server): string {
    const { address, port, family } = server.address() as AddressInfo;
    return family === "IPv6" ? `[${address}]:${port}` : `${address}:${port}`;
}

function closeServer(server: Server): Promise<void> {
    return new Promise(resolve => {
        server.close(() => resolve());
        server.closeAllConnections();
    });
}
