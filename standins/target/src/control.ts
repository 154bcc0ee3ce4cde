/**
 * Handles the control requests of tests and benchmarks: faults, counters and drain.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { text } from "node:stream/consumers";
import { z } from "zod";
import { type TargetFault, targetFaultSchema } from "./faults";

/** Operations of the target that control requests call. */
export interface ControlledTarget {
    inject(fault: TargetFault): void;
    describeRuns(): unknown;
    describeCounters(): unknown;
    drain(): Promise<void>;
}

const maxFaultBytes = 4_096;

/** Handles a control request; returns `false` if the request is a call. */
export function handleControlRequest(
    target: ControlledTarget,
    request: IncomingMessage,
    response: ServerResponse,
): boolean {
    switch (`${request.method} ${request.url}`) {
        case "GET /runs":
            sendJson(response, 200, target.describeRuns());
            return true;
        case "GET /counters":
            sendJson(response, 200, target.describeCounters());
            return true;
        case "POST /drain":
            void target.drain();
            sendJson(response, 202, { draining: true });
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
    // Node.js ends the body at its declared length, so the header limits the bytes read.
    const length = Number(request.headers["content-length"]);
    if (!(length <= maxFaultBytes)) {
        request.resume();
        return sendJson(response, 413, { reason: `a content-length of at most ${maxFaultBytes} is required` });
    }
    const fault = targetFaultSchema.safeParse(await readJson(request));
    if (!fault.success) {
        return sendJson(response, 400, { reason: z.prettifyError(fault.error) });
    }
    target.inject(fault.data);
    sendJson(response, 200, fault.data);
}

async function readJson(request: IncomingMessage): Promise<unknown> {
    try {
        return JSON.parse(await text(request));
    }
    catch {
        return undefined;
    }
}

function sendJson(response: ServerResponse, status: number, content: unknown): void {
    const body = JSON.stringify(content);
    response.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(body) });
    response.end(body);
}
