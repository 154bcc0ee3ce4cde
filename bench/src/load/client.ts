/**
 * Sends one call of a run and judges its end.
 */
import { type Agent, type IncomingMessage, request as sendRequest } from "node:http";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { CallHeader, CallOutcome } from "@bilberrycroft/protocol.calls";
import { LoadFailure, LoadOutcome } from "./results";

/** One call to send. */
export interface LoadCall {
    readonly agent: Agent;
    readonly target: string;
    readonly path: string;
    readonly method: "GET" | "POST";
    readonly headers: Readonly<Record<string, string>>;
    readonly body: string | undefined;
    /** Must occur in the end of a successful body; `undefined` skips the check. */
    readonly expectedTail: string | undefined;
    readonly abandonAfterMs: Milliseconds;
}

/** End of a call. */
export interface LoadCallResult {
    readonly outcome: LoadOutcome;
    readonly failure: LoadFailure;
}

/** Enough for the last line of a response of the target stand-in. */
const maxTailBytes = 1_024;

/** Sends a call; `onEnd` is called once. */
export function sendLoadCall(call: LoadCall, onEnd: (end: LoadCallResult) => void): void {
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
        let end = "";
        response.on("error", () => fail(LoadFailure.Truncated));
        response.on("data", (chunk: Buffer) => {
            end = (end + chunk.toString("latin1", Math.max(0, chunk.length - maxTailBytes))).slice(-maxTailBytes);
        });
        response.on("end", () => {
            const result = classifyResponse(response, end, call.expectedTail);
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
