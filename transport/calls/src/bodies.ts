/**
 * Reads the body of an HTTP message into memory, up to a size limit.
 *
 * Chunks are copied into larger buffers as they arrive: an object for each chunk costs more than a hundred bytes, so
 * that a body in chunks of one byte would take a hundred times its size.
 */
import type { IncomingMessage } from "node:http";
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

/** Bodies up to this size are held in one part of their size, if they declare it. */
const firstPartBytes = 16_384;
/** Size of all further parts. Parts of one size can be used again for any other body. */
const partBytes = 65_536;
const maxFreeParts = 256;
/**
 * Parts of bodies that were given up. Without them, bodies that come and go split the memory of the process into pieces
 * that it does not give back: 73 MB of bodies in pieces of 10 KB left 160 MB resident.
 */
const freeParts: Buffer[] = [];

/** Appends chunks to buffers that grow with the body. */
class BodyBuffer {
    readonly parts: Buffer[] = [];
    /** Bytes received. */
    size = 0;
    /** Bytes allocated. */
    capacity = 0;
    private current: Buffer = Buffer.alloc(0);
    private filled = 0;

    constructor(private readonly expectedBytes: number) {}

    append(chunk: Buffer): void {
        let rest = chunk;
        while (rest.length > 0) {
            if (this.filled === this.current.length) {
                this.allocate();
            }
            const copied = rest.copy(this.current, this.filled);
            this.filled += copied;
            this.size += copied;
            rest = rest.subarray(copied);
        }
    }

    /** Returns the buffers of the complete body. */
    finish(): readonly Buffer[] {
        const last = this.parts.pop();
        return last === undefined ? [] : [...this.parts, last.subarray(0, this.filled)];
    }

    /** Makes the parts of a body that is given up available to others. */
    release(): void {
        const free = this.parts.filter(({ length }) => length === partBytes);
        freeParts.push(...free.slice(0, maxFreeParts - freeParts.length));
        this.parts.length = 0;
    }

    private allocate(): void {
        const isFirst = this.parts.length === 0;
        const declaredBytes = this.expectedBytes > 0 ? this.expectedBytes : firstPartBytes;
        this.current = isFirst
            ? Buffer.allocUnsafeSlow(Math.min(firstPartBytes, declaredBytes))
            : freeParts.pop() ?? Buffer.allocUnsafeSlow(partBytes);
        this.filled = 0;
        this.parts.push(this.current);
        this.capacity += this.current.length;
    }
}

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
        let buffer: BodyBuffer | undefined = new BodyBuffer(declared);
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
                resolve({ kind: BodyOutcomeKind.Complete, parts: buffer.finish(), bytes: buffer.size });
                buffer = undefined;
            }
        });
        message.on("error", handleBroken);
        message.on("close", handleBroken);
    });
}
