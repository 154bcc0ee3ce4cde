import { shareConnections } from "@bilberrycroft/coordination.routing";
import fc from "fast-check";
import { describe, expect, it } from "vitest";

describe("connection shares", () => {
    it("never exceed a target's limit over all callers while every caller can have one connection", () => {
        const cases = fc.record({
            limits: fc.array(fc.integer({ min: 1, max: 150 }), { minLength: 1, maxLength: 12 }),
            callers: fc.integer({ min: 1, max: 700 }),
        });
        fc.assert(fc.property(cases, ({ limits, callers }) => {
            fc.pre(Math.min(...limits) * limits.length >= callers);
            const used = limits.map(() => 0);
            for (let rank = 0; rank < callers; rank++) {
                const shares = shareConnections({ limits, callers, rank });
                shares.forEach((share, index) => used[index] = (used[index] ?? 0) + share);
                expect(Math.max(...shares)).toBeGreaterThanOrEqual(1);
            }
            used.forEach((count, index) => expect(count).toBeLessThanOrEqual(limits[index] ?? 0));
        }), { seed: 1, numRuns: 200 });
    });

    it("lie in the caller's zone when callers and targets are ordered by zone", () => {
        const limits = new Array<number>(6).fill(100);
        const zoneOfRank = (rank: number): number => Math.floor(rank / 100);
        for (const rank of [50, 150, 250]) {
            const shares = shareConnections({ limits, callers: 300, rank });
            const largest = shares.indexOf(Math.max(...shares));
            expect(Math.floor(largest / 2)).toBe(zoneOfRank(rank));
        }
    });
});
