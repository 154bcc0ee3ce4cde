/**
 * A TCP connection that carries frames.
 */
import type { Socket } from "node:net";
import { type Frame, FrameReader } from "@bilberrycroft/protocol.forwarding";

/** Receives the events of a connection. */
export interface FrameObserver {
    onFrame(frame: Frame): void;
    /** Called if `onFrame` throws; the frame is dropped and the connection continues. */
    onFault(frame: Frame, error: unknown): void;
    /** Called once, when the connection ends, cannot be established or receives malformed frames. */
    onClosed(reason: string): void;
}

/** Handles an exception that a frame has caused. */
export type FrameFaultHandler = (frame: Frame, error: unknown) => void;

/** Sends frames over a socket and decodes received ones. */
export class FrameConnection {
    private readonly reader = new FrameReader();
    private isClosed = false;

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
        return this.socket.destroyed || this.socket.write(frame);
    }

    close(): void {
        this.socket.destroy();
    }

    private read(chunk: Buffer): void {
        const frames = this.reader.push(chunk);
        if (frames === undefined) {
            this.socket.destroy();
            return;
        }
        frames.forEach(frame => this.dispatch(frame));
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
            this.observer.onClosed(reason);
        }
    }
}
