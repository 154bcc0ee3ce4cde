/**
 * Keeps the limit of calls per second that a target in trouble names in its responses.
 *
 * The limit covers the calls of all nodes together. All of them pass through the node beside the target, which
 * therefore keeps it alone, with a token bucket. A node that has just started does not know it yet and adopts it from
 * the offers of nodes that do.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import { type TargetLimit, TargetLimitKind } from "@bilberrycroft/protocol.forwarding";

const millisecondsPerSecond = 1_000;
/** Calls that were not sent may be made up for, for this long. */
const burstMs: Milliseconds = 500;
/** Calls are sent at this rate even under a lower limit, because only a response can tell that the limit has ended. */
const minCallsPerSecond = 0.5;
/** A response without a limit ends it only if none has named it for this long: responses may overtake each other. */
const holdMs: Milliseconds = 250;

export class RequestLimit {
    private rate: number | undefined;
    private namedAt: Milliseconds = Number.NEGATIVE_INFINITY;
    private hasResponded = false;
    private tokens = 0;
    private refilledAt: Milliseconds = 0;

    constructor(private readonly clock: Clock) {}

    /** The limit; `undefined` without one. */
    get callsPerSecond(): number | undefined {
        return this.rate;
    }

    /** What this node knows of the limit; `undefined` if the target names none. */
    get current(): TargetLimit | undefined {
        if (this.rate !== undefined) {
            return { kind: TargetLimitKind.Limited, callsPerSecond: this.rate };
        }
        return this.hasResponded ? undefined : { kind: TargetLimitKind.Unknown };
    }

    /** Handles the limit that a response of the target names, or `undefined` if it names none. */
    handleResponse(callsPerSecond: number | undefined): void {
        this.hasResponded = true;
        if (callsPerSecond !== undefined) {
            this.namedAt = this.clock.now();
            this.limit(callsPerSecond);
        }
        else if (this.clock.now() - this.namedAt >= holdMs) {
            this.rate = undefined;
        }
    }

    /** Adopts the limit that another node knows, unless the target has told this node itself. */
    adopt(callsPerSecond: number): void {
        if (!this.hasResponded) {
            this.limit(Math.min(callsPerSecond, this.rate ?? callsPerSecond));
        }
    }

    /** Forgets the limit, because another incarnation of the target has started. */
    reset(): void {
        this.rate = undefined;
        this.namedAt = Number.NEGATIVE_INFINITY;
        this.hasResponded = false;
    }

    /** Takes the right to send one call; returns `false` if the limit does not allow it now. */
    tryTake(): boolean {
        if (this.rate === undefined) {
            return true;
        }
        this.refill(this.rate);
        if (this.tokens < 1) {
            return false;
        }
        this.tokens--;
        return true;
    }

    /** Time until the limit allows the given number of calls. */
    delayMs(calls: number): Milliseconds {
        if (this.rate === undefined) {
            return 0;
        }
        this.refill(this.rate);
        return Math.max(0, calls - this.tokens) / effectiveRate(this.rate) * millisecondsPerSecond;
    }

    private limit(callsPerSecond: number): void {
        if (this.rate === undefined) {
            this.tokens = maxTokens(callsPerSecond);
            this.refilledAt = this.clock.now();
        }
        else {
            this.refill(this.rate);
            this.tokens = Math.min(this.tokens, maxTokens(callsPerSecond));
        }
        this.rate = callsPerSecond;
    }

    private refill(callsPerSecond: number): void {
        const now = this.clock.now();
        const earned = (now - this.refilledAt) * effectiveRate(callsPerSecond) / millisecondsPerSecond;
        this.tokens = Math.min(maxTokens(callsPerSecond), this.tokens + earned);
        this.refilledAt = now;
    }
}

function effectiveRate(callsPerSecond: number): number {
    return Math.max(minCallsPerSecond, callsPerSecond);
}

function maxTokens(callsPerSecond: number): number {
    return Math.max(1, callsPerSecond * burstMs / millisecondsPerSecond);
}
