/**
 * Combines everything that is written to a socket in one turn of the event loop into one system call.
 *
 * A short response consists of three frames, and one read often grants several calls. A system call for each frame made
 * eight of them for a call instead of six, and as many wake-ups of the other node.
 */
import type { Socket } from "node:net";

const corkedSockets = new Set<Socket>();

/** Writes at the end of the present turn; returns `false` if the next write should wait for `drain`. */
export function writeInTurn(socket: Socket, data: Buffer): boolean {
    if (!corkedSockets.has(socket)) {
        if (corkedSockets.size === 0) {
            setImmediate(flushAll);
        }
        corkedSockets.add(socket);
        socket.cork();
    }
    return socket.write(data);
}

/** Writes what has been collected for one socket, because it is about to be closed. */
export function flushTurn(socket: Socket): void {
    if (corkedSockets.delete(socket)) {
        socket.uncork();
    }
}

function flushAll(): void {
    const sockets = [...corkedSockets];
    corkedSockets.clear();
    sockets.forEach(socket => socket.uncork());
}
