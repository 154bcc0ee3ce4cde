/**
 * Observations that the caller's node made of another node and its target.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { type NodeEntry, TargetAvailability, TargetLimitKind, type TargetLoad } from "@bilberrycroft/protocol.forwarding";
import { evictOldestIfFull } from "./boundedMap";
import { ResponseTimes } from "./responseTimes";
import type { RankedTarget } from "./targetSubset";

/** Time constant of the decay of load reports: at typical rates several newer calls have ended by then. */
const loadDecayMs: Milliseconds = 1_000;
/** Time constant of the decay of run times, so that a target that was slow gets calls again. */
const runTimeDecayMs: Milliseconds = 5_000;
/** Delay before an unresponsive node is probed again; doubles up to the maximum. */
const initialProbeDelayMs: Milliseconds = 200;
const maxProbeDelayMs: Milliseconds = 1_000;
/** A limit heard longer ago is ignored when a target is chosen, so that its end is noticed. */
const limitValidityMs: Milliseconds = 1_000;
/** Weight of the latest report in the slowness of a target; the reported run times are averages already. */
const slownessEwmaWeight = 0.2;
/** Bounds memory use when routes are added and removed. */
const maxRoutes = 512;
/** Bounds memory use; a refusal is of use for less than a second. */
const maxOverloads = 64;

interface RunTimeObservation {
    readonly runTimeMs: Milliseconds;
    readonly sendMs: Milliseconds;
    readonly at: Milliseconds;
}

interface LimitObservation {
    readonly callsPerSecond: number;
    readonly at: Milliseconds;
}

interface LoadObservation {
    readonly load: TargetLoad;
    readonly at: Milliseconds;
    /** Calls of other nodes in the target at the time of the report. */
    readonly otherCalls: number;
}

/** A refusal because of overload. */
export interface OverloadRefusal {
    /** Priority of the refused call; calls of the same or a lower priority would be refused too. */
    readonly priority: number;
    /**
     * Organisation of the refused call. Targets are shared between organisations, so the refusal says nothing about the
     * calls of others.
     */
    readonly organisation?: string | undefined;
    /** Time after which the target's node expects to have room. */
    readonly retryAfterMs: Milliseconds;
}

interface Overload {
    readonly priority: number;
    readonly avoidUntil: Milliseconds;
    readonly retryAt: Milliseconds;
}

/**
 * Share of the announced time for which a target that refused a call is not offered others. Many nodes offer calls to
 * the same target, so a short pause of each of them leaves enough offers to keep it busy.
 */
const avoidedShare = 0.25;

export class PeerRecord implements RankedTarget {
    readonly rank: number;
    readonly isLocal: boolean;
    private readonly localCallIds = new Set<string>();
    private readonly runTimes = new Map<string, RunTimeObservation>();
    readonly responseTimes = new ResponseTimes();
    private latestLoad: LoadObservation | undefined;
    /** Latest refusals by organisation. */
    private readonly overloads = new Map<string | undefined, Overload>();
    private limit: LimitObservation | undefined;
    private slowness: { readonly value: number; readonly at: Milliseconds } | undefined;
    private nextProbeAt: Milliseconds | undefined;
    private probeDelayMs = initialProbeDelayMs;

    constructor(public entry: NodeEntry, { rank, isLocal }: RankedTarget) {
        this.rank = rank;
        this.isLocal = isLocal;
    }

    /**
     * Replaces the entry. If the target or the address changed, discards the load and run times of the previous target
     * and marks the node as healthy.
     */
    update(entry: NodeEntry): void {
        const before = this.entry.target;
        const { target } = entry;
        const isSame = before?.id === target?.id && before?.startedAt === target?.startedAt
            && this.entry.address === entry.address;
        this.entry = entry;
        if (!isSame) {
            this.runTimes.clear();
            this.latestLoad = undefined;
            this.overloads.clear();
            this.limit = undefined;
            this.slowness = undefined;
            this.markHealthy();
        }
    }

    /** Number of calls that this node has offered and that have not ended. */
    get localCalls(): number {
        return this.localCallIds.size;
    }

    recordOffer(callId: string): void {
        this.localCallIds.add(callId);
    }

    recordEnd(callId: string): void {
        this.localCallIds.delete(callId);
    }

    recordRefusal({ priority, organisation, retryAfterMs }: OverloadRefusal, now: Milliseconds): void {
        evictOldestIfFull(this.overloads, organisation, maxOverloads);
        const overload = { priority, avoidUntil: now + avoidedShare * retryAfterMs, retryAt: now + retryAfterMs };
        this.overloads.set(organisation, overload);
    }

    /** Records that the target granted a call of this priority and organisation. */
    recordGrant(priority: number, organisation?: string): void {
        const overload = this.overloads.get(organisation);
        if (overload !== undefined && priority >= overload.priority) {
            this.overloads.delete(organisation);
        }
    }

    /** Time until such a call is worth an offer, if the target has just refused such calls. */
    overloadDelayMs(
        { priority, organisation }: { readonly priority: number; readonly organisation?: string | undefined },
        now: Milliseconds,
    ): Milliseconds | undefined {
        const overload = this.overloads.get(organisation);
        return overload !== undefined && priority >= overload.priority && now < overload.avoidUntil
            ? overload.retryAt - now
            : undefined;
    }

    /** Records a load report; `route` is the route of the call that it came with, `undefined` for a probe. */
    recordLoad(load: TargetLoad, route: string | undefined, now: Milliseconds): void {
        const otherCalls = Math.max(0, load.running + load.queued - this.localCallIds.size);
        this.latestLoad = { load, at: now, otherCalls };
        if (route !== undefined) {
            evictOldestIfFull(this.runTimes, route, maxRoutes);
            this.runTimes.set(route, { runTimeMs: load.runTimeMs, sendMs: load.sendMs, at: now });
        }
        if (load.limit?.kind !== TargetLimitKind.Unknown) {
            this.limit = load.limit === undefined ? undefined : { callsPerSecond: load.limit.callsPerSecond, at: now };
        }
        if (load.availability === TargetAvailability.Serving) {
            this.markHealthy();
        }
        else {
            this.markUnhealthy(now);
        }
    }

    /** The node did not respond, or its target does not serve: it is avoided until a probe succeeds. */
    markUnhealthy(now: Milliseconds): void {
        if (this.nextProbeAt === undefined) {
            this.probeDelayMs = initialProbeDelayMs;
        }
        else if (now < this.nextProbeAt) {
            return;
        }
        else {
            this.probeDelayMs = Math.min(maxProbeDelayMs, this.probeDelayMs * 2);
        }
        this.nextProbeAt = now + this.probeDelayMs;
    }

    get isHealthy(): boolean {
        return this.nextProbeAt === undefined;
    }

    isProbeDue(now: Milliseconds): boolean {
        return this.nextProbeAt !== undefined && now >= this.nextProbeAt;
    }

    /** Estimated number of calls of all nodes that run in the target or wait for it. */
    occupancy(now: Milliseconds): number {
        if (this.latestLoad === undefined) {
            return this.localCallIds.size;
        }
        const { otherCalls, at } = this.latestLoad;
        return this.localCallIds.size + otherCalls * Math.exp(-(now - at) / loadDecayMs);
    }

    /** Age of the last load report; `undefined` if there is none. */
    reportAgeMs(now: Milliseconds): Milliseconds | undefined {
        return this.latestLoad === undefined ? undefined : now - this.latestLoad.at;
    }

    /** Whether the target's node has reported its load. */
    get hasReport(): boolean {
        return this.latestLoad !== undefined;
    }

    /** Slots that the target was last found to handle well; approaches all of them as the report ages. */
    usableSlots(slots: number, now: Milliseconds): number {
        const usable = this.latestLoad?.load.usableSlots;
        if (this.latestLoad === undefined || usable === undefined) {
            return slots;
        }
        const weight = Math.exp(-(now - this.latestLoad.at) / runTimeDecayMs);
        return slots + (Math.min(slots, usable) - slots) * weight;
    }

    /** Records a run time as a multiple of what the route takes in all targets of the service. */
    recordSlowness(ratio: number, now: Milliseconds): void {
        const { value } = this.slowness ?? { value: 1 };
        this.slowness = { value: value + slownessEwmaWeight * (ratio - value), at: now };
    }

    /** Run times in this target, as a multiple of the usual ones of its service; approaches 1 as reports age. */
    slownessAt(now: Milliseconds): number {
        const { slowness } = this;
        return slowness === undefined ? 1 : 1 + (slowness.value - 1) * Math.exp(-(now - slowness.at) / runTimeDecayMs);
    }

    /** Limit that the target last named, in calls per second; `undefined` if it named none. */
    get callsPerSecond(): number | undefined {
        return this.limit?.callsPerSecond;
    }

    /** The limit, if it was heard recently enough to choose a target by. */
    recentCallsPerSecond(now: Milliseconds): number | undefined {
        const { limit } = this;
        return limit !== undefined && now - limit.at < limitValidityMs ? limit.callsPerSecond : undefined;
    }

    /** Mean run time over all routes; `undefined` before the first load report. */
    get meanRunTimeMs(): Milliseconds | undefined {
        return this.latestLoad?.load.meanRunTimeMs;
    }

    /**
     * Run time of the route in this target; approaches `typicalMs` as the observation ages. Without an observation, the
     * target is taken to be as slow or fast on this route as on others.
     */
    runTimeMs(route: string, typicalMs: Milliseconds, now: Milliseconds): Milliseconds {
        const observed = this.runTimes.get(route);
        if (observed === undefined) {
            return typicalMs * this.slownessAt(now);
        }
        const weight = Math.exp(-(now - observed.at) / runTimeDecayMs);
        return typicalMs + (observed.runTimeMs - typicalMs) * weight;
    }

    /** Time that the target's host takes to send the response over its link; decays as the report ages. */
    sendMs(route: string, now: Milliseconds): Milliseconds {
        const observed = this.runTimes.get(route);
        return observed === undefined ? 0 : observed.sendMs * Math.exp(-(now - observed.at) / loadDecayMs);
    }

    lastRunTimeMs(route: string): Milliseconds | undefined {
        return this.runTimes.get(route)?.runTimeMs;
    }

    /** Share of calls that the target fails; decays as the report ages. */
    failureShare(now: Milliseconds): number {
        if (this.latestLoad === undefined) {
            return 0;
        }
        return this.latestLoad.load.failureShare * Math.exp(-(now - this.latestLoad.at) / runTimeDecayMs);
    }

    private markHealthy(): void {
        this.nextProbeAt = undefined;
        this.probeDelayMs = initialProbeDelayMs;
    }
}
