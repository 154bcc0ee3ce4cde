/**
 * Target selection by power of two choices.
 *
 * Samples two random targets of the local zone and two of the other zones and chooses the one with the lowest cost.
 * Random sampling prevents nodes with the same observations from all choosing the same target.
 */
import { TargetState } from "@bilberrycroft/coordination.membership";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { RunTimeClass } from "@bilberrycroft/state.rules";
import { shareConnections } from "./subsetting";
import { TargetRecord } from "./targetRecord";
import { NoTargetReason, TargetChoiceKind } from "./types";
import type {
    AttemptAssessment,
    EndedAttempt,
    RouterOptions,
    RoutingTarget,
    StartedAttempt,
    TargetChoice,
    TargetRequest,
    TargetView,
    ZoneDistance,
} from "./types";

const sampleSize = 2;
/** Share of a target's slots that the long calls of all nodes may occupy. */
const maxLongCallShare = 1 / 3;
const initialDistanceMs = 1;
const distanceEwmaWeight = 0.1;
/** Latency estimate per class before any target of the service has responded. */
const initialLatencyMs: Record<RunTimeClass, Milliseconds> = {
    [RunTimeClass.Short]: 5,
    [RunTimeClass.Long]: 500,
};

interface ServiceTargets {
    /** In ring order. */
    records: TargetRecord[];
    /** Highest ramp among the available targets, as of the last choice. */
    highestRamp: number;
}

/** Targets that can accept the attempt, by preference. */
interface Candidates {
    readonly localZone: TargetRecord[];
    readonly remoteZones: TargetRecord[];
    /** Targets outside this node's connection subset. */
    readonly outsideSubset: TargetRecord[];
    trial: TargetRecord | undefined;
    isSubsetBusy: boolean;
    reason: NoTargetReason;
}

/** Chooses targets and records the observations of attempts that the choice is based on. */
export class Router {
    private readonly records = new Map<string, TargetRecord>();
    private readonly services = new Map<string, ServiceTargets>();
    private readonly distances = new Map<string, Milliseconds>();
    private callerCount = 1;
    private rank = 0;
    private hasReceivedTargets = false;

    constructor(private readonly options: RouterOptions) {}

    /** Replaces the table of targets; keeps the observations of targets that remain. */
    setTargets(targets: readonly RoutingTarget[]): void {
        const now = this.options.clock.now();
        const present = new Set(targets.map(target => target.id));
        const removed = [...this.records.keys()].filter(id => !present.has(id));
        removed.forEach(id => this.records.delete(id));
        let hasRingChanged = removed.length > 0;
        for (const target of targets) {
            hasRingChanged = this.setTarget(target, now) || hasRingChanged;
        }
        this.hasReceivedTargets = this.hasReceivedTargets || targets.length > 0;
        if (hasRingChanged) {
            this.rebuildServices();
        }
    }

    /** Sets the number of calling nodes and the rank of this node among them, in order of zone and then name. */
    setCallers(count: number, rank: number): void {
        this.callerCount = Math.max(1, count);
        this.rank = Math.max(0, Math.min(rank, this.callerCount - 1));
        this.rebuildServices();
    }

    /** Adds a measured round trip to the moving average for the zone. */
    recordDistance(distance: ZoneDistance): void {
        const before = this.distances.get(distance.zone) ?? distance.roundTripMs;
        this.distances.set(distance.zone, before + distanceEwmaWeight * (distance.roundTripMs - before));
    }

    choose(request: TargetRequest): TargetChoice {
        const service = this.services.get(request.service);
        if (service === undefined) {
            return { kind: TargetChoiceKind.NoTarget, reason: NoTargetReason.UnknownService };
        }
        const now = this.options.clock.now();
        const candidates = this.findCandidates(service, request, now);
        if (candidates.trial !== undefined) {
            return { kind: TargetChoiceKind.Chosen, target: candidates.trial.target, isTrial: true };
        }
        const record = this.selectCheapest(candidates, request.runTimeClass, now);
        if (record === undefined) {
            return { kind: TargetChoiceKind.NoTarget, reason: candidates.reason };
        }
        return { kind: TargetChoiceKind.Chosen, target: record.target, isTrial: record.hasRefusals };
    }

    /** Records that an attempt was sent. */
    recordAttemptStart(attempt: StartedAttempt): void {
        this.records.get(attempt.target)?.recordStart(attempt, this.options.clock.now());
    }

    /** Records the end of an attempt; returns `undefined` if the target or the attempt is no longer known. */
    recordAttemptEnd(attempt: EndedAttempt): AttemptAssessment | undefined {
        const record = this.records.get(attempt.target);
        return record?.recordEnd(attempt, this.distanceTo(record), this.options.clock.now());
    }

    /** Number of connections that this node may open to a target. */
    connectionShare(target: string): number {
        return this.records.get(target)?.connectionShare ?? 0;
    }

    /** All targets of a service, in ring order. */
    targetsOf(service: string): readonly RoutingTarget[] {
        return this.services.get(service)?.records.map(record => record.target) ?? [];
    }

    /** State of every target for status output. */
    view(): readonly TargetView[] {
        const now = this.options.clock.now();
        return [...this.records.values()].map(record => ({
            id: record.target.id,
            service: record.target.service,
            isSuspected: record.isSuspected,
            isRefusing: record.isRefusing(RunTimeClass.Short, now),
            draining: record.isLeaving(now),
            callsInFlight: record.callsInFlight,
            ramp: record.ramp(now),
            otherCalls: record.load.otherCallsAt(now),
            baselineShortMs: record.latencyOf(RunTimeClass.Short).baselineMs,
            recentShortMs: record.latencyOf(RunTimeClass.Short).recentMs(now),
            connectionShare: record.connectionShare,
        }));
    }

    /** Returns whether connection shares must be recomputed. */
    private setTarget(target: RoutingTarget, now: Milliseconds): boolean {
        const existing = this.records.get(target.id);
        if (existing !== undefined) {
            const before = existing.target;
            existing.update(target, now);
            return !hasSameRingPosition(before, target);
        }
        const record = new TargetRecord(target, this.options.random);
        if (this.hasReceivedTargets || target.stateAgeMs !== undefined) {
            // A target in the first table without an age existed before this node and is not cold. Any other target is
            // ramped from the start of its state, even if this node learns of it late.
            record.startRamp(now - (target.stateAgeMs ?? 0));
        }
        this.records.set(target.id, record);
        return true;
    }

    private rebuildServices(): void {
        this.services.clear();
        const ordered = [...this.records.values()].sort(compareByZoneAndId);
        for (const record of ordered) {
            const service = this.services.get(record.target.service) ?? { records: [], highestRamp: 1 };
            service.records.push(record);
            this.services.set(record.target.service, service);
        }
        for (const service of this.services.values()) {
            this.updateConnectionShares(service);
        }
    }

    private updateConnectionShares(service: ServiceTargets): void {
        // Draining and gone targets are not part of the ring. Otherwise a rolling restart would empty the subsets
        // around them.
        const ring = service.records.filter(record => !isDrainingOrGone(record.target));
        const shares = shareConnections({
            limits: ring.map(record => record.target.connections),
            callers: this.callerCount,
            rank: this.rank,
        });
        const longCallShares = shareConnections({
            limits: ring.map(record => Math.max(1, Math.floor(record.target.slots * maxLongCallShare))),
            callers: this.callerCount,
            rank: this.rank,
        });
        ring.forEach((record, index) => {
            record.connectionShare = shares[index] ?? 0;
            record.longCallShare = longCallShares[index] ?? 0;
        });
    }

    private findCandidates(service: ServiceTargets, request: TargetRequest, now: Milliseconds): Candidates {
        const candidates: Candidates = {
            localZone: [],
            remoteZones: [],
            outsideSubset: [],
            trial: undefined,
            isSubsetBusy: false,
            reason: NoTargetReason.Leaving,
        };
        const ignoresSuspicion = this.shouldIgnoreSuspicion(service, now);
        const isAnyReachable = service.records.some(record => record.target.reachable && !record.isLeaving(now));
        for (const record of service.records) {
            if (record.target.reachable || !isAnyReachable) {
                this.classifyCandidate(record, candidates, request, ignoresSuspicion, now);
            }
        }
        return candidates;
    }

    private classifyCandidate(
        record: TargetRecord,
        candidates: Candidates,
        request: TargetRequest,
        ignoresSuspicion: boolean,
        now: Milliseconds,
    ): void {
        const rejectionReason = this.rejectionReasonOf(record, request, ignoresSuspicion, now);
        if (rejectionReason === NoTargetReason.Busy && record.connectionShare > 0 && !record.isSuspected) {
            candidates.isSubsetBusy = true;
        }
        if (rejectionReason !== undefined) {
            candidates.reason = moreRecoverableReason(candidates.reason, rejectionReason);
            return;
        }
        if (record.isSuspected && !ignoresSuspicion) {
            candidates.trial = record.connectionShare > 0 ? record : candidates.trial;
            return;
        }
        if (record.connectionShare === 0) {
            candidates.outsideSubset.push(record);
            return;
        }
        const pool = record.target.zone === this.options.zone ? candidates.localZone : candidates.remoteZones;
        pool.push(record);
    }

    /** Why a target cannot accept the attempt now; `undefined` if it can. */
    private rejectionReasonOf(
        record: TargetRecord,
        request: TargetRequest,
        ignoresSuspicion: boolean,
        now: Milliseconds,
    ): NoTargetReason | undefined {
        if (record.isLeaving(now)) {
            return NoTargetReason.Leaving;
        }
        if (request.exclude.includes(record.target.id)) {
            return NoTargetReason.Tried;
        }
        if (record.isRefusing(request.runTimeClass, now)) {
            return NoTargetReason.Refusing;
        }
        if (record.isSuspected && !ignoresSuspicion && !(request.isTrialAllowed && record.isTrialDue(now))) {
            return NoTargetReason.Busy;
        }
        if (record.callsInFlight >= Math.max(1, record.connectionShare)) {
            return NoTargetReason.Busy;
        }
        const hasCapacity = request.hasCapacity === undefined || request.hasCapacity({
            target: record.target,
            otherCalls: record.load.otherCallsAt(now),
            reportedOtherCalls: record.load.reportedOtherCallsAt(now),
            ramp: this.relativeRamp(record, now),
            longCallShare: record.longCallShare,
        });
        return hasCapacity ? undefined : NoTargetReason.Busy;
    }

    /**
     * Checks all targets for stalls, updates `highestRamp`, and returns whether more than half of the available targets
     * are suspected. The cause is then probably on this node or common to all targets, and avoiding the suspected ones
     * would only overload the rest.
     */
    private shouldIgnoreSuspicion(service: ServiceTargets, now: Milliseconds): boolean {
        let available = 0;
        let suspected = 0;
        service.highestRamp = 0;
        for (const record of service.records) {
            record.checkStall(now);
            if (!record.isLeaving(now) && !record.isRefusing(RunTimeClass.Short, now)) {
                available++;
                service.highestRamp = Math.max(service.highestRamp, record.ramp(now));
                suspected += record.isSuspected ? 1 : 0;
            }
        }
        return suspected * 2 > available;
    }

    private selectCheapest(
        candidates: Candidates,
        runTimeClass: RunTimeClass,
        now: Milliseconds,
    ): TargetRecord | undefined {
        const drawn = [...this.drawSample(candidates.localZone), ...this.drawSample(candidates.remoteZones)];
        if (drawn.length === 0 && !candidates.isSubsetBusy) {
            // The whole subset is unusable: use a target outside it until the subset recovers.
            drawn.push(...this.drawSample(candidates.outsideSubset));
        }
        let cheapest: TargetRecord | undefined;
        let lowestCost = Number.POSITIVE_INFINITY;
        for (const record of drawn) {
            const cost = this.costOf(record, runTimeClass, now);
            if (cost < lowestCost) {
                cheapest = record;
                lowestCost = cost;
            }
        }
        return cheapest;
    }

    /** Partial Fisher-Yates shuffle; reorders `pool`. */
    private drawSample(pool: TargetRecord[]): TargetRecord[] {
        const size = Math.min(sampleSize, pool.length);
        for (let drawn = 0; drawn < size; drawn++) {
            const other = drawn + this.options.random.nextInteger(pool.length - drawn);
            const moved = pool[drawn] as TargetRecord;
            pool[drawn] = pool[other] as TargetRecord;
            pool[other] = moved;
        }
        return pool.slice(0, size);
    }

    /** Expected time until the response, in milliseconds. */
    private costOf(record: TargetRecord, runTimeClass: RunTimeClass, now: Milliseconds): Milliseconds {
        const recentMs = record.latencyOf(runTimeClass).recentMs(now) ?? this.typicalLatencyMs(record, runTimeClass);
        const runTimeMs = Math.max(recentMs, record.stallMs(runTimeClass, now));
        const calls = record.callsInFlight + record.load.otherCallsAt(now);
        const waitMs = (runTimeMs * calls) / Math.max(1, record.target.slots);
        return (runTimeMs + waitMs) / record.ramp(now) + this.distanceTo(record);
    }

    /**
     * Ramp relative to the warmest target of the service. A ramp moves load to warmer targets. If all targets are
     * equally new, for example after a zone recovered, an absolute ramp would only shed calls.
     */
    private relativeRamp(record: TargetRecord, now: Milliseconds): number {
        const highest = this.services.get(record.target.service)?.highestRamp ?? 1;
        return Math.min(1, record.ramp(now) / Math.max(highest, Number.MIN_VALUE));
    }

    private typicalLatencyMs(unsampled: TargetRecord, runTimeClass: RunTimeClass): Milliseconds {
        let sum = 0;
        let count = 0;
        for (const record of this.services.get(unsampled.target.service)?.records ?? []) {
            const baselineMs = record.latencyOf(runTimeClass).baselineMs;
            if (baselineMs !== undefined) {
                sum += baselineMs;
                count++;
            }
        }
        return count === 0 ? initialLatencyMs[runTimeClass] : sum / count;
    }

    private distanceTo(record: TargetRecord): Milliseconds {
        const { zone } = record.target;
        return zone === this.options.zone ? 0 : this.distances.get(zone) ?? initialDistanceMs;
    }
}

const reasonsByRecoverability = [
    NoTargetReason.Leaving,
    NoTargetReason.Tried,
    NoTargetReason.Refusing,
    NoTargetReason.Busy,
];

/** Returns the reason with the better chance of recovery: waiting helps if a target is busy, but not if it leaves. */
function moreRecoverableReason(first: NoTargetReason, second: NoTargetReason): NoTargetReason {
    return reasonsByRecoverability.indexOf(second) > reasonsByRecoverability.indexOf(first) ? second : first;
}

function isDrainingOrGone(target: RoutingTarget): boolean {
    return target.state === TargetState.Draining || target.state === TargetState.Gone;
}

function hasSameRingPosition(first: RoutingTarget, second: RoutingTarget): boolean {
    return first.service === second.service
        && first.zone === second.zone
        && first.connections === second.connections
        && first.slots === second.slots
        && isDrainingOrGone(first) === isDrainingOrGone(second);
}

function compareByZoneAndId(first: TargetRecord, second: TargetRecord): number {
    const byZone = compareText(first.target.zone, second.target.zone);
    return byZone !== 0 ? byZone : compareText(first.target.id, second.target.id);
}

function compareText(first: string, second: string): number {
    return first < second ? -1 : first > second ? 1 : 0;
}
