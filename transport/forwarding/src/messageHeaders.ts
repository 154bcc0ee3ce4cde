/**
 * Filters hop-by-hop headers, which apply to a single connection and are not forwarded.
 */
import type { IncomingHttpHeaders } from "node:http";
import type { ForwardedHeaders } from "@bilberrycroft/protocol.forwarding";

const hopByHopHeaders: ReadonlySet<string> = new Set([
    "connection",
    "keep-alive",
    "proxy-connection",
    "transfer-encoding",
    "te",
    "trailer",
    "upgrade",
]);

/** Copies the headers to forward: without hop-by-hop headers and those for which `isDropped` returns true. */
export function copyHeaders(received: IncomingHttpHeaders, isDropped: (name: string) => boolean): ForwardedHeaders {
    const connectionNames = parseConnectionHeader(received.connection);
    const headers: ForwardedHeaders = {};
    for (const [name, value] of Object.entries(received)) {
        if (value !== undefined && !hopByHopHeaders.has(name) && !connectionNames.includes(name) && !isDropped(name)) {
            headers[name] = value;
        }
    }
    return headers;
}

/** Names of additional hop-by-hop headers that the `Connection` header lists. */
function parseConnectionHeader(connection: string | undefined): readonly string[] {
    return connection === undefined ? [] : connection.toLowerCase().split(",").map(name => name.trim());
}
