import { RolloutPhase } from "@bilberrycroft/protocol.forwarding";
import { describe, expect, it } from "vitest";
import { type Played, playRollout, type PlayResult } from "./rolloutPlay";
import { badVersions, goodVersions } from "./scenarios";

const play = (count: number, played: Omit<Played, "seed">): PlayResult[] =>
    Array.from({ length: count }, (_, seed) => playRollout({ seed: seed + 1, ...played }));
const countIn = (phase: RolloutPhase, results: readonly PlayResult[]): number =>
    results.filter(result => result.phase === phase).length;

/** Scenarios in which the old version is as unhealthy, and those with few calls on a route: some verdicts are wrong. */
const sharedFault = /^both/;
const rareRoute = /rare route/;

describe("a played rollout with 100 calls a second", () => {
    describe("of a good version", () => {
        for (const [name, behaviour] of Object.entries(goodVersions)) {
            it(`that is ${name} completes; guards against false rollbacks`, () => {
                const results = play(30, { callsPerSecond: 100, ...behaviour });
                const accepted = sharedFault.test(name) ? 28 : 30;
                expect(countIn(RolloutPhase.Completed, results)).toBeGreaterThanOrEqual(accepted);
            });
        }
    });

    describe("of a bad version", () => {
        for (const [name, behaviour] of Object.entries(badVersions)) {
            it(`that ${name} is rolled back, and gets few calls; guards against versions that pass unnoticed`, () => {
                const callsPerSecond = rareRoute.test(name) ? 300 : 100;
                const results = play(30, { callsPerSecond, ...behaviour });
                const isHard = rareRoute.test(name);
                expect(countIn(RolloutPhase.RolledBack, results)).toBeGreaterThanOrEqual(isHard ? 28 : 30);
                const bound = 0.1 * callsPerSecond * 14 + 50;
                const exceeding = results.filter(({ exposedCalls }) => exposedCalls > bound);
                expect(exceeding.length).toBeLessThanOrEqual(isHard ? 3 : 1);
            });
        }
    });
});

describe("a played rollout with 10 calls a second", () => {
    it("completes a good version, because few samples decide nothing", () => {
        expect(countIn(RolloutPhase.Completed, play(30, { callsPerSecond: 10 }))).toBe(30);
    });

    it("rolls back a version that fails most calls", () => {
        const results = play(30, { callsPerSecond: 10, ...badVersions["fails 60 %"] });
        expect(countIn(RolloutPhase.RolledBack, results)).toBe(30);
    });
});
