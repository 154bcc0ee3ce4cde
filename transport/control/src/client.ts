/**
 * Client for the control listeners of other nodes. Calls never reject; failures are outcome values.
 */
import type { FetchReply } from "@bilberrycroft/coordination.dissemination";
import type { Entry, Exchange, JoinReply, TableCopy } from "@bilberrycroft/coordination.membership";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import {
    type ClaimReply,
    type ConfigurationPush,
    type ControlRouter,
    type DrainReport,
    exchangeSchema,
    fetchReplySchema,
    joinReplySchema,
    type StatusReport,
    tableCopySchema,
} from "@bilberrycroft/protocol.control";
import { createTRPCClient, httpLink, type TRPCClient, TRPCClientError } from "@trpc/client";
import type { z } from "zod";
import { createNodeFetch, type NodeFetch } from "./nodeFetch";

const callTimeoutMs: Milliseconds = 5_000;
const maxResponseBytes = 2_000_000;
const maxConnectionsPerPeer = 4;
// Intervals between two exchanges with a peer in another zone are rarely longer. Closed connections are reopened.
const idleConnectionMs: Milliseconds = 15_000;
// Without a limit, clients of departed peers would accumulate.
const maxClients = 256;

export enum ControlOutcomeKind {
    Done = "done",
    /** There was no usable response; the call may have taken effect. */
    Failed = "failed",
}

export type ControlOutcome<Value> =
    | { readonly kind: ControlOutcomeKind.Done; readonly value: Value }
    | { readonly kind: ControlOutcomeKind.Failed; readonly reason: string };

export interface ControlClientOptions {
    readonly timeoutMs?: Milliseconds;
    /** Called with the body bytes sent and received, without headers, after each response. */
    countBytes?(sent: number, received: number): void;
}

/** Calls control listeners by address, with one cached tRPC client per address. */
export class ControlClient {
    private readonly clients = new Map<string, TRPCClient<ControlRouter>>();
    private readonly nodeFetch: NodeFetch;

    constructor(options: ControlClientOptions = {}) {
        this.nodeFetch = createNodeFetch({
            timeoutMs: options.timeoutMs ?? callTimeoutMs,
            maxResponseBytes,
            maxConnectionsPerPeer,
            idleConnectionMs,
            countBytes: options.countBytes,
        });
    }

    exchange(address: string, exchange: Exchange, timeoutMs: Milliseconds): Promise<ControlOutcome<Exchange>> {
        const signal = AbortSignal.timeout(timeoutMs);
        const call = this.getClient(address).exchange.mutate(exchange, { signal });
        return toOutcome(call, exchangeSchema) as Promise<ControlOutcome<Exchange>>;
    }

    join(address: string, entry: Entry, timeoutMs: Milliseconds): Promise<ControlOutcome<JoinReply>> {
        const signal = AbortSignal.timeout(timeoutMs);
        const call = this.getClient(address).join.mutate(entry, { signal });
        return toOutcome(call, joinReplySchema) as Promise<ControlOutcome<JoinReply>>;
    }

    zoneTable(address: string, zone: string, timeoutMs: Milliseconds): Promise<ControlOutcome<TableCopy>> {
        const signal = AbortSignal.timeout(timeoutMs);
        const call = this.getClient(address).zoneTable.mutate(zone, { signal });
        return toOutcome(call, tableCopySchema) as Promise<ControlOutcome<TableCopy>>;
    }

    fetchConfiguration(
        address: string,
        baseVersion: number,
        timeoutMs: Milliseconds,
    ): Promise<ControlOutcome<FetchReply>> {
        const signal = AbortSignal.timeout(timeoutMs);
        const call = this.getClient(address).fetchConfiguration.mutate(baseVersion, { signal });
        return toOutcome(call, fetchReplySchema) as Promise<ControlOutcome<FetchReply>>;
    }

    pushConfiguration(address: string, push: ConfigurationPush): Promise<ControlOutcome<void>> {
        return toOutcome(this.getClient(address).pushConfiguration.mutate(push));
    }

    claimOutcome(
        address: string,
        claim: { readonly key: string; readonly attempt: string },
    ): Promise<ControlOutcome<ClaimReply>> {
        return toOutcome(this.getClient(address).claimOutcome.mutate(claim));
    }

    status(address: string): Promise<ControlOutcome<StatusReport>> {
        return toOutcome(this.getClient(address).status.query() as Promise<StatusReport>);
    }

    metrics(address: string): Promise<ControlOutcome<string>> {
        return toOutcome(this.getClient(address).metrics.query());
    }

    drain(address: string): Promise<ControlOutcome<DrainReport>> {
        return toOutcome(this.getClient(address).drain.mutate());
    }

    /** Closes all connections. */
    close(): void {
        this.nodeFetch.close();
        this.clients.clear();
    }

    private getClient(address: string): TRPCClient<ControlRouter> {
        const existing = this.clients.get(address);
        if (existing !== undefined) {
            return existing;
        }
        if (this.clients.size >= maxClients) {
            this.clients.clear();
        }
        const client = createTRPCClient<ControlRouter>({
            links: [httpLink({
                url: `http://${address}`,
                methodOverride: "POST",
                fetch: this.nodeFetch.fetch as never,
            })],
        });
        this.clients.set(address, client);
        return client;
    }
}

async function toOutcome<Value>(call: Promise<Value>, schema?: z.ZodType): Promise<ControlOutcome<Value>> {
    try {
        const value = await call;
        const checked = schema?.safeParse(value);
        if (checked?.success === false) {
            return { kind: ControlOutcomeKind.Failed, reason: `malformed response: ${checked.error.issues[0]?.message}` };
        }
        return { kind: ControlOutcomeKind.Done, value };
    }
    catch (error) {
        const cause = error instanceof TRPCClientError ? error.cause ?? error : error as Error;
        return { kind: ControlOutcomeKind.Failed, reason: (cause as NodeJS.ErrnoException).code ?? cause.message };
    }
}
