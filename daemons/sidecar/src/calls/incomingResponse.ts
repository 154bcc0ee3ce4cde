/**
 * Buffers a response that another node forwards.
 *
 * A response is buffered completely before any of it is sent to the caller, so that a truncated one can be retried.
 * A response over the buffer limit is streamed instead.
 */
import type { ServerResponse } from "node:http";
import type { ResponseHead, ForwardedHeaders } from "@bilberrycroft/protocol.forwarding";

/** Larger responses are streamed. */
const maxBufferedBytes = 1_048_576;
/** Limit of unsent bytes for a caller that reads slowly. */
const maxUnsentBytes = 16_777_216;

const statusesWithoutBody: ReadonlySet<number> = new Set([204, 304]);

export class IncomingResponse {
    private readonly chunks: Buffer[] = [];
    private receivedBytes = 0;
    private callerResponse: ServerResponse | undefined;

    constructor(readonly head: ResponseHead) {}

    /** Bytes of the body received so far. */
    get bytes(): number {
        return this.receivedBytes;
    }

    /** Whether the response has exceeded the buffer limit. */
    get exceedsBuffer(): boolean {
        return this.receivedBytes > maxBufferedBytes;
    }

    /** Adds a chunk of the body; returns `false` if the caller reads too slowly. */
    append(data: Buffer): boolean {
        this.receivedBytes += data.length;
        if (this.callerResponse === undefined) {
            this.chunks.push(data);
            return true;
        }
        this.callerResponse.write(data);
        return this.callerResponse.writableLength <= maxUnsentBytes;
    }

    /** Sends the buffered chunks and streams all later ones. */
    startStreaming(response: ServerResponse): void {
        this.callerResponse = response;
        response.writeHead(this.head.status, this.head.headers);
        this.chunks.forEach(chunk => response.write(chunk));
        this.chunks.length = 0;
    }

    /** Ends a streamed response, or sends a buffered one. */
    deliver(response: ServerResponse, method: string | undefined): void {
        if (this.callerResponse !== undefined) {
            this.callerResponse.end();
            return;
        }
        const headers: ForwardedHeaders = { ...this.head.headers };
        if (method !== "HEAD" && !statusesWithoutBody.has(this.head.status)) {
            headers["content-length"] = String(this.receivedBytes);
        }
        response.writeHead(this.head.status, headers);
        response.end(Buffer.concat(this.chunks));
    }
}
