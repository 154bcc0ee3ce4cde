/**
 * Virtual time and HTTP helpers for the tests of the target stand-in.
 */
import { once } from "node:events";
import { createServer, type IncomingHttpHeaders, type IncomingMessage, request as sendRequest } from "node:http";
import type { AddressInfo } from "node:net";
import { setImmediate } from "node:timers/promises";
import { VirtualTimeScheduler } from "rxjs";
import { advance } from "../../../protocol/store/test/virtualTime";
import { startTargetStandin, type TargetSettingsInput, type TargetStandin } from "../src";

/** Clock and scheduler that advance together. */
export class VirtualTime {
    readonly scheduler = new VirtualTimeScheduler();
    readonly clock = { now: () => this.scheduler.frame, wallTime: () => this.scheduler.frame };

    advance(ms: number): void {
        advance(this.scheduler, ms);
    }

    /** Advances time in steps until a promise settles. Real socket I/O runs between the steps. */
    async advanceUntilSettled<Value>(promise: Promise<Value>, stepMs = 5): Promise<Value> {
        let settled = false;
        const markSettled = (): void => {
            settled = true;
        };
        promise.then(markSettled, markSettled);
        while (!settled) {
            this.advance(stepMs);
            await setImmediate();
        }
        return promise;
    }
}

/** Starts a target on virtual time, without cold start and jitter. */
export function startTestTarget(
    time: VirtualTime,
    settings: Partial<TargetSettingsInput> = {},
): Promise<TargetStandin> {
    return startTargetStandin({
        id: "r1",
        service: "readings",
        coldStartMs: 0,
        jitter: 0,
        clock: time.clock,
        scheduler: time.scheduler,
        ...settings,
    });
}

export interface ReceivedResponse {
    readonly status: number;
    readonly headers: IncomingHttpHeaders;
    readonly body: string;
    /** Whether the complete response was received. */
    readonly complete: boolean;
}

/** A call in flight. */
export interface TestCall {
    readonly response: Promise<ReceivedResponse>;
    /** Characters of the body received so far. */
    receivedLength(): number;
    cancel(): void;
}

/** Sends a call. The response rejects if the connection fails before any part of the response is received. */
export function call(address: string, path: string, headers: Record<string, string> = {}): TestCall {
    const request = sendRequest(`http://${address}${path}`, { headers });
    let body = "";
    const response = new Promise<ReceivedResponse>((resolve, reject) => {
        request.on("error", reject);
        request.on("response", (message: IncomingMessage) => {
            message.on("error", () => undefined);
            message.on("data", (chunk: Buffer) => {
                body += chunk.toString();
            });
            message.on("close", () => resolve({
                status: message.statusCode ?? 0,
                headers: message.headers,
                body,
                complete: message.complete,
            }));
        });
    });
    response.catch(() => undefined);
    request.end();
    return { response, receivedLength: () => body.length, cancel: () => request.destroy() };
}

export interface RecordedRequest {
    readonly url: string | undefined;
    readonly headers: IncomingHttpHeaders;
    readonly body: string;
}

/** Fake node that records requests. */
export interface RecordingNode {
    readonly address: string;
    readonly requests: RecordedRequest[];
    /** Status of the responses; 0 closes the connection without a response. */
    status: number;
    close(): void;
}

/** Starts a fake node that responds to every request with `status`. */
export async function startRecordingNode(): Promise<RecordingNode> {
    const requests: RecordedRequest[] = [];
    const server = createServer(async (request, response) => {
        let body = "";
        for await (const chunk of request) {
            body += String(chunk);
        }
        requests.push({ url: request.url, headers: request.headers, body });
        if (node.status === 0) {
            response.destroy();
            return;
        }
        response.writeHead(node.status).end();
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const close = (): void => {
        server.close();
        server.closeAllConnections();
    };
    const node = { address: `127.0.0.1:${(server.address() as AddressInfo).port}`, requests, status: 200, close };
    return node;
}
