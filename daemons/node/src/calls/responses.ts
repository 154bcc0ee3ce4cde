/**
 * Responses that a node makes itself, and the head of responses that it passes on.
 */
import type { IncomingHttpHeaders, OutgoingHttpHeaders, ServerResponse } from "node:http";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { CallHeader, CallOutcome, CallReason } from "@bilberrycroft/protocol.calls";

const millisecondsPerSecond = 1_000;

const statuses: Readonly<Record<CallReason, number>> = {
    [CallReason.NoConfiguration]: 503,
    [CallReason.NoRoute]: 404,
    [CallReason.TenantNotAllowed]: 403,
    [CallReason.RateLimited]: 429,
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
};

/** Status of a body over `maxRequestBytes`; its reason is `bad-request`. */
export const bodyTooLargeStatus = 413;

/** A response without a target's answer. */
export interface OwnResponse {
    readonly outcome: CallOutcome.NotRun | CallOutcome.Unknown;
    readonly reason: CallReason;
    readonly retryAfterMs: Milliseconds | undefined;
    /** Version in force; 0 without configuration. */
    readonly version: number;
    /** In place of the status of the reason. */
    readonly status?: number | undefined;
}

/** Sends a response that the node made itself. */
export function sendOwnResponse(response: ServerResponse, own: OwnResponse): void {
    if (response.headersSent) {
        // The head of a target's answer already left; closing tells the caller that the rest is missing.
        response.destroy();
        return;
    }
    const headers: Record<string, string> = {
        [CallHeader.Outcome]: own.outcome,
        [CallHeader.Reason]: own.reason,
        [CallHeader.Version]: String(own.version),
        "content-type": "application/json",
    };
    if (own.retryAfterMs !== undefined) {
        headers["retry-after"] = String(Math.max(1, Math.ceil(own.retryAfterMs / millisecondsPerSecond)));
    }
    response.writeHead(own.status ?? statuses[own.reason], headers);
    response.end(`${JSON.stringify({ outcome: own.outcome, reason: own.reason })}\n`);
}

// Headers that describe one connection, and those that the node sets itself.
const notReturned: ReadonlySet<string> = new Set<string>([
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

/** Headers of a target's answer as the caller gets them. */
export function createAnswerHeaders(
    received: IncomingHttpHeaders,
    version: number,
): OutgoingHttpHeaders {
    const headers: OutgoingHttpHeaders = {};
    for (const [name, value] of Object.entries(received)) {
        if (value !== undefined && !notReturned.has(name)) {
            headers[name] = value;
        }
    }
    headers[CallHeader.Outcome] = CallOutcome.Done;
    headers[CallHeader.Version] = String(version);
    return headers;
}
