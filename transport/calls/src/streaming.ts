/**
 * Streams responses from targets to callers.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { pipeline } from "node:stream";

export enum StreamOutcome {
    Complete = "complete",
    /** The connection of the target broke. */
    TargetBroke = "target-broke",
    /** The caller closed its connection, or the stream was cancelled. */
    Cancelled = "cancelled",
}

/**
 * Streams the body to the caller. If the target's response is truncated, the caller's connection is destroyed, so that
 * the caller cannot mistake it for a complete response.
 */
export function streamResponse(body: IncomingMessage, response: ServerResponse): Promise<StreamOutcome> {
    return new Promise(resolve => {
        let hasTargetBroken = false;
        // Emitted before the pipeline destroys both sides.
        body.once("error", error => {
            hasTargetBroken = (error as NodeJS.ErrnoException).code === "ECONNRESET" && !response.destroyed;
        });
        pipeline(body, response, error => {
            if (error) {
                response.destroy();
            }
            const isComplete = body.complete && response.writableFinished;
            resolve(isComplete
                ? StreamOutcome.Complete
                : hasTargetBroken ? StreamOutcome.TargetBroke : StreamOutcome.Cancelled);
        });
    });
}
