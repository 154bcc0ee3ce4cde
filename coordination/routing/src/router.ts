/**
 * Chooses a target for one attempt.
 *
 * A few targets of the own zone and of the other zones are drawn at random and the cheapest is chosen. The draw keeps
 * nodes that have the same observations from choosing the same target all at once.
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
/** Part of a target's slots that long calls of all nodes may hold. */
const longPart = 1 / 3;
const unmeasuredDistanceMs = 1;
const distanceGain = 0.1;
/** Expected latency of a class before any target of the service has answered. */
const unknownLatencyMs: Record<RunTimeClass, Milliseconds> = {
    [RunTimeClass.Short]: 5,
    [RunTimeClass.Long]: 500,
};

/** Targets of one service in ring order. */
interface ServiceTargets {
    records: TargetRecord[];
    /** Highest ramp among targets that can be chosen, as of the last choice. */
    highestRamp: number;
}

/** Targets that can take the attempt, by preference. */
interface Candidates {
    readonly ownZone: TargetRecord[];
    readonly otherZones: TargetRecord[];
    /** Outside the subset of this node. */
    readonly spare: TargetRecord[];
    trial: TargetRecord | undefined;
    busyInSubset: boolean;
    reason: NoTargetReason;
}

/** Chooses targets and keeps what it observed of them. */
export class Router {
    private readonly records = new Map<string, TargetRecord>();
    private readonly services = new Map<string, ServiceTargets>();
    private readonly distances = new Map<string, Milliseconds>();
    private callers = 1;
    private rank = 0;
    private started = false;

    constructor(private readonly options: RouterOptions) {}

    /** Replaces the table of targets. Observations of targets that stay are kept. */
    setTargets(targets: readonly RoutingTarget[]): void {
        const now = this.options.clock.now();
        const present = new Set(targets.map(target => target.id));
        const gone = [...this.records.keys()].filter(known => !present.has(known));
        gone.forEach(id => this.records.delete(id));
        let isRingChanged = gone.length > 0;
        for (const target of targets) {
            isRingChanged = this.setTarget(target, now) || isRingChanged;
        }
        this.started = this.started || targets.length > 0;
        if (isRingChanged) {
            this.rebuildServices();
        }
    }

    /** Sets the number of calling nodes and this node's rank among them, ordered by zone and then by name. */
    setCallers(count: number, ownRank: number): void {
        this.callers = Math.max(1, count);
        this.rank = Math.max(0, Math.min(ownRank, this.callers - 1));
        this.rebuildServices();
    }

    /** Takes a measured round trip to a zone. */
    distanceMeasured(distance: ZoneDistance): void {
        const before = this.distances.get(distance.zone) ?? distance.roundTripMs;
        this.distances.set(distance.zone, before + distanceGain * (distance.roundTripMs - before));
    }

    /** Chooses a target for an attempt. */
    choose(request: TargetRequest): TargetChoice {
        const service = this.services.get(request.service);
        if (service === undefined) {
            return { kind: TargetChoiceKind.NoTarget, reason: NoTargetReason.UnknownService };
        }
        const now = this.options.clock.now();
        const candidates = this.findCandidates(service, request, now);
        if (candidates.trial !== undefined) {
            return { kind: TargetChoiceKind.Chosen, target: candidates.trial.target, trial: true };
        }
        const record = this.cheapestOf(candidates, request.runTimeClass, now);
        if (record === undefined) {
            return { kind: TargetChoiceKind.NoTarget, reason: candidates.reason };
        }
        return { kind: TargetChoiceKind.Chosen, target: record.target, trial: record.isOnProbation };
    }

    /** Records that an attempt was sent. */
    attemptStarted(attempt: StartedAttempt): void {
        this.records.get(attempt.target)?.started(attempt, this.options.clock.now());
    }

    /** Records the end of an attempt; `undefined` if the target or the attempt is no longer known. */
    attemptEnded(attempt: EndedAttempt): AttemptAssessment | undefined {
        const record = this.records.get(attempt.target);
        return record?.ended(attempt, this.distanceTo(record), this.options.clock.now());
    }

    /** Connections that this node may hold to a target. */
    connectionShare(target: string): number {
        return this.records.get(target)?.connectionShare ?? 0;
    }

    /** Targets of a service that may get calls. */
    targetsOf(service: string): readonly RoutingTarget[] {
        return this.services.get(service)?.records.map(record => record.target) ?? [];
    }

    /** State of every target for status output. */
    view(): readonly TargetView[] {
        const now = this.options.clock.now();
        return [...this.records.values()].map(record => ({
            id: record.target.id,
            service: record.target.service,
            suspected: record.suspected,
            refusing: record.isRefusing(RunTimeClass.Short, now),
            draining: record.isLeaving(now),
            callsInFlight: record.callsInFlight,
            ramp: record.ramp(now),
            othersInTarget: record.load.othersAt(now),
            usualShortMs: record.latencyOf(RunTimeClass.Short).usualMs,
            recentShortMs: record.latencyOf(RunTimeClass.Short).recentMs(now),
            connectionShare: record.connectionShare,
        }));
    }

    /** Returns whether connection shares have to be computed again. */
    private setTarget(target: RoutingTarget, now: Milliseconds): boolean {
        const known = this.records.get(target.id);
        if (known !== undefined) {
            const before = known.target;
            known.update(target, now);
            return !hasSamePlaceInRing(before, target);
        }
        const record = new TargetRecord(target, this.options.random);
        if (this.started || target.stateAgeMs !== undefined) {
            // Targets that were there before this node started are not cold, however late it hears of them.
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
            this.shareConnectionsOf(service);
        }
    }

    private shareConnectionsOf(service: ServiceTargets): void {
        // Leaving targets are no part of the ring, so that a rolling restart does not empty the subsets around them.
        const ring = service.records.filter(record => !isAnnouncedLeaving(record.target));
        const shares = shareConnections({
            limits: ring.map(record => record.target.connections),
            callers: this.callers,
            rank: this.rank,
        });
        const longShares = shareConnections({
            limits: ring.map(record => Math.max(1, Math.floor(record.target.slots * longPart))),
            callers: this.callers,
            rank: this.rank,
        });
        ring.forEach((record, index) => {
            record.connectionShare = shares[index] ?? 0;
            record.longShare = longShares[index] ?? 0;
        });
    }

    private findCandidates(service: ServiceTargets, request: TargetRequest, now: Milliseconds): Candidates {
        const candidates: Candidates = {
            ownZone: [],
            otherZones: [],
            spare: [],
            trial: undefined,
            busyInSubset: false,
            reason: NoTargetReason.Leaving,
        };
        const distrusted = this.isSuspicionDistrusted(service, now);
        const reachable = service.records.some(record => record.target.reachable && !record.isLeaving(now));
        for (const record of service.records) {
            if (record.target.reachable || !reachable) {
                this.sortCandidate(record, candidates, request, distrusted, now);
            }
        }
        return candidates;
    }

    private sortCandidate(
        record: TargetRecord,
        candidates: Candidates,
        request: TargetRequest,
        distrusted: boolean,
        now: Milliseconds,
    ): void {
        const obstacle = this.obstacleOf(record, request, distrusted, now);
        if (obstacle === NoTargetReason.Busy && record.connectionShare > 0 && !record.suspected) {
            candidates.busyInSubset = true;
        }
        if (obstacle !== undefined) {
            candidates.reason = worseReason(candidates.reason, obstacle);
            return;
        }
        if (record.suspected && !distrusted) {
            candidates.trial = record.connectionShare > 0 ? record : candidates.trial;
            return;
        }
        if (record.connectionShare === 0) {
            candidates.spare.push(record);
            return;
        }
        const pool = record.target.zone === this.options.zone ? candidates.ownZone : candidates.otherZones;
        pool.push(record);
    }

    /** Why a target can not take the attempt now; `undefined` if it can. */
    private obstacleOf(
        record: TargetRecord,
        request: TargetRequest,
        distrusted: boolean,
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
        if (record.suspected && !distrusted && !(request.trialAllowed && record.isTrialDue(now))) {
            return NoTargetReason.Busy;
        }
        if (record.callsInFlight >= Math.max(1, record.connectionShare)) {
            return NoTargetReason.Busy;
        }
        const hasRoom = request.hasRoom === undefined || request.hasRoom({
            target: record.target,
            others: record.load.othersAt(now),
            reportedOthers: record.load.reportedOthersAt(now),
            ramp: this.relativeRamp(record, now),
            longShare: record.longShare,
        });
        return hasRoom ? undefined : NoTargetReason.Busy;
    }

    /**
     * When most targets look bad at once, the cause is more likely on this node's side or common to all of them, and
     * avoiding the suspects would only overload the rest.
     */
    private isSuspicionDistrusted(service: ServiceTargets, now: Milliseconds): boolean {
        let available = 0;
        let suspected = 0;
        service.highestRamp = 0;
        for (const record of service.records) {
            record.checkStall(now);
            if (!record.isLeaving(now) && !record.isRefusing(RunTimeClass.Short, now)) {
                available++;
                service.highestRamp = Math.max(service.highestRamp, record.ramp(now));
                suspected += record.suspected ? 1 : 0;
            }
        }
        return suspected * 2 > available;
    }

    private cheapestOf(
        candidates: Candidates,
        runTimeClass: RunTimeClass,
        now: Milliseconds,
    ): TargetRecord | undefined {
        const drawn = [...this.draw(candidates.ownZone), ...this.draw(candidates.otherZones)];
        if (drawn.length === 0 && !candidates.busyInSubset) {
            // The whole subset is unusable: one target outside it replaces it until it recovers.
            drawn.push(...this.draw(candidates.spare));
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

    private draw(pool: TargetRecord[]): TargetRecord[] {
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
        const recentMs = record.latencyOf(runTimeClass).recentMs(now) ?? this.typicalLatency(record, runTimeClass);
        const runTimeMs = Math.max(recentMs, record.stallMs(runTimeClass, now));
        const calls = record.callsInFlight + record.load.othersAt(now);
        const waitMs = (runTimeMs * calls) / Math.max(1, record.target.slots);
        return (runTimeMs + waitMs) / record.ramp(now) + this.distanceTo(record);
    }

    /**
     * Ramp relative to the most advanced target of the service. A ramp moves load to targets that are warm already;
     * where all targets are equally new, for example after a zone returned, it would only shed calls.
     */
    private relativeRamp(record: TargetRecord, now: Milliseconds): number {
        const highest = this.services.get(record.target.service)?.highestRamp ?? 1;
        return Math.min(1, record.ramp(now) / Math.max(highest, Number.MIN_VALUE));
    }

    private typicalLatency(unknown: TargetRecord, runTimeClass: RunTimeClass): Milliseconds {
        let sum = 0;
        let known = 0;
        for (const record of this.services.get(unknown.target.service)?.records ?? []) {
            const usualMs = record.latencyOf(runTimeClass).usualMs;
            if (usualMs !== undefined) {
                sum += usualMs;
                known++;
            }
        }
        return known === 0 ? unknownLatencyMs[runTimeClass] : sum / known;
    }

    private distanceTo(record: TargetRecord): Milliseconds {
        const { zone } = record.target;
        return zone === this.options.zone ? 0 : this.distances.get(zone) ?? unmeasuredDistanceMs;
    }
}

const reasonOrder = [
    NoTargetReason.Leaving,
    NoTargetReason.Tried,
    NoTargetReason.Refusing,
    NoTargetReason.Busy,
];

/** The reason that gives the caller more hope: waiting helps a busy target, nothing helps a leaving one. */
function worseReason(first: NoTargetReason, second: NoTargetReason): NoTargetReason {
    return reasonOrder.indexOf(second) > reasonOrder.indexOf(first) ? second : first;
}

function isAnnouncedLeaving(target: RoutingTarget): boolean {
    return target.state === TargetState.Draining || target.state === TargetState.Gone;
}

function hasSamePlaceInRing(first: RoutingTarget, second: RoutingTarget): boolean {
    return first.service === second.service
        && first.zone === second.zone
        && first.connections === second.connections
        && first.slots === second.slots
        && isAnnouncedLeaving(first) === isAnnouncedLeaving(second);
}

function compareByZoneAndId(first: TargetRecord, second: TargetRecord): number {
    const byZone = compareText(first.target.zone, second.target.zone);
    return byZone !== 0 ? byZone : compareText(first.target.id, second.target.id);
}

function compareText(first: string, second: string): number {
    return first < second ? -1 : first > second ? 1 : 0;
}
