/**
 * Responses that the node generates itself, and headers of target responses that it forwards.
 */
import type { IncomingHttpHeaders, OutgoingHttpHeaders, ServerResponse } from "node:http";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { CallHeader, CallOutcome, CallReason } from "@bilberrycroft/protocol.calls";

const millisecondsPerSecond = 1_000;

const statusByReason: Readonly<Record<CallReason, number>> = {
    [CallReason.NoConfiguration]: 503,
    [CallReason.NoRoute]: 404,
    [CallReason.TenantNotAllowed]: 403,
    [CallReason.RateLimited]: 429,
    [CallReason.QuotaExceeded]: 429,
    [CallReason.NoTarget]: 503,
    [CallReason.Overloaded]: 503,
    [CallReason.DeadlinePassed]: 503,
    [CallReason.Draining]: 503,
    [CallReason.TargetRefused]: 503,
    [CallReason.Quarantined]: 503,
    [CallReason.IdempotencyKeyMissing]: 400,
    [CallReason.IdempotencyKeyMismatch]: 422,
    [CallReason.IdempotencyKeyExpired]: 409,
    [CallReason.ClaimUnavailable]: 503,
    [CallReason.ClaimedElsewhere]: 409,
    [CallReason.AnswerLost]: 502,
    [CallReason.TimedOut]: 504,
    [CallReason.BadRequest]: 400,
    [CallReason.NotAuthenticated]: 401,
    [CallReason.ConfigurationOutdated]: 503,
};

/** Status for a request body larger than `maxRequestBytes`; the reason is `bad-request`. */
export const bodyTooLargeStatus = 413;

/** A response that the node generates itself. */
export interface LocalResponse {
    readonly outcome: CallOutcome.NotRun | CallOutcome.Unknown;
    readonly reason: CallReason;
    readonly retryAfterMs: Milliseconds | undefined;
    /** Version in force; 0 if there is none. */
    readonly version: number;
    /** Overrides the status that belongs to the reason. */
    readonly status?: number | undefined;
}

export function sendLocalResponse(response: ServerResponse, localResponse: LocalResponse): void {
    if (response.headersSent) {
        // The head of a target's response was already sent. Closing shows the caller that the response is incomplete.
        response.destroy();
        return;
    }
    const headers: Record<string, string> = {
        [CallHeader.Outcome]: localResponse.outcome,
        [CallHeader.Reason]: localResponse.reason,
        [CallHeader.Version]: String(localResponse.version),
        "content-type": "application/json",
    };
    if (localResponse.retryAfterMs !== undefined) {
        headers["retry-after"] = String(Math.max(1, Math.ceil(localResponse.retryAfterMs / millisecondsPerSecond)));
    }
    response.writeHead(localResponse.status ?? statusByReason[localResponse.reason], headers);
    response.end(`${JSON.stringify({ outcome: localResponse.outcome, reason: localResponse.reason })}\n`);
}

// Hop-by-hop headers, and headers that the node sets itself.
const unforwardedHeaders: ReadonlySet<string> = new Set<string>([
    "connection",
    "keep-alive",
    "transfer-encoding",
    "trailer",
    "upgrade",
    CallHeader.Load,
    CallHeader.Draining,
    CallHeader.Outcome,
    CallHeader.Reason,
    CallHeader.Version,
    CallHeader.Replayed,
]);

/** Headers for the caller from the headers of a target's response. */
export function createResponseHeaders(
    receivedHeaders: IncomingHttpHeaders,
    version: number,
): OutgoingHttpHeaders {
    const headers: OutgoingHttpHeaders = {};
    for (const [name, value] of Object.entries(receivedHeaders)) {
        if (value !== undefined && !unforwardedHeaders.has(name)) {
            headers[name] = value;
        }
    }
    headers[CallHeader.Outcome] = CallOutcome.Done;
    headers[CallHeader.Version] = String(version);
    return headers;
}
