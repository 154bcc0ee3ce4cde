/**
 * Holds the body of a message in a few buffers, however small the chunks are in which it arrives.
 *
 * Chunks are copied into larger buffers: an object for each chunk costs more than a hundred bytes, so that a body in
 * chunks of one byte would take a hundred times its size.
 */

export interface BodyBufferOptions {
    /** Size that the sender declares; 0 if it declares none. */
    readonly expectedBytes?: number;
    /**
     * Keeps the first chunk and large chunks as they are, which saves copies if most bodies arrive in one chunk. The
     * buffer of which such a chunk is a part stays alive as a whole.
     */
    readonly keepsChunks?: boolean;
}

/** Size of the first allocated part; a smaller body that declares its size gets a part of that size. */
const firstPartBytes = 16_384;
/** Size of all further allocated parts. Parts of one size can be used again for any other body. */
const partBytes = 65_536;
/** Chunks from this size on may be kept: the object of a chunk is small compared with them. */
const minKeptBytes = 16_384;
const maxFreeParts = 256;
/**
 * Parts of bodies that were given up. Without them, bodies that come and go split the memory of the process into pieces
 * that it does not give back: 73 MB of bodies in pieces of 10 KB left 160 MB resident.
 */
const freeParts: Buffer[] = [];

/** Appends chunks to buffers that grow with the body. */
export class BodyBuffer {
    private parts: Buffer[] = [];
    /** The last part, if there is room in it. */
    private current: Buffer | undefined;
    private filled = 0;
    private hasAllocated = false;
    private receivedBytes = 0;
    private heldBytes = 0;

    constructor(private readonly options: BodyBufferOptions = {}) {}

    /** Bytes received. */
    get size(): number {
        return this.receivedBytes;
    }

    /** Bytes allocated. */
    get capacity(): number {
        return this.heldBytes;
    }

    append(chunk: Buffer): void {
        this.receivedBytes += chunk.length;
        let rest = chunk;
        while (rest.length > 0) {
            if (this.current === undefined && this.isKept(rest)) {
                this.parts.push(rest);
                this.heldBytes += rest.length;
                return;
            }
            const current = this.current ?? this.allocate();
            const copied = rest.copy(current, this.filled);
            this.filled += copied;
            this.current = this.filled < current.length ? current : undefined;
            rest = rest.subarray(copied);
        }
    }

    /** Returns the buffers of the body and starts anew. */
    take(): readonly Buffer[] {
        const { parts, current, filled } = this;
        if (current !== undefined) {
            parts[parts.length - 1] = current.subarray(0, filled);
        }
        this.clear();
        return parts;
    }

    /** Makes the parts of a body that is given up available to others. */
    release(): void {
        if (this.options.keepsChunks !== true) {
            const free = this.parts.filter(({ length }) => length === partBytes);
            freeParts.push(...free.slice(0, maxFreeParts - freeParts.length));
        }
        this.clear();
    }

    private isKept(chunk: Buffer): boolean {
        return this.options.keepsChunks === true && (this.parts.length === 0 || chunk.length >= minKeptBytes);
    }

    private allocate(): Buffer {
        const { expectedBytes = 0 } = this.options;
        const part = this.hasAllocated
            ? freeParts.pop() ?? Buffer.allocUnsafeSlow(partBytes)
            : Buffer.allocUnsafeSlow(Math.min(firstPartBytes, expectedBytes > 0 ? expectedBytes : firstPartBytes));
        this.hasAllocated = true;
        this.filled = 0;
        this.parts.push(part);
        this.heldBytes += part.length;
        return part;
    }

    private clear(): void {
        this.parts = [];
        this.current = undefined;
        this.filled = 0;
        this.hasAllocated = false;
        this.receivedBytes = 0;
        this.heldBytes = 0;
    }
}
