/**
 * Learns how many calls a target should run at once, at most its announced slots.
 *
 * Some targets slow down long before all their slots are in use: beyond a knee, further calls add no throughput or
 * make all of them miss their objectives. Run times that rise with concurrency are only a hint, because a target that
 * is slow for another reason (noise, a cold start) fills up as a consequence. A lower limit is therefore tried against
 * the present one in alternating periods, and kept only if calls earn more under it. Without such a hint, the limit
 * stays at the slots and nothing is tried.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import { evictOldestIfFull } from "./boundedMap";
import { SlowdownCurve, slowdownAt, type SlowdownEstimate } from "./slowdownCurve";

/** Call that has ended with a response. */
export interface LimitedRun {
    readonly route: string;
    readonly runMs: Milliseconds;
    /** Calls that ran when this one started, itself included. */
    readonly running: number;
    /** The call made inner calls, whose waits elsewhere are a part of its run time. */
    readonly hasInnerCalls: boolean;
    /** Period in which the call was offered. */
    readonly period: number;
    /** Whether the call ended before its latency objective. */
    readonly isInTime: boolean;
    /** Time from the offer of the call to its objective. */
    readonly objectiveMs: Milliseconds;
}

/** What a target queue uses in place of the plain slots. */
export interface SlotLimit {
    /** Number identifying the present period, which calls are offered in. */
    readonly period: number;
    /** Number of calls to run at once, from 1 to `slots`. */
    limitWithin(slots: number): number;
    /** The same without a limit that is only being tried. */
    learnedWithin(slots: number): number;
    recordRun(run: LimitedRun): void;
    /** Forgets what was learned, because the target was replaced. */
    reset(): void;
}

/** Always runs as many calls as the target announces. */
export class AnnouncedSlots implements SlotLimit {
    readonly period = 0;

    limitWithin(slots: number): number {
        return slots;
    }

    learnedWithin(slots: number): number {
        return slots;
    }

    recordRun(): void {
        // Nothing is learned.
    }

    reset(): void {
        // Nothing was learned.
    }
}

interface Trial {
    readonly candidate: number;
    readonly startedAt: Milliseconds;
    readonly periodMs: Milliseconds;
    readonly firstPeriod: number;
    /** Sums of what the calls of the periods with the present limit and with the candidate have earned. */
    readonly earned: [number, number];
    readonly squares: [number, number];
}

/** Runs of a target that has just started are slow for seconds, whatever runs beside them. */
const settlingMs: Milliseconds = 10_000;
const estimateIntervalMs: Milliseconds = 1_000;
/** A lower limit is tried if the estimate promises at least this much more than the present one. */
const minPromise = 1.1;
/** A lower limit above this share of the present one is not tried: the difference would not show. */
const maxCandidateShare = 0.85;
/** Periods last this many mean run times, so that calls of a period mostly run under its limit. */
const periodRuns = 4;
const minPeriodMs: Milliseconds = 500;
const maxPeriodMs: Milliseconds = 3_000;
const minPeriodPairs = 3;
const maxPeriodPairs = 24;
/** Pairs after which a higher limit that has hardly earned less is kept. */
const harmlessPeriodPairs = 8;
/** Difference in standard deviations at which a trial ends early. */
const acceptedDeviations = 2.5;
const rejectedDeviations = -1.5;
/** A higher limit is rejected later and kept more easily, because the announced slots are preferred. */
const rejectedHigherDeviations = -2.5;
const harmlessDeviations = -1;
/** Pauses after a trial; that of a direction doubles each time it was rejected. */
const lowerPauseMs: Milliseconds = 4_000;
const higherPauseMs: Milliseconds = 16_000;
const maxLowerPauseMs: Milliseconds = 256_000;
/** Short, because a target that has recovered loses calls until a higher limit is tried. */
const maxHigherPauseMs: Milliseconds = 64_000;
/** Growth of a limit below the slots that is tried. */
const growthShare = 0.5;
/** What a late response earns, compared with one in time. */
const lateCredit = 0.3;
/** Share of overlong runs beyond which a lower limit is tried without an estimate. */
const collapseShare = 0.5;
const collapseStep = 0.6;
/** A noisy period of a target is shorter than this many estimates. */
const minCollapsedChecks = 4;
/** Bounds memory use when routes are added and removed. */
const maxRoutes = 1_024;
/** Weight at which the objective of a route follows shorter ones. */
const objectiveDecay = 0.01;
/** Weight of the latest call in the moving averages. */
const ewmaWeight = 0.05;

export class ConcurrencyLimit implements SlotLimit {
    private readonly curve: SlowdownCurve;
    private slots = 1;
    /** Learned limit; infinite as long as all slots are used. */
    private learned = Number.POSITIVE_INFINITY;
    private trial: Trial | undefined;
    private periods = 0;
    private estimated: SlowdownEstimate | undefined;
    private nextEstimateAt: Milliseconds = 0;
    private readonly lower = new TrialPause(lowerPauseMs, maxLowerPauseMs);
    private readonly higher = new TrialPause(higherPauseMs, maxHigherPauseMs);
    private meanRunMs: Milliseconds | undefined;
    private firstRunAt: Milliseconds | undefined;
    /** Share of the runs that alone take longer than the time to their objective. */
    private overlongShare = 0;
    /** Consecutive estimates during which most runs were overlong. */
    private collapsedChecks = 0;
    /** Time to the objective of a call that is offered for the first time, by route. */
    private readonly objectives = new Map<string, Milliseconds>();
    /** Mean of objective by run time, weighted alike over calls. */
    private objectiveRatio: number | undefined;

    constructor(private readonly clock: Clock) {
        this.curve = new SlowdownCurve(clock);
    }

    reset(): void {
        this.curve.reset();
        this.learned = Number.POSITIVE_INFINITY;
        this.stopTrial();
        this.estimated = undefined;
        this.lower.reset(0);
        this.higher.reset(0);
        this.meanRunMs = undefined;
        this.firstRunAt = undefined;
        this.objectiveRatio = undefined;
        this.overlongShare = 0;
        this.collapsedChecks = 0;
    }

    get period(): number {
        const { trial } = this;
        if (trial === undefined) {
            return this.periods;
        }
        return trial.firstPeriod + Math.floor((this.clock.now() - trial.startedAt) / trial.periodMs);
    }

    limitWithin(slots: number): number {
        if (slots !== this.slots) {
            this.slots = slots;
            this.stopTrial();
        }
        const { trial } = this;
        const isCandidate = trial !== undefined && this.isCandidatePeriod(trial, this.period);
        const limit = isCandidate ? trial.candidate : this.learned;
        return Math.max(1, Math.min(slots, limit));
    }

    learnedWithin(slots: number): number {
        return Math.max(1, Math.min(slots, this.learned));
    }

    recordRun(run: LimitedRun): void {
        this.meanRunMs = average(this.meanRunMs, run.runMs);
        this.firstRunAt ??= this.clock.now();
        if (!run.hasInnerCalls && this.clock.now() - this.firstRunAt >= settlingMs) {
            this.curve.add(run, this.slots);
            const objectiveMs = this.updateObjective(run);
            this.overlongShare = average(this.overlongShare, run.runMs > objectiveMs ? 1 : 0);
            this.objectiveRatio = average(this.objectiveRatio, objectiveMs / Math.max(1, run.runMs));
        }
        if (this.trial === undefined) {
            this.startTrialIfDue();
        }
        else {
            this.recordInTrial(this.trial, run);
        }
    }

    /** A caller that returns has less time left, which says nothing about the route; the longest time counts. */
    private updateObjective({ route, objectiveMs }: LimitedRun): Milliseconds {
        evictOldestIfFull(this.objectives, route, maxRoutes);
        const before = this.objectives.get(route) ?? objectiveMs;
        const updated = Math.max(objectiveMs, before + objectiveDecay * (objectiveMs - before));
        this.objectives.set(route, updated);
        return updated;
    }

    private startTrialIfDue(): void {
        const now = this.clock.now();
        if (now < this.nextEstimateAt) {
            return;
        }
        this.nextEstimateAt = now + estimateIntervalMs;
        this.estimated = this.curve.estimate();
        this.collapsedChecks = this.overlongShare > collapseShare ? this.collapsedChecks + 1 : 0;
        const candidate = (this.lower.isOver(now) ? this.findLowerLimit() ?? this.findLimitOfCollapse() : undefined)
            ?? (this.higher.isOver(now) ? this.findHigherLimit() : undefined);
        if (candidate !== undefined) {
            const periodMs = Math.min(maxPeriodMs, Math.max(minPeriodMs, periodRuns * (this.meanRunMs ?? 0)));
            // Runs of calls from before the trial count in none of its periods.
            this.periods += 1;
            this.trial = {
                candidate,
                startedAt: now,
                periodMs,
                firstPeriod: this.periods,
                earned: [0, 0],
                squares: [0, 0],
            };
        }
    }

    /** The limit at which calls would earn most according to the estimate, if that is clearly more than at present. */
    private findLowerLimit(): number | undefined {
        const { estimated } = this;
        if (estimated === undefined) {
            return undefined;
        }
        const present = Math.min(this.slots, this.learned);
        const earn = (limit: number): number =>
            limit / slowdownAt(estimated, limit) * this.shareInTime(estimated, limit);
        let best = present;
        for (let limit = present - 1; limit >= 1; limit--) {
            if (earn(limit) > earn(best)) {
                best = limit;
            }
        }
        return best <= maxCandidateShare * present && earn(best) >= minPromise * earn(present) ? best : undefined;
    }

    /** Approximate share of runs that meet their objectives: all up to half of the objective, none at twice of it. */
    private shareInTime(estimated: SlowdownEstimate, limit: number): number {
        const { meanRunMs, objectiveRatio } = this;
        if (meanRunMs === undefined || objectiveRatio === undefined) {
            return 1;
        }
        const present = slowdownAt(estimated, Math.min(this.slots, this.learned));
        const ratio = objectiveRatio * present / slowdownAt(estimated, limit);
        const share = Math.log2(ratio) / 2 + 0.5;
        return lateCredit + (1 - lateCredit) * Math.min(1, Math.max(0, share));
    }

    /** Most runs miss their objectives by themselves: fewer at once may be faster, whatever else is known. */
    private findLimitOfCollapse(): number | undefined {
        const present = Math.min(this.slots, this.learned);
        return this.collapsedChecks >= minCollapsedChecks && present > 1
            ? Math.ceil(present * collapseStep)
            : undefined;
    }

    private findHigherLimit(): number | undefined {
        return this.learned < this.slots
            ? Math.min(this.slots, this.learned + Math.max(1, Math.round(growthShare * this.learned)))
            : undefined;
    }

    private isCandidatePeriod({ firstPeriod }: Trial, period: number): boolean {
        return (period - firstPeriod) % 2 === 1;
    }

    private recordInTrial(trial: Trial, run: LimitedRun): void {
        const { firstPeriod, earned, squares } = trial;
        const pairs = Math.floor((this.period - firstPeriod) / 2);
        if (run.period >= firstPeriod && run.period < firstPeriod + 2 * maxPeriodPairs) {
            const arm = this.isCandidatePeriod(trial, run.period) ? 1 : 0;
            const worth = run.isInTime ? 1 : lateCredit;
            earned[arm] += worth;
            squares[arm] += worth * worth;
        }
        if (pairs < minPeriodPairs || (this.period - firstPeriod) % 2 === 1) {
            return;
        }
        const difference = (earned[1] - earned[0]) / Math.sqrt(Math.max(1, squares[0] + squares[1]));
        const isLower = trial.candidate < this.learned;
        const isHarmless = !isLower && pairs >= harmlessPeriodPairs && difference >= harmlessDeviations;
        if (difference >= acceptedDeviations || isHarmless) {
            this.endTrial(trial, true);
        }
        else if (difference <= (isLower ? rejectedDeviations : rejectedHigherDeviations) || pairs >= maxPeriodPairs) {
            this.endTrial(trial, false);
        }
    }

    /** Calls of the trial that are still running count in no later one. */
    private stopTrial(): void {
        this.periods = this.period + 1;
        this.trial = undefined;
    }

    private endTrial(trial: Trial, isAccepted: boolean): void {
        this.stopTrial();
        const now = this.clock.now();
        const direction = trial.candidate < this.learned ? this.lower : this.higher;
        if (isAccepted) {
            this.learned = trial.candidate >= this.slots ? Number.POSITIVE_INFINITY : trial.candidate;
            this.lower.reset(now);
            this.higher.reset(now);
        }
        else {
            direction.extend(now);
        }
    }
}

/** Time that has to pass before the next trial in one direction. */
class TrialPause {
    private pauseMs: Milliseconds;
    private endsAt: Milliseconds = 0;

    constructor(private readonly initialMs: Milliseconds, private readonly maxMs: Milliseconds) {
        this.pauseMs = initialMs;
    }

    isOver(now: Milliseconds): boolean {
        return now >= this.endsAt;
    }

    reset(now: Milliseconds): void {
        this.pauseMs = this.initialMs;
        this.endsAt = now + this.initialMs;
    }

    /** A trial was rejected. */
    extend(now: Milliseconds): void {
        this.pauseMs = Math.min(this.maxMs, this.pauseMs * 2);
        this.endsAt = now + this.pauseMs;
    }
}

function average(before: number | undefined, sample: number): number {
    return before === undefined ? sample : before + ewmaWeight * (sample - before);
}
