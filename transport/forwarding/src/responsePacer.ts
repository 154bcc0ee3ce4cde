/**
 * Paces large responses below the rate of this node's link.
 *
 * Data sent faster fills the queue of the link and delays every small message behind it. Large responses are therefore
 * queued here. Responses that can still meet their latency objective are sent before the others, and each group is sent
 * in order of queued bytes (shortest first), so that an overloaded link delays a few responses instead of all.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";

/** A response that is sent in parts. */
export interface PacedResponse {
    /** Time by which the response should be delivered, on the pacer's clock. */
    readonly objectiveAt: Milliseconds;
    /** Whether the response is no longer needed. Its queued parts are then dropped. */
    isAbandoned(): boolean;
    send(part: Buffer): void;
}

export interface ResponsePacerOptions {
    readonly clock: Clock;
    /** Rate of this node's link. Responses are not paced if it is `undefined`. */
    readonly linkBytesPerSecond: number | undefined;
    /** Bytes over all responses beyond which each of them may queue little. */
    readonly maxQueuedBytes: number;
}

interface QueuedParts {
    readonly parts: Buffer[];
    bytes: number;
}

/** Share of the link for large responses. The rest is for small messages and protocol overhead. */
const pacedLinkShare = 0.85;
/** Link time that one burst may use: short enough not to delay messages behind it, long enough to justify a timer. */
const burstMs: Milliseconds = 5;

/** Queue of the large responses of one node. */
export class ResponsePacer {
    private readonly bytesPerMs: number;
    private readonly queue = new Map<PacedResponse, QueuedParts>();
    private queuedBytes = 0;
    /** Time until which the link is busy with the parts sent so far. */
    private linkBusyUntil: Milliseconds = 0;
    private timer: NodeJS.Timeout | undefined;

    constructor(private readonly options: ResponsePacerOptions) {
        const { linkBytesPerSecond } = options;
        this.bytesPerMs = linkBytesPerSecond === undefined
            ? Number.POSITIVE_INFINITY
            : pacedLinkShare * linkBytesPerSecond / 1_000;
    }

    /** Whether the responses in progress have queued all that they may. */
    get isFull(): boolean {
        return this.queuedBytes >= this.options.maxQueuedBytes;
    }

    /** Time until the link has carried all queued and sent parts. */
    get backlogMs(): Milliseconds {
        return this.transmissionTimeMs(this.queuedBytes) + Math.max(0, this.linkBusyUntil - this.options.clock.now());
    }

    /** Time that the link needs to carry the bytes at the paced rate. */
    transmissionTimeMs(bytes: number): Milliseconds {
        return bytes / this.bytesPerMs;
    }

    /** Returns the time of the pacer's clock after `offsetMs`. */
    getTimeAfter(offsetMs: Milliseconds): Milliseconds {
        return this.options.clock.now() + offsetMs;
    }

    /** Queues a part. The parts of one response are sent in the order in which they were added. */
    add(response: PacedResponse, part: Buffer): void {
        const queued = this.queue.get(response);
        if (queued === undefined) {
            this.queue.set(response, { parts: [part], bytes: part.length });
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

    /** Drops all queued parts. */
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
            const [response, part] = next;
            this.removeFirstPart(response);
            this.linkBusyUntil += this.transmissionTimeMs(part.length);
            response.send(part);
            next = this.selectNext(now);
        }
        if (this.queue.size > 0) {
            this.timer = setTimeout(() => this.sendDue(), Math.max(1, this.linkBusyUntil - now - burstMs));
        }
    }

    /** Returns the first part of the response to send next, and drops abandoned responses. */
    private selectNext(now: Milliseconds): readonly [PacedResponse, Buffer] | undefined {
        let selected: readonly [PacedResponse, QueuedParts] | undefined;
        for (const [response, queued] of this.queue) {
            if (response.isAbandoned()) {
                this.queuedBytes -= queued.bytes;
                this.queue.delete(response);
            }
            else if (selected === undefined || this.precedes([response, queued], selected, now)) {
                selected = [response, queued];
            }
        }
        const part = selected?.[1].parts[0];
        return selected === undefined || part === undefined ? undefined : [selected[0], part];
    }

    private precedes(
        [response, queued]: readonly [PacedResponse, QueuedParts],
        [other, otherQueued]: readonly [PacedResponse, QueuedParts],
        now: Milliseconds,
    ): boolean {
        const isOnTime = now + this.transmissionTimeMs(queued.bytes) <= response.objectiveAt;
        const isOtherOnTime = now + this.transmissionTimeMs(otherQueued.bytes) <= other.objectiveAt;
        return isOnTime === isOtherOnTime ? queued.bytes < otherQueued.bytes : isOnTime;
    }

    private removeFirstPart(response: PacedResponse): void {
        const queued = this.queue.get(response);
        const part = queued?.parts.shift();
        if (queued !== undefined && part !== undefined) {
            queued.bytes -= part.length;
            this.queuedBytes -= part.length;
            if (queued.parts.length === 0) {
                this.queue.delete(response);
            }
        }
    }
}
