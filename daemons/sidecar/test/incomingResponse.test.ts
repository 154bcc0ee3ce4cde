import { EventEmitter } from "node:events";
import type { ServerResponse } from "node:http";
import { BufferBudget } from "@bilberrycroft/coordination.forwarding";
import { TargetAvailability } from "@bilberrycroft/protocol.forwarding";
import { describe, expect, it } from "vitest";
import { IncomingResponse } from "../src/calls/incomingResponse";

const budgetBytes = 67_108_864;
const pieceCount = 50_000;
/** The first piece, 16 KiB and 64 KiB hold all pieces. */
const maxWrites = 3;
/** Unsent bytes beyond which a response is cut, docs/platform.md. */
const maxUnsentBytes = 16_777_216;
const load = {
    availability: TargetAvailability.Serving,
    running: 0,
    queued: 0,
    slots: 1,
    runTimeMs: 1,
    sendMs: 0,
    meanRunTimeMs: 1,
    failureShare: 0,
};
const report = { load, state: { configurationVersion: 1, registryRevision: 1 } };
const piece = Buffer.from("n");

/** The connection of a caller, which takes nothing until it is told to. */
class CallerStandin extends EventEmitter {
    readonly written: Buffer[] = [];
    writableNeedDrain = false;
    hasEnded = false;

    get writableLength(): number {
        return this.writableNeedDrain ? this.writtenBytes : 0;
    }

    get writtenBytes(): number {
        return this.written.reduce((sum, { length }) => sum + length, 0);
    }

    writeHead(): void {
        // The head is not checked here.
    }

    cork(): void {
        // All writes are recorded one by one.
    }

    write(data: Buffer): boolean {
        this.written.push(data);
        return !this.writableNeedDrain;
    }

    end(data?: Buffer): void {
        this.written.push(...data === undefined ? [] : [data]);
        this.hasEnded = true;
    }

    asResponse(): ServerResponse {
        return this as unknown as ServerResponse;
    }
}

// Guards against a node whose heap fills with one object for each chunk of a response.
describe("a response that arrives in chunks of one byte", () => {
    const createResponse = (budget = new BufferBudget(budgetBytes)): IncomingResponse =>
        new IncomingResponse({ status: 200, headers: {}, report }, budget);
    const appendPieces = (response: IncomingResponse): boolean => {
        let isAccepted = true;
        for (let count = 0; count < pieceCount; count++) {
            isAccepted = response.append(piece) && isAccepted;
        }
        return isAccepted;
    };

    it("is delivered in few writes, byte by byte as it came", () => {
        const caller = new CallerStandin();
        const response = createResponse();
        response.append(Buffer.from("first"));
        expect(appendPieces(response)).toBe(true);
        response.deliver(caller.asResponse(), "GET");
        expect(caller.written.length).toBeLessThanOrEqual(maxWrites);
        expect(Buffer.concat(caller.written).toString()).toBe(`first${"n".repeat(pieceCount)}`);
        expect(caller.hasEnded).toBe(true);
    });

    it("is counted with the memory that it takes, and given back when it is discarded", () => {
        const budget = new BufferBudget(budgetBytes);
        const response = createResponse(budget);
        appendPieces(response);
        expect(budget.used).toBeGreaterThanOrEqual(pieceCount);
        response.discard();
        expect(budget.used).toBe(0);
    });

    it("is streamed in few writes to a caller that does not read", () => {
        const caller = new CallerStandin();
        const response = createResponse();
        response.append(piece);
        response.startStreaming(caller.asResponse());
        caller.writableNeedDrain = true;
        appendPieces(response);
        expect(caller.written).toHaveLength(1);
        caller.writableNeedDrain = false;
        caller.emit("drain");
        expect(caller.written.length).toBeLessThanOrEqual(1 + maxWrites);
        expect(caller.writtenBytes).toBe(1 + pieceCount);
        response.append(piece);
        response.deliver(caller.asResponse(), "GET");
        expect(caller.writtenBytes).toBe(pieceCount + 2);
        expect(caller.hasEnded).toBe(true);
    });

    it("delivers what the caller has not taken yet when it ends", () => {
        const caller = new CallerStandin();
        const response = createResponse();
        response.startStreaming(caller.asResponse());
        caller.writableNeedDrain = true;
        response.append(piece);
        response.deliver(caller.asResponse(), "GET");
        expect([caller.writtenBytes, caller.hasEnded]).toEqual([1, true]);
    });

    it("is cut when a caller that does not read has left too much", () => {
        const caller = new CallerStandin();
        const response = createResponse();
        response.startStreaming(caller.asResponse());
        caller.writableNeedDrain = true;
        expect(response.append(Buffer.alloc(maxUnsentBytes))).toBe(true);
        expect(response.append(piece)).toBe(false);
    });
});
