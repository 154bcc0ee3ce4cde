/**
 * HTTP client of the platform store. Failures are outcome values; a write that may have reached the store is `Unknown`.
 */
import { Agent } from "node:http";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { createBilberrycroftError, ErrorCode } from "@bilberrycroft/core.errors";
import {
    getConditionRevision,
    type ListOutcome,
    maxObjectBytes,
    maxWatchWaitMs,
    type ReadOutcome,
    validateValue,
    type Store,
    StoreOutcomeKind,
    validateKey,
    validatePrefix,
    validateRevision,
    type WatchOutcome,
    type WatchRequest,
    type WriteCondition,
    WriteConditionKind,
    type WriteOutcome,
} from "@bilberrycroft/protocol.store";
import { asyncScheduler, type SchedulerLike } from "rxjs";
import { type ExchangeOutcome, ExchangeOutcomeKind, type ExchangeRequest, performExchange } from "./exchange";
import { interpretList, interpretRead, interpretWatch, interpretWrite } from "./interpret";

export interface HttpStoreOptions {
    /** `host:port` */
    readonly address: string;
    /** Timeout of each call. For a watch, it is added to the wait time. */
    readonly timeoutMs?: Milliseconds;
    /** Maximum number of connections for calls. Watches have a separate pool of this size, so as not to block calls. */
    readonly maxConnections?: number;
    /** Schedules the timeouts; real timers by default. */
    readonly scheduler?: SchedulerLike;
}

const defaultTimeoutMs: Milliseconds = 2_000;
const defaultMaxConnections = 8;
/** Fits a list of about 40,000 keys and revisions, which is a month of archived snapshots. */
const maxListBytes = 4_000_000;

/** Shorter than the 5 s after which Node's HTTP servers close idle connections, so that few calls use a closed one. */
const idleConnectionMs: Milliseconds = 4_000;

type Call = Pick<ExchangeRequest, "method" | "path" | "headers" | "body">;

export class HttpStore implements Store {
    private readonly host: string;
    private readonly port: number;
    private readonly timeoutMs: Milliseconds;
    private readonly scheduler: SchedulerLike;
    private readonly callAgent: Agent;
    private readonly watchAgent: Agent;

    constructor(options: HttpStoreOptions) {
        const { host, port } = parseStoreAddress(options.address);
        this.host = host;
        this.port = port;
        this.timeoutMs = options.timeoutMs ?? defaultTimeoutMs;
        this.scheduler = options.scheduler ?? asyncScheduler;
        const maxSockets = options.maxConnections ?? defaultMaxConnections;
        this.callAgent = new Agent({ keepAlive: true, maxSockets, timeout: idleConnectionMs });
        this.watchAgent = new Agent({ keepAlive: true, maxSockets, timeout: idleConnectionMs });
    }

    async read(key: string): Promise<ReadOutcome> {
        return validateKey(key)
            ?? interpretRead(key, await this.exchangeWithRetry({ method: "GET", path: `/objects/${key}` }));
    }

    async list(prefix: string): Promise<ListOutcome> {
        const path = `/objects?prefix=${encodeURIComponent(prefix)}`;
        return validatePrefix(prefix)
            ?? interpretList(await this.exchangeWithRetry({ method: "GET", path }, maxListBytes));
    }

    async write(key: string, value: string, condition: WriteCondition): Promise<WriteOutcome> {
        const refusal = validateKey(key)
            ?? validateRevision(getConditionRevision(condition))
            ?? validateValue(value);
        if (refusal !== undefined) {
            return refusal;
        }
        const call: Call = {
            method: "PUT",
            path: `/objects/${key}`,
            headers: formatCondition(condition),
            body: value,
        };
        return interpretWrite(await this.exchange(call));
    }

    async remove(key: string, revision: string): Promise<WriteOutcome> {
        const call: Call = {
            method: "DELETE",
            path: `/objects/${key}`,
            headers: { "if-match": `"${revision}"` },
        };
        const refusal = validateKey(key) ?? validateRevision(revision);
        return refusal ?? interpretWrite(await this.exchange(call));
    }

    async watch(request: WatchRequest): Promise<WatchOutcome> {
        const refusal = validateKey(request.key) ?? validateRevision(request.after);
        if (refusal !== undefined) {
            return refusal;
        }
        if (request.signal?.aborted === true) {
            return { kind: StoreOutcomeKind.Unchanged };
        }
        const waitMs = Math.round(Math.min(Math.max(request.waitMs, 0), maxWatchWaitMs));
        const outcome = await performExchange({
            ...this.createExchange({ method: "GET", path: formatWatchPath(request, waitMs) }),
            agent: this.watchAgent,
            timeoutMs: waitMs + this.timeoutMs,
            signal: request.signal,
        });
        return interpretWatch(request, outcome);
    }

    /** Closes all connections. Calls in flight fail. */
    close(): void {
        this.callAgent.destroy();
        this.watchAgent.destroy();
    }

    /**
     * Retries once if the store closed an idle connection just as the call was sent on it. Only for reads, which are
     * safe to send again.
     */
    private async exchangeWithRetry(call: Call, maxResponseBytes?: number): Promise<ExchangeOutcome> {
        const outcome = await this.exchange(call, maxResponseBytes);
        const isStale = outcome.kind === ExchangeOutcomeKind.Lost && outcome.onStaleConnection;
        return isStale ? this.exchange(call, maxResponseBytes) : outcome;
    }

    private exchange(call: Call, maxResponseBytes?: number): Promise<ExchangeOutcome> {
        return performExchange(this.createExchange(call, maxResponseBytes));
    }

    private createExchange(call: Call, maxResponseBytes: number = maxObjectBytes): ExchangeRequest {
        return {
            ...call,
            agent: this.callAgent,
            host: this.host,
            port: this.port,
            timeoutMs: this.timeoutMs,
            scheduler: this.scheduler,
            maxResponseBytes,
        };
    }
}

function parseStoreAddress(address: string): { readonly host: string; readonly port: number } {
    const match = /^\[?([^\]]+)\]?:(\d{1,5})$/.exec(address);
    const maxPort = 65_535;
    if (match?.[1] === undefined || Number(match[2]) > maxPort) {
        throw createBilberrycroftError(`malformed store address "${address}"`, {
            code: ErrorCode.BadSettings,
            hint: "Write it as <host>:<port>.",
        });
    }
    return { host: match[1], port: Number(match[2]) };
}

function formatWatchPath(request: WatchRequest, waitMs: Milliseconds): string {
    const after = request.after === undefined ? "" : `after=${encodeURIComponent(request.after)}&`;
    return `/watch/${request.key}?${after}wait=${waitMs}`;
}

function formatCondition(condition: WriteCondition): Readonly<Record<string, string>> {
    switch (condition.kind) {
        case WriteConditionKind.Absent:
            return { "if-none-match": "*" };
        case WriteConditionKind.Revision:
            return { "if-match": `"${condition.revision}"` };
    }
}
