/**
 * Baseline proxy for comparison: round robin over a fixed list of targets, one fixed timeout, no limits, no retries.
 */
import { once } from "node:events";
import {
    Agent,
    createServer,
    type IncomingHttpHeaders,
    type IncomingMessage,
    request as sendRequest,
    type Server,
    type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { pipeline } from "node:stream";
import type { Milliseconds } from "@bilberrycroft/core.clock";

export interface BaselineOptions {
    /** `host:port` of each target. */
    readonly targets: readonly string[];
    readonly timeoutMs: Milliseconds;
    /** Default: 0, which selects a free port. */
    readonly port?: number;
}

export interface BaselineProxy {
    /** `host:port` */
    readonly address: string;
    /** Stops listening and closes all connections, also those with calls in flight. */
    close(): Promise<void>;
}

const host = "127.0.0.1";

/** Starts the proxy on loopback. Resolves when it listens. */
export async function startBaselineProxy(options: BaselineOptions): Promise<BaselineProxy> {
    const agent = new Agent({ keepAlive: true });
    let callCount = 0;
    const server = createServer((request, response) => {
        const target = options.targets[callCount % options.targets.length] ?? "";
        callCount++;
        forward({ request, response, target, agent, timeoutMs: options.timeoutMs });
    });
    server.listen(options.port ?? 0, host);
    await once(server, "listening");
    const address = `${host}:${(server.address() as AddressInfo).port}`;
    return { address, close: () => close(server, agent) };
}

interface ForwardedCall {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly target: string;
    readonly agent: Agent;
    readonly timeoutMs: Milliseconds;
}

function forward({ request, response, target, agent, timeoutMs }: ForwardedCall): void {
    const outgoing = sendRequest(`http://${target}`, {
        agent,
        path: request.url,
        method: request.method,
        headers: removeConnectionHeaders(request.headers),
    });
    const timer = setTimeout(() => {
        fail(response, 504);
        outgoing.destroy();
    }, timeoutMs);
    outgoing.on("error", () => fail(response, 502));
    outgoing.on("response", incoming => {
        response.writeHead(incoming.statusCode ?? 502, removeConnectionHeaders(incoming.headers));
        // A truncated response destroys the caller's connection, so that the caller detects the truncation.
        pipeline(incoming, response, () => undefined);
    });
    response.on("close", () => {
        clearTimeout(timer);
        if (!response.writableFinished) {
            outgoing.destroy();
        }
    });
    response.on("error", () => undefined);
    request.on("error", () => outgoing.destroy());
    request.pipe(outgoing);
}

function fail(response: ServerResponse, status: number): void {
    if (response.headersSent) {
        response.destroy();
        return;
    }
    response.writeHead(status, { "content-length": 0 });
    response.end();
}

/** Removes the headers that describe one connection and not the message. */
function removeConnectionHeaders(headers: IncomingHttpHeaders): IncomingHttpHeaders {
    const endToEndHeaders = Object.entries(headers).filter(([name]) => name !== "connection" && name !== "keep-alive");
    return Object.fromEntries(endToEndHeaders);
}

async function close(server: Server, agent: Agent): Promise<void> {
    const closed = once(server, "close");
    server.close();
    server.closeAllConnections();
    agent.destroy();
    await closed;
}
