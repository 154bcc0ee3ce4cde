/**
 * A `fetch` for the tRPC client based on Node's `http`: keep-alive connections, a response size limit and a timeout.
 */
import { Agent, type IncomingMessage, request } from "node:http";
import type { Milliseconds } from "@bilberrycroft/core.clock";

/** Limits of control calls. */
export interface NodeFetchOptions {
    readonly timeoutMs: Milliseconds;
    readonly maxResponseBytes: number;
    readonly maxConnectionsPerPeer: number;
    readonly idleConnectionMs: Milliseconds;
    /** Called with the body bytes sent and received, without headers, after each response. */
    countBytes?(sent: number, received: number): void;
}

/** The subset of the fetch response that the tRPC client uses. */
export interface FetchResponse {
    readonly ok: boolean;
    readonly status: number;
    json(): Promise<unknown>;
}

interface FetchInit {
    readonly method?: string;
    readonly body?: unknown;
    readonly headers?: unknown;
    readonly signal?: AbortSignal | null | undefined;
}

/** A `fetch` function and its connection pool. */
export interface NodeFetch {
    fetch(url: string | URL, init?: FetchInit): Promise<FetchResponse>;
    close(): void;
}

/** Creates a `fetch` function with its own connection pool. */
export function createNodeFetch(options: NodeFetchOptions): NodeFetch {
    const agent = new Agent({
        keepAlive: true,
        maxSockets: options.maxConnectionsPerPeer,
        timeout: options.idleConnectionMs,
    });
    return {
        fetch: (url, init = {}) => send({ url: new URL(url), init, agent, options }),
        close: () => agent.destroy(),
    };
}

interface SendRequest {
    readonly url: URL;
    readonly init: FetchInit;
    readonly agent: Agent;
    readonly options: NodeFetchOptions;
}

function send({ url, init, agent, options }: SendRequest): Promise<FetchResponse> {
    const body = typeof init.body === "string" ? Buffer.from(init.body) : undefined;
    return new Promise((resolve, reject) => {
        const clientRequest = request(url, {
            method: init.method ?? "GET",
            headers: {
                ...init.headers as Record<string, string>,
                ...body === undefined ? {} : { "content-length": String(body.length) },
            },
            agent,
            signal: init.signal ?? undefined,
        });
        const timer = setTimeout(() => clientRequest.destroy(new Error("timed out")), options.timeoutMs);
        clientRequest.on("close", () => clearTimeout(timer));
        clientRequest.on("error", reject);
        clientRequest.on("response", response => {
            readText(response, options.maxResponseBytes).then(text => {
                options.countBytes?.(body?.length ?? 0, text.length);
                const status = response.statusCode ?? 0;
                resolve({ ok: status >= 200 && status < 300, status, json: async () => JSON.parse(text) as unknown });
            }, error => {
                clientRequest.destroy();
                reject(error as Error);
            });
        });
        clientRequest.end(body);
    });
}

async function readText(response: IncomingMessage, maxBytes: number): Promise<string> {
    const chunks: Buffer[] = [];
    let size = 0;
    for await (const chunk of response) {
        size += (chunk as Buffer).length;
        if (size > maxBytes) {
            throw new Error(`response is larger than ${maxBytes} bytes`);
        }
        chunks.push(chunk as Buffer);
    }
    return Buffer.concat(chunks).toString("utf8");
}
