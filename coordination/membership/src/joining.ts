/**
 * Joining from both sides. Joins are spread over time and bounded per member, because after a zone failure every node
 * of the zone asks at once.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import type { Random } from "@bilberrycroft/core.random";
import { firstJoinBackoffMs, joinJitterMs, joinsPerSecond, maxJoinBackoffMs } from "./limits";
import type { KnownMember } from "./messages";

/** What a joining node does next. */
export enum JoinStepKind {
    Wait = "wait",
    ReadRoster = "read roster",
    Ask = "ask",
}

/** Next step of a joining node. */
export type JoinStep =
    | { readonly kind: JoinStepKind.Wait }
    | { readonly kind: JoinStepKind.ReadRoster }
    | { readonly kind: JoinStepKind.Ask; readonly address: string };

/** Options of a `Joiner`. */
export interface JoinerOptions {
    readonly clock: Clock;
    readonly random: Random;
    readonly zone: string;
    readonly ownAddress: string;
    /** Members from the settings. */
    readonly peers: readonly KnownMember[];
}

enum JoinerState {
    Idle,
    Waiting,
    ReadingRoster,
    Ready,
    Asking,
}

/** A node that looks for a member with a complete table. */
export class Joiner {
    private readonly options: JoinerOptions;
    private state = JoinerState.Idle;
    private dueAt: Milliseconds = 0;
    private backoffMs: Milliseconds = firstJoinBackoffMs;
    private candidates: string[] = [];

    constructor(options: JoinerOptions) {
        this.options = options;
    }

    /** Begins after a random part of the jitter. */
    start(): void {
        this.waitFor(this.options.random.nextFraction() * joinJitterMs);
    }

    /** Whether a join is under way. */
    isActive(): boolean {
        return this.state !== JoinerState.Idle;
    }

    /** The next step; asked on each tick. */
    step(): JoinStep {
        if (this.options.clock.now() < this.dueAt) {
            return { kind: JoinStepKind.Wait };
        }
        if (this.state === JoinerState.Waiting) {
            this.state = JoinerState.ReadingRoster;
            return { kind: JoinStepKind.ReadRoster };
        }
        return this.state === JoinerState.Ready ? this.askNext() : { kind: JoinStepKind.Wait };
    }

    /** Takes the members that the store lists; members of the own zone go first. */
    takeRoster(members: readonly KnownMember[]): void {
        if (this.state !== JoinerState.ReadingRoster) {
            return;
        }
        const { random, zone, ownAddress } = this.options;
        const all = random.shuffle([...members, ...this.options.peers]);
        const ordered = [...all.filter(member => member.zone === zone), ...all.filter(member => member.zone !== zone)];
        const addresses = new Set(ordered.map(member => member.controlAddress));
        addresses.delete(ownAddress);
        this.candidates = [...addresses];
        this.state = JoinerState.Ready;
    }

    /** The member that was asked did not respond. */
    failed(): void {
        this.state = JoinerState.Ready;
    }

    /** The member that was asked has no capacity now. */
    busy(other: string | undefined, retryAfterMs: Milliseconds): void {
        this.state = JoinerState.Ready;
        if (other !== undefined && other !== this.options.ownAddress) {
            this.candidates.unshift(other);
        }
        this.dueAt = this.options.clock.now() + retryAfterMs * (1 + this.options.random.nextFraction());
    }

    /** The member that was asked was still joining itself; the join ends if it was the last candidate. */
    joinedIncomplete(): void {
        this.state = this.candidates.length === 0 ? JoinerState.Idle : JoinerState.Ready;
    }

    /** The join is complete. */
    finish(): void {
        this.state = JoinerState.Idle;
        this.backoffMs = firstJoinBackoffMs;
    }

    private askNext(): JoinStep {
        const address = this.candidates.shift();
        if (address !== undefined) {
            this.state = JoinerState.Asking;
            return { kind: JoinStepKind.Ask, address };
        }
        this.waitFor(this.backoffMs * (0.5 + this.options.random.nextFraction() / 2));
        this.backoffMs = Math.min(this.backoffMs * 2, maxJoinBackoffMs);
        return { kind: JoinStepKind.Wait };
    }

    private waitFor(duration: Milliseconds): void {
        this.state = JoinerState.Waiting;
        this.dueAt = this.options.clock.now() + duration;
    }
}

/** Bounds the joins that a member answers. */
export class JoinLimit {
    private readonly clock: Clock;
    /** Times of the joins answered within the last second. */
    private answered: Milliseconds[] = [];

    constructor(clock: Clock) {
        this.clock = clock;
    }

    /** Takes one of the joins allowed in any second; false if none is left. */
    tryTake(): boolean {
        const now = this.clock.now();
        this.answered = this.answered.filter(at => now - at < 1_000);
        if (this.answered.length >= joinsPerSecond) {
            return false;
        }
        this.answered.push(now);
        return true;
    }
}
