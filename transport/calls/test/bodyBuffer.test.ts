import { BodyBuffer } from "@bilberrycroft/transport.calls";
import fc from "fast-check";
import { describe, expect, it } from "vitest";

/** What a body may take beyond its own bytes: the last part is not full. */
const maxSpareBytes = 65_536;
const smallBytes = 600;
const largeBytes = 16_384;

describe("the buffer of a body", () => {
    const append = (buffer: BodyBuffer, sizes: readonly number[]): Buffer => {
        const chunks = sizes.map((size, index) => Buffer.alloc(size, index % 251));
        chunks.forEach(chunk => buffer.append(chunk));
        return Buffer.concat(chunks);
    };

    // Guards against a buffer that changes, loses or repeats bytes, or whose memory does not follow its bytes.
    it.each([true, false])("returns the bytes as they came, in any chunks (keeps chunks: %s)", keepsChunks => {
        const size = fc.oneof(fc.integer({ min: 0, max: 10 }), fc.integer({ min: 0, max: 200_000 }));
        const chunkSizes = fc.array(size, { maxLength: 40 });
        fc.assert(fc.property(chunkSizes, sizes => {
            const buffer = new BodyBuffer({ keepsChunks });
            const body = append(buffer, sizes);
            expect(buffer.size).toBe(body.length);
            expect(buffer.capacity).toBeGreaterThanOrEqual(body.length);
            expect(buffer.capacity).toBeLessThanOrEqual(body.length + maxSpareBytes);
            expect(Buffer.concat(buffer.take()).equals(body)).toBe(true);
            expect([buffer.size, buffer.capacity, buffer.take().length]).toEqual([0, 0, 0]);
        }), { seed: 45, numRuns: 200 });
    });

    it("keeps the first chunk and large ones without a copy, if it may", () => {
        const buffer = new BodyBuffer({ keepsChunks: true });
        const chunks = [Buffer.alloc(smallBytes), Buffer.alloc(largeBytes), Buffer.alloc(largeBytes)];
        chunks.forEach(chunk => buffer.append(chunk));
        expect(buffer.take()).toEqual(chunks);
        chunks.forEach(chunk => buffer.append(chunk));
        expect(buffer.take().every((part, index) => part === chunks[index])).toBe(true);
    });

    it("does not take a kept chunk for a part that it may use again", () => {
        const kept = new BodyBuffer({ keepsChunks: true });
        const chunk = Buffer.alloc(maxSpareBytes, 1);
        kept.append(chunk);
        kept.release();
        const other = new BodyBuffer();
        append(other, [maxSpareBytes, maxSpareBytes, maxSpareBytes]);
        expect(chunk.every(byte => byte === 1)).toBe(true);
    });
});
