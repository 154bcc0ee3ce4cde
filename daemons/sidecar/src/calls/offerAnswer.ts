/**
 * Reads what another node responds to an offer.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { type AttemptEnd, AttemptEndKind } from "@bilberrycroft/coordination.forwarding";
import { CallHeader, CallOutcome, CallReason, parseWholeNumber } from "@bilberrycroft/protocol.calls";
import { meshHeaders, OfferHeader } from "@bilberrycroft/protocol.forwarding";
import { BodyOutcomeKind, readBody } from "@bilberrycroft/transport.calls";
import { copyHeaders, type PassedHeaders } from "@bilberrycroft/transport.forwarding";

/** A target's answer, read whole. */
export interface BufferedAnswer {
    readonly status: number;
    readonly headers: PassedHeaders;
    readonly body: Buffer;
}

/** An answer up to this size is read whole before the caller gets any of it, so that a cut one can be repeated. */
export const maxBufferedBytes = 1_048_576;

const longestRetryAfterMs = 600_000;
const firstServerErrorStatus = 500;
const reasons: ReadonlySet<string> = new Set(Object.values(CallReason));
const ownHeaders: ReadonlySet<string> = new Set<string>([...meshHeaders, CallHeader.Outcome, CallHeader.Reason]);

/** What the node beside the target says of the call; `undefined` if a target's answer follows. */
export function readOfferEnd(response: IncomingMessage, isGranted: boolean): AttemptEnd | undefined {
    const outcome = response.headers[CallHeader.Outcome];
    if (outcome === CallOutcome.Done) {
        return undefined;
    }
    if (outcome !== CallOutcome.NotRun) {
        return { kind: AttemptEndKind.Lost };
    }
    const reason = response.headers[CallHeader.Reason];
    const retryAfterMs = parseWholeNumber(
        response.headers[OfferHeader.RetryAfterMs] as string | undefined,
        { minimum: 0, maximum: longestRetryAfterMs },
    );
    return {
        kind: isGranted ? AttemptEndKind.NotRun : AttemptEndKind.Refused,
        reason: typeof reason === "string" && reasons.has(reason) ? reason as CallReason : CallReason.TargetRefused,
        retryAfterMs: retryAfterMs ?? 0,
    };
}

/** Whether the declared size of an answer is too large to be read whole. */
export function isTooLargeToBuffer(response: IncomingMessage): boolean {
    return Number(response.headers["content-length"] ?? 0) > maxBufferedBytes;
}

/** Reads an answer whole; `undefined` if it was cut or is too large. */
export async function readAnswer(response: IncomingMessage): Promise<BufferedAnswer | undefined> {
    const outcome = await readBody(response, maxBufferedBytes);
    if (outcome.kind !== BodyOutcomeKind.Complete || !response.complete) {
        return undefined;
    }
    return { status: response.statusCode ?? 0, headers: createAnswerHeaders(response), body: outcome.body };
}

/** Headers of the target's answer as the caller gets them. */
export function createAnswerHeaders(response: IncomingMessage): PassedHeaders {
    return copyHeaders(response.headers, name => ownHeaders.has(name));
}

/** How an answer that was read whole ends its attempt. */
export function classifyAnswer(answer: BufferedAnswer): AttemptEnd {
    return { kind: answer.status >= firstServerErrorStatus ? AttemptEndKind.Failed : AttemptEndKind.Answered };
}

/** Gives an answer to the caller. */
export function sendAnswer(response: ServerResponse, method: string | undefined, answer: BufferedAnswer): void {
    const headers = { ...answer.headers };
    if (method !== "HEAD") {
        headers["content-length"] = String(answer.body.length);
    }
    response.writeHead(answer.status, headers);
    response.end(answer.body);
}
