/**
 * Reads the body of an HTTP message into memory, up to a size limit.
 */
import type { IncomingMessage } from "node:http";
import { BodyBuffer } from "./bodyBuffer";
import { discardRequestBody } from "./discarding";
import { recordReadChunk } from "./readGarbage";

export enum BodyOutcomeKind {
    Complete = "complete",
    TooLarge = "too large",
    /** The connection ended before the end of the body. */
    Truncated = "truncated",
    /** The memory of the body was needed for other requests. */
    Evicted = "evicted",
}

/** Outcome of reading a body into one buffer. */
export type BodyOutcome =
    | { readonly kind: BodyOutcomeKind.Complete; readonly body: Buffer }
    | { readonly kind: BodyOutcomeKind.TooLarge }
    | { readonly kind: BodyOutcomeKind.Truncated };

/** Outcome of reading a body into several buffers. */
export type BodyPartsOutcome =
    | { readonly kind: BodyOutcomeKind.Complete; readonly parts: readonly Buffer[]; readonly bytes: number }
    | { readonly kind: BodyOutcomeKind.TooLarge | BodyOutcomeKind.Truncated | BodyOutcomeKind.Evicted };

/** Counts the memory of a body. */
export interface BodyAccount {
    set(bytes: number): void;
    recordProgress(bytes: number): void;
}

/** Opens the account of a body; `evict` is called if the memory is needed for other requests. */
export type BodyAccountOpener = (holder: { evict(): void }) => BodyAccount;

/** Reads a whole body. The rest of a body over the limit is discarded, so that the sender can read the response. */
export async function readBody(message: IncomingMessage, maxBytes: number): Promise<BodyOutcome> {
    const outcome = await readBodyParts(message, maxBytes);
    switch (outcome.kind) {
        case BodyOutcomeKind.Complete:
            return { kind: outcome.kind, body: joinParts(outcome.parts) };
        case BodyOutcomeKind.TooLarge:
            return { kind: outcome.kind };
        default:
            return { kind: BodyOutcomeKind.Truncated };
    }
}

/** Joins the parts of a body, without a copy if there is only one. */
export function joinParts(parts: readonly Buffer[]): Buffer {
    return parts.length === 1 ? parts[0] as Buffer : Buffer.concat(parts);
}

/** Reads a whole body into several buffers that are counted while they grow. */
export function readBodyParts(
    message: IncomingMessage,
    maxBytes: number,
    openAccount?: BodyAccountOpener,
): Promise<BodyPartsOutcome> {
    return new Promise(resolve => {
        const declared = Number(message.headers["content-length"] ?? 0);
        let buffer: BodyBuffer | undefined = new BodyBuffer({ expectedBytes: declared });
        const abandon = (kind: BodyOutcomeKind.TooLarge | BodyOutcomeKind.Evicted): void => {
            buffer?.release();
            buffer = undefined;
            account?.set(0);
            message.off("data", handleData);
            discardRequestBody(message);
            resolve({ kind });
        };
        const account = openAccount?.({ evict: () => abandon(BodyOutcomeKind.Evicted) });
        const handleData = (chunk: Buffer): void => {
            if (buffer === undefined) {
                return;
            }
            if (buffer.size + chunk.length > maxBytes) {
                return abandon(BodyOutcomeKind.TooLarge);
            }
            const capacityBefore = buffer.capacity;
            buffer.append(chunk);
            account?.recordProgress(chunk.length);
            recordReadChunk(chunk.length);
            if (buffer.capacity !== capacityBefore) {
                account?.set(buffer.capacity);
            }
        };
        const handleBroken = (): void => {
            if (buffer !== undefined) {
                buffer.release();
                buffer = undefined;
                account?.set(0);
                resolve({ kind: BodyOutcomeKind.Truncated });
            }
        };
        // A declared size over the limit is refused before any of it is read.
        if (declared > maxBytes) {
            return abandon(BodyOutcomeKind.TooLarge);
        }
        message.on("data", handleData);
        message.on("end", () => {
            if (buffer !== undefined) {
                const bytes = buffer.size;
                resolve({ kind: BodyOutcomeKind.Complete, parts: buffer.take(), bytes });
                buffer = undefined;
            }
        });
        message.on("error", handleBroken);
        message.on("close", handleBroken);
    });
}
