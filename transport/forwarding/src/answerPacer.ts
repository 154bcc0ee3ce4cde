/**
 * Sends large answers no faster than this node's link carries them.
 *
 * What is sent faster waits in the link's queue, and every short message behind it, of whatever call, waits too. Here
 * large answers wait in their own line instead. Those that can still meet their objective go first, and among them the
 * shortest, so that an overloaded link makes few answers late instead of all.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";

/** An answer that is sent in parts. */
export interface PacedAnswer {
    /** Time until which the answer should have arrived. */
    readonly objectiveAt: Milliseconds;
    /** Nobody waits for it any more. */
    isUnwanted(): boolean;
    send(part: Buffer): void;
}

/** What an `AnswerPacer` is created from. */
export interface AnswerPacerOptions {
    readonly clock: Clock;
    /** Rate of this node's link; `undefined` if it is not known, and nothing waits. */
    readonly linkBytesPerSecond: number | undefined;
}

interface WaitingParts {
    readonly parts: Buffer[];
    bytes: number;
}

/** Part of the link for large answers; the rest is for short messages and for what the network adds. */
const pacedPart = 0.85;
/** What may be sent at once: short enough a time that a message behind it is not late, and worth a timer. */
const burstMs: Milliseconds = 5;

/** The line of one node's large answers. */
export class AnswerPacer {
    private readonly bytesPerMs: number;
    private readonly waiting = new Map<PacedAnswer, WaitingParts>();
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

    /** The time that is so far ahead, on the pacer's clock. */
    timeIn(aheadMs: Milliseconds): Milliseconds {
        return this.options.clock.now() + aheadMs;
    }

    /** Sends the part when it is its turn; the parts of one answer in the order in which they were added. */
    add(answer: PacedAnswer, part: Buffer): void {
        const known = this.waiting.get(answer);
        if (known === undefined) {
            this.waiting.set(answer, { parts: [part], bytes: part.length });
        }
        else {
            known.parts.push(part);
            known.bytes += part.length;
        }
        this.waitingBytes += part.length;
        if (this.timer === undefined) {
            this.sendDue();
        }
    }

    /** Drops what waits. */
    close(): void {
        clearTimeout(this.timer);
        this.waiting.clear();
        this.waitingBytes = 0;
    }

    private sendDue(): void {
        this.timer = undefined;
        const now = this.options.clock.now();
        this.takenUntil = Math.max(this.takenUntil, now);
        let next = this.takeNext(now);
        while (next !== undefined && this.takenUntil - now <= burstMs) {
            const [answer, part] = next;
            this.remove(answer);
            this.takenUntil += this.timeFor(part.length);
            answer.send(part);
            next = this.takeNext(now);
        }
        if (this.waiting.size > 0) {
            this.timer = setTimeout(() => this.sendDue(), Math.max(1, this.takenUntil - now - burstMs));
        }
    }

    /** The first part of the answer whose turn it is. */
    private takeNext(now: Milliseconds): readonly [PacedAnswer, Buffer] | undefined {
        let chosen: readonly [PacedAnswer, WaitingParts] | undefined;
        for (const [answer, waiting] of this.waiting) {
            if (answer.isUnwanted()) {
                this.waitingBytes -= waiting.bytes;
                this.waiting.delete(answer);
            }
            else if (chosen === undefined || this.goesBefore([answer, waiting], chosen, now)) {
                chosen = [answer, waiting];
            }
        }
        const part = chosen?.[1].parts[0];
        return chosen === undefined || part === undefined ? undefined : [chosen[0], part];
    }

    private goesBefore(
        [answer, waiting]: readonly [PacedAnswer, WaitingParts],
        [other, otherWaiting]: readonly [PacedAnswer, WaitingParts],
        now: Milliseconds,
    ): boolean {
        const canMeet = now + this.timeFor(waiting.bytes) <= answer.objectiveAt;
        const canOtherMeet = now + this.timeFor(otherWaiting.bytes) <= other.objectiveAt;
        return canMeet === canOtherMeet ? waiting.bytes < otherWaiting.bytes : canMeet;
    }

    /** Removes the first part of an answer. */
    private remove(answer: PacedAnswer): void {
        const waiting = this.waiting.get(answer);
        const part = waiting?.parts.shift();
        if (waiting !== undefined && part !== undefined) {
            waiting.bytes -= part.length;
            this.waitingBytes -= part.length;
            if (waiting.parts.length === 0) {
                this.waiting.delete(answer);
            }
        }
    }
}
