import { describe, expect, it } from "vitest";
import { createSeededRandom } from "@bilberrycroft/core.random";

describe("seeded random", () => {
    it("repeats its sequence for a seed, so that a failed run can be repeated", () => {
        const first = createSeededRandom(7);
        const second = createSeededRandom(7);
        const sequence = [first.nextFraction(), first.nextInteger(100)];
        expect([second.nextFraction(), second.nextInteger(100)]).toEqual(sequence);
    });

    it("keeps every item when it shuffles", () => {
        const shuffled = createSeededRandom(3).shuffle([1, 2, 3, 4, 5]);
        expect([...shuffled].sort()).toEqual([1, 2, 3, 4, 5]);
    });
});
