/**
 * Tokens that this node holds for the organisations with a quota, and the decision on each call.
 *
 * A token is valid on this node's monotonic clock for a fixed time from the request, so that delays and pauses shorten
 * its validity and never extend it. While the accounting node does not reply, calls are decided by this node's equal
 * part of the rate.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import type { Random } from "@bilberrycroft/core.random";
import type {
    AllowanceAsk,
    AllowanceGrant,
    AllowanceGrantKind,
    BucketState,
    PreviousBucket,
    QuotaLimit,
} from "@bilberrycroft/protocol.forwarding";
import { computeLongLifetimeMs, millisecondsPerSecond, type QuotaBound } from "./quotaBound";

export enum QuotaDecisionKind {
    Admitted = "admitted",
    Refused = "refused",
}

export enum QuotaRefusalCause {
    /** All nodes together have used up the limit. */
    OverLimit = "over-limit",
    /** The accounting node does not reply, and the equal part of this node is used up. */
    NoReply = "no-reply",
}

export interface QuotaRefusal {
    readonly kind: QuotaDecisionKind.Refused;
    readonly cause: QuotaRefusalCause;
    /** Time until there is room for a call. */
    readonly retryAfterMs: Milliseconds;
}

export type QuotaDecision = { readonly kind: QuotaDecisionKind.Admitted } | QuotaRefusal;

export interface QuotaAllowancesOptions {
    readonly clock: Clock;
    readonly random: Random;
    readonly bound: QuotaBound;
    /** Number of nodes that share a limit in equal parts. */
    readonly countNodes: () => number;
}

/** The node that granted, and when it was asked. */
export interface GrantOrigin {
    readonly from: string;
    readonly askedAt: Milliseconds;
}

export type AllowanceReply = Extract<AllowanceGrant, { kind: AllowanceGrantKind.Granted }>;

export const admitted: QuotaDecision = { kind: QuotaDecisionKind.Admitted };
/** Time constant of the demand; a shorter one would take two calls in a row for a busy organisation. */
const demandDecayMs: Milliseconds = 1_000;
/** Tokens are requested in advance if the held ones last less than this: several round trips between zones. */
const lowAllowanceMs: Milliseconds = 50;
/** Demand during the lifetime of tokens from which they are requested in advance. Below it, most would expire. */
const minPrefetchedCalls = 3;
/** Tokens that expire within this time are returned with the next request. */
const returnBeforeExpiryMs: Milliseconds = 40;
/** Calls that an equal part holds at most, in addition to what it earns in `equalPartBurstMs`. */
const equalPartCalls = 1;
const equalPartBurstMs: Milliseconds = 200;
const maxRetryAfterMs: Milliseconds = 60_000;
/** A shorter delay may be rounded to none, and there would hardly be room. */
const minRetryAfterMs: Milliseconds = 10;

interface TokenLot {
    tokens: number;
    readonly askedAt: Milliseconds;
    readonly expiresAt: Milliseconds;
}

interface ReportedBucket {
    readonly accountingNode: string;
    readonly state: BucketState;
    readonly reportedAt: Milliseconds;
    /** A request has failed since, so that another process may have taken the place of the accounting node. */
    isUncertain: boolean;
}

interface Allowance {
    limit: QuotaLimit;
    /** Lots in the order of their expiry. */
    lots: TokenLot[];
    demand: number;
    demandAt: Milliseconds;
    pausedUntil: Milliseconds;
    roomAt: Milliseconds;
    /** The last request got no reply. */
    isUnanswered: boolean;
    /** What the last grant said of the bucket. */
    bucket: ReportedBucket | undefined;
    /** Calls that the equal part allows now. */
    equalPart: number;
    equalPartAt: Milliseconds;
}

export class QuotaAllowances {
    private readonly allowances = new Map<string, Allowance>();
    private readonly longLifetimeMs: Milliseconds;

    constructor(private readonly options: QuotaAllowancesOptions) {
        this.longLifetimeMs = computeLongLifetimeMs(options.bound);
    }

    /** Replaces the limits; state of organisations that are gone is dropped. */
    setLimits(limits: ReadonlyMap<string, QuotaLimit>): void {
        [...this.allowances.keys()].filter(name => !limits.has(name)).forEach(name => this.allowances.delete(name));
        for (const [organisation, limit] of limits) {
            const allowance = this.allowances.get(organisation);
            if (allowance === undefined) {
                this.allowances.set(organisation, this.createAllowance(limit));
            }
            else {
                allowance.limit = limit;
            }
        }
    }

    hasLimit(organisation: string): boolean {
        return this.allowances.has(organisation);
    }

    /** Unexpired tokens of all organisations. */
    get heldTokens(): number {
        return [...this.allowances.values()].reduce((sum, allowance) => sum + this.countTokens(allowance), 0);
    }

    /** Time since the request for the oldest unexpired tokens; 0 without any. */
    get oldestTokenAgeMs(): Milliseconds {
        const askedAt = [...this.allowances.values()].flatMap(allowance => {
            this.countTokens(allowance);
            return allowance.lots.map(lot => lot.askedAt);
        });
        return askedAt.length === 0 ? 0 : this.options.clock.now() - Math.min(...askedAt);
    }

    /** Counts a new call in the demand. */
    recordCall(organisation: string): void {
        const allowance = this.allowances.get(organisation);
        if (allowance !== undefined) {
            const now = this.options.clock.now();
            allowance.demand = decayDemand(allowance, now) + millisecondsPerSecond / demandDecayMs;
            allowance.demandAt = now;
        }
    }

    /** Decides a call if that is possible without a request; `undefined` if the call must wait for a grant. */
    decide(organisation: string): QuotaDecision | undefined {
        const allowance = this.allowances.get(organisation);
        if (allowance === undefined || this.takeToken(allowance)) {
            return admitted;
        }
        const now = this.options.clock.now();
        if (now < allowance.pausedUntil) {
            const retryAfterMs = Math.max(minRetryAfterMs, Math.max(allowance.roomAt, allowance.pausedUntil) - now);
            return { kind: QuotaDecisionKind.Refused, cause: QuotaRefusalCause.OverLimit, retryAfterMs };
        }
        return allowance.isUnanswered ? this.decideByEqualPart(organisation) : undefined;
    }

    /** Decides a call by this node's equal part of the rate. */
    decideByEqualPart(organisation: string): QuotaDecision {
        const allowance = this.allowances.get(organisation);
        if (allowance === undefined) {
            return admitted;
        }
        this.markUnanswered(organisation);
        const now = this.options.clock.now();
        const perMs = allowance.limit.callsPerSecond / Math.max(1, this.options.countNodes()) / millisecondsPerSecond;
        const limit = equalPartCalls + equalPartBurstMs * perMs;
        allowance.equalPart = Math.min(limit, allowance.equalPart + (now - allowance.equalPartAt) * perMs);
        allowance.equalPartAt = now;
        if (allowance.equalPart >= 1) {
            allowance.equalPart--;
            return admitted;
        }
        const untilRoomMs = Math.max(minRetryAfterMs, (1 - allowance.equalPart) / perMs);
        const retryAfterMs = Math.min(maxRetryAfterMs, untilRoomMs);
        return { kind: QuotaDecisionKind.Refused, cause: QuotaRefusalCause.NoReply, retryAfterMs };
    }

    /** The accounting node did not reply in time; equal parts decide until it or its substitute does. */
    markUnanswered(organisation: string): void {
        const allowance = this.allowances.get(organisation);
        if (allowance !== undefined && !allowance.isUnanswered) {
            allowance.isUnanswered = true;
            // The part earns nothing while the accounting node grants, which would count the same calls twice.
            allowance.equalPartAt = this.options.clock.now();
        }
    }

    /** A request to the accounting node failed. */
    markUncertain(organisation: string): void {
        const { bucket } = this.allowances.get(organisation) ?? {};
        if (bucket !== undefined) {
            bucket.isUncertain = true;
        }
    }

    /** Whether a request is needed: for calls that wait, or because the allowance does not suffice. */
    needsAsk(organisation: string, waitingCalls: number): boolean {
        const allowance = this.allowances.get(organisation);
        if (allowance === undefined) {
            return false;
        }
        const now = this.options.clock.now();
        const isNeeded = waitingCalls > 0 || allowance.isUnanswered
            || this.needsPrefetch(allowance, decayDemand(allowance, now));
        return isNeeded && now >= allowance.pausedUntil;
    }

    /** Creates a request to an accounting node; `undefined` if none is needed. */
    createAsk(organisation: string, waitingCalls: number, to: string): AllowanceAsk | undefined {
        const allowance = this.allowances.get(organisation);
        if (allowance === undefined || !this.needsAsk(organisation, waitingCalls)) {
            return undefined;
        }
        const demand = decayDemand(allowance, this.options.clock.now());
        const returned = this.giveUpExpiring(allowance);
        const previous = this.describePrevious(allowance, to);
        const ask = { organisation, tokens: waitingCalls, demand, returned, limit: allowance.limit };
        return previous === undefined ? ask : { ...ask, previous };
    }

    /** Applies the reply to a request that was sent at `askedAt`. */
    handleGrant(grant: AllowanceReply, { from, askedAt }: GrantOrigin): void {
        const { organisation, tokens, validMs, pauseMs, retryAfterMs, bucket } = grant;
        const allowance = this.allowances.get(organisation);
        if (allowance === undefined) {
            return;
        }
        const now = this.options.clock.now();
        const expiresAt = askedAt + Math.min(validMs, this.longLifetimeMs);
        allowance.isUnanswered = false;
        allowance.bucket = bucket === undefined
            ? undefined
            : { accountingNode: from, state: bucket, reportedAt: now, isUncertain: false };
        if (tokens > 0 && expiresAt > now) {
            allowance.lots.push({ tokens, askedAt, expiresAt });
            allowance.lots.sort((left, right) => left.expiresAt - right.expiresAt);
        }
        if (pauseMs > 0) {
            allowance.pausedUntil = now + pauseMs;
            allowance.roomAt = now + retryAfterMs;
        }
    }

    private createAllowance(limit: QuotaLimit): Allowance {
        return {
            limit,
            lots: [],
            demand: 0,
            demandAt: this.options.clock.now(),
            pausedUntil: Number.NEGATIVE_INFINITY,
            roomAt: Number.NEGATIVE_INFINITY,
            isUnanswered: false,
            bucket: undefined,
            // A random level makes many nodes with a part of much less than one call admit the right number together.
            equalPart: this.options.random.nextFraction(),
            equalPartAt: this.options.clock.now(),
        };
    }

    private describePrevious({ bucket }: Allowance, to: string): PreviousBucket | undefined {
        if (bucket === undefined || (bucket.accountingNode === to && !bucket.isUncertain)) {
            return undefined;
        }
        const ageMs = Math.round(this.options.clock.now() - bucket.reportedAt);
        return ageMs > this.options.bound.windowMs ? undefined : { ...bucket.state, ageMs };
    }

    private takeToken(allowance: Allowance): boolean {
        if (this.countTokens(allowance) === 0) {
            return false;
        }
        const [first] = allowance.lots as [TokenLot];
        first.tokens--;
        if (first.tokens === 0) {
            allowance.lots.shift();
        }
        return true;
    }

    private countTokens(allowance: Allowance): number {
        const now = this.options.clock.now();
        while (allowance.lots[0] !== undefined && allowance.lots[0].expiresAt <= now) {
            allowance.lots.shift();
        }
        return allowance.lots.reduce((sum, { tokens }) => sum + tokens, 0);
    }

    private needsPrefetch(allowance: Allowance, demand: number): boolean {
        if (demand * this.longLifetimeMs / millisecondsPerSecond < minPrefetchedCalls) {
            return false;
        }
        const usableUntil = this.options.clock.now() + lowAllowanceMs;
        this.countTokens(allowance);
        const usable = allowance.lots.filter(({ expiresAt }) => expiresAt > usableUntil)
            .reduce((sum, { tokens }) => sum + tokens, 0);
        return usable < demand * lowAllowanceMs / millisecondsPerSecond;
    }

    /** Removes the tokens that are about to expire; returns their number. */
    private giveUpExpiring(allowance: Allowance): number {
        const now = this.options.clock.now();
        this.countTokens(allowance);
        const expiring = allowance.lots.filter(({ expiresAt }) => expiresAt - now < returnBeforeExpiryMs);
        allowance.lots = allowance.lots.filter(lot => !expiring.includes(lot));
        return expiring.reduce((sum, { tokens }) => sum + tokens, 0);
    }
}

function decayDemand({ demand, demandAt }: Allowance, now: Milliseconds): number {
    return demand * Math.exp(-(now - demandAt) / demandDecayMs);
}
