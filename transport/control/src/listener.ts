/**
 * Control listener of a node. It serves the tRPC router, announcements of targets on the same host, and metrics.
 */
import { parseJson } from "@bilberrycroft/core.json";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Announcement } from "@bilberrycroft/coordination.membership";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { announcementSchema, type ControlHandlers, createControlRouter } from "@bilberrycroft/protocol.control";
import { BodyOutcomeKind, type Listener, readBody, startListener } from "@bilberrycroft/transport.calls";
import { createHTTPHandler } from "@trpc/server/adapters/standalone";

const maxMessageBytes = 2_000_000;
const maxAnnouncementBytes = 4_096;
const requestTimeoutMs: Milliseconds = 5_000;

export interface ControlListenerOptions {
    readonly host: string;
    readonly port: number;
    readonly maxConnections: number;
    readonly handlers: ControlHandlers;
    onAnnouncement(announcement: Announcement): void;
    /** Returns metrics in the Prometheus text format. */
    renderMetrics(): Promise<string>;
    /** Called with the body size of each tRPC request. */
    countBytes?(received: number): void;
}

/** Starts the control listener; rejects if the address cannot be bound. */
export function startControlListener(options: ControlListenerOptions): Promise<Listener> {
    const handleCall = createHTTPHandler({
        router: createControlRouter(options.handlers),
        allowMethodOverride: true,
        maxBodySize: maxMessageBytes,
    });
    return startListener({
        host: options.host,
        port: options.port,
        maxConnections: options.maxConnections,
        requestTimeoutMs,
        handle: (request, response) => {
            if (request.method === "POST" && request.url === "/announce") {
                void handleAnnouncement(request, response, options);
            }
            else if (request.method === "GET" && request.url === "/metrics") {
                void handleMetrics(response, options);
            }
            else {
                options.countBytes?.(Number(request.headers["content-length"] ?? 0));
                handleCall(request, response);
            }
        },
    });
}

async function handleAnnouncement(
    request: IncomingMessage,
    response: ServerResponse,
    options: ControlListenerOptions,
): Promise<void> {
    const outcome = await readBody(request, maxAnnouncementBytes);
    if (outcome.kind !== BodyOutcomeKind.Complete) {
        respond(response, 413, { error: `an announcement has at most ${maxAnnouncementBytes} bytes` });
        return;
    }
    const checked = announcementSchema.safeParse(parseJson(outcome.body.toString("utf8")));
    if (!checked.success) {
        const issue = checked.error.issues[0];
        respond(response, 400, { error: `bad announcement: ${issue?.path.join(".") ?? ""}: ${issue?.message ?? ""}` });
        return;
    }
    options.onAnnouncement(checked.data);
    response.writeHead(204);
    response.end();
}

async function handleMetrics(response: ServerResponse, options: ControlListenerOptions): Promise<void> {
    const text = await options.renderMetrics();
    response.writeHead(200, { "content-type": "text/plain; version=0.0.4; charset=utf-8" });
    response.end(text);
}

function respond(response: ServerResponse, status: number, body: { readonly error: string }): void {
    response.writeHead(status, { "content-type": "application/json", connection: "close" });
    response.end(`${JSON.stringify(body)}\n`);
}
