import {
    maxRouteShares,
    parseRolloutPlan,
    parseVersionCounts,
    RolloutPhase,
    type RolloutPlan,
} from "@bilberrycroft/protocol.forwarding";
import fc from "fast-check";
import { describe, expect, it } from "vitest";

const plan: RolloutPlan = {
    service: "s",
    version: "v2",
    versionsBefore: ["v1", ""],
    orderRevision: 7,
    durationMs: 12_000,
    isWithdrawn: false,
    phase: RolloutPhase.Testing,
    share: 0.08,
    routeShares: [{ route: "r", share: 0.5 }],
    elapsedMs: 10,
    writer: "n",
};

describe("a plan of another node", () => {
    it("is read as it was written if it is sound", () => {
        expect(parseRolloutPlan(JSON.parse(JSON.stringify(plan)))).toEqual(plan);
    });

    it("with any value in any field is refused, or has shares from 0 to 1; guards against all calls to a bad version", () => {
        const field = fc.constantFrom(...Object.keys(plan));
        const value = fc.oneof(fc.jsonValue(), fc.constantFrom(Number.NaN, -1, 2, 1e300, "x".repeat(600)));
        fc.assert(fc.property(field, value, (name, odd) => {
            const parsed = parseRolloutPlan({ ...plan, [name]: odd });
            const shares = parsed === undefined ? [] : [parsed.share, ...parsed.routeShares.map(({ share }) => share)];
            expect(shares.every(share => share >= 0 && share <= 1)).toBe(true);
            expect(parsed === undefined || Object.values(RolloutPhase).includes(parsed.phase)).toBe(true);
        }), { seed: 3, numRuns: 500 });
    });

    it("has a bounded number of shares", () => {
        const routeShares = Array.from({ length: 100 }, (_, index) => ({ route: `r${index}`, share: 0.5 }));
        expect(parseRolloutPlan({ ...plan, routeShares })?.routeShares).toHaveLength(maxRouteShares);
    });
});

describe("counts of another node", () => {
    it("skip routes whose counts are impossible; guards against a version that is judged by them", () => {
        const route = { route: "r", runs: 5, failures: 1, timed: 4, logSum: 3, logSquareSum: 9 };
        const odd = [{ ...route, failures: 6 }, { ...route, runs: -1 }, { ...route, timed: 0.5 }, { ...route, logSum: "1" }];
        const counts = { version: "v2", orderRevision: 1, since: 1, routes: [route, ...odd, undefined, 3] };
        expect(parseVersionCounts(counts)?.routes).toEqual([route]);
        expect(parseVersionCounts({ ...counts, version: 2 })).toBeUndefined();
    });
});
