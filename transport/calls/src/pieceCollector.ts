/**
 * Joins small pieces of a response body, so that they share a write. A target may send its response in chunks of one
 * byte; a write for each would take a hundred times the memory of the body.
 */

export class PieceCollector {
    /** The only piece, which is not copied. */
    private first: Buffer | undefined;
    private joined: Buffer | undefined;
    private collectedBytes = 0;

    constructor(private readonly maxBytes: number) {}

    /** Whether a further piece of this size can be added. */
    hasRoom(bytes: number): boolean {
        return this.collectedBytes + bytes <= this.maxBytes;
    }

    add(piece: Buffer): void {
        if (this.collectedBytes === 0) {
            this.first = piece;
        }
        else {
            this.joined ??= this.startJoining();
            piece.copy(this.joined, this.collectedBytes);
        }
        this.collectedBytes += piece.length;
    }

    /** Returns the pieces as one, or `undefined` if there are none, and starts anew. */
    take(): Buffer | undefined {
        const taken = this.joined?.subarray(0, this.collectedBytes) ?? this.first;
        this.clear();
        return taken;
    }

    clear(): void {
        this.first = undefined;
        this.joined = undefined;
        this.collectedBytes = 0;
    }

    private startJoining(): Buffer {
        const joined = Buffer.allocUnsafeSlow(this.maxBytes);
        this.first?.copy(joined);
        this.first = undefined;
        return joined;
    }
}
