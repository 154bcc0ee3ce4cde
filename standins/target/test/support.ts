/**
 * Virtual time and small HTTP helpers of the target's tests.
 */
import { once } from "node:events";
import { createServer, type IncomingHttpHeaders, type IncomingMessage, request as sendRequest } from "node:http";
import type { AddressInfo } from "node:net";
import { setImmediate } from "node:timers/promises";
import { VirtualTimeScheduler } from "rxjs";
import { advance } from "../../../protocol/store/test/virtualTime";
import { startTargetStandin, type TargetSettingsInput, type TargetStandin } from "../src";

/** Clock and scheduler that move together. */
export class VirtualTime {
    readonly scheduler = new VirtualTimeScheduler();
    readonly clock = { now: () => this.scheduler.frame, wallTime: () => this.scheduler.frame };

    advance(ms: number): void {
        advance(this.scheduler, ms);
    }

    /** Moves time in steps until a promise settles, with real socket work between the steps. */
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

/** Starts a warm target on virtual time, without jitter. */
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

/** A response as a caller sees it. */
export interface SeenResponse {
    readonly status: number;
    readonly headers: IncomingHttpHeaders;
    readonly body: string;
    /** Whether the response arrived whole. */
    readonly complete: boolean;
}

/** A call under way. */
export interface TestCall {
    readonly response: Promise<SeenResponse>;
    /** Bytes of the body so far. */
    received(): number;
    leave(): void;
}

/** Sends a call; the response rejects when the connection breaks before any of it arrived. */
export function call(address: string, path: string, headers: Record<string, string> = {}): TestCall {
    const request = sendRequest(`http://${address}${path}`, { headers });
    let body = "";
    const response = new Promise<SeenResponse>((resolve, reject) => {
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
    return { response, received: () => body.length, leave: () => request.destroy() };
}

/** A request that a node in a test received. */
export interface SeenRequest {
    readonly url: string | undefined;
    readonly headers: IncomingHttpHeaders;
    readonly body: string;
}

/** A node that only records requests. */
export interface RecordingNode {
    readonly address: string;
    readonly requests: SeenRequest[];
    /** Status of its responses; 0 breaks the connection instead. */
    status: number;
    close(): void;
}

/** Starts a node that answers every request with its status. */
export async function startRecordingNode(): Promise<RecordingNode> {
    const requests: SeenRequest[] = [];
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
