/**
 * HTTP client for single calls to nodes, which reads each response completely.
 */
import { Agent, type IncomingHttpHeaders, request } from "node:http";

const callTimeoutMs = 10_000;

export interface CallerRequest {
    /** `host:port` of the node's call listener. */
    readonly address: string;
    readonly path: string;
    readonly method?: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string;
}

export interface CallerResponse {
    /** 0 if the connection failed, the call timed out or the response was truncated. */
    readonly status: number;
    readonly headers: IncomingHttpHeaders;
    readonly body: string;
}

const agent = new Agent({ keepAlive: true });
const noResponse: CallerResponse = { status: 0, headers: {}, body: "" };

/** Sends one call. Never rejects. */
export function sendCall(options: CallerRequest): Promise<CallerResponse> {
    return new Promise(resolve => {
        const clientRequest = request(`http://${options.address}${options.path}`, {
            method: options.method ?? "GET",
            headers: options.headers,
            agent,
            timeout: callTimeoutMs,
        }, response => {
            const chunks: Buffer[] = [];
            response.on("data", (chunk: Buffer) => chunks.push(chunk));
            response.on("error", () => resolve(noResponse));
            response.on("close", () => resolve(response.complete
                ? {
                        status: response.statusCode ?? 0,
                        headers: response.headers,
                        body: Buffer.concat(chunks).toString("utf8"),
                    }
                : noResponse));
        });
        clientRequest.on("error", () => resolve(noResponse));
        clientRequest.on("timeout", () => clientRequest.destroy());
        clientRequest.end(options.body);
    });
}

/** Closes the keep-alive connections. */
export function closeConnections(): void {
    agent.destroy();
}
