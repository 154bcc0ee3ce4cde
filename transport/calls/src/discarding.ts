/**
 * Discards a body that nobody needs. A short rest is read, so that its connection can be used again; the connection of
 * a longer or slower one is closed, because a body may have no end.
 */
import type { IncomingMessage } from "node:http";
import type { Milliseconds } from "@bilberrycroft/core.clock";

export const maxDiscardedBytes = 262_144;
export const maxDiscardMs: Milliseconds = 1_000;

const discardedMessages = new WeakSet<IncomingMessage>();

/** Discards the rest of a target's response. `handleCut` is called if its connection is closed before the end. */
export function discardResponseBody(response: IncomingMessage, handleCut: () => void = () => undefined): void {
    discard(response, handleCut, () => response.destroy());
}

/**
 * Discards the rest of a caller's request; the caller has the whole time to read the response that refuses it.
 * `handleCut` is called if the connection is closed before the end.
 */
export function discardRequestBody(request: IncomingMessage, handleCut: () => void = () => undefined): void {
    discard(request, handleCut, () => request.pause());
}

function discard(message: IncomingMessage, handleCut: () => void, handleExcess: () => void): void {
    if (discardedMessages.has(message) || message.destroyed) {
        return;
    }
    if (message.complete) {
        message.resume();
        return;
    }
    discardedMessages.add(message);
    let discardedBytes = 0;
    const timer = setTimeout(() => message.destroy(), maxDiscardMs);
    message.on("data", (chunk: Buffer) => {
        discardedBytes += chunk.length;
        if (discardedBytes > maxDiscardedBytes) {
            handleExcess();
        }
    });
    message.on("error", () => undefined);
    message.once("end", () => clearTimeout(timer));
    message.once("close", () => {
        clearTimeout(timer);
        if (!message.complete) {
            handleCut();
        }
    });
    message.resume();
}
