import { describe, expect, it } from "vitest";
import { ArgumentResultKind, CaseLetter, parseBenchArguments } from "../src/harness/arguments";
import { measureRecovery } from "../src/harness/recovery";
import { scaleProfile, summarizeGroups } from "../src/harness/segment";
import { createGroupMetrics } from "../src/harness/table";
import { type CallRecord, drawArrivals, LoadFailure, LoadOutcome, type RateProfile, RateProfileKind } from "../src/load";

function createCallRecord(dueMs: number, overrides: Partial<CallRecord> = {}): CallRecord {
    return {
        id: `${dueMs}`,
        className: "short",
        idempotencyKey: undefined,
        outcome: LoadOutcome.Done,
        failure: LoadFailure.None,
        dueMs,
        latencyMs: 10,
        timeoutMs: 100,
        ...overrides,
    };
}

function parse(...args: string[]) {
    return parseBenchArguments(["node", "bench", ...args]);
}

describe("arguments of the benchmark", () => {
    it("run every case of both deployments by default", () => {
        expect(parse()).toEqual({
            kind: ArgumentResultKind.Run,
            settings: { deployments: ["kyushu", "dakar"], cases: Object.values(CaseLetter), quick: false, seed: 1 },
        });
    });

    it("select a deployment, cases, a seed and short runs", () => {
        expect(parse("--deployment", "dakar", "--case", "a,d", "--seed", "7", "--quick")).toEqual({
            kind: ArgumentResultKind.Run,
            settings: { deployments: ["dakar"], cases: ["a", "d"], quick: true, seed: 7 },
        });
    });

    it.each([
        { words: ["--deployment", "mars"], problem: "unknown deployment" },
        { words: ["--deployment", "toString"], problem: "unknown deployment" },
        { words: ["--case", "a,z"], problem: "unknown case" },
        { words: ["--seed", "x"], problem: "whole number" },
        { words: ["--fast"], problem: "unknown flag" },
        { words: ["a"], problem: "unexpected" },
    ])("reject $words, so that a typing error does not measure something else", ({ words, problem }) => {
        const outcome = parse(...words);
        expect(outcome.kind === ArgumentResultKind.Invalid && outcome.problems.join()).toContain(problem);
    });
});

describe("load from several generators", () => {
    it.each<RateProfile>([
        { kind: RateProfileKind.Constant, ratePerSecond: 30 },
        { kind: RateProfileKind.Steps, steps: [{ durationMs: 10, ratePerSecond: 30 }] },
        { kind: RateProfileKind.Bursts, ratePerSecond: 30, burstRatePerSecond: 60, periodMs: 100, burstMs: 10 },
    ])("is divided for a $kind profile, so that the offered rate does not grow with their number", profile => {
        const text = JSON.stringify(profile).replace("60", "20").replaceAll("30", "10");
        expect(scaleProfile(profile, 1 / 3)).toEqual(JSON.parse(text));
    });

    it("uses the targets of the request kind if it has any, so that direct and proxied calls are not mixed", () => {
        const kind = { weight: 1, path: "/", timeoutMs: 100 };
        const arrivals = [...drawArrivals({
            targets: ["node"],
            profile: { kind: RateProfileKind.Constant, ratePerSecond: 1_000 },
            requests: [{ ...kind, className: "direct", targets: ["target"] }, { ...kind, className: "node" }],
            seed: 1,
            durationMs: 200,
        })];
        expect(new Set(arrivals.map(arrival => `${arrival.kind.className} ${arrival.target}`)))
            .toEqual(new Set(["direct target", "node node"]));
    });
});

describe("groups of calls", () => {
    const groups = [
        { name: "early", fromMs: 0, toMs: 1_000 },
        { name: "late long", fromMs: 1_000, toMs: 2_000, className: "long" },
    ];
    const segments = [1, 2].map(() => ({
        lagP99Ms: 1,
        calls: [
            createCallRecord(0),
            createCallRecord(500, { latencyMs: 200 }),
            createCallRecord(1_500),
            createCallRecord(1_500, { className: "long" }),
        ],
    }));

    it("count calls by due time and class over all segments", () => {
        const { classes } = summarizeGroups(groups, segments, 1);
        expect(classes.map(({ offered, goodput }) => ({ offered, goodput }))).toEqual([
            { offered: 4, goodput: 1 },
            { offered: 2, goodput: 1 },
        ]);
    });

    it("are reported next to the same group of the baseline", () => {
        const current = summarizeGroups(groups, segments, 1);
        const baseline = summarizeGroups(groups, segments.slice(1), 1);
        const metrics = createGroupMetrics(current, baseline);
        expect(metrics.find(({ name }) => name === "early: offered"))
            .toEqual({ name: "early: offered", unit: "calls", current: 4, baseline: 2 });
        expect(metrics.find(({ name }) => name === "early: in time")?.current).toBe(50);
    });
});

describe("recovery time", () => {
    const span = { fromMs: 1_000, toMs: 1_500 };
    const served = [1_050, 1_150, 1_250, 1_350, 1_450].map(dueMs => createCallRecord(dueMs));

    it("is 0 if every call succeeds after the end of the failure", () => {
        expect(measureRecovery(served, span)).toBe(0);
    });

    it("ends after the last bucket with failures, so that a second failure period counts", () => {
        expect(measureRecovery([...served, createCallRecord(1_260, { outcome: LoadOutcome.NotRun })], span)).toBe(300);
    });

    it("counts a late response as a failure", () => {
        expect(measureRecovery([...served, createCallRecord(1_060, { latencyMs: 101 })], span)).toBe(100);
    });
});
