/**
 * Sends large answers no faster than this node's link carries them.
 *
 * What is sent faster waits in the link's queue, and every short message behind it, of whatever call, waits too. Here
 * large answers wait in their own line instead. Those that can still meet their objective go first, and among them the
 * shortest, so that an overloaded link makes few answers late instead of all.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";

/** An answer that is sent in parts. */
export interface PacedResponse {
    /** Time until which the answer should have arrived. */
    readonly objectiveAt: Milliseconds;
    /** Nobody waits for it any more. */
    isAbandoned(): boolean;
    send(part: Buffer): void;
}

/** What an `AnswerPacer` is created from. */
export interface AnswerPacerOptions {
    readonly clock: Clock;
    /** Rate of this node's link; `undefined` if it is not known, and nothing waits. */
    readonly linkBytesPerSecond: number | undefined;
}

interface QueuedParts {
    readonly parts: Buffer[];
    bytes: number;
}

/** Part of the link for large answers; the rest is for short messages and for what the network adds. */
const pacedLinkShare = 0.85;
/** What may be sent at once: short enough a time that a message behind it is not late, and worth a timer. */
const burstMs: Milliseconds = 5;

/** The line of one node's large answers. */
export class AnswerPacer {
    private readonly bytesPerMs: number;
    private readonly queue = new Map<PacedResponse, QueuedParts>();
    private queuedBytes = 0;
    /** Time until which the link is taken. */
    private linkBusyUntil: Milliseconds = 0;
    private timer: NodeJS.Timeout | undefined;

    constructor(private readonly options: AnswerPacerOptions) {
        const { linkBytesPerSecond } = options;
        this.bytesPerMs = linkBytesPerSecond === undefined
            ? Number.POSITIVE_INFINITY
            : pacedLinkShare * linkBytesPerSecond / 1_000;
    }

    /** Time until all that waits has been sent. */
    get backlogMs(): Milliseconds {
        return this.timeFor(this.queuedBytes) + Math.max(0, this.linkBusyUntil - this.options.clock.now());
    }

    /** Time that the link takes for so many bytes. */
    timeFor(bytes: number): Milliseconds {
        return bytes / this.bytesPerMs;
    }

    /** The time that is so far ahead, on the pacer's clock. */
    timeAfter(aheadMs: Milliseconds): Milliseconds {
        return this.options.clock.now() + aheadMs;
    }

    /** Sends the part when it is its turn; the parts of one answer in the order in which they were added. */
    add(answer: PacedResponse, part: Buffer): void {
        const queued = this.queue.get(answer);
        if (queued === undefined) {
            this.queue.set(answer, { parts: [part], bytes: part.length });
        }
        else {
            queued.parts.push(part);
            queued.bytes += part.length;
        }
        this.queuedBytes += part.length;
        if (this.timer === undefined) {
            this.sendDue();
        }
    }

    /** Drops what waits. */
    close(): void {
        clearTimeout(this.timer);
        this.queue.clear();
        this.queuedBytes = 0;
    }

    private sendDue(): void {
        this.timer = undefined;
        const now = this.options.clock.now();
        this.linkBusyUntil = Math.max(this.linkBusyUntil, now);
        let next = this.selectNext(now);
        while (next !== undefined && this.linkBusyUntil - now <= burstMs) {
            const [answer, part] = next;
            this.removeFirstPart(answer);
            this.linkBusyUntil += this.timeFor(part.length);
            answer.send(part);
            next = this.selectNext(now);
        }
        if (this.queue.size > 0) {
            this.timer = setTimeout(() => this.sendDue(), Math.max(1, this.linkBusyUntil - now - burstMs));
        }
    }

    /** The first part of the answer whose turn it is. */
    private selectNext(now: Milliseconds): readonly [PacedResponse, Buffer] | undefined {
        let chosen: readonly [PacedResponse, QueuedParts] | undefined;
        for (const [answer, waiting] of this.queue) {
            if (answer.isAbandoned()) {
                this.queuedBytes -= waiting.bytes;
                this.queue.delete(answer);
            }
            else if (chosen === undefined || this.precedes([answer, waiting], chosen, now)) {
                chosen = [answer, waiting];
            }
        }
        const part = chosen?.[1].parts[0];
        return chosen === undefined || part === undefined ? undefined : [chosen[0], part];
    }

    private precedes(
        [answer, waiting]: readonly [PacedResponse, QueuedParts],
        [other, otherWaiting]: readonly [PacedResponse, QueuedParts],
        now: Milliseconds,
    ): boolean {
        const isOnTime = now + this.timeFor(waiting.bytes) <= answer.objectiveAt;
        const isOtherOnTime = now + this.timeFor(otherWaiting.bytes) <= other.objectiveAt;
        return isOnTime === isOtherOnTime ? waiting.bytes < otherWaiting.bytes : isOnTime;
    }

    /** Removes the first part of an answer. */
    private removeFirstPart(answer: PacedResponse): void {
        const waiting = this.queue.get(answer);
        const part = waiting?.parts.shift();
        if (waiting !== undefined && part !== undefined) {
            waiting.bytes -= part.length;
            this.queuedBytes -= part.length;
            if (waiting.parts.length === 0) {
                this.queue.delete(answer);
            }
        }
    }
}
