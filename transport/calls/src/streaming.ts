/**
 * Streams responses from targets to callers.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { pipeline } from "node:stream";

/** Result of streaming a response. */
export interface StreamedResponse {
    readonly complete: boolean;
    /** The caller disconnected before the end of the response. */
    readonly callerDisconnected: boolean;
}

/**
 * Streams the body to the caller. If the target's response is truncated, the caller's connection is destroyed, so that
 * the caller cannot mistake it for a complete response.
 */
export function streamResponse(body: IncomingMessage, response: ServerResponse): Promise<StreamedResponse> {
    return new Promise(resolve => {
        pipeline(body, response, error => {
            const isDisconnected = response.destroyed && !response.writableFinished && body.complete;
            if (error) {
                response.destroy();
            }
            resolve({ complete: body.complete && response.writableFinished, callerDisconnected: isDisconnected });
        });
    });
}
