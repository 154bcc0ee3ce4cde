/**
 * Combines everything that is written to a socket in one turn of the event loop into one system call.
 *
 * A short response consists of three frames, and one read often grants several calls. A system call for each frame made
 * eight of them for a call instead of six, and as many wake-ups of the other node.
 */
import type { Socket } from "node:net";

/** Has something to write before a turn ends. */
export interface TurnObserver {
    handleTurnEnd(): void;
}

const corkedSockets = new Set<Socket>();
const turnObservers = new Set<TurnObserver>();
let isFlushScheduled = false;

/** Writes at the end of the present turn; returns `false` if the next write should wait for `drain`. */
export function writeInTurn(socket: Socket, data: Buffer): boolean {
    if (!corkedSockets.has(socket)) {
        scheduleFlush();
        corkedSockets.add(socket);
        socket.cork();
    }
    return socket.write(data);
}

/** Notifies the observer once, at the end of the present turn and before what was written in it is sent. */
export function observeTurnEnd(observer: TurnObserver): void {
    scheduleFlush();
    turnObservers.add(observer);
}

/** Writes what has been collected for one socket, because it is about to be closed. */
export function flushTurn(socket: Socket): void {
    if (corkedSockets.delete(socket)) {
        socket.uncork();
    }
}

function scheduleFlush(): void {
    if (!isFlushScheduled) {
        isFlushScheduled = true;
        setImmediate(flushAll);
    }
}

function flushAll(): void {
    isFlushScheduled = false;
    const observers = [...turnObservers];
    turnObservers.clear();
    observers.forEach(observer => observer.handleTurnEnd());
    const sockets = [...corkedSockets];
    corkedSockets.clear();
    sockets.forEach(socket => socket.uncork());
}
