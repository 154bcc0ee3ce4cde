/**
 * Reads responses of targets. Small ones are buffered, so that a truncated one can be retried; others are streamed.
 */
import type { IncomingHttpHeaders } from "node:http";
import { CallHeader, CallOutcome, type ReportedLoad, parseLoad } from "@bilberrycroft/protocol.calls";
import { AttemptEventKind, type AttemptEvent, BodyOutcomeKind, readBody } from "@bilberrycroft/transport.calls";

/** Head of a response whose body has not been read yet. */
export type ResponseHead = Extract<AttemptEvent, { kind: AttemptEventKind.Responded }>;

/** A response that was read completely. */
export interface BufferedResponse {
    readonly status: number;
    readonly headers: IncomingHttpHeaders;
    readonly body: Buffer;
}

// No part of a response up to this size is sent to the caller before the response is complete.
const maxBufferedBytes = 65_536;

/** Whether the declared size is known and small enough to buffer the response. */
export function isBufferable(head: ResponseHead): boolean {
    const declared = head.headers["content-length"];
    return declared !== undefined && Number(declared) <= maxBufferedBytes;
}

/** Returns `undefined` if the response was truncated. */
export async function bufferResponse(head: ResponseHead): Promise<BufferedResponse | undefined> {
    const outcome = await readBody(head.response, maxBufferedBytes);
    if (outcome.kind !== BodyOutcomeKind.Complete || !head.response.complete) {
        return undefined;
    }
    return { status: head.status, headers: head.headers, body: outcome.body };
}

/** Whether the target reports that it did not start the call. */
export function reportsNotRun(head: ResponseHead): boolean {
    return head.headers[CallHeader.Outcome] === CallOutcome.NotRun;
}

/** Reads the load report of the target; `undefined` if it is missing or malformed. */
export function readLoad(head: ResponseHead): ReportedLoad | undefined {
    const header = head.headers[CallHeader.Load];
    return Array.isArray(header) ? undefined : parseLoad(header);
}

/** Whether the target reports that it is draining. */
export function reportsDraining(head: ResponseHead): boolean {
    return head.headers[CallHeader.Draining] === "1";
}

const millisecondsPerSecond = 1_000;
const maxRetryAfterSeconds = 600;

/** Delay from the `retry-after` header, capped at 10 minutes; `undefined` if it is missing or not a positive number. */
export function readRetryAfterMs(head: ResponseHead): number | undefined {
    const seconds = Number(head.headers["retry-after"]);
    return seconds > 0 ? Math.min(seconds, maxRetryAfterSeconds) * millisecondsPerSecond : undefined;
}
