import { describe, expect, it } from "vitest";
import { createSeededRandom } from "@bilberrycroft/core.random";

describe("createSeededRandom", () => {
    it("returns the same sequence for the same seed, so that a failed run can be reproduced", () => {
        const first = createSeededRandom(7);
        const second = createSeededRandom(7);
        const sequence = [first.nextFraction(), first.nextInteger(100)];
        expect([second.nextFraction(), second.nextInteger(100)]).toEqual(sequence);
    });

    it("spreads the first values of consecutive seeds evenly, so that nodes do not share their jitter", () => {
        const firstDraws = Array.from({ length: 200 }, (_, seed) => createSeededRandom(seed).nextFraction());
        const deciles = new Set(firstDraws.map(draw => Math.floor(draw * 10)));
        expect(deciles.size).toBe(10);
        const mean = firstDraws.reduce((sum, draw) => sum + draw, 0) / firstDraws.length;
        expect(Math.abs(mean - 0.5)).toBeLessThan(0.1);
    });

    it("keeps all items when shuffling", () => {
        const shuffled = createSeededRandom(3).shuffle([1, 2, 3, 4, 5]);
        expect([...shuffled].sort()).toEqual([1, 2, 3, 4, 5]);
    });
});
