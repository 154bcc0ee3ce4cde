/**
 * HTTP server of the store stand-in, backed by an in-memory store.
 */
import { once } from "node:events";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { SystemClock } from "@bilberrycroft/core.clock";
import { createBilberrycroftError, ErrorCode } from "@bilberrycroft/core.errors";
import { MemoryStore, type StoreFaultControl } from "@bilberrycroft/protocol.store";
import type { SchedulerLike } from "rxjs";
import { handleStoreRequest } from "./handler";

export interface StoreStandinOptions {
    /** 0 for any free port. */
    readonly port: number;
    readonly host?: string;
    readonly maxConnections?: number;
    /** Schedules delays and watch timeouts; uses the timers of the host by default. */
    readonly scheduler?: SchedulerLike;
    /** Prefix of every revision. The default is the start time, so that revisions differ between runs. */
    readonly revisionPrefix?: string;
    /** Existing store, to keep its objects across a restart of the server. */
    readonly store?: MemoryStore;
}

export interface StoreStandin {
    /** `host:port` */
    readonly address: string;
    readonly faults: StoreFaultControl;
    readonly store: MemoryStore;
    /** Stops listening and closes every connection, which ends waiting watches. */
    close(): Promise<void>;
}

/** Covers ten zone readers, the operators and the claiming nodes of a full fleet, with a margin. */
export const defaultMaxConnections = 2_048;

/** Starts the stand-in. Resolves when it listens; rejects with `ListenFailed` if it cannot. */
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
            hint: "Choose another port or stop the process that uses it.",
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
        // The client may disconnect at any time; the `close` event of the response handles that.
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
