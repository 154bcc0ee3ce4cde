/**
 * What one node has observed of one target.
 *
 * Suspicion comes from the oldest unanswered call, so a stalled target is noticed before its answers arrive. A call
 * that a later call has overtaken is ignored: it is a long call on a healthy target, not a stall.
 */
import { TargetState } from "@bilberrycroft/coordination.membership";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import type { Random } from "@bilberrycroft/core.random";
import { RunTimeClass } from "@bilberrycroft/state.rules";
import { LatencyEstimate } from "./latency";
import { LoadEstimate } from "./loadReport";
import { AttemptResult } from "./types";
import type { AttemptAssessment, EndedAttempt, RoutingTarget, StartedAttempt } from "./types";

const firstTrialWaitMs = 100;
const longestTrialWaitMs = 500;
/** A target that stayed unsuspected for this long starts again with the first wait. */
const trialWaitResetMs = 2_000;
const firstRefusalWaitMs = 100;
const longestRefusalWaitMs = 5_000;
const shortCallsTryFirstMs = 500;
const rampMs = 5_000;
const rampFloor = 0.1;
/** Membership spreads an announcement within 3 s; a draining header that it never confirms is forgotten after this. */
const drainingMemoryMs = 30_000;

interface ClassObservation {
    readonly latency: LatencyEstimate;
    /** Start times by call, oldest first. */
    readonly unanswered: Map<string, Milliseconds>;
    /** Start of the latest call that was answered in time. */
    overtakenThrough: Milliseconds;
}

/** Observations of one target. */
export class TargetRecord {
    readonly load = new LoadEstimate();
    /** Connections that this node may use. */
    connectionShare = Number.POSITIVE_INFINITY;
    /** Long calls that all other nodes leave to this node. */
    longShare = 0;
    suspected = false;
    private readonly classes: Record<RunTimeClass, ClassObservation> = {
        [RunTimeClass.Short]: createClassObservation(),
        [RunTimeClass.Long]: createClassObservation(),
    };

    private rampFrom = Number.NEGATIVE_INFINITY;
    private drainingHeardAt = Number.NEGATIVE_INFINITY;
    private refusals = 0;
    private refusedUntil = Number.NEGATIVE_INFINITY;
    private trialCall: string | undefined;
    private trialWaitMs = firstTrialWaitMs;
    private nextTrialAt: Milliseconds = 0;
    private clearedAt = Number.NEGATIVE_INFINITY;

    constructor(public target: RoutingTarget, private readonly random: Random) {}

    get callsInFlight(): number {
        return this.classes[RunTimeClass.Short].unanswered.size + this.classes[RunTimeClass.Long].unanswered.size;
    }

    /** Sets the time at which the target appeared or left its cold start. */
    startRamp(readySince: Milliseconds): void {
        this.rampFrom = readySince;
    }

    /** Takes the membership table's latest word on the target. */
    update(target: RoutingTarget, now: Milliseconds): void {
        const before = this.target;
        this.target = target;
        if (target.state === TargetState.Warming || target.state === TargetState.Gone) {
            this.drainingHeardAt = Number.NEGATIVE_INFINITY;
        }
        if (target.address !== before.address) {
            this.forgetRefusals();
        }
        if (target.state === TargetState.Ready && before.state !== TargetState.Ready) {
            this.forgetRefusals();
            this.startRamp(now - (target.stateAgeMs ?? 0));
        }
    }

    isLeaving(now: Milliseconds): boolean {
        const { state } = this.target;
        return state === TargetState.Draining || state === TargetState.Gone
            || now - this.drainingHeardAt < drainingMemoryMs;
    }

    /** A long call would keep the others waiting for the result of the trial, so short calls try first. */
    isRefusing(runTimeClass: RunTimeClass, now: Milliseconds): boolean {
        const headStartMs = runTimeClass === RunTimeClass.Long ? shortCallsTryFirstMs : 0;
        return this.refusals > 0 && (now < this.refusedUntil + headStartMs || this.trialCall !== undefined);
    }

    /** Whether the next attempt tells if a target works again that refused or broke connections. */
    get isOnProbation(): boolean {
        return this.refusals > 0;
    }

    /** Share of its capacity that a new or cold target gets. */
    ramp(now: Milliseconds): number {
        if (this.target.state === TargetState.Warming) {
            return rampFloor;
        }
        return Math.min(1, Math.max(rampFloor, (now - this.rampFrom) / rampMs));
    }

    latencyOf(runTimeClass: RunTimeClass): LatencyEstimate {
        return this.classes[runTimeClass].latency;
    }

    /** Age of the oldest unanswered call that no later call has overtaken; 0 if there is none. */
    stallMs(runTimeClass: RunTimeClass, now: Milliseconds): Milliseconds {
        const { unanswered, overtakenThrough } = this.classes[runTimeClass];
        for (const startedAt of unanswered.values()) {
            if (startedAt >= overtakenThrough) {
                return now - startedAt;
            }
        }
        return 0;
    }

    /** Raises a suspicion when calls stay unanswered for too long. */
    checkStall(now: Milliseconds): void {
        if (!this.suspected && (this.isStalled(RunTimeClass.Short, now) || this.isStalled(RunTimeClass.Long, now))) {
            this.suspect(now);
        }
    }

    /** Whether a suspected target may get a trial call now. */
    isTrialDue(now: Milliseconds): boolean {
        return this.trialCall === undefined && now >= this.nextTrialAt;
    }

    started(attempt: StartedAttempt, now: Milliseconds): void {
        this.classes[attempt.runTimeClass].unanswered.set(attempt.callId, now);
        if ((this.suspected || this.isOnProbation) && this.trialCall === undefined) {
            this.trialCall = attempt.callId;
        }
    }

    /** Takes the end of an attempt; `undefined` if the attempt is not known. */
    ended(attempt: EndedAttempt, distanceMs: Milliseconds, now: Milliseconds): AttemptAssessment | undefined {
        const runTimeClass = this.classOf(attempt.callId);
        if (runTimeClass === undefined) {
            return undefined;
        }
        const observation = this.classes[runTimeClass];
        const startedAt = observation.unanswered.get(attempt.callId) as Milliseconds;
        const runTimeMs = Math.max(0, attempt.latencyMs - distanceMs);
        const slowdown = runTimeMs / Math.max(observation.latency.usualMs ?? runTimeMs, 0.01);
        const inTime = attempt.result === AttemptResult.Answered && runTimeMs <= observation.latency.lateAfterMs;
        this.takeReport(attempt, slowdown, now);
        observation.unanswered.delete(attempt.callId);
        if (inTime) {
            observation.overtakenThrough = Math.max(observation.overtakenThrough, startedAt);
        }
        this.concludeTrial(attempt, inTime, now);
        this.takeResult(attempt, observation, runTimeMs, now);
        return { slowdown: Number.isFinite(slowdown) && slowdown > 0 ? slowdown : 1, runTimeMs };
    }

    private takeReport(attempt: EndedAttempt, slowdown: number, now: Milliseconds): void {
        if (attempt.draining) {
            this.drainingHeardAt = now;
        }
        if (attempt.load !== undefined) {
            const { slots } = this.target;
            this.load.add({ load: attempt.load, ownCalls: this.callsInFlight, slots, slowdown }, now);
        }
    }

    private takeResult(
        attempt: EndedAttempt,
        observation: ClassObservation,
        runTimeMs: Milliseconds,
        now: Milliseconds,
    ): void {
        switch (attempt.result) {
            case AttemptResult.Answered:
                observation.latency.add(runTimeMs, now);
                this.forgetRefusals();
                return;
            case AttemptResult.Shed:
                this.forgetRefusals();
                return;
            case AttemptResult.ConnectionRefused:
            case AttemptResult.Broken:
                this.refuse(now);
                return;
            case AttemptResult.TimedOut:
            case AttemptResult.Cancelled:
                this.takeAbandoned(observation, runTimeMs, now);
        }
    }

    /** An abandoned attempt no longer counts as unanswered, so its age must be judged here. */
    private takeAbandoned(observation: ClassObservation, ageMs: Milliseconds, now: Milliseconds): void {
        const late = ageMs > observation.latency.lateAfterMs;
        observation.latency.addLowerBound(ageMs, now);
        if (late && !this.suspected) {
            this.suspect(now);
        }
    }

    private concludeTrial(attempt: EndedAttempt, inTime: boolean, now: Milliseconds): void {
        const isTrial = attempt.callId === this.trialCall;
        if (isTrial) {
            this.trialCall = undefined;
        }
        if (!this.suspected) {
            return;
        }
        if (inTime && isTrial) {
            this.suspected = false;
            this.clearedAt = now;
        }
        else if (isTrial) {
            this.postponeTrial(now);
        }
        else if (this.callsInFlight === 0) {
            this.nextTrialAt = Math.min(this.nextTrialAt, now);
        }
    }

    private suspect(now: Milliseconds): void {
        this.suspected = true;
        if (now - this.clearedAt > trialWaitResetMs) {
            this.trialWaitMs = firstTrialWaitMs;
        }
        this.postponeTrial(now);
    }

    private postponeTrial(now: Milliseconds): void {
        this.nextTrialAt = now + this.jitter(this.trialWaitMs);
        this.trialWaitMs = Math.min(longestTrialWaitMs, this.trialWaitMs * 2);
    }

    private refuse(now: Milliseconds): void {
        const waitMs = Math.min(longestRefusalWaitMs, firstRefusalWaitMs * 2 ** Math.min(this.refusals, 10));
        if (now >= this.refusedUntil) {
            this.refusals++;
            this.refusedUntil = now + this.jitter(waitMs);
        }
    }

    private forgetRefusals(): void {
        this.refusals = 0;
        this.refusedUntil = Number.NEGATIVE_INFINITY;
    }

    /** Spreads the waits of many nodes over the upper half of the wait. */
    private jitter(waitMs: Milliseconds): Milliseconds {
        return waitMs * (0.5 + 0.5 * this.random.nextFraction());
    }

    private isStalled(runTimeClass: RunTimeClass, now: Milliseconds): boolean {
        return this.stallMs(runTimeClass, now) > this.classes[runTimeClass].latency.lateAfterMs;
    }

    private classOf(callId: string): RunTimeClass | undefined {
        if (this.classes[RunTimeClass.Short].unanswered.has(callId)) {
            return RunTimeClass.Short;
        }
        return this.classes[RunTimeClass.Long].unanswered.has(callId) ? RunTimeClass.Long : undefined;
    }
}

function createClassObservation(): ClassObservation {
    return { latency: new LatencyEstimate(), unanswered: new Map(), overtakenThrough: Number.NEGATIVE_INFINITY };
}
