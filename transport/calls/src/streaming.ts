/**
 * Answers that are passed on while they arrive.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { pipeline } from "node:stream";

/** What was passed on of a streamed answer. */
export interface StreamedAnswer {
    readonly complete: boolean;
    /** The caller went away before the end. */
    readonly callerLeft: boolean;
}

/**
 * Passes the body on as it arrives. When the target's answer breaks off, the caller's connection is destroyed, so that
 * a truncated answer cannot be taken for a whole one.
 */
export function streamAnswer(body: IncomingMessage, response: ServerResponse): Promise<StreamedAnswer> {
    return new Promise(resolve => {
        pipeline(body, response, error => {
            const callerLeft = response.destroyed && !response.writableFinished && body.complete;
            if (error) {
                response.destroy();
            }
            resolve({ complete: body.complete && response.writableFinished, callerLeft });
        });
    });
}
