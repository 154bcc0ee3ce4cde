/**
 * A TCP connection that carries frames.
 */
import type { Socket } from "node:net";
import { type Frame, FrameReader } from "@bilberrycroft/protocol.forwarding";

/** What happens on a connection. */
export interface FrameObserver {
    frame(frame: Frame): void;
    /** The connection ended, could not be made, or carried something else than frames. Called once. */
    closed(reason: string): void;
}

/** Cuts what arrives on a socket into frames. */
export class FrameConnection {
    private readonly reader = new FrameReader();
    private isClosed = false;

    constructor(readonly socket: Socket, private readonly observer: FrameObserver) {
        socket.on("data", chunk => this.read(chunk));
        socket.on("error", error => {
            socket.destroy();
            this.closed((error as NodeJS.ErrnoException).code ?? error.message);
        });
        socket.on("close", () => this.closed("connection closed"));
    }

    /** Sends a frame; `false` if the connection is full until its socket drains. */
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
        frames.forEach(frame => this.observer.frame(frame));
    }

    private closed(reason: string): void {
        if (!this.isClosed) {
            this.isClosed = true;
            this.observer.closed(reason);
        }
    }
}
