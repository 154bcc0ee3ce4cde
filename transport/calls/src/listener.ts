/**
 * HTTP listener with bounds on connections, headers and waiting times. Used for callers and for control.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import type { Duplex } from "node:stream";
import type { Milliseconds } from "@bilberrycroft/core.clock";

const headersTimeoutMs: Milliseconds = 10_000;
const defaultIdleTimeoutMs: Milliseconds = 30_000;
const defaultMaxHeaderBytes = 16_384;

/** Options of `startListener`. */
export interface ListenerOptions {
    /** IP number to bind to. */
    readonly host: string;
    /** 0 takes any free port. */
    readonly port: number;
    readonly maxConnections: number;
    /** Time in which a request must have arrived whole. */
    readonly requestTimeoutMs: Milliseconds;
    /** Bound on the headers of a request; 16 KiB by default. */
    readonly maxHeaderBytes?: number;
    handle(request: IncomingMessage, response: ServerResponse): void;
}

/** A listener that accepts requests. */
export interface Listener {
    /** `host:port` that the listener is bound to. */
    readonly address: string;
    /** Sets the time after which an idle connection is closed. */
    setIdleTimeout(idleTimeoutMs: Milliseconds): void;
    /** Goes on accepting, but ends each connection after its next response, so that callers move elsewhere. */
    announceStop(): void;
    /** Accepts no new connection; resolves when the last connection has ended after its current response. */
    stopAccepting(): Promise<void>;
    /** Ends all connections. */
    close(): Promise<void>;
}

/** Binds a listener; rejects when the address cannot be bound. */
export function startListener(options: ListenerOptions): Promise<Listener> {
    let stopping = false;
    const openResponses = new OpenResponses();
    const server = createServer({
        maxHeaderSize: options.maxHeaderBytes ?? defaultMaxHeaderBytes,
        headersTimeout: Math.min(headersTimeoutMs, options.requestTimeoutMs),
        requestTimeout: options.requestTimeoutMs,
        keepAliveTimeout: defaultIdleTimeoutMs,
        noDelay: true,
    }, (request, response) => {
        if (stopping) {
            response.setHeader("connection", "close");
        }
        response.on("error", () => undefined);
        openResponses.add(request.socket, response);
        options.handle(request, response);
    });
    server.maxConnections = options.maxConnections;
    server.on("clientError", (_error, socket) => {
        if (!openResponses.canSendError(socket)) {
            socket.destroy();
            return;
        }
        socket.end("HTTP/1.1 400 Bad Request\r\nconnection: close\r\nx-mesh-outcome: not-run\r\n\r\n");
    });
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(options.port, options.host, () => {
            resolve({
                address: formatAddress(server),
                setIdleTimeout: idleTimeoutMs => {
                    server.keepAliveTimeout = idleTimeoutMs;
                },
                announceStop: () => {
                    stopping = true;
                },
                stopAccepting: () => {
                    stopping = true;
                    return new Promise(closed => {
                        server.close(() => closed());
                        server.closeIdleConnections();
                    });
                },
                close: () => closeServer(server),
            });
        });
    });
}

/**
 * Responses that are not finished, by connection. Bytes that do not parse may follow a request that is being answered;
 * an error response on that connection would be taken for the answer, or for a part of it.
 */
class OpenResponses {
    private readonly responses = new WeakMap<Duplex, Set<ServerResponse>>();

    add(socket: Duplex, response: ServerResponse): void {
        const open = this.responses.get(socket) ?? new Set();
        this.responses.set(socket, open);
        open.add(response);
        response.once("close", () => open.delete(response));
    }

    /** Whether the connection has no response in progress, or only that to the request that did not parse. */
    canSendError(socket: Duplex): boolean {
        const open = [...this.responses.get(socket) ?? []];
        return open.every(response => !response.headersSent && !response.req.complete);
    }
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
