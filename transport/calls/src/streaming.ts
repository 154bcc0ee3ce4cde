/**
 * Streams responses from targets to callers.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { finished } from "node:stream";
import { PieceCollector } from "./pieceCollector";
import { recordReadChunk } from "./readGarbage";

export enum StreamOutcome {
    Complete = "complete",
    /** The connection of the target broke. */
    TargetBroke = "target-broke",
    /** The caller closed its connection, or the stream was cancelled. */
    Cancelled = "cancelled",
}

/** Chunks from this size on are written as they are. */
const maxJoinedBytes = 16_384;

/**
 * Streams the body to the caller. If the target's response is truncated, the caller's connection is destroyed, so that
 * the caller cannot mistake it for a complete response.
 */
export function streamResponse(body: IncomingMessage, response: ServerResponse): Promise<StreamOutcome> {
    return new Promise(resolve => {
        let hasTargetBroken = false;
        body.once("error", error => {
            hasTargetBroken = (error as NodeJS.ErrnoException).code === "ECONNRESET" && !response.destroyed;
        });
        // Either side may have ended before this call.
        finished(body, error => {
            if (error) {
                response.destroy();
            }
        });
        finished(response, error => {
            if (error) {
                response.destroy();
                body.destroy();
            }
            const isComplete = body.complete && response.writableFinished;
            resolve(isComplete
                ? StreamOutcome.Complete
                : hasTargetBroken ? StreamOutcome.TargetBroke : StreamOutcome.Cancelled);
        });
        new ResponseStream(body, response).start();
    });
}

/** Copies a body to a response as fast as the caller reads; the chunks of one read share a write. */
class ResponseStream {
    private readonly pieces = new PieceCollector(maxJoinedBytes);
    private isFlushScheduled = false;

    constructor(private readonly body: IncomingMessage, private readonly response: ServerResponse) {}

    start(): void {
        const { body, response } = this;
        response.on("drain", () => this.resume());
        body.on("end", () => {
            this.writePieces();
            response.end();
        });
        body.on("data", (chunk: Buffer) => this.handleChunk(chunk));
    }

    private handleChunk(chunk: Buffer): void {
        recordReadChunk(chunk.length);
        if (!this.pieces.hasRoom(chunk.length)) {
            this.writePieces();
        }
        if (chunk.length >= maxJoinedBytes) {
            this.response.write(chunk);
        }
        else {
            this.pieces.add(chunk);
        }
        if (!this.isFlushScheduled) {
            this.isFlushScheduled = true;
            process.nextTick(() => this.handleReadEnd());
        }
    }

    /**
     * Pauses only after all chunks of a read have been taken: those that remained would be kept one by one. The socket
     * is paused as well, because a paused message reads on until it has 16 KiB, whatever the number of its chunks.
     */
    private handleReadEnd(): void {
        this.isFlushScheduled = false;
        this.writePieces();
        if (this.response.writableNeedDrain && !this.body.complete) {
            this.body.pause();
            this.body.socket.pause();
        }
    }

    private resume(): void {
        if (this.body.isPaused()) {
            this.body.resume();
            this.body.socket.resume();
        }
    }

    private writePieces(): void {
        const joined = this.pieces.take();
        if (joined !== undefined && !this.response.destroyed) {
            this.response.write(joined);
        }
    }
}
