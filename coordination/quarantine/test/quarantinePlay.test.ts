import { describe, expect, it } from "vitest";
import { type PlayOptions, type PlayResult, playQuarantine } from "./quarantinePlay";

const seeds = Array.from({ length: 10 }, (_, index) => index + 1);
const mixes: Readonly<Record<string, Omit<PlayOptions, "seed" | "sharesCompletions">>> = {
    "one popular request": { nodes: 16, targets: 7, crashIntervalMs: 4_000, popular: 1, requestIntervalMs: 70 },
    "thirty popular requests": { nodes: 16, targets: 7, crashIntervalMs: 4_000, popular: 30, requestIntervalMs: 70 },
    "few requests": { nodes: 16, targets: 4, crashIntervalMs: 4_000, popular: 3, requestIntervalMs: 1_000 },
    "70 nodes": { nodes: 70, targets: 30, crashIntervalMs: 2_000, popular: 20, requestIntervalMs: 200 },
};

function playAll(mix: string, sharesCompletions: boolean): readonly PlayResult[] {
    return seeds.map(seed => playQuarantine({ ...mixes[mix] as (typeof mixes)[string], seed, sharesCompletions }));
}

function sum(results: readonly PlayResult[], field: keyof PlayResult): number {
    return results.reduce((total, result) => total + result[field], 0);
}

describe("targets that crash by themselves, and a request that crashes them", () => {
    describe.each(Object.keys(mixes))("with %s", mix => {
        const results = playAll(mix, true);

        // Guards against ordinary requests that are refused for minutes: case 12 of the third review.
        it("have hardly any ordinary request refused, also after a restart of all nodes", () => {
            expect(sum(results, "held") / sum(results, "ordinary")).toBeLessThan(0.02);
            expect(sum(results, "heldAfterRestart") / sum(results, "afterRestart")).toBeLessThan(0.02);
        });

        it("had many refused while only the node beside a target knew of a completion, which shows that the play tests it", () => {
            const before = playAll(mix, false);
            expect(sum(before, "held") / sum(before, "ordinary")).toBeGreaterThan(0.1);
        });

        // Three crashes, and three retries after them, are what the platform allows.
        it("have the crashing request held within six crashes", () => {
            expect(Math.max(...results.map(({ crashesOfRequest }) => crashesOfRequest))).toBeLessThanOrEqual(6);
        });
    });
});
