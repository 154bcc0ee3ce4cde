/**
 * Headers that concern one connection only and are not passed on.
 */
import type { IncomingHttpHeaders } from "node:http";
import type { PassedHeaders } from "@bilberrycroft/protocol.forwarding";

const hopByHopHeaders: ReadonlySet<string> = new Set([
    "connection",
    "keep-alive",
    "proxy-connection",
    "transfer-encoding",
    "te",
    "trailer",
    "upgrade",
]);

/** Copies the headers that are passed on, without those that `isDropped` names. */
export function copyHeaders(received: IncomingHttpHeaders, isDropped: (name: string) => boolean): PassedHeaders {
    const connectionOptions = parseConnectionHeader(received.connection);
    const headers: PassedHeaders = {};
    for (const [name, value] of Object.entries(received)) {
        if (value !== undefined && !hopByHopHeaders.has(name) && !connectionOptions.includes(name) && !isDropped(name)) {
            headers[name] = value;
        }
    }
    return headers;
}

/** The `Connection` header may name further headers that concern the connection only. */
function parseConnectionHeader(connection: string | undefined): readonly string[] {
    return connection === undefined ? [] : connection.toLowerCase().split(",").map(name => name.trim());
}
