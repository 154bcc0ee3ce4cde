import {
    computeRouteShares,
    countTail,
    createPlan,
    decideStep,
    EvidenceHistory,
    isPlanOf,
    normalTail,
    RunOutcome,
    Sign,
    type StepInput,
    StepReason,
    Verdict,
    VersionEvidence,
    withdraw,
} from "@bilberrycroft/coordination.rollouts";
import { ManualClock } from "@bilberrycroft/core.clock";
import { RolloutPhase, type RolloutPlan, type RouteCounts } from "@bilberrycroft/protocol.forwarding";
import { describe, expect, it } from "vitest";

const order = { service: "s", version: "v2", durationMs: 12_000 };
const newPlan = { order, revision: 5, previous: undefined, knownVersions: ["v1"], presentVersions: ["v1", "v2"], exposureShare: 0.1, writer: "a" };
const testing = createPlan(newPlan);
const judged = (verdict: Verdict): StepInput["judgement"] => ({
    verdict,
    sign: Sign.None,
    route: undefined,
    runs: 50,
    failures: 0,
    expectedFailures: 0,
    slowdown: 1,
    probability: 1,
});
const createInput = (changes: Partial<StepInput> = {}): StepInput => ({
    plan: testing,
    elapsedMs: 1_000,
    planAgeMs: 1_000,
    writer: "a",
    judgement: judged(Verdict.Sound),
    totals: { before: new Map(), after: new Map() },
    hasReports: true,
    hasEvidence: true,
    newTargets: 2,
    oldTargets: 2,
    isOldIdle: false,
    drainMs: 1_000,
    exposure: { share: 0.1, slack: 50 },
    ...changes,
});
const inPhase = (phase: RolloutPhase, changes: Partial<RolloutPlan> = {}): RolloutPlan =>
    ({ ...testing, phase, ...changes });
const decide = (changes: Partial<StepInput>): [RolloutPhase, number, StepReason] | undefined => {
    const step = decideStep(createInput(changes));
    return step && [step.plan.phase, step.plan.share, step.reason];
};
const countsOf = (route: string, runs: number, failures = 0): RouteCounts =>
    ({ route, runs, failures, timed: 0, logSum: 0, logSquareSum: 0 });

describe("createPlan", () => {
    it("tests an unknown version against the known ones, with less than the allowed share", () => {
        expect(testing).toMatchObject({ phase: RolloutPhase.Testing, versionsBefore: ["v1"], share: expect.closeTo(0.08) });
    });

    it("moves all calls at once to a version that is in use", () => {
        const plan = createPlan({ ...newPlan, order: { ...order, version: "v1" } });
        expect(plan).toMatchObject({ phase: RolloutPhase.Drained, versionsBefore: [], share: 1 });
    });

    it("replaces an unfinished plan by one against the versions before it", () => {
        const plan = createPlan({ ...newPlan, order: { ...order, version: "v3" }, previous: testing, knownVersions: ["v2"] });
        expect(plan).toMatchObject({ phase: RolloutPhase.Testing, versionsBefore: ["v1"], elapsedMs: 0 });
    });

    it("ends the calls of an unfinished version when the order goes back to the one before", () => {
        const plan = createPlan({ ...newPlan, order: { ...order, version: "v1" }, previous: inPhase(RolloutPhase.Drained) });
        expect(plan).toMatchObject({ phase: RolloutPhase.Drained, versionsBefore: ["v2"], share: 1 });
    });

    it("takes the version of a completed plan as the one before, and not that of one rolled back", () => {
        const next = { ...newPlan, order: { ...order, version: "v3" } };
        expect(createPlan({ ...next, previous: inPhase(RolloutPhase.Completed) }).versionsBefore).toEqual(["v2"]);
        expect(createPlan({ ...next, previous: inPhase(RolloutPhase.RolledBack) }).versionsBefore).toEqual(["v1"]);
    });

    it("compares with the targets that are there if none is of a known version", () => {
        const moved = { ...newPlan, presentVersions: ["v2", "v5"] };
        expect(createPlan(moved)).toMatchObject({ phase: RolloutPhase.Testing, versionsBefore: ["v5"] });
    });

    it("takes the same order as a new one only after it was withdrawn", () => {
        expect(isPlanOf(inPhase(RolloutPhase.RolledBack), order)).toBe(true);
        expect(isPlanOf(withdraw(testing, { elapsedMs: 1, writer: "a" }).plan, order)).toBe(false);
    });
});

describe("decideStep", () => {
    it("shifts a sound version in two steps and completes it when nothing runs on the old one", () => {
        expect(decide({ elapsedMs: 5_000 })).toBeUndefined();
        expect(decide({ elapsedMs: 7_200 })).toEqual([RolloutPhase.Shifting, 0.25, StepReason.Sound]);
        const plan = inPhase(RolloutPhase.Shifting);
        expect(decide({ plan, elapsedMs: 8_000, planAgeMs: 1_000 })).toBeUndefined();
        const due = { plan, elapsedMs: 8_700, planAgeMs: 1_500 };
        expect(decide(due)).toEqual([RolloutPhase.Drained, 1, StepReason.Sound]);
        const drained = { plan: inPhase(RolloutPhase.Drained, { share: 1 }), elapsedMs: 10_700, planAgeMs: 2_000 };
        expect(decide(drained)).toBeUndefined();
        expect(decide({ ...drained, isOldIdle: true })).toEqual([RolloutPhase.Completed, 1, StepReason.OldIdle]);
    });

    it("completes before the deadline although old calls still run", () => {
        const plan = inPhase(RolloutPhase.Drained, { share: 1 });
        expect(decide({ plan, elapsedMs: 11_000 })).toEqual([RolloutPhase.Completed, 1, StepReason.DeadlineNear]);
    });

    it("rolls back a bad version from every phase before the end, and never after it", () => {
        for (const phase of [RolloutPhase.Testing, RolloutPhase.Shifting, RolloutPhase.Drained]) {
            const step = decide({ plan: inPhase(phase), judgement: judged(Verdict.Bad) });
            expect(step).toEqual([RolloutPhase.RolledBack, 0, StepReason.Bad]);
        }
        for (const phase of [RolloutPhase.Completed, RolloutPhase.RolledBack]) {
            expect(decide({ plan: inPhase(phase), judgement: judged(Verdict.Bad) })).toBeUndefined();
        }
    });

    it("does not raise the share without evidence of its own; guards against a step on what another node saw", () => {
        expect(decide({ elapsedMs: 7_200, hasEvidence: false })).toBeUndefined();
        expect(decide({ plan: inPhase(RolloutPhase.Shifting), planAgeMs: 9_000, hasEvidence: false })).toBeUndefined();
    });

    it("takes a plan of another node over before anything else, with its share", () => {
        expect(decide({ writer: "b", elapsedMs: 7_200 })).toEqual([RolloutPhase.Testing, testing.share, StepReason.TakenOver]);
    });

    it("rolls back a version without targets, and one that nothing ran on although there were calls", () => {
        const judgement = { ...judged(Verdict.Unknown), runs: 0 };
        expect(decide({ elapsedMs: 8_000, judgement, newTargets: 0 })?.[2]).toBe(StepReason.NoTargets);
        const totals = { before: new Map([["r", countsOf("r", 500)]]), after: new Map() };
        expect(decide({ elapsedMs: 8_000, judgement, totals })?.[2]).toBe(StepReason.NoRuns);
        expect(decide({ elapsedMs: 8_000, judgement })?.[2]).toBe(StepReason.FewCalls);
    });

    it("rolls back after the deadline, except when all calls have already moved", () => {
        expect(decide({ elapsedMs: 13_000 })?.[2]).toBe(StepReason.DeadlinePassed);
        expect(decide({ elapsedMs: 13_000, plan: inPhase(RolloutPhase.Drained) })?.[0]).toBe(RolloutPhase.Completed);
    });

    it("does not complete a version if it hears of no node, as the old targets may be in use", () => {
        const plan = inPhase(RolloutPhase.Drained, { share: 1 });
        expect(decide({ plan, elapsedMs: 11_500, hasReports: false })).toBeUndefined();
    });

    it("uses the slack where there are few calls, and lowers the share when there are more", () => {
        const totals = { before: new Map([["r", countsOf("r", 20)]]), after: new Map() };
        const raised = decideStep(createInput({ elapsedMs: 2_300, totals }))?.plan;
        expect(raised?.share).toBeCloseTo(0.3);
        const more = { before: new Map([["r", countsOf("r", 2_000)]]), after: new Map() };
        expect(decide({ plan: raised, elapsedMs: 3_000, totals: more })?.[1]).toBeLessThan(0.09);
    });
});

describe("computeRouteShares", () => {
    it("gives rare routes more calls and keeps the mean share", () => {
        const before = new Map([countsOf("common", 980), countsOf("rare", 20)].map(counts => [counts.route, counts]));
        const { share, routeShares } = computeRouteShares({ before, after: new Map() }, 0.08);
        expect(routeShares).toEqual([{ route: "rare", share: 0.5 }]);
        expect(0.98 * share + 0.02 * 0.5).toBeCloseTo(0.08, 3);
    });
});

describe("VersionEvidence", () => {
    const run = { route: "r", runTimeMs: 10, isCold: false, at: 0 };
    const createEvidence = (): VersionEvidence => new VersionEvidence({ version: "v2", orderRevision: 1, since: 1 });

    it("does not count the losses of a few restarts, but those of a target that breaks again and again", () => {
        const evidence = createEvidence();
        for (let at = 0; at < 6_000; at += 100) {
            evidence.record({ ...run, outcome: RunOutcome.Lost, at });
        }
        expect(evidence.counts.routes).toMatchObject([{ runs: 3, failures: 3 }]);
    });

    it("counts no run times of a target that is still starting, and bounds its routes", () => {
        const evidence = createEvidence();
        evidence.record({ ...run, outcome: RunOutcome.Answered, isCold: true });
        expect(evidence.counts.routes).toMatchObject([{ runs: 1, timed: 0 }]);
        for (let route = 0; route < 200; route++) {
            evidence.record({ ...run, route: `r${route}`, outcome: RunOutcome.Answered });
        }
        expect(evidence.counts.routes).toHaveLength(64);
    });
});

describe("EvidenceHistory", () => {
    it("counts each run once, also when a node restarts or counts belong to another order", () => {
        const history = new EvidenceHistory({ clock: new ManualClock(), version: "v2", orderRevision: 1 });
        const counts = { version: "v2", orderRevision: 1, since: 1, routes: [countsOf("r", 5)] };
        history.add("n", counts);
        history.add("n", { ...counts, routes: [countsOf("r", 7)] });
        history.add("n", { ...counts, since: 2, routes: [countsOf("r", 3)] });
        history.add("n", { ...counts, orderRevision: 2, routes: [countsOf("r", 100)] });
        expect(history.totals.after.get("r")?.runs).toBe(10);
    });
});

describe("probabilities", () => {
    it("agree with known values", () => {
        expect(countTail(3, 1, 0)).toBeCloseTo(0.0803, 4);
        expect(countTail(3, 1, 1)).toBeCloseTo(0.125, 4);
        expect(normalTail(1.96)).toBeCloseTo(0.025, 4);
    });
});
