/**
 * Listening socket of the target. A simulated crash closes it and reopens it on the same port.
 */
import { once } from "node:events";
import { createServer, type RequestListener, type Server, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { createBilberrycroftError, ErrorCode } from "@bilberrycroft/core.errors";
import type { SchedulerLike } from "rxjs";

export interface ListenerOptions {
    readonly host: string;
    readonly port: number;
    /** Maximum concurrent connections. */
    readonly connections: number;
    readonly scheduler: SchedulerLike;
    readonly onRequest: RequestListener;
}

/** Long, so that callers close idle connections first and rarely send a call on a connection that is already closed. */
const idleConnectionTimeoutMs = 60_000;
/** Delay between attempts to reopen: after a crash, another socket may briefly use the port. */
const reopenDelayMs = 50;

export class Listener {
    private readonly server: Server;
    /** Requests in flight by connection. */
    private readonly requestsByConnection = new Map<Socket, number>();
    private isClosing = false;
    private port: number;

    constructor(private readonly options: ListenerOptions) {
        this.port = options.port;
        this.server = createServer({ keepAliveTimeout: idleConnectionTimeoutMs });
        this.server.maxConnections = options.connections;
        this.server.on("connection", socket => this.trackConnection(socket));
        this.server.on("request", (request, response) => {
            this.trackRequest(request.socket, response);
            options.onRequest(request, response);
        });
    }

    /** `host:port`. Stays the same while the socket is closed. */
    get address(): string {
        return `${this.options.host}:${this.port}`;
    }

    /** Starts to listen. Rejects with `ListenFailed` if the port cannot be used. */
    async open(): Promise<void> {
        this.server.listen(this.port, this.options.host);
        try {
            await once(this.server, "listening");
        }
        catch (cause) {
            throw createBilberrycroftError(`cannot listen on ${this.address}`, {
                code: ErrorCode.ListenFailed,
                hint: "Choose another port or stop the process that uses it.",
                cause,
            });
        }
        this.port = (this.server.address() as AddressInfo).port;
    }

    /** Listens again on the same port. Retries until the port is free. */
    reopen(onOpen: () => void): void {
        const handleError = (): void => {
            this.server.off("listening", handleListening);
            this.options.scheduler.schedule(() => this.reopen(onOpen), reopenDelayMs);
        };
        const handleListening = (): void => {
            this.server.off("error", handleError);
            onOpen();
        };
        this.server.once("error", handleError);
        this.server.once("listening", handleListening);
        this.server.listen(this.port, this.options.host);
    }

    /** Stops listening and closes every connection immediately. */
    closeImmediately(): void {
        this.server.close();
        for (const socket of this.requestsByConnection.keys()) {
            socket.destroy();
        }
    }

    /** Stops listening and closes idle connections. Resolves when the last request in flight has ended. */
    async closeGracefully(): Promise<void> {
        if (!this.server.listening) {
            return;
        }
        this.isClosing = true;
        const closed = once(this.server, "close");
        this.server.close();
        for (const socket of this.requestsByConnection.keys()) {
            this.endIdleConnection(socket);
        }
        await closed;
    }

    private trackConnection(socket: Socket): void {
        this.requestsByConnection.set(socket, 0);
        socket.on("close", () => this.requestsByConnection.delete(socket));
    }

    private trackRequest(socket: Socket, response: ServerResponse): void {
        this.requestsByConnection.set(socket, (this.requestsByConnection.get(socket) ?? 0) + 1);
        response.on("close", () => {
            const requests = this.requestsByConnection.get(socket);
            if (requests !== undefined) {
                this.requestsByConnection.set(socket, requests - 1);
                this.endIdleConnection(socket);
            }
        });
    }

    /** `Server.closeIdleConnections` skips connections that never sent a request, which callers may open in advance. */
    private endIdleConnection(socket: Socket): void {
        if (this.isClosing && this.requestsByConnection.get(socket) === 0) {
            socket.destroySoon();
        }
    }
}
