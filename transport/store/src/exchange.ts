/**
 * One HTTP exchange with the store: sends a request, reads a bounded response, and says how far a failed one got.
 */
import { type Agent, type IncomingMessage, request as sendRequest } from "node:http";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import type { SchedulerLike } from "rxjs";

/** Kinds of `ExchangeOutcome`. */
export enum ExchangeOutcomeKind {
    Responded = "responded",
    /** Nothing of the request left this host. */
    NotSent = "not-sent",
    /** The request, or a part of it, was sent; no complete response arrived. */
    Lost = "lost",
}

/** Result of one exchange. */
export type ExchangeOutcome =
    | {
        readonly kind: ExchangeOutcomeKind.Responded;
        readonly status: number;
        readonly entityTag: string | undefined;
        readonly body: string;
    }
    | { readonly kind: ExchangeOutcomeKind.NotSent; readonly reason: string }
    | {
        readonly kind: ExchangeOutcomeKind.Lost;
        readonly reason: string;
        /** The connection had idled before and broke before any response arrived. */
        readonly onStaleConnection: boolean;
    };

/** One request to the store. */
export interface ExchangeRequest {
    readonly agent: Agent;
    readonly host: string;
    readonly port: number;
    readonly method: "GET" | "POST" | "PUT" | "DELETE";
    readonly path: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string;
    readonly timeoutMs: Milliseconds;
    readonly maxResponseBytes: number;
    readonly scheduler: SchedulerLike;
    /** Ends the exchange early, as lost. */
    readonly signal?: AbortSignal;
}

/** Performs one exchange; resolves once and never rejects. */
export function performExchange(options: ExchangeRequest): Promise<ExchangeOutcome> {
    return new Promise(resolve => {
        let isConnected = false;
        const request = sendRequest({
            agent: options.agent,
            host: options.host,
            port: options.port,
            method: options.method,
            path: options.path,
            headers: createHeaders(options),
        });
        const fail = (reason: string, onStaleConnection = false): void => {
            finish(isConnected
                ? { kind: ExchangeOutcomeKind.Lost, reason, onStaleConnection }
                : { kind: ExchangeOutcomeKind.NotSent, reason });
            request.destroy();
        };
        const abort = (): void => fail("the caller gave up");
        const timer = options.scheduler.schedule(() => fail("timed out"), options.timeoutMs);
        const finish = (outcome: ExchangeOutcome): void => {
            timer.unsubscribe();
            options.signal?.removeEventListener("abort", abort);
            resolve(outcome);
        };
        options.signal?.addEventListener("abort", abort);
        // Node writes the request as soon as the socket is connected, so from then on the store may have it.
        request.on("socket", socket => {
            isConnected = !socket.connecting;
            // A reused socket never connects again; a listener on it would stay for the life of the connection.
            if (socket.connecting) {
                socket.once("connect", () => {
                    isConnected = true;
                });
            }
        });
        request.on("error", error => fail(error.message, request.reusedSocket));
        request.on("response", response => collectBody(response, options.maxResponseBytes, fail, finish));
        request.end(options.body);
    });
}

function createHeaders(options: ExchangeRequest): Record<string, string | number> {
    return options.body === undefined
        ? { ...options.headers }
        : {
                ...options.headers,
                "content-type": "application/json",
                "content-length": Buffer.byteLength(options.body),
            };
}

function collectBody(
    response: IncomingMessage,
    maxBytes: number,
    fail: (reason: string) => void,
    finish: (outcome: ExchangeOutcome) => void,
): void {
    const chunks: Buffer[] = [];
    let bytes = 0;
    response.on("data", (chunk: Buffer) => {
        bytes += chunk.length;
        chunks.push(chunk);
        if (bytes > maxBytes) {
            fail("the response is too large");
        }
    });
    response.on("error", error => fail(error.message));
    response.on("end", () => finish({
        kind: ExchangeOutcomeKind.Responded,
        status: response.statusCode ?? 0,
        entityTag: response.headers.etag,
        body: Buffer.concat(chunks).toString("utf8"),
    }));
}
