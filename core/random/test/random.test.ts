import { describe, expect, it } from "vitest";
import { createSeededRandom } from "@bilberrycroft/core.random";

describe("seeded random", () => {
    it("repeats its sequence for a seed, so that a failed run can be repeated", () => {
        const first = createSeededRandom(7);
        const second = createSeededRandom(7);
        const sequence = [first.nextFraction(), first.nextInteger(100)];
        expect([second.nextFraction(), second.nextInteger(100)]).toEqual(sequence);
    });

    it("draws apart for neighbouring seeds, so that nodes with consecutive seeds do not share their jitter", () => {
        const firstDraws = Array.from({ length: 200 }, (_, seed) => createSeededRandom(seed).nextFraction());
        const deciles = new Set(firstDraws.map(draw => Math.floor(draw * 10)));
        expect(deciles.size).toBe(10);
        const mean = firstDraws.reduce((sum, draw) => sum + draw, 0) / firstDraws.length;
        expect(Math.abs(mean - 0.5)).toBeLessThan(0.1);
    });

    it("keeps every item when it shuffles", () => {
        const shuffled = createSeededRandom(3).shuffle([1, 2, 3, 4, 5]);
        expect([...shuffled].sort()).toEqual([1, 2, 3, 4, 5]);
    });
});
