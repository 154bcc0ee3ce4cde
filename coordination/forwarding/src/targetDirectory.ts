/**
 * Targets that the caller's node knows, and the choice among them.
 *
 * Each target is priced with the time until its answer is expected: wait in the queue, run time, distance. Other zones
 * cost extra because their bytes cross a slower and dearer link; they are used when the own zone would be late.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import type { Random } from "@bilberrycroft/core.random";
import { type NodeEntry, type TargetLoad, TargetPhase } from "@bilberrycroft/protocol.forwarding";
import type { Route } from "@bilberrycroft/state.routes";
import { PeerRecord } from "./peerRecord";

/** What a `TargetDirectory` is created from. */
export interface TargetDirectoryOptions {
    readonly clock: Clock;
    readonly random: Random;
    /** Zone of this node. */
    readonly zone: string;
}

/** A target that may be offered a call. */
export interface TargetCandidate {
    readonly node: string;
    readonly address: string;
    readonly target: string;
    readonly zone: string;
    /** Expected time until the answer, with the extra price of other zones. */
    readonly costMs: Milliseconds;
}

/** What a target is chosen for. */
export interface CandidateRequest {
    readonly service: string;
    readonly route: Route;
    /** Nodes that the call has tried already. */
    readonly exclude: ReadonlySet<string>;
    /** Usual size of an answer on the route. */
    readonly answerBytes: number;
}

/** Run time that is assumed for a route before any of its calls has ended. */
const unknownRunTimeMs: Milliseconds = 50;
/** A target that has just started takes about twice as long. */
const coldFactor = 2;
/** Longest time that a target may announce as cold; a clock that differs must not shut a target out for longer. */
const longestColdMs: Milliseconds = 60_000;
/** A call in a full target takes about this much longer than in an empty one. */
const fullTargetSlowdown = 0.3;
/** Extra price of another zone as a part of the latency objective, for small and for large answers. */
const otherZonePart = 0.04;
const otherZonePartOfLargeAnswers = 1;
const largeAnswerBytes = 65_536;
/** A failed call costs the time of another attempt: this part of the objective. */
const failurePart = 1.5;
/** Part of the time that is left to a call in which a node has to respond, so that another one can still run it. */
const longestResponsePart = 0.4;
/** Random part of a price, which keeps nodes with the same observations apart. */
const jitterPart = 0.1;

/** Targets of all services. */
export class TargetDirectory {
    private readonly records = new Map<string, PeerRecord>();
    private byService = new Map<string, PeerRecord[]>();

    constructor(private readonly options: TargetDirectoryOptions) {}

    /** Replaces the table of nodes; observations of nodes that stay are kept. */
    setEntries(entries: readonly NodeEntry[]): void {
        const present = new Set(entries.map(entry => entry.node));
        [...this.records.keys()].filter(node => !present.has(node)).forEach(node => this.records.delete(node));
        for (const entry of entries) {
            const known = this.records.get(entry.node);
            if (known === undefined) {
                this.records.set(entry.node, new PeerRecord(entry));
            }
            else {
                known.update(entry);
            }
        }
        this.indexByService();
    }

    /** Number of nodes in the table, this one included. */
    get size(): number {
        return this.records.size;
    }

    offered(node: string, callId: string): void {
        this.records.get(node)?.offered(callId);
    }

    ended(node: string, callId: string): void {
        this.records.get(node)?.ended(callId);
    }

    loadHeard(node: string, load: TargetLoad, route?: string): void {
        this.records.get(node)?.loadHeard(load, route, this.options.clock.now());
    }

    /** The node responded to an offer. */
    responded(node: string, elapsedMs: Milliseconds): void {
        this.records.get(node)?.responseTimes.add(elapsedMs);
    }

    /** Time in which the node is expected to respond to an offer; at most this part of the time that is left. */
    responseWaitMs(node: string, leftMs: Milliseconds): Milliseconds {
        const waitMs = this.records.get(node)?.responseTimes.waitMs ?? 0;
        return Math.min(waitMs, longestResponsePart * leftMs);
    }

    /** Takes that a node did not respond to an offer or a probe. Returns whether it was trusted until now. */
    distrust(node: string): boolean {
        const record = this.records.get(node);
        const wasTrusted = record?.isTrusted === true;
        record?.distrust(this.options.clock.now());
        return wasTrusted;
    }

    /** Whether calls are offered to the node in the usual way. */
    isTrusted(node: string): boolean {
        return this.records.get(node)?.isTrusted === true;
    }

    /** Nodes that did not respond and are to be asked again now; not those whose targets leave anyway. */
    dueProbes(): readonly NodeEntry[] {
        const now = this.options.clock.now();
        const due = [...this.records.values()].filter(record => record.isProbeDue(now));
        return due.map(record => record.entry).filter(({ target }) => target?.phase === TargetPhase.Ready);
    }

    /** The cheapest target; `undefined` if none is left. Distrusted nodes are taken only if there is no other. */
    choose(request: CandidateRequest): TargetCandidate | undefined {
        const left = (this.byService.get(request.service) ?? []).filter(({ entry }) =>
            !request.exclude.has(entry.node) && entry.target?.phase === TargetPhase.Ready);
        const trusted = left.filter(record => record.isTrusted);
        return this.cheapest(trusted.length > 0 ? trusted : left, request);
    }

    private cheapest(records: readonly PeerRecord[], request: CandidateRequest): TargetCandidate | undefined {
        const now = this.options.clock.now();
        const usualMs = this.usualRunTimeMs(request);
        let cheapest: PeerRecord | undefined;
        let lowestMs = Number.POSITIVE_INFINITY;
        for (const record of records) {
            const jitter = 1 + jitterPart * this.options.random.nextFraction();
            const costMs = this.costMs(record, request, usualMs, now) * jitter;
            if (costMs < lowestMs) {
                cheapest = record;
                lowestMs = costMs;
            }
        }
        if (cheapest === undefined) {
            return undefined;
        }
        const { node, address, zone, target } = cheapest.entry;
        return { node, address, zone, target: target?.id ?? "", costMs: lowestMs };
    }

    private costMs(
        record: PeerRecord,
        request: CandidateRequest,
        usualMs: Milliseconds,
        now: Milliseconds,
    ): Milliseconds {
        const { latencyObjectiveMs } = request.route;
        const { target } = record.entry;
        const slots = Math.max(1, target?.slots ?? 1);
        const occupancy = record.occupancy(now);
        const fullness = Math.min(1, occupancy / slots);
        const waitMs = Math.max(0, occupancy + 1 - slots) * (record.meanRunTimeMs ?? usualMs) / slots;
        const cold = this.isCold(target?.coldUntil ?? 0) ? coldFactor : 1;
        const runMs = record.runTimeMs(request.route.name, usualMs * cold, now) * (1 + fullTargetSlowdown * fullness);
        const failureMs = record.failureShare(now) * failurePart * latencyObjectiveMs;
        const linkMs = record.responseTimes.usualMs + record.sendMs(request.route.name, now);
        return linkMs + waitMs + runMs + failureMs + this.zonePriceMs(record.entry.zone, request);
    }

    private zonePriceMs(zone: string, { route, answerBytes }: CandidateRequest): Milliseconds {
        if (zone === this.options.zone) {
            return 0;
        }
        const size = Math.min(1, answerBytes / largeAnswerBytes);
        return route.latencyObjectiveMs * (otherZonePart + size * (otherZonePartOfLargeAnswers - otherZonePart));
    }

    private isCold(coldUntil: Milliseconds): boolean {
        const leftMs = coldUntil - this.options.clock.wallTime();
        return leftMs > 0 && leftMs < longestColdMs;
    }

    private usualRunTimeMs({ service, route }: CandidateRequest): Milliseconds {
        let sum = 0;
        let count = 0;
        for (const record of this.byService.get(service) ?? []) {
            const runTimeMs = record.lastRunTimeMs(route.name);
            if (runTimeMs !== undefined) {
                sum += runTimeMs;
                count++;
            }
        }
        return count === 0 ? unknownRunTimeMs : sum / count;
    }

    private indexByService(): void {
        this.byService = new Map();
        for (const record of this.records.values()) {
            const service = record.entry.target?.service;
            if (service !== undefined) {
                const records = this.byService.get(service) ?? [];
                records.push(record);
                this.byService.set(service, records);
            }
        }
    }
}
