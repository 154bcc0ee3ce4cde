/**
 * Answers of targets: read whole when they are small, passed on as they arrive when they are not.
 */
import type { IncomingHttpHeaders } from "node:http";
import { CallHeader, CallOutcome, type ReportedLoad, parseLoad } from "@bilberrycroft/protocol.calls";
import { AttemptEventKind, type AttemptEvent, BodyOutcomeKind, readBody } from "@bilberrycroft/transport.calls";

/** Head of an answer, with its body still to be read. */
export type AnswerHead = Extract<AttemptEvent, { kind: AttemptEventKind.Responded }>;

/** A complete answer. */
export interface Answer {
    readonly status: number;
    readonly headers: IncomingHttpHeaders;
    readonly body: Buffer;
}

// An answer up to this size is read whole before the caller gets any of it, so that a truncated one can be retried.
const maxBufferedBytes = 65_536;

/** Whether the answer's declared size lets the node read it whole. */
export function isSmall(head: AnswerHead): boolean {
    const declared = head.headers["content-length"];
    return declared !== undefined && Number(declared) <= maxBufferedBytes;
}

/** Reads a small answer; `undefined` if it was truncated. */
export async function readAnswer(head: AnswerHead): Promise<Answer | undefined> {
    const outcome = await readBody(head.response, maxBufferedBytes);
    if (outcome.kind !== BodyOutcomeKind.Complete || !head.response.complete) {
        return undefined;
    }
    return { status: head.status, headers: head.headers, body: outcome.body };
}

/** The target said that it did not begin the call. */
export function saysNotRun(head: AnswerHead): boolean {
    return head.headers[CallHeader.Outcome] === CallOutcome.NotRun;
}

/** Load that came with an answer. */
export function loadOf(head: AnswerHead): ReportedLoad | undefined {
    const header = head.headers[CallHeader.Load];
    return Array.isArray(header) ? undefined : parseLoad(header);
}

/** The target is about to leave. */
export function saysDraining(head: AnswerHead): boolean {
    return head.headers[CallHeader.Draining] === "1";
}

const millisecondsPerSecond = 1_000;
const longestRetryAfterSeconds = 600;

/** Time that the target asked to wait, in milliseconds. */
export function retryAfterOf(head: AnswerHead): number | undefined {
    const seconds = Number(head.headers["retry-after"]);
    return seconds > 0 ? Math.min(seconds, longestRetryAfterSeconds) * millisecondsPerSecond : undefined;
}
