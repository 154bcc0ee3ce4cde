/**
 * Responses that a node makes itself.
 */
import type { ServerResponse } from "node:http";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { CallReason } from "@bilberrycroft/protocol.calls";
import type { CallHeaderCodec } from "../ports";

/** A response without a target's answer. */
export interface OwnResponse {
    readonly callId: string | undefined;
    readonly reason: CallReason;
    readonly retryAfterMs?: Milliseconds | undefined;
    /** In place of the status of the reason. */
    readonly status?: number;
}

/** Status of a body over the limit. */
export const bodyTooLargeStatus = 413;

const notRunStatus = 503;
const statuses: Partial<Record<CallReason, number>> = {
    [CallReason.NoRoute]: 404,
    [CallReason.BadRequest]: 400,
    [CallReason.AnswerLost]: 502,
    [CallReason.TimedOut]: 504,
};

/** Sends a response that the node made itself. Every status but 502 and 504 says that the call did not run. */
export function sendOwnResponse(response: ServerResponse, codec: CallHeaderCodec, own: OwnResponse): void {
    if (response.headersSent) {
        // The head of a target's answer already left; closing tells the caller that the rest is missing.
        response.destroy();
        return;
    }
    const { callId, reason, retryAfterMs } = own;
    response.writeHead(own.status ?? statuses[reason] ?? notRunStatus, {
        ...codec.createOwnHeaders({ callId, retryAfterMs }),
        "content-type": "application/json",
    });
    response.end(`${JSON.stringify({ reason })}\n`);
}
