/**
 * Targets known to the caller's node, and cost-based selection among them.
 *
 * The cost of a target is the expected time until its response: network, queueing and run time, plus a penalty for
 * failures. Targets of one service differ in speed and in how many calls they handle well; both are taken from the
 * reports of their nodes, and lose weight as the reports age. In services with many targets, only a subset is
 * considered. Other zones have an extra cost because their traffic crosses a slower and more expensive link. They are
 * used when the local zone would be late.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import type { Random } from "@bilberrycroft/core.random";
import {
    type NodeEntry,
    type RolloutPlan,
    type ServiceExplanation,
    type TargetCosts,
    type TargetExplanation,
    type TargetIncarnation,
    type TargetLoad,
    TargetPhase,
    TargetStanding,
} from "@bilberrycroft/protocol.forwarding";
import type { Route } from "@bilberrycroft/state.routes";
import { evictOldestIfFull } from "./boundedMap";
import { type OverloadRefusal, PeerRecord } from "./peerRecord";
import { computeRank, selectSubset, sortByRank } from "./targetSubset";
import { type VersionSide, VersionSplit } from "./versionSplit";

export interface TargetDirectoryOptions {
    readonly clock: Clock;
    readonly random: Random;
    /** Name of this node. */
    readonly node: string;
    /** Zone of this node. */
    readonly zone: string;
    /** Called when a node becomes unhealthy and has to be probed. */
    readonly onUnhealthy?: () => void;
    /** Whether targets are chosen by their versions; versions are ignored otherwise. */
    readonly usesVersions?: boolean;
    /** Whether calls are placed by the learned speed of targets and spread over new ones; off by default. */
    readonly learnsCapacity?: boolean | undefined;
}

/** A target that may be offered a call. */
export interface TargetCandidate {
    readonly node: string;
    readonly address: string;
    readonly target: string;
    readonly zone: string;
    /** Expected time until the response, including the extra cost of other zones. */
    readonly costMs: Milliseconds;
}

export interface CandidateRequest {
    readonly service: string;
    readonly route: Route;
    /** Priority of the call; `undefined` if it is offered to overloaded targets too, as inner calls are. */
    readonly priority?: number | undefined;
    /** Organisation of the call; `undefined` if it belongs to none. */
    readonly organisation?: string | undefined;
    /** Nodes that this call has already tried. */
    readonly exclude: ReadonlySet<string>;
    /** Average response size on the route. */
    readonly responseBytes: number;
    /** Version that the call was drawn to; `undefined` if there was no choice. */
    readonly side?: VersionSide | undefined;
}

/** What the costs of all targets of a call are computed from. */
interface CostBasis {
    /** Run time of the route over the targets. */
    readonly typicalMs: Milliseconds;
    /** Load by slots of other nodes that a target without a report is expected to have. */
    readonly unreportedLoad: number;
    readonly now: Milliseconds;
}

/** What the cost of a target consists of, for an explanation. */
interface CostDetail {
    costs: TargetCosts;
    occupancy: number;
    slots: number;
}

/** Run time estimate for a route before any of its calls has ended. */
const initialRunTimeMs: Milliseconds = 50;
/** Calls in a target that has just started take about twice as long. */
const coldFactor = 2;
/** A longer remaining cold time is ignored. With clock skew it would divert calls from the target for too long. */
const maxColdMs: Milliseconds = 60_000;
/** Share by which calls in a full target are slower than in an empty one. */
const fullTargetSlowdown = 0.3;
/** Extra cost of another zone as a share of the latency objective, for small and for large responses. */
const remoteZoneCostShare = 0.04;
const largeResponseRemoteZoneCostShare = 1;
const largeResponseBytes = 65_536;
/** Cost of a failed call, which needs another attempt, as a share of the latency objective. */
const failureCostShare = 1.5;
/** A node must respond within this share of the remaining time, so that another node can still run the call. */
const maxResponseTimeoutShare = 0.4;
const millisecondsPerSecond = 1_000;
/** Bounds memory use; a target leaves for good within seconds. */
const maxLeavingTargets = 1_024;
/** Bounds memory use when routes are added and removed. */
const maxServiceRoutes = 1_024;
/** Weight of the latest report; many targets contribute. */
const serviceRunTimeEwmaWeight = 0.05;
/**
 * Calls that a target without a report is expected to have of other nodes, as a share of the mean of its peers, at most
 * its slots. All nodes see a new target as empty at the same time and would fill it at once.
 */
const unreportedLoadShare = 0.5;
/** Calls by slots that a target without a report is taken to have once this node has offered it a call. */
const unknownBacklog = 4;
/** Keeps the cost of a target finite that accepts hardly any calls. */
const minUsableSlots = 0.01;
/** Random share of a cost, so that nodes with the same observations choose different targets. */
const jitterShare = 0.1;

export class TargetDirectory {
    private readonly records = new Map<string, PeerRecord>();
    private byService = new Map<string, PeerRecord[]>();
    /**
     * Targets that have told this node that they leave, by incarnation. Kept even if their entries change, because the
     * node of such a target may restart and no longer know.
     */
    private readonly leavingTargets = new Map<string, TargetIncarnation>();

    /** Run times of routes over all targets of their service. */
    private readonly serviceRunTimes = new Map<string, Milliseconds>();
    private readonly versions: VersionSplit | undefined;

    constructor(private readonly options: TargetDirectoryOptions) {
        this.versions = options.usesVersions === true ? new VersionSplit(options.random) : undefined;
    }

    /** Replaces the plans of rollouts. Must be called before `setEntries` if both change. */
    setRollouts(plans: readonly RolloutPlan[]): void {
        this.versions?.setPlans(plans);
    }

    /** Draws the version of a call that is offered for the first time. */
    drawVersion(service: string, route: string): VersionSide | undefined {
        return this.versions?.draw(service, route);
    }

    /** Versions of the service that may be used without a plan. */
    knownVersionsOf(service: string): readonly string[] {
        return this.versions?.knownVersionsOf(service) ?? [];
    }

    /** Replaces the table of nodes; keeps the observations of nodes that remain. */
    setEntries(entries: readonly NodeEntry[]): void {
        const present = new Set(entries.map(entry => entry.node));
        [...this.records.keys()].filter(node => !present.has(node)).forEach(node => this.records.delete(node));
        for (const entry of entries) {
            const existing = this.records.get(entry.node);
            if (existing === undefined) {
                const rank = computeRank(this.options.node, entry.node);
                const isLocal = entry.zone === this.options.zone;
                this.records.set(entry.node, new PeerRecord(entry, { rank, isLocal }));
            }
            else {
                existing.update(entry);
            }
        }
        this.versions?.setEntries(entries);
        this.indexByService();
    }

    /** Number of nodes in the table, this one included. */
    get size(): number {
        return this.records.size;
    }

    recordOffer(node: string, callId: string): void {
        this.records.get(node)?.recordOffer(callId);
    }

    recordEnd(node: string, callId: string): void {
        this.records.get(node)?.recordEnd(callId);
    }

    recordLoad(node: string, load: TargetLoad, route?: string): void {
        const record = this.records.get(node);
        const now = this.options.clock.now();
        record?.recordLoad(load, route, now);
        if (this.options.learnsCapacity === true && record !== undefined && route !== undefined) {
            const usualMs = this.updateServiceRunTime(`${record.entry.target?.service} ${route}`, load.runTimeMs);
            record.recordSlowness(load.runTimeMs / Math.max(1, usualMs), now);
        }
        if (load.leavingTarget !== undefined) {
            const key = incarnationKey(load.leavingTarget);
            evictOldestIfFull(this.leavingTargets, key, maxLeavingTargets);
            this.leavingTargets.set(key, load.leavingTarget);
        }
        if (record?.isHealthy === false) {
            this.options.onUnhealthy?.();
        }
    }

    private updateServiceRunTime(key: string, runTimeMs: Milliseconds): Milliseconds {
        evictOldestIfFull(this.serviceRunTimes, key, maxServiceRoutes);
        const before = this.serviceRunTimes.get(key) ?? runTimeMs;
        const updated = before + serviceRunTimeEwmaWeight * (runTimeMs - before);
        this.serviceRunTimes.set(key, updated);
        return updated;
    }

    /** Records how long the node took to respond to an offer. */
    recordResponseTime(node: string, elapsedMs: Milliseconds): void {
        this.records.get(node)?.responseTimes.add(elapsedMs);
    }

    /** Timeout for the node's response to an offer, limited by the remaining time of the call. */
    responseTimeoutMs(node: string, remainingMs: Milliseconds): Milliseconds {
        const timeoutMs = this.records.get(node)?.responseTimes.timeoutMs ?? 0;
        return Math.min(timeoutMs, maxResponseTimeoutShare * remainingMs);
    }

    /** Records that the node did not respond to an offer or a probe. Returns whether it was healthy before. */
    markUnhealthy(node: string): boolean {
        const record = this.records.get(node);
        const wasHealthy = record?.isHealthy === true;
        record?.markUnhealthy(this.options.clock.now());
        this.options.onUnhealthy?.();
        return wasHealthy;
    }

    /** Limit that the node's target last named, in calls per second; `undefined` if it named none. */
    callsPerSecondOf(node: string): number | undefined {
        return this.records.get(node)?.callsPerSecond;
    }

    /** Whether the node responds and its target serves, according to the latest observation. */
    isHealthy(node: string): boolean {
        return this.records.get(node)?.isHealthy === true;
    }

    /** Unhealthy nodes to probe now, except nodes whose target is draining. */
    nodesDueForProbe(): readonly NodeEntry[] {
        const now = this.options.clock.now();
        return this.nodesToProbe().filter(record => record.isProbeDue(now)).map(record => record.entry);
    }

    /** Whether any node will have to be probed, now or later. */
    hasNodesToProbe(): boolean {
        return this.nodesToProbe().length > 0;
    }

    /** Target with the lowest cost; `undefined` if none is eligible. Healthy nodes take precedence. */
    choose(request: CandidateRequest): TargetCandidate | undefined {
        const candidates = this.selectCandidates(request);
        const { priority, organisation } = request;
        if (priority === undefined) {
            return this.findCheapest(candidates, request);
        }
        const now = this.options.clock.now();
        const available = candidates.filter(record =>
            record.overloadDelayMs({ priority, organisation }, now) === undefined);
        return this.findCheapest(available, request);
    }

    /**
     * Time after which a call may return that is refused without an offer, because all its targets have just refused
     * such calls; `undefined` if any target is worth an offer or there is none.
     */
    overloadDelayMs(request: CandidateRequest & { readonly priority: number }): Milliseconds | undefined {
        const now = this.options.clock.now();
        const delays = this.selectCandidates(request).map(record => record.overloadDelayMs(request, now));
        const known = delays.filter(delayMs => delayMs !== undefined);
        return known.length === 0 || known.length < delays.length ? undefined : Math.min(...known);
    }

    /** Records that the node refused a call because its target is overloaded. */
    recordRefusal(node: string, refusal: OverloadRefusal): void {
        this.records.get(node)?.recordRefusal(refusal, this.options.clock.now());
    }

    /** Records that the node granted a call of this priority and organisation. */
    recordGrant(node: string, priority: number, organisation?: string): void {
        this.records.get(node)?.recordGrant(priority, organisation);
    }

    /** Explains the choice of a target without making it; only the random part of the costs is left out. */
    explain(request: CandidateRequest): Omit<ServiceExplanation, "share"> {
        const now = this.options.clock.now();
        const { service, priority, organisation } = request;
        const candidates = this.selectCandidates(request);
        const basis = this.createCostBasis(candidates, request, now);
        const targets = (this.byService.get(service) ?? []).map(record => {
            const isOverloaded = priority !== undefined
                && record.overloadDelayMs({ priority, organisation }, now) !== undefined;
            const standing = this.standingOf(record, candidates.includes(record), isOverloaded);
            return this.explainTarget(record, request, { standing, basis });
        }).sort((left, right) => compareExplanations(left, right));
        const [first] = targets;
        const chosen = first?.standing === TargetStanding.Considered ? first.node : undefined;
        const retryAfterMs = priority === undefined ? undefined : this.overloadDelayMs({ ...request, priority });
        return { service, chosen, retryAfterMs, targets };
    }

    private standingOf(record: PeerRecord, isCandidate: boolean, isOverloaded: boolean): TargetStanding {
        if (!this.acceptsCalls(record.entry)) {
            return TargetStanding.NotAccepting;
        }
        if (isCandidate) {
            return isOverloaded ? TargetStanding.Overloaded : TargetStanding.Considered;
        }
        return record.isHealthy ? TargetStanding.NotSelected : TargetStanding.Unhealthy;
    }

    private explainTarget(
        record: PeerRecord,
        request: CandidateRequest,
        { standing, basis }: { readonly standing: TargetStanding; readonly basis: CostBasis },
    ): TargetExplanation {
        const costs = { linkMs: 0, waitMs: 0, runMs: 0, failureMs: 0, zoneMs: 0 };
        const detail: CostDetail = { costs, occupancy: 0, slots: 0 };
        const costMs = this.costMs(record, request, basis, detail);
        const { node, zone, target } = record.entry;
        return { node, target: target?.id ?? "", zone, standing, costMs, ...detail, reportAgeMs: record.reportAgeMs(basis.now) };
    }

    private selectCandidates({ service, side, exclude }: CandidateRequest): PeerRecord[] {
        const ofService = this.byService.get(service) ?? [];
        const targets = this.versions?.select({
            service,
            side,
            targets: ofService,
            accepts: ({ entry }) => this.acceptsCalls(entry),
            isTried: ({ entry }) => exclude.has(entry.node),
        }) ?? ofService;
        const isEligible = ({ entry }: PeerRecord): boolean =>
            this.acceptsCalls(entry) && !exclude.has(entry.node);
        const healthy = selectSubset(targets, record => record.isHealthy && isEligible(record));
        return healthy.length > 0 ? healthy : selectSubset(targets, isEligible);
    }

    private findCheapest(records: readonly PeerRecord[], request: CandidateRequest): TargetCandidate | undefined {
        const basis = this.createCostBasis(records, request, this.options.clock.now());
        let cheapest: PeerRecord | undefined;
        let lowestCostMs = Number.POSITIVE_INFINITY;
        for (const record of records) {
            const jitter = 1 + jitterShare * this.options.random.nextFraction();
            const costMs = this.costMs(record, request, basis) * jitter;
            if (costMs < lowestCostMs) {
                cheapest = record;
                lowestCostMs = costMs;
            }
        }
        if (cheapest === undefined) {
            return undefined;
        }
        const { node, address, zone, target } = cheapest.entry;
        return { node, address, zone, target: target?.id ?? "", costMs: lowestCostMs };
    }

    private createCostBasis(records: readonly PeerRecord[], { route }: CandidateRequest, now: Milliseconds): CostBasis {
        return {
            typicalMs: typicalRunTimeMs(records, route.name),
            unreportedLoad: Math.min(1, unreportedLoadShare * this.meanLoad(records, now)),
            now,
        };
    }

    /** Until its first report, one call of this node at a time is enough to learn the load of a target. */
    private expectedUnreported(record: PeerRecord, load: number): number {
        const slots = record.entry.target?.slots ?? 1;
        if (record.hasReport || load === 0) {
            return 0;
        }
        return record.localCalls === 0 ? load * slots : unknownBacklog * slots;
    }

    /** Mean number of calls by slots, over the targets that have reported their load. */
    private meanLoad(records: readonly PeerRecord[], now: Milliseconds): number {
        const reported = this.options.learnsCapacity === true ? records.filter(({ hasReport }) => hasReport) : [];
        if (reported.length === records.length || reported.length === 0) {
            return 0;
        }
        return reported.reduce((sum, record) =>
            sum + record.occupancy(now) / Math.max(1, record.entry.target?.slots ?? 1), 0) / reported.length;
    }

    /** Expected cost of a target; `detail` receives what it consists of. */
    private costMs(
        record: PeerRecord,
        request: CandidateRequest,
        { typicalMs, unreportedLoad, now }: CostBasis,
        detail?: CostDetail,
    ): Milliseconds {
        const { latencyObjectiveMs } = request.route;
        const { target } = record.entry;
        const meanRunTimeMs = record.meanRunTimeMs ?? typicalMs;
        const learnedSlots = record.usableSlots(Math.max(1, target?.slots ?? 1), now);
        const slots = usableSlots(learnedSlots, meanRunTimeMs, record.recentCallsPerSecond(now));
        const occupancy = record.occupancy(now) + this.expectedUnreported(record, unreportedLoad);
        const fullness = Math.min(1, occupancy / slots);
        const waitMs = Math.max(0, occupancy + 1 - slots) * meanRunTimeMs / slots;
        const runTimeFactor = this.isCold(target?.coldUntil ?? 0) ? coldFactor : 1;
        const runMs = record.runTimeMs(request.route.name, typicalMs * runTimeFactor, now)
            * (1 + fullTargetSlowdown * fullness);
        const failureMs = record.failureShare(now) * failureCostShare * latencyObjectiveMs;
        const linkMs = record.responseTimes.typicalMs + record.sendMs(request.route.name, now);
        const zoneMs = this.zoneCostMs(record.entry.zone, request);
        if (detail !== undefined) {
            detail.costs = { linkMs, waitMs, runMs, failureMs, zoneMs };
            detail.occupancy = occupancy;
            detail.slots = slots;
        }
        return linkMs + waitMs + runMs + failureMs + zoneMs;
    }

    private zoneCostMs(zone: string, { route, responseBytes }: CandidateRequest): Milliseconds {
        if (zone === this.options.zone) {
            return 0;
        }
        const sizeRatio = Math.min(1, responseBytes / largeResponseBytes);
        return route.latencyObjectiveMs
            * (remoteZoneCostShare + sizeRatio * (largeResponseRemoteZoneCostShare - remoteZoneCostShare));
    }

    private isCold(coldUntil: Milliseconds): boolean {
        const remainingMs = coldUntil - this.options.clock.wallTime();
        return remainingMs > 0 && remainingMs < maxColdMs;
    }

    private nodesToProbe(): PeerRecord[] {
        return [...this.records.values()].filter(({ isHealthy, entry }) =>
            !isHealthy && this.acceptsCalls(entry));
    }

    private acceptsCalls({ target }: NodeEntry): boolean {
        return target?.phase === TargetPhase.Ready && !this.leavingTargets.has(incarnationKey(target));
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
        this.byService.forEach((records, service) => this.byService.set(service, sortByRank(records)));
    }
}

function incarnationKey({ id, startedAt }: TargetIncarnation): string {
    return `${startedAt} ${id}`;
}

/** Considered targets first, each group in order of cost. */
function compareExplanations(left: TargetExplanation, right: TargetExplanation): number {
    const [leftRank, rightRank] = [left, right].map(({ standing }) => standing === TargetStanding.Considered ? 0 : 1);
    return leftRank === rightRank ? left.costMs - right.costMs : (leftRank ?? 0) - (rightRank ?? 0);
}

/** Number of slots, possibly fractional, that a target with a limit of its calls can keep busy. */
function usableSlots(slots: number, meanRunTimeMs: Milliseconds, callsPerSecond: number | undefined): number {
    return callsPerSecond === undefined
        ? slots
        : Math.min(slots, Math.max(minUsableSlots, callsPerSecond * meanRunTimeMs / millisecondsPerSecond));
}

/** Mean of the last observed run times of the route. */
function typicalRunTimeMs(records: readonly PeerRecord[], route: string): Milliseconds {
    let sum = 0;
    let count = 0;
    for (const record of records) {
        const runTimeMs = record.lastRunTimeMs(route);
        if (runTimeMs !== undefined) {
            sum += runTimeMs;
            count++;
        }
    }
    return count === 0 ? initialRunTimeMs : sum / count;
}
