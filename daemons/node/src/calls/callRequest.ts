/**
 * What a caller asks for, read from the head of its HTTP request.
 */
import type { IncomingHttpHeaders, IncomingMessage } from "node:http";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { CallHeader, CallReason, parseWholeNumber } from "@bilberrycroft/protocol.calls";

const longestTimeoutMs: Milliseconds = 600_000;
const deepestChain = 64;
const highestAttempt = 1_000;
const longestKey = 64;

/** Head of a call. */
export interface CallHead {
    readonly method: string;
    /** Path and query, as received. */
    readonly url: string;
    /** Path without the query. */
    readonly path: string;
    readonly tenant: string | undefined;
    readonly timeoutMs: Milliseconds | undefined;
    readonly depth: number;
    readonly attempt: number;
    readonly idempotencyKey: string | undefined;
}

/** Reads the head; a malformed header gives the reason to refuse the call. */
export function readCallHead(request: IncomingMessage): CallHead | CallReason.BadRequest {
    const headers = request.headers;
    const timeoutMs = readNumber(headers, CallHeader.Timeout, { minimum: 1, maximum: longestTimeoutMs });
    const depth = readNumber(headers, CallHeader.Depth, { minimum: 0, maximum: deepestChain });
    const attempt = readNumber(headers, CallHeader.Attempt, { minimum: 1, maximum: highestAttempt });
    const key = headers[CallHeader.IdempotencyKey];
    const url = request.url ?? "/";
    const malformed = [timeoutMs, depth, attempt].includes(malformedNumber)
        || Array.isArray(key)
        || (key?.length ?? 0) > longestKey
        || !url.startsWith("/");
    if (malformed) {
        return CallReason.BadRequest;
    }
    return {
        method: request.method ?? "GET",
        url,
        path: url.split("?", 1)[0] ?? url,
        tenant: headers[CallHeader.Tenant] as string | undefined,
        timeoutMs,
        depth: depth ?? 0,
        attempt: attempt ?? 1,
        idempotencyKey: key as string | undefined,
    };
}

const malformedNumber = -1;

function readNumber(
    headers: IncomingHttpHeaders,
    name: CallHeader,
    range: { readonly minimum: number; readonly maximum: number },
): number | undefined {
    const text = headers[name];
    if (text === undefined) {
        return undefined;
    }
    return parseWholeNumber(Array.isArray(text) ? undefined : text, range) ?? malformedNumber;
}

// Headers that describe one connection or that the node sets itself are not passed on.
const notForwarded: ReadonlySet<string> = new Set<string>([
    "connection",
    "keep-alive",
    "proxy-connection",
    "transfer-encoding",
    "te",
    "trailer",
    "upgrade",
    "expect",
    "content-length",
    CallHeader.Timeout,
    CallHeader.Depth,
    CallHeader.Attempt,
]);

/** Headers of an attempt: the caller's, with the remaining time and the number of the attempt. */
export function createAttemptHeaders(options: {
    readonly received: IncomingHttpHeaders;
    readonly head: CallHead;
    readonly bodyBytes: number;
    readonly remainingMs: Milliseconds;
    readonly attempt: number;
}): Record<string, string | readonly string[]> {
    const headers: Record<string, string | readonly string[]> = {};
    for (const [name, value] of Object.entries(options.received)) {
        if (value !== undefined && !notForwarded.has(name)) {
            headers[name] = value;
        }
    }
    headers[CallHeader.Timeout] = String(Math.max(1, Math.floor(options.remainingMs)));
    headers[CallHeader.Depth] = String(options.head.depth);
    headers[CallHeader.Attempt] = String(options.attempt);
    if (options.bodyBytes > 0 || options.received["content-length"] !== undefined) {
        headers["content-length"] = String(options.bodyBytes);
    }
    return headers;
}
