/**
 * Control requests of tests and benches: faults, counts, drain.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { text } from "node:stream/consumers";
import { z } from "zod";
import { type TargetFault, targetFaultSchema } from "./faults";

/** What control requests reach of the target. */
export interface ControlledTarget {
    inject(fault: TargetFault): void;
    describeRuns(): unknown;
    describeCounters(): unknown;
    drain(): Promise<void>;
}

const maxFaultBytes = 4_096;

/** Handles a control request; `false` when the request is a call. */
export function handleControlRequest(
    target: ControlledTarget,
    request: IncomingMessage,
    response: ServerResponse,
): boolean {
    switch (`${request.method} ${request.url}`) {
        case "GET /runs":
            respond(response, 200, target.describeRuns());
            return true;
        case "GET /counters":
            respond(response, 200, target.describeCounters());
            return true;
        case "POST /drain":
            void target.drain();
            respond(response, 202, { draining: true });
            return true;
        case "PUT /faults":
            void handleFault(target, request, response);
            return true;
        default:
            return false;
    }
}

async function handleFault(
    target: ControlledTarget,
    request: IncomingMessage,
    response: ServerResponse,
): Promise<void> {
    // Node ends the body at its declared length, so the header bounds what is read.
    const length = Number(request.headers["content-length"]);
    if (!(length <= maxFaultBytes)) {
        request.resume();
        return respond(response, 413, { reason: `a content-length of at most ${maxFaultBytes} is required` });
    }
    const fault = targetFaultSchema.safeParse(await readJson(request));
    if (!fault.success) {
        return respond(response, 400, { reason: z.prettifyError(fault.error) });
    }
    target.inject(fault.data);
    respond(response, 200, fault.data);
}

async function readJson(request: IncomingMessage): Promise<unknown> {
    try {
        return JSON.parse(await text(request));
    }
    catch {
        return undefined;
    }
}

function respond(response: ServerResponse, status: number, content: unknown): void {
    const body = JSON.stringify(content);
    response.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(body) });
    response.end(body);
}
