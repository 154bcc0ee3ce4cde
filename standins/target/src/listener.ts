/**
 * The target's listening socket, which a simulated crash closes and opens again on the same port.
 */
import { once } from "node:events";
import { createServer, type RequestListener, type Server, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { createBilberrycroftError, ErrorCode } from "@bilberrycroft/core.errors";
import type { SchedulerLike } from "rxjs";

/** Where and how a target listens. */
export interface ListenerOptions {
    readonly host: string;
    readonly port: number;
    readonly connections: number;
    readonly scheduler: SchedulerLike;
    readonly onRequest: RequestListener;
}

/** The callers' pools decide when an idle connection ends, so that few calls meet a closed one. */
const idleConnectionMs = 60_000;
/** Another socket may hold the port for a moment after a crash. */
const listenAgainMs = 50;

/** Owner of the listening socket. */
export class Listener {
    private readonly server: Server;
    /** Requests in flight by connection. */
    private readonly connections = new Map<Socket, number>();
    private finishing = false;
    private port: number;

    constructor(private readonly options: ListenerOptions) {
        this.port = options.port;
        this.server = createServer({ keepAliveTimeout: idleConnectionMs });
        this.server.maxConnections = options.connections;
        this.server.on("connection", socket => this.trackConnection(socket));
        this.server.on("request", (request, response) => {
            this.trackRequest(request.socket, response);
            options.onRequest(request, response);
        });
    }

    /** `host:port`, also while the socket is closed. */
    get address(): string {
        return `${this.options.host}:${this.port}`;
    }

    /** Listens for the first time. */
    async open(): Promise<void> {
        this.server.listen(this.port, this.options.host);
        try {
            await once(this.server, "listening");
        }
        catch (cause) {
            throw createBilberrycroftError(`cannot listen on ${this.address}`, {
                code: ErrorCode.ListenFailed,
                hint: "Choose another port, or end the process that uses it.",
                cause,
            });
        }
        this.port = (this.server.address() as AddressInfo).port;
    }

    /** Listens again on the same port, as soon as it is free. */
    reopen(onOpen: () => void): void {
        const fail = (): void => {
            this.server.off("listening", succeed);
            this.options.scheduler.schedule(() => this.reopen(onOpen), listenAgainMs);
        };
        const succeed = (): void => {
            this.server.off("error", fail);
            onOpen();
        };
        this.server.once("error", fail);
        this.server.once("listening", succeed);
        this.server.listen(this.port, this.options.host);
    }

    /** Stops listening and drops every connection at once. */
    drop(): void {
        this.server.close();
        for (const socket of this.connections.keys()) {
            socket.destroy();
        }
    }

    /** Stops listening and resolves when the last request in flight ended; idle connections end at once. */
    async finish(): Promise<void> {
        if (!this.server.listening) {
            return;
        }
        this.finishing = true;
        const closed = once(this.server, "close");
        this.server.close();
        for (const socket of this.connections.keys()) {
            this.endIdleConnection(socket);
        }
        await closed;
    }

    private trackConnection(socket: Socket): void {
        this.connections.set(socket, 0);
        socket.on("close", () => this.connections.delete(socket));
    }

    private trackRequest(socket: Socket, response: ServerResponse): void {
        this.connections.set(socket, (this.connections.get(socket) ?? 0) + 1);
        response.on("close", () => {
            const requests = this.connections.get(socket);
            if (requests !== undefined) {
                this.connections.set(socket, requests - 1);
                this.endIdleConnection(socket);
            }
        });
    }

    /** Node's `closeIdleConnections` skips connections that never sent a request; callers may open some in advance. */
    private endIdleConnection(socket: Socket): void {
        if (this.finishing && this.connections.get(socket) === 0) {
            socket.destroySoon();
        }
    }
}
