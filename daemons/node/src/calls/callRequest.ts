/**
 * Parses the head of a caller's request, and creates the headers of its attempts.
 */
import type { IncomingHttpHeaders, IncomingMessage } from "node:http";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { CallHeader, CallReason, parseInteger } from "@bilberrycroft/protocol.calls";

const maxTimeoutMs: Milliseconds = 600_000;
const maxDepth = 64;
const maxAttempt = 1_000;
const maxKeyLength = 64;

export interface CallHead {
    readonly method: string;
    /** Path and query as received. */
    readonly url: string;
    /** Path without the query. */
    readonly path: string;
    readonly tenant: string | undefined;
    readonly timeoutMs: Milliseconds | undefined;
    /** Depth in a chain of inner calls; 0 for a call that is not an inner call. */
    readonly depth: number;
    /** Above 1 if the caller itself retries the call. */
    readonly attempt: number;
    readonly idempotencyKey: string | undefined;
}

/** Returns `CallReason.BadRequest` if the path or a header is malformed. */
export function readCallHead(request: IncomingMessage): CallHead | CallReason.BadRequest {
    const headers = request.headers;
    const timeoutMs = readNumber(headers, CallHeader.Timeout, { minimum: 1, maximum: maxTimeoutMs });
    const depth = readNumber(headers, CallHeader.Depth, { minimum: 0, maximum: maxDepth });
    const attempt = readNumber(headers, CallHeader.Attempt, { minimum: 1, maximum: maxAttempt });
    const key = headers[CallHeader.IdempotencyKey];
    const url = request.url ?? "/";
    const isMalformed = [timeoutMs, depth, attempt].includes(malformedNumber)
        || Array.isArray(key)
        || (key?.length ?? 0) > maxKeyLength
        || !url.startsWith("/");
    if (isMalformed) {
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
    return parseInteger(Array.isArray(text) ? undefined : text, range) ?? malformedNumber;
}

// Hop-by-hop headers, and headers that the node sets itself.
const unforwardedHeaders: ReadonlySet<string> = new Set<string>([
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

/** Returns the caller's headers with the remaining time, call depth and attempt number set. */
export function createAttemptHeaders(options: {
    readonly receivedHeaders: IncomingHttpHeaders;
    readonly head: CallHead;
    readonly bodyBytes: number;
    readonly remainingMs: Milliseconds;
    readonly attempt: number;
}): Record<string, string | readonly string[]> {
    const headers: Record<string, string | readonly string[]> = {};
    for (const [name, value] of Object.entries(options.receivedHeaders)) {
        if (value !== undefined && !unforwardedHeaders.has(name)) {
            headers[name] = value;
        }
    }
    headers[CallHeader.Timeout] = String(Math.max(1, Math.floor(options.remainingMs)));
    headers[CallHeader.Depth] = String(options.head.depth);
    headers[CallHeader.Attempt] = String(options.attempt);
    if (options.bodyBytes > 0 || options.receivedHeaders["content-length"] !== undefined) {
        headers["content-length"] = String(options.bodyBytes);
    }
    return headers;
}
