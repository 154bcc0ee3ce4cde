/**
 * Discards a body that nobody needs. A short rest is read, so that its connection can be used again; the connection of
 * a longer or slower one is closed, because a body may have no end.
 */
import type { IncomingMessage } from "node:http";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { recordReadChunk } from "./readGarbage";

export const maxDiscardedBytes = 262_144;
export const maxDiscardMs: Milliseconds = 1_000;

/** Why the rest of a body was not discarded to its end. */
export enum DiscardCut {
    /** It exceeded the limit of bytes or time. */
    Limit = "limit",
    /** Its connection broke. */
    Broken = "broken",
}

type CutHandler = (cut: DiscardCut) => void;

const ignoreCut: CutHandler = () => undefined;
const discardedMessages = new WeakSet<IncomingMessage>();

/** Discards the rest of a target's response. `handleCut` is called if its connection ends before the body. */
export function discardResponseBody(response: IncomingMessage, handleCut = ignoreCut): void {
    discard(response, handleCut, () => response.destroy());
}

/**
 * Discards the rest of a caller's request; the caller has the whole time to read the response that refuses it.
 * `handleCut` is called if the connection ends before the body.
 */
export function discardRequestBody(request: IncomingMessage, handleCut = ignoreCut): void {
    discard(request, handleCut, () => request.pause());
}

function discard(message: IncomingMessage, handleCut: CutHandler, handleExcess: () => void): void {
    if (discardedMessages.has(message) || message.destroyed) {
        return;
    }
    if (message.complete) {
        message.resume();
        return;
    }
    discardedMessages.add(message);
    let discardedBytes = 0;
    let cut = DiscardCut.Broken;
    const timer = setTimeout(() => {
        cut = DiscardCut.Limit;
        message.destroy();
    }, maxDiscardMs);
    message.on("data", (chunk: Buffer) => {
        discardedBytes += chunk.length;
        recordReadChunk(chunk.length);
        if (discardedBytes > maxDiscardedBytes) {
            cut = DiscardCut.Limit;
            handleExcess();
        }
    });
    message.on("error", () => undefined);
    message.once("end", () => clearTimeout(timer));
    message.once("close", () => {
        clearTimeout(timer);
        if (!message.complete) {
            handleCut(cut);
        }
    });
    message.resume();
}
