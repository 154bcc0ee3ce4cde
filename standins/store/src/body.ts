/**
 * Reads request bodies with a bound, so that no request makes the stand-in hold more than one object of full size.
 */
import type { IncomingMessage } from "node:http";

/** Kinds of `BodyOutcome`. */
export enum BodyOutcomeKind {
    Complete = "complete",
    TooLarge = "too-large",
    Broken = "broken",
}

/** Result of reading a body. */
export type BodyOutcome =
    | { readonly kind: BodyOutcomeKind.Complete; readonly text: string }
    | { readonly kind: BodyOutcomeKind.TooLarge }
    | { readonly kind: BodyOutcomeKind.Broken };

/** Reads the whole body. A body over the bound is discarded as it arrives. */
export function readBoundedBody(request: IncomingMessage, maxBytes: number): Promise<BodyOutcome> {
    return new Promise(resolve => {
        let chunks: Buffer[] = [];
        let bytes = 0;
        request.on("data", (chunk: Buffer) => {
            bytes += chunk.length;
            if (bytes > maxBytes) {
                chunks = [];
                resolve({ kind: BodyOutcomeKind.TooLarge });
                return;
            }
            chunks.push(chunk);
        });
        request.on("end", () => {
            resolve({ kind: BodyOutcomeKind.Complete, text: Buffer.concat(chunks).toString("utf8") });
        });
        request.on("error", () => resolve({ kind: BodyOutcomeKind.Broken }));
        request.on("close", () => resolve({ kind: BodyOutcomeKind.Broken }));
    });
}
