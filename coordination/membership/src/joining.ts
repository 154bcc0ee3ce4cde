/**
 * Joining of a node, and the rate limit of a member that accepts joins. Joins are spread over time and limited per
 * member, because after a zone failure all nodes of the zone join simultaneously.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import type { Random } from "@bilberrycroft/core.random";
import { initialJoinBackoffMs, joinJitterMs, joinsPerSecond, maxJoinBackoffMs } from "./limits";
import type { KnownMember } from "./messages";

export enum JoinStepKind {
    Wait = "wait",
    ReadRoster = "read roster",
    SendJoin = "ask",
}

/** Next step of a joining node. */
export type JoinStep =
    | { readonly kind: JoinStepKind.Wait }
    | { readonly kind: JoinStepKind.ReadRoster }
    | { readonly kind: JoinStepKind.SendJoin; readonly address: string };

export interface JoinerOptions {
    readonly clock: Clock;
    readonly random: Random;
    readonly zone: string;
    readonly localAddress: string;
    /** Configured members. */
    readonly peers: readonly KnownMember[];
}

enum JoinerState {
    Idle,
    Waiting,
    ReadingRoster,
    Ready,
    AwaitingReply,
}

/** Looks for a member with a complete table, with jitter and exponential backoff. */
export class Joiner {
    private readonly options: JoinerOptions;
    private state = JoinerState.Idle;
    private nextStepAt: Milliseconds = 0;
    private backoffMs: Milliseconds = initialJoinBackoffMs;
    private candidates: string[] = [];

    constructor(options: JoinerOptions) {
        this.options = options;
    }

    /** Starts a join after a random delay of up to `joinJitterMs`. */
    start(): void {
        this.waitFor(this.options.random.nextFraction() * joinJitterMs);
    }

    /** Whether a join is in progress. */
    isActive(): boolean {
        return this.state !== JoinerState.Idle;
    }

    /** Returns the next step; called on each tick. */
    nextStep(): JoinStep {
        if (this.options.clock.now() < this.nextStepAt) {
            return { kind: JoinStepKind.Wait };
        }
        if (this.state === JoinerState.Waiting) {
            this.state = JoinerState.ReadingRoster;
            return { kind: JoinStepKind.ReadRoster };
        }
        return this.state === JoinerState.Ready ? this.tryNextCandidate() : { kind: JoinStepKind.Wait };
    }

    /** Handles the members listed by the store; members of this zone are tried first. */
    handleRoster(members: readonly KnownMember[]): void {
        if (this.state !== JoinerState.ReadingRoster) {
            return;
        }
        const { random, zone, localAddress } = this.options;
        const all = random.shuffle([...members, ...this.options.peers]);
        const ordered = [...all.filter(member => member.zone === zone), ...all.filter(member => member.zone !== zone)];
        const addresses = new Set(ordered.map(member => member.controlAddress));
        addresses.delete(localAddress);
        this.candidates = [...addresses];
        this.state = JoinerState.Ready;
    }

    /** Handles a failed join call. Ignored unless this join waits for a reply: other zones are joined beside it. */
    handleFailure(): void {
        if (this.state === JoinerState.AwaitingReply) {
            this.state = JoinerState.Ready;
        }
    }

    /** Handles a reply from a member that exceeded its join rate. */
    handleBusy(other: string | undefined, retryAfterMs: Milliseconds): void {
        if (this.state !== JoinerState.AwaitingReply) {
            return;
        }
        this.state = JoinerState.Ready;
        if (other !== undefined && other !== this.options.localAddress) {
            this.candidates.unshift(other);
        }
        this.nextStepAt = this.options.clock.now() + retryAfterMs * (1 + this.options.random.nextFraction());
    }

    /** Handles a table of a member that is still joining; the join ends if it was the last candidate. */
    handleIncompleteTable(): void {
        this.state = this.candidates.length === 0 ? JoinerState.Idle : JoinerState.Ready;
    }

    /** Ends the join after a complete table was received. */
    finish(): void {
        this.state = JoinerState.Idle;
        this.backoffMs = initialJoinBackoffMs;
    }

    private tryNextCandidate(): JoinStep {
        const address = this.candidates.shift();
        if (address !== undefined) {
            this.state = JoinerState.AwaitingReply;
            return { kind: JoinStepKind.SendJoin, address };
        }
        this.waitFor(this.backoffMs * (0.5 + this.options.random.nextFraction() / 2));
        this.backoffMs = Math.min(this.backoffMs * 2, maxJoinBackoffMs);
        return { kind: JoinStepKind.Wait };
    }

    private waitFor(duration: Milliseconds): void {
        this.state = JoinerState.Waiting;
        this.nextStepAt = this.options.clock.now() + duration;
    }
}

/** Sliding-window rate limit of the joins that a member accepts. */
export class JoinRateLimit {
    private readonly clock: Clock;
    /** Times of the joins accepted within the last second. */
    private recentJoins: Milliseconds[] = [];

    constructor(clock: Clock) {
        this.clock = clock;
    }

    /** Counts one join; false if `joinsPerSecond` were already accepted within the last second. */
    tryAcquire(): boolean {
        const now = this.clock.now();
        this.recentJoins = this.recentJoins.filter(at => now - at < 1_000);
        if (this.recentJoins.length >= joinsPerSecond) {
            return false;
        }
        this.recentJoins.push(now);
        return true;
    }
}
