/**
 * Buffers a response that another node forwards.
 *
 * A response is buffered completely before any of it is sent to the caller, so that a truncated one can be retried.
 * A response over the buffer limit is streamed instead.
 */
import type { ServerResponse } from "node:http";
import type { BufferAccount, BufferBudget } from "@bilberrycroft/coordination.forwarding";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import type { ResponseHead, ForwardedHeaders } from "@bilberrycroft/protocol.forwarding";
import { BodyBuffer } from "@bilberrycroft/transport.calls";

/** Limits of one response, with and without room in the budget of the process. */
interface BufferLimits {
    /** Larger responses are streamed. */
    readonly maxBufferedBytes: number;
    /** Unsent bytes for a caller that reads slowly, beyond which the response is cut. */
    readonly maxUnsentBytes: number;
}

const usualLimits: BufferLimits = { maxBufferedBytes: 1_048_576, maxUnsentBytes: 16_777_216 };
const limitsWithoutRoom: BufferLimits = { maxBufferedBytes: 65_536, maxUnsentBytes: 524_288 };

/** A caller that reads takes a response of the largest buffered size within this time over a slow link. */
const minUnreadMs: Milliseconds = 2_000;

const statusesWithoutBody: ReadonlySet<number> = new Set([204, 304]);

export class IncomingResponse {
    /** Bytes not written to the caller's connection yet. */
    private readonly buffer = new BodyBuffer({ keepsChunks: true });
    private receivedBytes = 0;
    private isDiscarded = false;
    private callerResponse: ServerResponse | undefined;
    private account: BufferAccount;

    constructor(readonly head: ResponseHead, private readonly budget: BufferBudget) {
        // Cannot be evicted while nothing is sent to the caller.
        this.account = budget.open();
    }

    /** Bytes of the body received so far. */
    get bytes(): number {
        return this.receivedBytes;
    }

    /** Whether the response has exceeded the buffer limit. */
    get exceedsBuffer(): boolean {
        return this.receivedBytes > this.limits.maxBufferedBytes;
    }

    /** Adds a chunk of the body; returns `false` if the caller reads too slowly. */
    append(data: Buffer): boolean {
        this.receivedBytes += data.length;
        if (this.isDiscarded) {
            return true;
        }
        if (this.callerResponse === undefined) {
            this.buffer.append(data);
            this.account.set(this.buffer.capacity);
            return true;
        }
        return this.stream(this.callerResponse, data);
    }

    /** Gives the bytes of a response that is not delivered back to the budget; later ones are not kept. */
    discard(): void {
        this.isDiscarded = true;
        this.buffer.release();
        this.account.set(0);
    }

    private get limits(): BufferLimits {
        return this.budget.isScarce ? limitsWithoutRoom : usualLimits;
    }

    /** Sends the buffered chunks and streams all later ones. */
    startStreaming(response: ServerResponse): void {
        this.callerResponse = response;
        this.countUntilTaken(response);
        response.writeHead(this.head.status, this.head.headers);
        response.on("drain", () => this.writeBuffered(response));
        this.writeBuffered(response);
    }

    /** While the caller does not read, chunks are joined: each write to its connection costs several objects. */
    private stream(response: ServerResponse, data: Buffer): boolean {
        if (response.writableNeedDrain) {
            this.buffer.append(data);
        }
        else {
            response.write(data);
        }
        const unsentBytes = response.writableLength + this.buffer.capacity;
        this.account.set(unsentBytes);
        return unsentBytes <= this.limits.maxUnsentBytes;
    }

    private writeBuffered(response: ServerResponse): void {
        this.buffer.take().forEach(part => response.write(part));
    }

    /** Ends a streamed response, or sends a buffered one. */
    deliver(response: ServerResponse, method: string | undefined): void {
        if (this.callerResponse !== undefined) {
            this.writeBuffered(this.callerResponse);
            this.callerResponse.end();
            return;
        }
        const headers: ForwardedHeaders = { ...this.head.headers };
        if (method !== "HEAD" && !statusesWithoutBody.has(this.head.status)) {
            headers["content-length"] = String(this.receivedBytes);
        }
        response.writeHead(this.head.status, headers);
        this.countUntilTaken(response);
        const parts = this.buffer.take();
        if (parts.length > 1) {
            // Joining the parts would hold the response twice.
            response.cork();
            parts.forEach(part => response.write(part));
            response.end();
        }
        else {
            response.end(parts[0]);
        }
    }

    /**
     * The bytes count until the caller has taken them. If their memory is needed and the caller does not read, its
     * connection is closed, which tells it that the response is cut.
     */
    private countUntilTaken(response: ServerResponse): void {
        this.account.set(0);
        this.account = this.budget.open({
            minLagMs: minUnreadMs,
            countTaken: () => countTaken(response),
            evict: () => response.destroy(),
        });
        this.account.set(this.receivedBytes);
        response.once("close", () => this.account.set(0));
    }
}

/** Bytes that have left the process on the connection of the response. */
function countTaken({ socket }: ServerResponse): number {
    return (socket?.bytesWritten ?? 0) - (socket?.writableLength ?? 0);
}
