/**
 * Reads the body of an HTTP message into memory, up to a size limit.
 */
import type { IncomingMessage } from "node:http";
import { discardRequestBody } from "./discarding";

export enum BodyOutcomeKind {
    Complete = "complete",
    TooLarge = "too large",
    /** The connection ended before the end of the body. */
    Truncated = "truncated",
}

export type BodyOutcome =
    | { readonly kind: BodyOutcomeKind.Complete; readonly body: Buffer }
    | { readonly kind: BodyOutcomeKind.TooLarge }
    | { readonly kind: BodyOutcomeKind.Truncated };

/** Reads a whole body. The rest of a body over the limit is discarded, so that the sender can read the response. */
export function readBody(message: IncomingMessage, maxBytes: number): Promise<BodyOutcome> {
    return new Promise(resolve => {
        let chunks: Buffer[] = [];
        let size = 0;
        const handleData = (chunk: Buffer): void => {
            size += chunk.length;
            if (size > maxBytes) {
                chunks = [];
                message.off("data", handleData);
                discardRequestBody(message);
                resolve({ kind: BodyOutcomeKind.TooLarge });
                return;
            }
            chunks.push(chunk);
        };
        message.on("data", handleData);
        message.on("end", () => resolve({ kind: BodyOutcomeKind.Complete, body: Buffer.concat(chunks) }));
        message.on("error", () => resolve({ kind: BodyOutcomeKind.Truncated }));
        message.on("close", () => resolve({ kind: BodyOutcomeKind.Truncated }));
    });
}
