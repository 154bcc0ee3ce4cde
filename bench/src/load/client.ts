/**
 * Sends one call of a run and classifies its result.
 */
import { type Agent, type IncomingMessage, request as sendRequest } from "node:http";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { CallHeader, CallOutcome } from "@bilberrycroft/protocol.calls";
import { LoadFailure, LoadOutcome } from "./results";

export interface LoadCall {
    readonly agent: Agent;
    readonly target: string;
    readonly path: string;
    readonly method: "GET" | "POST";
    readonly headers: Readonly<Record<string, string>>;
    readonly body: string | undefined;
    /** Must occur in the last 1,024 bytes of a successful body; `undefined` skips the check. */
    readonly expectedTail: string | undefined;
    /** Timeout after which the request is destroyed and reported as abandoned. */
    readonly abandonAfterMs: Milliseconds;
}

export interface LoadCallResult {
    readonly outcome: LoadOutcome;
    readonly failure: LoadFailure;
}

/** Holds the last line of a response of the target stand-in. */
const maxTailBytes = 1_024;

/** Sends a call and calls `onEnd` exactly once. */
export function sendLoadCall(call: LoadCall, onEnd: (result: LoadCallResult) => void): void {
    let isEnded = false;
    const finish = (outcome: LoadOutcome, failure: LoadFailure): void => {
        clearTimeout(timer);
        if (!isEnded) {
            isEnded = true;
            onEnd({ outcome, failure });
        }
    };
    const fail = (failure: LoadFailure): void => finish(LoadOutcome.Failed, failure);
    const request = sendRequest(`http://${call.target}${call.path}`, {
        agent: call.agent,
        method: call.method,
        headers: call.headers,
    });
    const timer = setTimeout(() => {
        fail(LoadFailure.Abandoned);
        request.destroy();
    }, call.abandonAfterMs);
    request.on("error", () => fail(LoadFailure.Connection));
    request.on("response", response => {
        let tail = "";
        response.on("error", () => fail(LoadFailure.Truncated));
        response.on("data", (chunk: Buffer) => {
            tail = (tail + chunk.toString("latin1", Math.max(0, chunk.length - maxTailBytes))).slice(-maxTailBytes);
        });
        response.on("end", () => {
            const result = classifyResponse(response, tail, call.expectedTail);
            finish(result.outcome, result.failure);
        });
    });
    request.end(call.body);
}

function classifyResponse(response: IncomingMessage, tail: string, expectedTail: string | undefined): LoadCallResult {
    const outcome = response.headers[CallHeader.Outcome];
    if (outcome === CallOutcome.NotRun) {
        return { outcome: LoadOutcome.NotRun, failure: LoadFailure.None };
    }
    if (outcome === CallOutcome.Unknown) {
        return { outcome: LoadOutcome.Unknown, failure: LoadFailure.None };
    }
    const status = response.statusCode ?? 0;
    if (status < 200 || status > 299) {
        return { outcome: LoadOutcome.Failed, failure: LoadFailure.Status };
    }
    return expectedTail === undefined || tail.includes(expectedTail)
        ? { outcome: LoadOutcome.Done, failure: LoadFailure.None }
        : { outcome: LoadOutcome.Failed, failure: LoadFailure.Mismatched };
}
