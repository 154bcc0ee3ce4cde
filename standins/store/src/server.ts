/**
 * The stand-in's HTTP server over an in-memory store.
 */
import { once } from "node:events";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { SystemClock } from "@bilberrycroft/core.clock";
import { createBilberrycroftError, ErrorCode } from "@bilberrycroft/core.errors";
import { MemoryStore, type StoreFaultControl } from "@bilberrycroft/protocol.store";
import type { SchedulerLike } from "rxjs";
import { handleStoreRequest } from "./handler";

/** Options of `startStoreStandin`. */
export interface StoreStandinOptions {
    /** 0 lets the system choose a free port. */
    readonly port: number;
    readonly host?: string;
    readonly maxConnections?: number;
    /** Runs delays and the ends of watches; the host's timers by default. */
    readonly scheduler?: SchedulerLike;
    /** Starts every revision; by default it is made from the time of the start, so that runs differ. */
    readonly revisionPrefix?: string;
    /** An existing store keeps its objects across a restart of the server. */
    readonly store?: MemoryStore;
}

/** A running stand-in. */
export interface StoreStandin {
    /** `host:port` */
    readonly address: string;
    readonly faults: StoreFaultControl;
    readonly store: MemoryStore;
    /** Stops listening and drops every connection; waiting watches end. */
    close(): Promise<void>;
}

/** Connections for ten zone readers, operators and claiming nodes of a full fleet, with a margin. */
export const defaultMaxConnections = 2_048;

/** Starts the stand-in and resolves when it listens. */
export async function startStoreStandin(options: StoreStandinOptions): Promise<StoreStandin> {
    const host = options.host ?? "127.0.0.1";
    const store = options.store ?? createStandinStore(options);
    const server = createStoreServer(store, options.maxConnections ?? defaultMaxConnections);
    server.listen(options.port, host);
    try {
        await once(server, "listening");
    }
    catch (cause) {
        throw createBilberrycroftError(`cannot listen on ${host}:${options.port}`, {
            code: ErrorCode.ListenFailed,
            hint: "Choose another port, or end the process that uses it.",
            cause,
        });
    }
    const address = `${host}:${(server.address() as AddressInfo).port}`;
    return { address, faults: store, store, close: () => closeServer(server) };
}

function createStandinStore(options: StoreStandinOptions): MemoryStore {
    const startedAt = Math.floor(new SystemClock().wallTime()).toString(36);
    const revisionPrefix = options.revisionPrefix ?? `${startedAt}-`;
    return new MemoryStore({ scheduler: options.scheduler, revisionPrefix });
}

function createStoreServer(store: MemoryStore, maxConnections: number): Server {
    const server = createServer((request, response) => {
        // The client may leave at any moment; the response's `close` event covers what matters here.
        response.on("error", () => undefined);
        void handleStoreRequest(store, request, response);
    });
    server.maxConnections = maxConnections;
    return server;
}

async function closeServer(server: Server): Promise<void> {
    const closed = once(server, "close");
    server.close();
    server.closeAllConnections();
    await closed;
}
