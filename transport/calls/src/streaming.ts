/**
 * Streams responses from targets to callers.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { pipeline } from "node:stream";

/**
 * Streams the body to the caller; resolves to whether it was sent completely. If the target's response is truncated,
 * the caller's connection is destroyed, so that the caller cannot mistake it for a complete response.
 */
export function streamResponse(body: IncomingMessage, response: ServerResponse): Promise<boolean> {
    return new Promise(resolve => {
        pipeline(body, response, error => {
            if (error) {
                response.destroy();
            }
            resolve(body.complete && response.writableFinished);
        });
    });
}
