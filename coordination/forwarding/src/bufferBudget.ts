/**
 * Limit of the bytes that a process buffers over all calls. It answers the load of many large or endless bodies at
 * once, whose sum would exceed the memory of the process if each call had a limit of its own alone.
 */

/** Buffers of one kind share a budget. While it is exhausted, each of them keeps to its smaller limit. */
export class BufferBudget {
    private usedBytes = 0;

    constructor(private readonly totalBytes: number) {}

    get isExhausted(): boolean {
        return this.usedBytes >= this.totalBytes;
    }

    /** Bytes in use. */
    get used(): number {
        return this.usedBytes;
    }

    /** Opens an account for one buffer. */
    open(): BufferAccount {
        let bytes = 0;
        return {
            set: next => {
                this.usedBytes += next - bytes;
                bytes = next;
            },
        };
    }
}

/** Bytes that one buffer holds. */
export interface BufferAccount {
    /** Replaces the number of bytes; 0 closes the account. */
    set(bytes: number): void;
}
