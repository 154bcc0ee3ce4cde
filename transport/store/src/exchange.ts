/**
 * A single HTTP exchange with the store: sends a request and reads the response up to a size limit. The outcome of a
 * failed exchange states whether the request may have been sent.
 */
import { type Agent, type IncomingHttpHeaders, type IncomingMessage, request as sendRequest } from "node:http";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import type { SchedulerLike } from "rxjs";

export enum ExchangeOutcomeKind {
    Responded = "responded",
    /** No part of the request was sent. */
    NotSent = "not-sent",
    /** The request or a part of it may have been sent, but no complete response arrived. */
    Lost = "lost",
}

export type ExchangeOutcome =
    | {
        readonly kind: ExchangeOutcomeKind.Responded;
        readonly status: number;
        readonly entityTag: string | undefined;
        readonly headers: IncomingHttpHeaders;
        readonly body: string;
    }
    | { readonly kind: ExchangeOutcomeKind.NotSent; readonly reason: string }
    | {
        readonly kind: ExchangeOutcomeKind.Lost;
        readonly reason: string;
        /** The exchange reused an idle connection, which broke before any response arrived. */
        readonly onStaleConnection: boolean;
        /** The response exceeded `maxResponseBytes`. */
        readonly isTooLarge: boolean;
    };

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
    /** Aborts the exchange; the outcome is then `Lost` or `NotSent`. */
    readonly signal?: AbortSignal;
}

/** Performs the exchange; never rejects. */
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
        const fail = (reason: string, { onStaleConnection = false, isTooLarge = false } = {}): void => {
            finish(isConnected
                ? { kind: ExchangeOutcomeKind.Lost, reason, onStaleConnection, isTooLarge }
                : { kind: ExchangeOutcomeKind.NotSent, reason });
            request.destroy();
        };
        const abort = (): void => fail("aborted by the caller");
        const timer = options.scheduler.schedule(() => fail("timed out"), options.timeoutMs);
        const finish = (outcome: ExchangeOutcome): void => {
            timer.unsubscribe();
            options.signal?.removeEventListener("abort", abort);
            resolve(outcome);
        };
        options.signal?.addEventListener("abort", abort);
        // Node writes the request as soon as the socket is connected, so the store may receive it from then on.
        request.on("socket", socket => {
            isConnected = !socket.connecting;
            // A reused socket does not emit `connect` again; a listener would leak until the connection ends.
            if (socket.connecting) {
                socket.once("connect", () => {
                    isConnected = true;
                });
            }
        });
        request.on("error", error => fail(error.message, { onStaleConnection: request.reusedSocket }));
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
    fail: (reason: string, details?: { readonly isTooLarge: boolean }) => void,
    finish: (outcome: ExchangeOutcome) => void,
): void {
    const chunks: Buffer[] = [];
    let bytes = 0;
    response.on("data", (chunk: Buffer) => {
        bytes += chunk.length;
        chunks.push(chunk);
        if (bytes > maxBytes) {
            fail("the response is too large", { isTooLarge: true });
        }
    });
    response.on("error", error => fail(error.message));
    response.on("end", () => finish({
        kind: ExchangeOutcomeKind.Responded,
        status: response.statusCode ?? 0,
        entityTag: response.headers.etag,
        headers: response.headers,
        body: Buffer.concat(chunks).toString("utf8"),
    }));
}
