/**
 * Observations of one target: latencies, load reports, suspicion of a stall, and refused or broken connections.
 *
 * Suspicion is based on the age of the oldest unanswered call, so a stall is detected without a response. An unanswered
 * call is ignored if a call that started after it was answered: it is a long call on a healthy target, not a stall.
 */
import { TargetState } from "@bilberrycroft/coordination.membership";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import type { Random } from "@bilberrycroft/core.random";
import { RunTimeClass } from "@bilberrycroft/state.rules";
import { LatencyEstimate } from "./latency";
import { LoadEstimate } from "./loadReport";
import { AttemptResult } from "./types";
import type { AttemptAssessment, EndedAttempt, RoutingTarget, StartedAttempt } from "./types";

const initialTrialDelayMs = 100;
const maxTrialDelayMs = 500;
/** After this time without suspicion the trial delay starts again at its initial value. */
const trialDelayResetMs = 2_000;
const initialRefusalBackoffMs = 100;
const maxRefusalBackoffMs = 5_000;
const shortCallHeadStartMs = 500;
const rampMs = 5_000;
const minRampShare = 0.1;
/** Lifetime of a draining header that membership does not confirm. Membership spreads an announcement within 3 s. */
const drainingHeaderLifetimeMs = 30_000;

interface ClassObservation {
    readonly latency: LatencyEstimate;
    /** Start times by call id, oldest first. */
    readonly unanswered: Map<string, Milliseconds>;
    /** Start time of the latest call that was answered in time. */
    latestAnsweredStart: Milliseconds;
}

export class TargetRecord {
    readonly load = new LoadEstimate();
    /** Number of connections that this node may use. */
    connectionShare = Number.POSITIVE_INFINITY;
    /** Number of long calls that this node may run regardless of the other nodes. */
    longCallShare = 0;
    isSuspected = false;
    private readonly classes: Record<RunTimeClass, ClassObservation> = {
        [RunTimeClass.Short]: createClassObservation(),
        [RunTimeClass.Long]: createClassObservation(),
    };

    private rampStartedAt = Number.NEGATIVE_INFINITY;
    private drainingSeenAt = Number.NEGATIVE_INFINITY;
    private refusals = 0;
    private refusedUntil = Number.NEGATIVE_INFINITY;
    private trialCallId: string | undefined;
    private trialDelayMs = initialTrialDelayMs;
    private nextTrialAt: Milliseconds = 0;
    private suspicionClearedAt = Number.NEGATIVE_INFINITY;

    constructor(public target: RoutingTarget, private readonly random: Random) {}

    get callsInFlight(): number {
        return this.classes[RunTimeClass.Short].unanswered.size + this.classes[RunTimeClass.Long].unanswered.size;
    }

    /** Starts the ramp at the time at which the target appeared or ended its cold start. */
    startRamp(readySince: Milliseconds): void {
        this.rampStartedAt = readySince;
    }

    /** Updates the target from the membership table. */
    update(target: RoutingTarget, now: Milliseconds): void {
        const before = this.target;
        this.target = target;
        if (target.state === TargetState.Warming || target.state === TargetState.Gone) {
            this.drainingSeenAt = Number.NEGATIVE_INFINITY;
        }
        if (target.address !== before.address) {
            this.clearRefusals();
        }
        if (target.state === TargetState.Ready && before.state !== TargetState.Ready) {
            this.clearRefusals();
            this.startRamp(now - (target.stateAgeMs ?? 0));
        }
    }

    isLeaving(now: Milliseconds): boolean {
        const { state } = this.target;
        return state === TargetState.Draining || state === TargetState.Gone
            || now - this.drainingSeenAt < drainingHeaderLifetimeMs;
    }

    /**
     * Whether to avoid the target because it refused or broke connections. Short calls try it again first, because a
     * long trial call would delay the result for all others.
     */
    isRefusing(runTimeClass: RunTimeClass, now: Milliseconds): boolean {
        const headStartMs = runTimeClass === RunTimeClass.Long ? shortCallHeadStartMs : 0;
        return this.refusals > 0 && (now < this.refusedUntil + headStartMs || this.trialCallId !== undefined);
    }

    /** Whether the target has refused or broken connections since its last response, so the next attempt is a trial. */
    get hasRefusals(): boolean {
        return this.refusals > 0;
    }

    /** Share of the capacity that is used while the target is new or cold; 1 when it is warm. */
    ramp(now: Milliseconds): number {
        if (this.target.state === TargetState.Warming) {
            return minRampShare;
        }
        return Math.min(1, Math.max(minRampShare, (now - this.rampStartedAt) / rampMs));
    }

    latencyOf(runTimeClass: RunTimeClass): LatencyEstimate {
        return this.classes[runTimeClass].latency;
    }

    /** Age of the oldest unanswered call that started after the latest answered one; 0 if there is none. */
    stallMs(runTimeClass: RunTimeClass, now: Milliseconds): Milliseconds {
        const { unanswered, latestAnsweredStart } = this.classes[runTimeClass];
        for (const startedAt of unanswered.values()) {
            if (startedAt >= latestAnsweredStart) {
                return now - startedAt;
            }
        }
        return 0;
    }

    /** Marks the target as suspected if a call is unanswered for too long. */
    checkStall(now: Milliseconds): void {
        if (!this.isSuspected && (this.isStalled(RunTimeClass.Short, now) || this.isStalled(RunTimeClass.Long, now))) {
            this.suspect(now);
        }
    }

    /** Whether a suspected target may receive a trial call now. */
    isTrialDue(now: Milliseconds): boolean {
        return this.trialCallId === undefined && now >= this.nextTrialAt;
    }

    recordStart(attempt: StartedAttempt, now: Milliseconds): void {
        this.classes[attempt.runTimeClass].unanswered.set(attempt.callId, now);
        if ((this.isSuspected || this.hasRefusals) && this.trialCallId === undefined) {
            this.trialCallId = attempt.callId;
        }
    }

    /** Records the end of an attempt; returns `undefined` if the attempt is not known. */
    recordEnd(attempt: EndedAttempt, distanceMs: Milliseconds, now: Milliseconds): AttemptAssessment | undefined {
        const runTimeClass = this.classOf(attempt.callId);
        if (runTimeClass === undefined) {
            return undefined;
        }
        const observation = this.classes[runTimeClass];
        const startedAt = observation.unanswered.get(attempt.callId) as Milliseconds;
        const runTimeMs = Math.max(0, attempt.latencyMs - distanceMs);
        const slowdown = runTimeMs / Math.max(observation.latency.baselineMs ?? runTimeMs, 0.01);
        const isInTime = attempt.result === AttemptResult.Answered && runTimeMs <= observation.latency.lateThresholdMs;
        this.recordReport(attempt, slowdown, now);
        observation.unanswered.delete(attempt.callId);
        if (isInTime) {
            observation.latestAnsweredStart = Math.max(observation.latestAnsweredStart, startedAt);
        }
        this.concludeTrial(attempt, isInTime, now);
        this.recordResult(attempt, observation, runTimeMs, now);
        return { slowdown: Number.isFinite(slowdown) && slowdown > 0 ? slowdown : 1, runTimeMs };
    }

    private recordReport(attempt: EndedAttempt, slowdown: number, now: Milliseconds): void {
        if (attempt.draining) {
            this.drainingSeenAt = now;
        }
        if (attempt.load !== undefined) {
            const { slots } = this.target;
            this.load.add({ load: attempt.load, localCalls: this.callsInFlight, slots, slowdown }, now);
        }
    }

    private recordResult(
        attempt: EndedAttempt,
        observation: ClassObservation,
        runTimeMs: Milliseconds,
        now: Milliseconds,
    ): void {
        switch (attempt.result) {
            case AttemptResult.Answered:
                observation.latency.add(runTimeMs, now);
                this.clearRefusals();
                return;
            case AttemptResult.Shed:
                this.clearRefusals();
                return;
            case AttemptResult.ConnectionRefused:
            case AttemptResult.Broken:
                this.recordRefusal(now);
                return;
            case AttemptResult.TimedOut:
            case AttemptResult.Cancelled:
                this.recordAbandoned(observation, runTimeMs, now);
        }
    }

    /** An abandoned attempt no longer counts as unanswered, so its age is checked here. */
    private recordAbandoned(observation: ClassObservation, ageMs: Milliseconds, now: Milliseconds): void {
        const isLate = ageMs > observation.latency.lateThresholdMs;
        observation.latency.addLowerBound(ageMs, now);
        if (isLate && !this.isSuspected) {
            this.suspect(now);
        }
    }

    private concludeTrial(attempt: EndedAttempt, isInTime: boolean, now: Milliseconds): void {
        const isTrial = attempt.callId === this.trialCallId;
        if (isTrial) {
            this.trialCallId = undefined;
        }
        if (!this.isSuspected) {
            return;
        }
        if (isInTime && isTrial) {
            this.isSuspected = false;
            this.suspicionClearedAt = now;
        }
        else if (isTrial) {
            this.scheduleTrial(now);
        }
        else if (this.callsInFlight === 0) {
            this.nextTrialAt = Math.min(this.nextTrialAt, now);
        }
    }

    private suspect(now: Milliseconds): void {
        this.isSuspected = true;
        if (now - this.suspicionClearedAt > trialDelayResetMs) {
            this.trialDelayMs = initialTrialDelayMs;
        }
        this.scheduleTrial(now);
    }

    private scheduleTrial(now: Milliseconds): void {
        this.nextTrialAt = now + this.jitter(this.trialDelayMs);
        this.trialDelayMs = Math.min(maxTrialDelayMs, this.trialDelayMs * 2);
    }

    private recordRefusal(now: Milliseconds): void {
        const backoffMs = Math.min(maxRefusalBackoffMs, initialRefusalBackoffMs * 2 ** Math.min(this.refusals, 10));
        if (now >= this.refusedUntil) {
            this.refusals++;
            this.refusedUntil = now + this.jitter(backoffMs);
        }
    }

    private clearRefusals(): void {
        this.refusals = 0;
        this.refusedUntil = Number.NEGATIVE_INFINITY;
    }

    /** Random delay in the upper half of `delayMs`, so that nodes do not retry at the same time. */
    private jitter(delayMs: Milliseconds): Milliseconds {
        return delayMs * (0.5 + 0.5 * this.random.nextFraction());
    }

    private isStalled(runTimeClass: RunTimeClass, now: Milliseconds): boolean {
        return this.stallMs(runTimeClass, now) > this.classes[runTimeClass].latency.lateThresholdMs;
    }

    private classOf(callId: string): RunTimeClass | undefined {
        if (this.classes[RunTimeClass.Short].unanswered.has(callId)) {
            return RunTimeClass.Short;
        }
        return this.classes[RunTimeClass.Long].unanswered.has(callId) ? RunTimeClass.Long : undefined;
    }
}

function createClassObservation(): ClassObservation {
    return { latency: new LatencyEstimate(), unanswered: new Map(), latestAnsweredStart: Number.NEGATIVE_INFINITY };
}
