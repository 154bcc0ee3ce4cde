/**
 * Decides the next step of a rollout at the acting node.
 *
 * Answers a bad version, which must get few calls and be left within seconds, and a good one, which must have all calls
 * before the deadline although calls of the old version may still run. Phases only go forward. A node that takes over
 * writes the plan under its own name first, so that a write of its predecessor fails.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { maxRouteShares, RolloutPhase, type RolloutPlan, type RouteShare } from "@bilberrycroft/protocol.forwarding";
import { countRuns, type ComparedTotals } from "./evidenceHistory";
import { type Judgement, Sign, Verdict } from "./judgement";
import { roundShare, testShare } from "./order";

export interface StepInput {
    readonly plan: RolloutPlan;
    /** Time since the order. */
    readonly elapsedMs: Milliseconds;
    /** Time since this node first saw this revision of the plan. */
    readonly planAgeMs: Milliseconds;
    /** Name of this node. */
    readonly writer: string;
    readonly judgement: Judgement;
    readonly totals: ComparedTotals;
    /** Whether this node has received any report. */
    readonly hasReports: boolean;
    /** Whether the target nodes have reported to this node since the last change of the plan. */
    readonly hasEvidence: boolean;
    /** Targets of the new version that serve. */
    readonly newTargets: number;
    /** Targets of the versions before that are in the table. */
    readonly oldTargets: number;
    /** Whether all nodes that respond have the plan, and the old targets have nothing to run, in two polls in a row. */
    readonly isOldIdle: boolean;
    /** Time that calls on the old version may need to end. */
    readonly drainMs: Milliseconds;
    /** What a bad version may get until the deadline: a share of the service's calls, and a number of them. */
    readonly exposure: { readonly share: number; readonly slack: number };
}

export enum StepReason {
    TakenOver = "taken-over",
    TestShares = "test-shares",
    Sound = "sound",
    /** Nothing speaks against the version, but there are few calls. */
    FewCalls = "few-calls",
    OldIdle = "old-idle",
    DeadlineNear = "deadline-near",
    Bad = "bad",
    Suspected = "suspected",
    NoTargets = "no-targets",
    NoRuns = "no-runs",
    DeadlinePassed = "deadline-passed",
    Withdrawn = "withdrawn",
}

/** The plan to write, and why. */
export interface Step {
    readonly plan: RolloutPlan;
    readonly reason: StepReason;
}

/** Part of the duration after which a sound version gets more calls. */
const testingPart = 0.6;
const shiftingShare = 0.25;
const shiftingMs: Milliseconds = 1_500;
/** Time of `Drained` in which a fault that appears under full load becomes visible while the old targets still run. */
const minDrainedMs: Milliseconds = 2_000;
/** Interval at which the next step is decided. */
const pollMs: Milliseconds = 500;
/** Time until a changed plan is in force on all nodes. */
const applyMs: Milliseconds = 1_200;
/** Time for the writes of the last plan and the status. */
const finalWritesMs: Milliseconds = 1_000;
/** Old calls are waited for during at most this part of the duration; the rest of it is needed for evidence. */
const maxDrainPart = 0.2;
/** Time before which the rate and the routes of the calls are not known. */
const testSharesAfterMs: Milliseconds = 1_500;
/** Counting begins when the plan reaches the targets' nodes, at least this long after the order. */
const countingDelayMs: Milliseconds = 300;
const minRunsForTestShares = 10;
/** Part of the slack that is used; the rest covers calls that are offered twice and a rate that grows. */
const usedSlackPart = 0.6;
/** Enough for evidence where calls are few. */
const maxTestShare = 0.3;
/** Each change of the shares is a write that all nodes receive, so small changes are not made. */
const minShareChange = 0.2;
/** A route with a smaller share of the calls gets few runs of the new version. */
const rareRouteShare = 0.05;
const rareRouteTestShare = 0.5;
/** Part of the share of the calls under test that goes to rare routes. */
const maxRareRoutesPart = 0.45;
const minExpectedRuns = 3;

/** Returns the next step, `undefined` if the plan stays as it is. */
export function decideStep(input: StepInput): Step | undefined {
    const { plan, judgement, elapsedMs } = input;
    switch (plan.phase) {
        case RolloutPhase.Completed:
        case RolloutPhase.RolledBack:
            return undefined;
        case RolloutPhase.Testing:
        case RolloutPhase.Shifting:
        case RolloutPhase.Drained:
            break;
    }
    if (judgement.verdict === Verdict.Bad && plan.versionsBefore.length > 0) {
        return rollBack(input, StepReason.Bad);
    }
    if (elapsedMs >= plan.durationMs && plan.phase !== RolloutPhase.Drained) {
        return rollBack(input, StepReason.DeadlinePassed);
    }
    if (plan.writer !== input.writer) {
        return { plan: advance(input, {}), reason: StepReason.TakenOver };
    }
    switch (plan.phase) {
        case RolloutPhase.Testing:
            return stepFromTesting(input);
        case RolloutPhase.Shifting:
            return stepFromShifting(input);
        case RolloutPhase.Drained:
            return stepFromDrained(input);
    }
}

/** The order was removed: all calls return to the versions before. */
export function withdraw(plan: RolloutPlan, { elapsedMs, writer }: Pick<StepInput, "elapsedMs" | "writer">): Step {
    const ended = { phase: RolloutPhase.RolledBack, share: 0, routeShares: [], isWithdrawn: true };
    return { plan: { ...plan, ...ended, elapsedMs, writer }, reason: StepReason.Withdrawn };
}

function stepFromTesting(input: StepInput): Step | undefined {
    const { plan, elapsedMs, judgement, hasEvidence, newTargets } = input;
    const drainMs = Math.min(input.drainMs, maxDrainPart * plan.durationMs);
    const reserveMs = shiftingMs + pollMs + finalWritesMs;
    const dueAt = Math.min(
        testingPart * plan.durationMs,
        plan.durationMs - reserveMs - Math.max(minDrainedMs, applyMs + drainMs),
    );
    const latestAt = Math.max(dueAt, plan.durationMs - reserveMs - minDrainedMs);
    if (elapsedMs < dueAt) {
        return adjustTestShares(input);
    }
    if (judgement.verdict === Verdict.Sound && hasEvidence) {
        return { plan: advance(input, shifting), reason: StepReason.Sound };
    }
    if (elapsedMs < latestAt) {
        return undefined;
    }
    if (judgement.verdict === Verdict.Suspected) {
        return rollBack(input, StepReason.Suspected);
    }
    if (newTargets === 0) {
        return rollBack(input, StepReason.NoTargets);
    }
    const expectedRuns = countRuns(input.totals.before) * plan.share / (1 - plan.share);
    if (judgement.runs < minExpectedRuns && expectedRuns >= minExpectedRuns) {
        return rollBack(input, StepReason.NoRuns);
    }
    return hasEvidence ? { plan: advance(input, shifting), reason: StepReason.FewCalls } : undefined;
}

function stepFromShifting(input: StepInput): Step | undefined {
    const { plan, elapsedMs, planAgeMs, judgement, hasEvidence } = input;
    if (planAgeMs < shiftingMs || !hasEvidence) {
        return undefined;
    }
    if (judgement.verdict === Verdict.Suspected) {
        const isLatest = elapsedMs >= plan.durationMs - applyMs - finalWritesMs;
        return isLatest ? rollBack(input, StepReason.Suspected) : undefined;
    }
    const reason = judgement.verdict === Verdict.Sound ? StepReason.Sound : StepReason.FewCalls;
    return { plan: advance(input, { phase: RolloutPhase.Drained, share: 1, routeShares: [] }), reason };
}

function stepFromDrained(input: StepInput): Step | undefined {
    const { plan, elapsedMs, planAgeMs, judgement, hasEvidence, newTargets, oldTargets, isOldIdle } = input;
    const completed = { phase: RolloutPhase.Completed };
    const isSuspected = judgement.verdict === Verdict.Suspected && oldTargets > 0;
    // A node that hears of no other cannot tell whether the old targets may stop.
    if (elapsedMs >= plan.durationMs - finalWritesMs && input.hasReports) {
        if (newTargets === 0 && oldTargets > 0) {
            return rollBack(input, StepReason.NoTargets);
        }
        return isSuspected
            ? rollBack(input, StepReason.Suspected)
            : { plan: advance(input, completed), reason: StepReason.DeadlineNear };
    }
    const hasBeenSeen = oldTargets === 0 || (planAgeMs >= minDrainedMs && hasEvidence);
    return hasBeenSeen && isOldIdle && newTargets > 0 && !isSuspected
        ? { plan: advance(input, completed), reason: StepReason.OldIdle }
        : undefined;
}

const shifting = { phase: RolloutPhase.Shifting, share: shiftingShare };

function rollBack(input: StepInput, reason: StepReason): Step {
    return { plan: advance(input, { phase: RolloutPhase.RolledBack, share: 0, routeShares: [] }), reason };
}

function advance({ plan, elapsedMs, writer }: StepInput, changes: Partial<RolloutPlan>): RolloutPlan {
    return { ...plan, ...changes, elapsedMs: Math.round(elapsedMs), writer };
}

/**
 * Uses the slack of the exposure where calls are few, and gives rare routes a larger part of the same exposure. Lowers
 * the share again if the rate of the calls grows.
 */
function adjustTestShares(input: StepInput): Step | undefined {
    const { plan, elapsedMs, totals, exposure } = input;
    const runs = countRuns(totals.before) + countRuns(totals.after);
    if (elapsedMs < testSharesAfterMs || runs < minRunsForTestShares) {
        return undefined;
    }
    const expectedCalls = runs * plan.durationMs / (elapsedMs - countingDelayMs);
    const slackShare = usedSlackPart * exposure.slack / expectedCalls;
    const mean = Math.min(Math.max(maxTestShare, testShare(exposure.share)), testShare(exposure.share) + slackShare);
    const { share, routeShares } = computeRouteShares(totals, mean);
    const isFirst = plan.routeShares.length === 0 && plan.share <= testShare(exposure.share);
    const isRaised = routeShares.length > 0 || share >= plan.share * (1 + minShareChange);
    return (isFirst && isRaised) || share < plan.share * (1 - minShareChange)
        ? { plan: advance(input, { share, routeShares }), reason: StepReason.TestShares }
        : undefined;
}

/** Returns shares whose mean over all calls is `share`. */
export function computeRouteShares(
    { before, after }: ComparedTotals,
    share: number,
): { readonly share: number; readonly routeShares: readonly RouteShare[] } {
    const runs = countRuns(before) + countRuns(after);
    const rare = [...before.values()]
        .map(counts => ({ route: counts.route, part: (counts.runs + (after.get(counts.route)?.runs ?? 0)) / runs }))
        .filter(({ part }) => part > 0 && part < rareRouteShare)
        .sort((left, right) => left.part - right.part);
    const routeShares: RouteShare[] = [];
    let partSum = 0;
    for (const { route, part } of rare) {
        if (routeShares.length < maxRouteShares && (partSum + part) * rareRouteTestShare <= maxRareRoutesPart * share) {
            partSum += part;
            routeShares.push({ route, share: rareRouteTestShare });
        }
    }
    return { share: roundShare((share - partSum * rareRouteTestShare) / (1 - partSum)), routeShares };
}

/** Fields of a log line that say why a step was taken. */
export function describeStep(
    { plan, reason }: Step,
    judgement: Judgement,
): Readonly<Record<string, string | number | undefined>> {
    const { verdict, sign, route, runs, failures, expectedFailures, slowdown, probability } = judgement;
    return {
        service: plan.service,
        version: plan.version,
        phase: plan.phase,
        share: round(plan.share),
        reason,
        elapsedMs: Math.round(plan.elapsedMs),
        verdict,
        sign: sign === Sign.None ? undefined : sign,
        route,
        runs,
        failures,
        expectedFailures: round(expectedFailures),
        slowdown: round(slowdown),
        probability: Number(probability.toExponential(1)),
    };
}

function round(value: number): number {
    return Math.round(value * 1_000) / 1_000;
}
