/**
 * Limits the connections of clients, in all and of one address, and the requests that are open on each.
 *
 * At a limit, the connection that has waited longest for its client gives way to a new one, so that clients that stop
 * cannot keep others out. A connection whose request is being forwarded never gives way.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { performance } from "node:perf_hooks";
import type { Milliseconds } from "@bilberrycroft/core.clock";

/** Which limit took effect. */
export enum ClientLimit {
    /** A connection was closed in favour of a new one. */
    ConnectionEvicted = "connection-evicted",
    /** A new connection was closed. */
    ConnectionRefused = "connection-refused",
    /** A request was refused, because too many before it on its connection have no complete response. */
    PipelineRefused = "pipeline-refused",
}

/** Counts the memory of connections and requests. */
export interface ClientAccounts {
    open(): { set(bytes: number): void };
    hasRoom(bytes: number): boolean;
}

export interface ClientLimits {
    readonly maxConnections: number;
    readonly maxConnectionsPerAddress: number;
    /** Requests of one connection that have no complete response. */
    readonly maxPipelinedRequests: number;
    readonly accounts: ClientAccounts;
    onLimit(limit: ClientLimit, address: string): void;
    /** Responds that a pipelined request was not run. The response closes its connection. */
    refuse(request: IncomingMessage, response: ServerResponse): void;
}

/** Socket, parser and stream objects of a connection; measured as 22 KB for each of 1,500 connections. */
export const connectionBytes = 24_576;
/** Objects of a request, its response and its call, without its head. */
export const requestBytes = 16_384;
/** Largest head that the platform allows; a single request with such a head is never refused for want of memory. */
const maxOrdinaryHeadBytes = 16_384;
/** A client at this rate is not closed while it sends a request or takes a response. */
const minBytesPerMs = 16.384;
/** Within this time nothing can be said about the rate of a client. */
const minRateMs: Milliseconds = 500;

/** What the settings of a process say about its clients. */
export interface ClientSettings {
    readonly connections: number;
    /** Three quarters of all connections if `undefined`. */
    readonly connectionsPerAddress: number | undefined;
    readonly pipelinedRequests: number;
    /** Descriptors kept for targets, other nodes, the store and the other listeners. */
    readonly reservedDescriptors: number;
}

/** Callers of one host may share an address, so it gets most of the connections; the rest is for other addresses. */
const defaultAddressShare = 0.75;

/** Part of few descriptors that remains for clients, so that a low limit of the system does not exclude them. */
const minDescriptorShare = 0.5;

/** Limits the connections to what the memory and the descriptors of the process allow. */
export function limitConnections(
    settings: ClientSettings,
    { budgetBytes, descriptors = Number.POSITIVE_INFINITY }: { budgetBytes: number; descriptors: number | undefined },
): Pick<ClientLimits, "maxConnections" | "maxConnectionsPerAddress" | "maxPipelinedRequests"> {
    const maxConnections = Math.max(1, Math.floor(Math.min(
        settings.connections,
        budgetBytes / (connectionBytes + requestBytes),
        Math.max(descriptors - settings.reservedDescriptors, minDescriptorShare * descriptors),
    )));
    return {
        maxConnections,
        maxConnectionsPerAddress: settings.connectionsPerAddress ?? Math.ceil(defaultAddressShare * maxConnections),
        maxPipelinedRequests: settings.pipelinedRequests,
    };
}

/** Order in which connections give way. */
enum Phase {
    /** Has sent no complete head yet. */
    New = 0,
    /** Sends a request, or takes a response, more slowly than the least rate. */
    Slow = 1,
    Idle = 2,
    /** A request is being forwarded, or the client makes progress. */
    Busy = 3,
}

class ClientConnection {
    hasSentHead = false;
    /** Start of the current phase. */
    since = performance.now();
    /** Bytes of both directions at the start of the phase. */
    private bytesBefore = 0;
    private readonly open = new Set<ServerResponse>();

    constructor(readonly socket: Socket, readonly address: string) {}

    get openRequests(): number {
        return this.open.size;
    }

    add(response: ServerResponse): void {
        this.hasSentHead = true;
        this.open.add(response);
        this.startPhase();
    }

    remove(response: ServerResponse): void {
        this.open.delete(response);
        this.startPhase();
    }

    getPhase(now: Milliseconds): Phase {
        if (!this.hasSentHead) {
            return Phase.New;
        }
        if (this.open.size === 0) {
            return Phase.Idle;
        }
        return this.isWaitingForClient && this.isSlow(now) ? Phase.Slow : Phase.Busy;
    }

    /** Whether a request is incomplete, or a response cannot be sent because the client does not read. */
    private get isWaitingForClient(): boolean {
        if (this.socket.writableLength > 0) {
            return true;
        }
        return [...this.open].some(({ req }) => !req.complete);
    }

    private isSlow(now: Milliseconds): boolean {
        const elapsedMs = now - this.since;
        return elapsedMs > minRateMs && this.countBytes() - this.bytesBefore < minBytesPerMs * elapsedMs;
    }

    private startPhase(): void {
        this.since = performance.now();
        this.bytesBefore = this.countBytes();
    }

    private countBytes(): number {
        const { bytesRead, bytesWritten, writableLength } = this.socket;
        return bytesRead + bytesWritten - writableLength;
    }
}

export class ClientConnections {
    private readonly connections = new Map<Socket, ClientConnection>();
    private readonly countByAddress = new Map<string, number>();

    constructor(private readonly limits: ClientLimits) {}

    /** Admits a new connection, or closes it if no other one can give way. */
    add(socket: Socket): boolean {
        const address = socket.remoteAddress ?? "";
        const { maxConnections, maxConnectionsPerAddress, accounts, onLimit } = this.limits;
        const isAddressFull = (this.countByAddress.get(address) ?? 0) >= maxConnectionsPerAddress;
        if (isAddressFull || this.connections.size >= maxConnections) {
            const victim = this.chooseVictim(isAddressFull ? address : undefined);
            if (victim === undefined) {
                onLimit(ClientLimit.ConnectionRefused, address);
                socket.destroy();
                return false;
            }
            onLimit(ClientLimit.ConnectionEvicted, victim.address);
            this.remove(victim);
            victim.socket.destroy();
        }
        const connection = new ClientConnection(socket, address);
        this.connections.set(socket, connection);
        this.countByAddress.set(address, (this.countByAddress.get(address) ?? 0) + 1);
        const account = accounts.open();
        account.set(connectionBytes);
        socket.once("close", () => {
            account.set(0);
            this.remove(connection);
        });
        return true;
    }

    /** Returns whether the request may be handled; otherwise it is refused and closes its connection. */
    admitRequest(socket: Socket, response: ServerResponse): boolean {
        const connection = this.connections.get(socket);
        if (connection === undefined) {
            return true;
        }
        const { accounts, maxPipelinedRequests, onLimit } = this.limits;
        const { openRequests } = connection;
        const headBytes = measureHead(response.req);
        const mayRefuse = openRequests > 0 || headBytes > maxOrdinaryHeadBytes;
        if (openRequests >= maxPipelinedRequests || (mayRefuse && !accounts.hasRoom(requestBytes + headBytes))) {
            onLimit(ClientLimit.PipelineRefused, connection.address);
            return false;
        }
        connection.add(response);
        const account = accounts.open();
        account.set(requestBytes + headBytes);
        response.once("close", () => {
            account.set(0);
            connection.remove(response);
        });
        return true;
    }

    get size(): number {
        return this.connections.size;
    }

    private remove(connection: ClientConnection): void {
        const { socket, address } = connection;
        if (this.connections.get(socket) === connection) {
            this.connections.delete(socket);
            const count = (this.countByAddress.get(address) ?? 1) - 1;
            if (count === 0) {
                this.countByAddress.delete(address);
            }
            else {
                this.countByAddress.set(address, count);
            }
        }
    }

    /** The connection of the first phase that has been in it longest. */
    private chooseVictim(address: string | undefined): ClientConnection | undefined {
        const now = performance.now();
        let victim: ClientConnection | undefined;
        let victimPhase = Phase.Busy;
        for (const connection of this.connections.values()) {
            if (address !== undefined && connection.address !== address) {
                continue;
            }
            const phase = connection.getPhase(now);
            if (phase < victimPhase || (phase === victimPhase && connection.since < (victim?.since ?? 0))) {
                victim = connection;
                victimPhase = phase;
            }
        }
        return victim;
    }
}

/** Characters of the path and of the headers. */
function measureHead({ rawHeaders, url = "" }: IncomingMessage): number {
    return rawHeaders.reduce((sum, { length }) => sum + length, url.length);
}
