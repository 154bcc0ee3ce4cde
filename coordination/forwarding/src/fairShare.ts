/**
 * Shares a target between organisations: which of them is served next, and whose queued call gives way.
 *
 * Answers a load in which one organisation sends several times its usual calls, or retries, while the target is
 * overloaded: without it, all organisations are refused alike. Each organisation's recent service is the run time of
 * its calls, decaying over about a second; the organisation with the least recent service in relation to its weight
 * goes first, so that each gets what it asks for up to a max-min fair share.
 *
 * With equal weights, an organisation that is large every day would bear nearly all refusals. A part of the weight
 * therefore follows demand: it guarantees each organisation that part of the service that it would get if all were
 * served alike.
 *
 * All values decay by the same factor, so each is stored as it would have been at a common origin, and needs no update.
 * While only one organisation is present, nothing is recorded but its name.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";

/** Name of an organisation; calls without one share the value `undefined`. */
export type OrganisationName = string | undefined;

/** Time constant of the decay: long compared with run times, short compared with a burst of several seconds. */
const decayMs: Milliseconds = 1_000;
/** Time after which values are stored relative to a new origin, before the factor grows out of proportion. */
const originAgeMs: Milliseconds = 10 * decayMs;
/** Time after which an organisation without calls is forgotten; its service has decayed to less than 1 %. */
const retentionMs: Milliseconds = 5 * decayMs;
/** Bounds memory use. The organisation with the least service is forgotten first, which changes its order the least. */
const maxOrganisations = 256;

/**
 * Part of the weights that follows demand. An organisation that is served less than a quarter as often as all others
 * counts as neglected; the rest is a margin.
 */
const demandWeightShare = 0.4;

interface Share {
    /** Recent service, as a value at the origin. */
    service: number;
    /** Recent calls that arrived, as a value at the origin. */
    demand: number;
    lastSeenAt: Milliseconds;
}

export class FairShare {
    private readonly shares = new Map<OrganisationName, Share>();
    private totalDemand = 0;
    /** The organisation that is present alone; while it is set, `shares` is empty. */
    private sole: { readonly organisation: OrganisationName } | undefined;
    private originAt: Milliseconds;

    constructor(private readonly clock: Clock) {
        this.originAt = clock.now();
    }

    /** Number of organisations whose service is recorded; 0 while at most one is present. */
    get size(): number {
        return this.shares.size;
    }

    /** Records that a call of the organisation has arrived. Must be called before its call is compared or charged. */
    observe(organisation: OrganisationName): void {
        this.refreshOrigin();
        if (this.shares.size === 0) {
            this.sole ??= { organisation };
            if (this.sole.organisation === organisation) {
                return;
            }
            this.originAt = this.clock.now();
            this.totalDemand = 0;
            this.recordDemand(this.sole.organisation);
            this.sole = undefined;
        }
        this.recordDemand(organisation);
    }

    /** Charges run time to the organisation; a negative time corrects an earlier charge. */
    charge(organisation: OrganisationName, runMs: Milliseconds): void {
        this.refreshOrigin();
        const share = this.shares.get(organisation);
        if (share !== undefined) {
            share.service = Math.max(0, share.service + runMs * this.growthFactor());
        }
    }

    /** Negative if the first organisation goes before the second; 0 if they are equal. */
    compare(first: OrganisationName, second: OrganisationName): number {
        return first === second ? 0 : this.startTag(first, 0) - this.startTag(second, 0);
    }

    /**
     * Number of queued calls that start before a new call of the organisation if each is charged `meanRunMs` at its
     * start. `queued` are the queued calls by organisation.
     */
    countAhead(
        organisation: OrganisationName,
        queued: ReadonlyMap<OrganisationName, number>,
        meanRunMs: Milliseconds,
    ): number {
        const own = queued.get(organisation) ?? 0;
        const servicePerCall = this.servicePerCall(meanRunMs);
        const startTag = this.startTag(organisation, own * servicePerCall);
        let ahead = own;
        for (const [other, count] of queued) {
            if (other !== organisation) {
                const serviceBefore = startTag * this.weightOf(other) - this.serviceOf(other);
                ahead += Math.min(count, Math.max(0, Math.ceil(serviceBefore / servicePerCall)));
            }
        }
        return ahead;
    }

    /**
     * The organisation of which a queued call gives way to a new one: that whose last queued call would start last.
     * With equal weights and service, that is the one with the most queued calls. `undefined` if the new call itself
     * would start last and is to be refused.
     */
    findExcess(
        organisation: OrganisationName,
        queued: ReadonlyMap<OrganisationName, number>,
        meanRunMs: Milliseconds,
    ): { readonly organisation: OrganisationName } | undefined {
        const servicePerCall = this.servicePerCall(meanRunMs);
        let excess = organisation;
        let latest = this.startTag(organisation, (queued.get(organisation) ?? 0) * servicePerCall);
        for (const [other, count] of queued) {
            const startTag = this.startTag(other, (count - 1) * servicePerCall);
            if (other !== organisation && startTag > latest) {
                excess = other;
                latest = startTag;
            }
        }
        return excess === organisation ? undefined : { organisation: excess };
    }

    /** Position in the order of service after further service of the organisation. */
    private startTag(organisation: OrganisationName, furtherService: number): number {
        return (this.serviceOf(organisation) + furtherService) / this.weightOf(organisation);
    }

    private serviceOf(organisation: OrganisationName): number {
        return this.shares.get(organisation)?.service ?? 0;
    }

    private weightOf(organisation: OrganisationName): number {
        const demand = this.shares.get(organisation)?.demand ?? 0;
        const demandShare = this.totalDemand > 0 ? demand / this.totalDemand : 0;
        return (1 - demandWeightShare) / Math.max(1, this.shares.size) + demandWeightShare * demandShare;
    }

    private servicePerCall(meanRunMs: Milliseconds): number {
        return Math.max(1, meanRunMs) * this.growthFactor();
    }

    /** Factor from a present value to the value at the origin. */
    private growthFactor(): number {
        return Math.exp((this.clock.now() - this.originAt) / decayMs);
    }

    private recordDemand(organisation: OrganisationName): void {
        const share = this.shares.get(organisation) ?? this.add(organisation);
        const demand = this.growthFactor();
        share.demand += demand;
        share.lastSeenAt = this.clock.now();
        this.totalDemand += demand;
    }

    private add(organisation: OrganisationName): Share {
        if (this.shares.size >= maxOrganisations) {
            this.forgetLeastServed();
        }
        const share = { service: 0, demand: 0, lastSeenAt: 0 };
        this.shares.set(organisation, share);
        return share;
    }

    /** Also forgets organisations without recent calls. If one is left, recording ends until another one appears. */
    private refreshOrigin(): void {
        const now = this.clock.now();
        if (this.shares.size === 0 || now - this.originAt < originAgeMs) {
            return;
        }
        const factor = Math.exp((this.originAt - now) / decayMs);
        this.originAt = now;
        this.totalDemand = 0;
        for (const [organisation, share] of this.shares) {
            share.service *= factor;
            share.demand *= factor;
            if (now - share.lastSeenAt >= retentionMs) {
                this.shares.delete(organisation);
            }
            else {
                this.totalDemand += share.demand;
            }
        }
        if (this.shares.size === 1) {
            this.sole = { organisation: [...this.shares.keys()][0] };
            this.shares.clear();
        }
    }

    private forgetLeastServed(): void {
        let least: OrganisationName;
        let leastService = Number.POSITIVE_INFINITY;
        for (const [organisation, { service }] of this.shares) {
            if (service < leastService) {
                least = organisation;
                leastService = service;
            }
        }
        this.totalDemand -= this.shares.get(least)?.demand ?? 0;
        this.shares.delete(least);
    }
}
