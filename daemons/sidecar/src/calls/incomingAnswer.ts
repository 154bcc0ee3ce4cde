/**
 * Collects an answer that another node passes on.
 *
 * An answer is read whole before the caller gets any of it, so that a cut one can be repeated. A very large one is
 * passed on as it arrives instead.
 */
import type { ServerResponse } from "node:http";
import type { ResponseHead, ForwardedHeaders } from "@bilberrycroft/protocol.forwarding";

/** Largest answer that is read whole. */
const maxWholeBytes = 1_048_576;
/** Bytes that may wait for a caller that reads slowly. */
const maxWaitingBytes = 16_777_216;

const statusesWithoutBody: ReadonlySet<number> = new Set([204, 304]);

/** An answer in progress. */
export class IncomingAnswer {
    private readonly parts: Buffer[] = [];
    private size = 0;
    private streamedTo: ServerResponse | undefined;

    constructor(readonly head: ResponseHead) {}

    /** Bytes of the body so far. */
    get bytes(): number {
        return this.size;
    }

    /** Whether the answer has grown too large to be kept. */
    get isLarge(): boolean {
        return this.size > maxWholeBytes;
    }

    /** Takes a part of the body; `false` if the caller does not keep up. */
    add(data: Buffer): boolean {
        this.size += data.length;
        if (this.streamedTo === undefined) {
            this.parts.push(data);
            return true;
        }
        this.streamedTo.write(data);
        return this.streamedTo.writableLength <= maxWaitingBytes;
    }

    /** From now on, passes the answer on as it arrives. */
    stream(response: ServerResponse): void {
        this.streamedTo = response;
        response.writeHead(this.head.status, this.head.headers);
        this.parts.forEach(part => response.write(part));
        this.parts.length = 0;
    }

    /** Ends an answer that was streamed, or gives the caller all of it. */
    deliver(response: ServerResponse, method: string | undefined): void {
        if (this.streamedTo !== undefined) {
            this.streamedTo.end();
            return;
        }
        const headers: ForwardedHeaders = { ...this.head.headers };
        if (method !== "HEAD" && !statusesWithoutBody.has(this.head.status)) {
            headers["content-length"] = String(this.size);
        }
        response.writeHead(this.head.status, headers);
        response.end(Buffer.concat(this.parts));
    }
}
