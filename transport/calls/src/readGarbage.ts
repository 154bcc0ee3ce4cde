/**
 * Collects what reading from sockets leaves behind. Each read and each chunk of a body is a buffer of its own, and V8
 * lets 64 MB of them gather before it collects them, which is a third of the memory of the smallest process. They die
 * young, so that a minor collection, which takes about 2 ms, frees them.
 */

/** Bytes read between collections. */
const maxGarbageBytes = 4_194_304;
/** Objects of a chunk, of whatever size. */
const chunkObjectBytes = 200;

/** Exists if Node was started with `--expose-gc`. */
const { gc: collect } = globalThis as { readonly gc?: (options: { readonly type: "minor" }) => void };

let garbageBytes = 0;

/** Records a buffer that was read and is soon no longer needed. */
export function recordReadChunk(bytes: number): void {
    garbageBytes += bytes + chunkObjectBytes;
    if (garbageBytes >= maxGarbageBytes) {
        garbageBytes = 0;
        collect?.({ type: "minor" });
    }
}
