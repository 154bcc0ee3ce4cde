/**
 * What the caller's node observed of one other node and of the target beside it.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { type NodeEntry, TargetAvailability, type TargetLoad } from "@bilberrycroft/protocol.forwarding";
import { makeRoomFor } from "./boundedMap";
import { ResponseTimes } from "./responseTimes";

/** Time after which a load report says little: with usual rates several newer calls have ended by then. */
const loadLifetimeMs: Milliseconds = 1_000;
/** Time after which an observed run time is half forgotten, so that a target that was slow gets calls again. */
const runTimeLifetimeMs: Milliseconds = 5_000;
/** First wait until a node that did not respond is asked again; doubled up to the longest. */
const firstProbeWaitMs: Milliseconds = 200;
const longestProbeWaitMs: Milliseconds = 1_000;
/** Bounds the memory for routes that come and go. */
const maxRoutes = 512;

interface RunTimeObservation {
    readonly runTimeMs: Milliseconds;
    readonly sendMs: Milliseconds;
    readonly at: Milliseconds;
}

interface LoadObservation {
    readonly load: TargetLoad;
    readonly at: Milliseconds;
    /** Calls of other nodes in the target when the report was made. */
    readonly others: number;
}

/** Observations of one node. */
export class PeerRecord {
    private readonly offers = new Set<string>();
    private readonly runTimes = new Map<string, RunTimeObservation>();
    readonly responseTimes = new ResponseTimes();
    private observation: LoadObservation | undefined;
    private probeAt: Milliseconds | undefined;
    private probeWaitMs = firstProbeWaitMs;

    constructor(public entry: NodeEntry) {}

    /** Takes a newer entry; observations of an earlier target are forgotten. */
    update(entry: NodeEntry): void {
        const before = this.entry.target;
        const { target } = entry;
        const isSame = before?.id === target?.id && before?.startedAt === target?.startedAt
            && this.entry.address === entry.address;
        this.entry = entry;
        if (!isSame) {
            this.runTimes.clear();
            this.observation = undefined;
            this.trust();
        }
    }

    /** Calls that this node has offered and that have not ended. */
    get ownCalls(): number {
        return this.offers.size;
    }

    offered(callId: string): void {
        this.offers.add(callId);
    }

    ended(callId: string): void {
        this.offers.delete(callId);
    }

    /** Takes a load report that came with an answer to a call on the route. */
    loadHeard(load: TargetLoad, route: string | undefined, now: Milliseconds): void {
        const others = Math.max(0, load.running + load.queued - this.offers.size);
        this.observation = { load, at: now, others };
        if (route !== undefined) {
            makeRoomFor(this.runTimes, route, maxRoutes);
            this.runTimes.set(route, { runTimeMs: load.runTimeMs, sendMs: load.sendMs, at: now });
        }
        if (load.availability === TargetAvailability.Serving) {
            this.trust();
        }
        else {
            this.distrust(now);
        }
    }

    /** The node did not respond or its target does not serve: it gets no calls until a probe succeeds. */
    distrust(now: Milliseconds): void {
        if (this.probeAt === undefined) {
            this.probeWaitMs = firstProbeWaitMs;
        }
        else if (now < this.probeAt) {
            return;
        }
        else {
            this.probeWaitMs = Math.min(longestProbeWaitMs, this.probeWaitMs * 2);
        }
        this.probeAt = now + this.probeWaitMs;
    }

    get isTrusted(): boolean {
        return this.probeAt === undefined;
    }

    isProbeDue(now: Milliseconds): boolean {
        return this.probeAt !== undefined && now >= this.probeAt;
    }

    /** Calls of all nodes that are probably in the target or wait for it. */
    occupancy(now: Milliseconds): number {
        if (this.observation === undefined) {
            return this.offers.size;
        }
        const { others, at } = this.observation;
        return this.offers.size + others * Math.exp(-(now - at) / loadLifetimeMs);
    }

    /** Usual run time of all calls in the target; `undefined` if it never answered. */
    get meanRunTimeMs(): Milliseconds | undefined {
        return this.observation?.load.meanRunTimeMs;
    }

    /** Run time of the route in this target, drawn towards `usualMs` as the observation ages. */
    runTimeMs(route: string, usualMs: Milliseconds, now: Milliseconds): Milliseconds {
        const observed = this.runTimes.get(route);
        if (observed === undefined) {
            return usualMs;
        }
        const weight = Math.exp(-(now - observed.at) / runTimeLifetimeMs);
        return usualMs + (observed.runTimeMs - usualMs) * weight;
    }

    /** Time that the answer waits for the link of the target's host, fading as the report ages. */
    sendMs(route: string, now: Milliseconds): Milliseconds {
        const observed = this.runTimes.get(route);
        return observed === undefined ? 0 : observed.sendMs * Math.exp(-(now - observed.at) / loadLifetimeMs);
    }

    /** Last observed run time of the route. */
    lastRunTimeMs(route: string): Milliseconds | undefined {
        return this.runTimes.get(route)?.runTimeMs;
    }

    /** Share of calls that the target fails, fading as the report ages. */
    failureShare(now: Milliseconds): number {
        if (this.observation === undefined) {
            return 0;
        }
        return this.observation.load.failureShare * Math.exp(-(now - this.observation.at) / runTimeLifetimeMs);
    }

    private trust(): void {
        this.probeAt = undefined;
        this.probeWaitMs = firstProbeWaitMs;
    }
}
