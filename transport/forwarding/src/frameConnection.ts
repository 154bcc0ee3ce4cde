/**
 * A TCP connection that carries frames.
 */
import type { Socket } from "node:net";
import { encodeFrame, encodeFrameStart, type Frame, type FrameKind, FrameReader } from "@bilberrycroft/protocol.forwarding";
import { recordReadChunk } from "@bilberrycroft/transport.calls";
import { flushTurn, writeInTurn } from "./turnWrites";

/** A copy of a smaller payload costs less than several writes. */
const maxJoinedBytes = 65_536;

/** Receives the events of a connection. */
export interface FrameObserver {
    onFrame(frame: Frame): void;
    /** Called if `onFrame` throws; the frame is dropped and the connection continues. */
    onFault(frame: Frame, error: unknown): void;
    /** Called once, when the connection ends, cannot be established or receives malformed frames. */
    onClosed(reason: string): void;
    /** Called with the bytes held for incomplete frames each time the number changes; 0 at the end. */
    onHeldBytes?(bytes: number): void;
}

/** Handles an exception that a frame has caused. */
export type FrameFaultHandler = (frame: Frame, error: unknown) => void;

/** Sends frames over a socket and decodes received ones. */
export class FrameConnection {
    private readonly reader = new FrameReader();
    private isClosed = false;
    private heldBytes = 0;

    constructor(readonly socket: Socket, private readonly observer: FrameObserver) {
        socket.on("data", chunk => this.read(chunk));
        socket.on("error", error => {
            socket.destroy();
            this.handleClosed((error as NodeJS.ErrnoException).code ?? error.message);
        });
        socket.on("close", () => this.handleClosed("connection closed"));
    }

    /** Sends a frame; returns `false` if the next frame should wait for the `drain` event of the socket. */
    send(frame: Buffer): boolean {
        return this.socket.destroyed || writeInTurn(this.socket, frame);
    }

    /** Sends a frame whose payload is in several buffers, without joining large ones. */
    sendParts(kind: FrameKind, offerId: number, parts: readonly Buffer[]): void {
        if (this.socket.destroyed) {
            return;
        }
        const bytes = parts.reduce((sum, part) => sum + part.length, 0);
        if (bytes <= maxJoinedBytes) {
            this.send(encodeFrame(kind, offerId, parts.length === 1 ? parts[0] : Buffer.concat(parts)));
            return;
        }
        this.send(encodeFrameStart(kind, offerId, bytes));
        parts.forEach(part => this.send(part));
    }

    /** Closes the connection. What was sent before is still handed to the system. */
    close(): void {
        flushTurn(this.socket);
        this.socket.destroy();
    }

    private read(chunk: Buffer): void {
        const frames = this.reader.push(chunk);
        recordReadChunk(chunk.length);
        if (frames === undefined) {
            this.socket.destroy();
            return;
        }
        this.reportHeldBytes(this.reader.heldBytes);
        frames.forEach(frame => this.dispatch(frame));
    }

    private reportHeldBytes(bytes: number): void {
        if (bytes !== this.heldBytes) {
            this.heldBytes = bytes;
            this.observer.onHeldBytes?.(bytes);
        }
    }

    private dispatch(frame: Frame): void {
        try {
            this.observer.onFrame(frame);
        }
        catch (error) {
            this.observer.onFault(frame, error);
        }
    }

    private handleClosed(reason: string): void {
        if (!this.isClosed) {
            this.isClosed = true;
            this.reportHeldBytes(0);
            this.observer.onClosed(reason);
        }
    }
}
