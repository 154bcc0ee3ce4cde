/**
 * Sends large answers no faster than this node's link carries them.
 *
 * What is sent faster waits in the link's queue, and every short message behind it, of whatever call, waits too. Here
 * large answers wait in their own line instead, one after the other.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";

/** Bytes that wait for their turn. */
export interface PacedSend {
    readonly bytes: number;
    /** Nobody waits for them any more. */
    isUnwanted(): boolean;
    send(): void;
}

/** What an `AnswerPacer` is created from. */
export interface AnswerPacerOptions {
    readonly clock: Clock;
    /** Rate of this node's link; `undefined` if it is not known, and nothing waits. */
    readonly linkBytesPerSecond: number | undefined;
}

/** Part of the link for large answers; the rest is for short messages and for what the network adds. */
const pacedPart = 0.85;
/** What may be sent at once: short enough a time that a message behind it is not late, and worth a timer. */
const burstMs: Milliseconds = 5;

/** The line of one node's large answers. */
export class AnswerPacer {
    private readonly bytesPerMs: number;
    private waiting: PacedSend[] = [];
    private waitingBytes = 0;
    /** Time until which the link is taken. */
    private takenUntil: Milliseconds = 0;
    private timer: NodeJS.Timeout | undefined;

    constructor(private readonly options: AnswerPacerOptions) {
        const { linkBytesPerSecond } = options;
        this.bytesPerMs = linkBytesPerSecond === undefined
            ? Number.POSITIVE_INFINITY
            : pacedPart * linkBytesPerSecond / 1_000;
    }

    /** Time until all that waits has been sent. */
    get backlogMs(): Milliseconds {
        return this.timeFor(this.waitingBytes) + Math.max(0, this.takenUntil - this.options.clock.now());
    }

    /** Time that the link takes for so many bytes. */
    timeFor(bytes: number): Milliseconds {
        return bytes / this.bytesPerMs;
    }

    /** Sends the bytes when it is their turn, after all that was added before. */
    add(paced: PacedSend): void {
        this.waiting.push(paced);
        this.waitingBytes += paced.bytes;
        if (this.timer === undefined) {
            this.sendDue();
        }
    }

    /** Drops what waits. */
    close(): void {
        clearTimeout(this.timer);
        this.waiting = [];
        this.waitingBytes = 0;
    }

    private sendDue(): void {
        this.timer = undefined;
        const now = this.options.clock.now();
        this.takenUntil = Math.max(this.takenUntil, now);
        let sent = 0;
        for (const paced of this.waiting) {
            if (!paced.isUnwanted()) {
                if (this.takenUntil - now > burstMs) {
                    break;
                }
                this.takenUntil += this.timeFor(paced.bytes);
                paced.send();
            }
            this.waitingBytes -= paced.bytes;
            sent++;
        }
        this.waiting.splice(0, sent);
        if (this.waiting.length > 0) {
            this.timer = setTimeout(() => this.sendDue(), Math.max(1, this.takenUntil - now - burstMs));
        }
    }
}
