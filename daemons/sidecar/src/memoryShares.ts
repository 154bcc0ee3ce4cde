/**
 * Division of the memory that the platform grants to the process.
 */

export interface MemoryShares {
    /** For what the process holds for clients. */
    readonly clientBytes: number;
    /** For responses of the target that wait for the link. */
    readonly pacedBytes: number;
}

/**
 * Holds a body of 64 MiB, the largest of the platform, in the 200 MB of the smallest machine; the program itself takes
 * about 65 MB, and garbage that has not been collected up to 40 MB.
 */
const clientMemoryShare = 0.35;
const pacedMemoryShare = 0.125;
const defaultMemoryBytes = 268_435_456;

export function divideMemory(memoryBytes = defaultMemoryBytes): MemoryShares {
    return { clientBytes: clientMemoryShare * memoryBytes, pacedBytes: pacedMemoryShare * memoryBytes };
}
