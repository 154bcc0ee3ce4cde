/**
 * Plays a rollout over the pure classes: generated calls, targets' counts, polls and steps.
 */
import {
    createPlan,
    decideStep,
    EvidenceHistory,
    judgeHistory,
    type Judgement,
    RunOutcome,
    type StepReason,
    VersionEvidence,
} from "@bilberrycroft/coordination.rollouts";
import { ManualClock, type Milliseconds } from "@bilberrycroft/core.clock";
import { createSeededRandom, type Random } from "@bilberrycroft/core.random";
import { isActivePhase, RolloutPhase, type RolloutPlan } from "@bilberrycroft/protocol.forwarding";

export interface CallOutcome {
    readonly fails: boolean;
    /** Factor of the run time. */
    readonly slowdown: number;
}

export interface Played {
    readonly seed: number;
    readonly callsPerSecond: number;
    readonly durationMs?: Milliseconds;
    /** Times at which a new target breaks all calls in flight. */
    readonly restartsAt?: readonly Milliseconds[];
    /** What happens to a call on the old version. */
    readonly before?: (call: PlayedCall, random: Random) => CallOutcome;
    /** What happens to a call on the new version. */
    readonly after?: (call: PlayedCall, random: Random) => CallOutcome;
}

export interface PlayedCall {
    readonly at: Milliseconds;
    readonly route: string;
    /** Share of the calls that the new version gets. */
    readonly share: number;
    /** Time since the first call of the target. */
    readonly targetAgeMs: Milliseconds;
}

export interface PlayResult {
    readonly phase: RolloutPhase;
    readonly reason: StepReason | undefined;
    readonly judgement: Judgement;
    readonly calls: number;
    readonly exposedCalls: number;
    readonly endedAt: Milliseconds;
    /** Runs of the new version when the last step was decided. */
    readonly runs: number;
}

/** Routes by share of the calls and median run time. */
const routes = [
    { route: "large", part: 0.6, medianMs: 60 },
    { route: "medium", part: 0.27, medianMs: 25 },
    { route: "small", part: 0.1, medianMs: 140 },
    { route: "rare", part: 0.03, medianMs: 80 },
];
const logDeviation = 0.5;
const ordinaryFailureShare = 0.004;
const tickMs = 10;
const pollMs = 500;
/** Time until a written plan is in force. */
const applyMs = 1_000;
const targetsPerVersion = 10;
export const sound = (): CallOutcome => ({ fails: false, slowdown: 1 });

export function playRollout(played: Played): PlayResult {
    const { seed, callsPerSecond, durationMs = 14_000, restartsAt = [], before = sound, after = sound } = played;
    const clock = new ManualClock();
    const random = createSeededRandom(seed);
    const order = { service: "s", version: "v2", durationMs };
    const exposureShare = 0.1;
    let plan = createPlan({
        order,
        revision: 1,
        previous: undefined,
        knownVersions: ["v1"],
        presentVersions: ["v1", "v2"],
        exposureShare,
        writer: "n",
    });
    let planWrittenAt = 0;
    let inForce: RolloutPlan = plan;
    const history = new EvidenceHistory({ clock, version: "v2", orderRevision: 1 });
    const createTargets = (version: string): VersionEvidence[] => Array.from({ length: targetsPerVersion }, () =>
        new VersionEvidence({ version, orderRevision: 1, since: 1 }));
    const targets = { before: createTargets("v1"), after: createTargets("v2") };
    const firstCallAt = new Map<VersionEvidence, Milliseconds>();
    let calls = 0;
    let exposedCalls = 0;
    let reason: StepReason | undefined;
    let judgement = judgeHistory(history);
    for (let at = 0; at < durationMs && isActivePhase(plan.phase); at += tickMs, clock.advance(tickMs)) {
        inForce = at - planWrittenAt >= applyMs ? plan : inForce;
        let due = callsPerSecond * tickMs / 1_000;
        for (; random.nextFraction() < due; due--) {
            calls++;
            const { route, medianMs } = drawRoute(random);
            const share = Math.max(inForce.share, inForce.routeShares.find(entry => entry.route === route)?.share ?? 0);
            const isNew = random.nextFraction() < share;
            exposedCalls += isNew ? 1 : 0;
            const targetRatio = Math.min(1, inForce.share / (1 - inForce.share));
            const tested = Math.max(1, Math.round(targetRatio * targetsPerVersion));
            const target = isNew
                ? targets.after[random.nextInteger(tested)] as VersionEvidence
                : targets.before[random.nextInteger(targetsPerVersion)] as VersionEvidence;
            firstCallAt.set(target, firstCallAt.get(target) ?? at);
            const call = { at, route, share: inForce.share, targetAgeMs: at - (firstCallAt.get(target) ?? at) };
            const { fails, slowdown } = (isNew ? after : before)(call, random);
            const hasFailed = fails || random.nextFraction() < ordinaryFailureShare;
            const runTimeMs = medianMs * slowdown * Math.exp(logDeviation * drawNormal(random));
            const outcome = hasFailed ? RunOutcome.Failed : RunOutcome.Answered;
            target.record({ route, outcome, runTimeMs, isCold: false, at });
        }
        if (restartsAt.includes(at)) {
            for (let lost = 0; lost < 4; lost++) {
                targets.after[0]?.record({ route: "large", outcome: RunOutcome.Lost, runTimeMs: 20, isCold: false, at });
            }
        }
        if (at % pollMs === 0) {
            Object.values(targets).flat().forEach((target, index) => history.add(`node-${index}`, target.counts));
            judgement = judgeHistory(history);
            const step = decideStep({
                plan,
                elapsedMs: at,
                planAgeMs: at - planWrittenAt,
                writer: "n",
                judgement,
                totals: history.totals,
                hasReports: true,
                hasEvidence: at - planWrittenAt >= applyMs,
                newTargets: targetsPerVersion,
                oldTargets: targetsPerVersion,
                isOldIdle: inForce.share === 1,
                drainMs: 2_000,
                exposure: { share: exposureShare, slack: 50 },
            });
            if (step !== undefined) {
                ({ plan, reason } = step);
                planWrittenAt = at;
                history.startPeriod();
            }
        }
    }
    return { phase: plan.phase, reason, judgement, calls, exposedCalls, endedAt: planWrittenAt, runs: judgement.runs };
}

function drawRoute(random: Random): (typeof routes)[number] {
    let remaining = random.nextFraction();
    return routes.find(({ part }) => (remaining -= part) < 0) ?? routes[0] as (typeof routes)[number];
}

/** Box-Muller transform. */
export function drawNormal(random: Random): number {
    return Math.sqrt(-2 * Math.log(1 - random.nextFraction())) * Math.cos(2 * Math.PI * random.nextFraction());
}
