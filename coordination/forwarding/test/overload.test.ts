import { beforeAll, describe, expect, it } from "vitest";
import { repeatableRoute } from "./fixtures";
import { LoadPlay, type PlayedLoad, type PlayedResult } from "./loadPlay";

const seeds = [1, 2, 3, 4];
const objectiveMs = 500;
const baseLoad: Omit<PlayedLoad, "seed" | "loadFactor"> = {
    callerNodes: 12,
    targets: 3,
    slots: 12,
    runMs: 250,
    durationMs: 20_000,
    route: { ...repeatableRoute, latencyObjectiveMs: objectiveMs, timeoutMs: 1_200 },
    deadlineMs: 1_200,
    tracksAges: true,
};
const play = (loadFactor: number, changes: Partial<PlayedLoad> = {}): PlayedResult[] =>
    seeds.map(seed => new LoadPlay({ ...baseLoad, seed, loadFactor, ...changes }).run());
const percentile = (values: readonly number[], share: number): number =>
    [...values].sort((left, right) => left - right)[Math.floor(share * values.length)] ?? 0;

describe("three targets and the nodes of their callers", () => {
    describe("with 1.6 times the calls that the targets can run, for 20 s", () => {
        const loadFactor = 1.6;
        let results: readonly PlayedResult[];
        beforeAll(() => {
            results = play(loadFactor);
        });

        it("answer calls in time with at least four fifths of the targets' capacity", () => {
            results.forEach(({ inTime, asked }) => expect(inTime / asked * loadFactor).toBeGreaterThan(0.8));
        });

        it("answer at most one call late for five in time", () => {
            results.forEach(({ inTime, late }) => expect(late / inTime).toBeLessThan(0.2));
        });

        it("answer more calls in time than if the age of calls that return were not known", () => {
            play(loadFactor, { tracksAges: false }).forEach(({ inTime, asked }, index) => {
                const { inTime: inTimeWithAges, asked: askedWithAges } = results[index] as PlayedResult;
                expect(inTimeWithAges / askedWithAges).toBeGreaterThan(inTime / asked);
            });
        });

        it("refuse nine of ten refused calls within half of the latency objective", () => {
            results.forEach(({ refusalTimesMs }) =>
                expect(percentile(refusalTimesMs, 0.9)).toBeLessThan(objectiveMs / 2));
        });

        it("keep the targets busy with at most two and a half offers per call and its return", () => {
            results.forEach(({ offers, asked, utilization }) => {
                expect(offers / asked).toBeLessThan(2.5);
                expect(utilization).toBeGreaterThan(0.95);
            });
        });
    });

    describe("with three fifths of the calls that the targets can run", () => {
        it("refuse none and answer nineteen of twenty in time", () => {
            for (const { refused, inTime, asked } of play(0.6)) {
                expect(refused).toBe(0);
                expect(inTime / asked).toBeGreaterThan(0.95);
            }
        });
    });
});
