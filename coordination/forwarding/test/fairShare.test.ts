import { FairShare, type OrganisationName } from "@bilberrycroft/coordination.forwarding";
import { ManualClock } from "@bilberrycroft/core.clock";
import { beforeAll, beforeEach, describe, expect, it } from "vitest";
import { repeatableRoute } from "./fixtures";
import { LoadPlay, type PlayedLoad, type PlayedResult } from "./loadPlay";

const runMs = 100;

describe("FairShare", () => {
    let clock: ManualClock;
    let shares: FairShare;
    beforeEach(() => {
        clock = new ManualClock();
        shares = new FairShare(clock);
    });
    const serve = (organisation: OrganisationName, calls = 1): void => {
        for (let call = 0; call < calls; call++) {
            shares.observe(organisation);
            shares.charge(organisation, runMs);
        }
    };

    it("records nothing while one organisation is present, nor calls without one", () => {
        serve("a", 1_000);
        expect([shares.size, shares.compare("a", "b")]).toEqual([0, 0]);
        const others = new FairShare(clock);
        others.observe(undefined);
        others.charge(undefined, runMs);
        others.observe(undefined);
        expect(others.size).toBe(0);
    });

    it("prefers the organisation with the least recent service, and forgets service within seconds", () => {
        ["a", "b"].forEach(organisation => shares.observe(organisation));
        serve("a");
        serve("b", 2);
        expect(shares.compare("a", "b")).toBeLessThan(0);
        clock.advance(4_000);
        serve("a");
        expect(shares.compare("a", "b")).toBeGreaterThan(0);
    });

    it("ends recording when one organisation is left", () => {
        ["a", "b"].forEach(organisation => shares.observe(organisation));
        clock.advance(6_000);
        shares.observe("a");
        clock.advance(6_000);
        shares.observe("a");
        expect(shares.size).toBe(0);
    });

    // Guards against values beyond the range of numbers, which compare as equal or as neither.
    it("compares values after pauses of any length", () => {
        ["a", "b"].forEach(organisation => shares.observe(organisation));
        for (const pauseMs of [9_999, 600_000, 86_400_000]) {
            clock.advance(pauseMs);
            shares.charge("a", runMs);
            ["a", "b"].forEach(organisation => shares.observe(organisation));
            serve("b", 4);
            serve("a");
            expect(shares.compare("a", "b")).toBeLessThan(0);
        }
    });

    it("keeps a bounded number of organisations", () => {
        for (let index = 0; index < 10_000; index++) {
            serve(`o-${index}`);
        }
        expect(shares.size).toBeLessThanOrEqual(256);
    });

    describe("of queued calls", () => {
        const queued = new Map<OrganisationName, number>([["large", 6], ["small", 1]]);
        beforeEach(() => {
            ["large", "small", "new"].forEach(organisation => shares.observe(organisation));
        });

        it("counts the ones that start before a new call", () => {
            expect(shares.countAhead("new", queued, runMs)).toBe(0);
            expect(shares.countAhead("small", queued, runMs)).toBe(2);
            expect(shares.countAhead("large", queued, runMs)).toBe(7);
            serve("new", 3);
            expect(shares.countAhead("new", queued, runMs)).toBeGreaterThan(2);
        });

        it("selects the organisation that exceeds its share, unless it is that of the new call", () => {
            expect(shares.findExcess("new", queued, runMs)).toEqual({ organisation: "large" });
            expect(shares.findExcess("small", queued, runMs)).toEqual({ organisation: "large" });
            expect(shares.findExcess("large", queued, runMs)).toBeUndefined();
        });
    });
});

/** Share of the calls of an organisation, or of several, that were answered. */
const served = (results: readonly Pick<PlayedResult, "asked" | "inTime" | "late">[]): number =>
    results.reduce((sum, { inTime, late }) => sum + inTime + late, 0)
    / results.reduce((sum, { asked }) => sum + asked, 0);

describe("targets with 1.6 times the calls that they can run", () => {
    const load: PlayedLoad = {
        seed: 1,
        loadFactor: 1.6,
        callerNodes: 12,
        targets: 3,
        slots: 12,
        runMs: 250,
        durationMs: 10_000,
        route: { ...repeatableRoute, latencyObjectiveMs: 500, timeoutMs: 1_200 },
        deadlineMs: 1_200,
        tracksAges: true,
    };
    const small = Array.from({ length: 30 }, (_, index) => `small-${index}`);
    /** The usual rate of the large organisation is a fifth of all. */
    const surge = new Map([["large", 7.5 * small.length / 4], ...small.map(name => [name, 1] as const)]);

    // Guards against one organisation whose load makes the targets refuse all others as often.
    describe("of which one organisation sends 7.5 times its usual ones", () => {
        let result: PlayedResult;
        beforeAll(() => {
            result = new LoadPlay({ ...load, organisations: surge }).run();
        });
        const resultsOf = (names: readonly string[]): Pick<PlayedResult, "asked" | "inTime" | "late">[] =>
            names.map(name => result.organisations.get(name) ?? { asked: 0, inTime: 0, late: 0 });

        it("answer nearly all calls of the others, and use the rest for it", () => {
            expect(served(resultsOf(small))).toBeGreaterThan(0.9);
            expect(Math.min(...resultsOf(small).map(each => served([each])))).toBeGreaterThan(0.75);
            expect(served(resultsOf(["large"]))).toBeGreaterThan(0.3);
            expect(result.utilization).toBeGreaterThan(0.95);
        });
    });

    // Guards against an organisation that is large every day and would bear nearly all refusals.
    it("answer each organisation well over a quarter as often as all, if their sizes differ by a power law", () => {
        const sizes = new Map(Array.from({ length: 78 }, (_, index) => [`o-${index}`, (index + 1) ** -1.2] as const));
        const result = new LoadPlay({ ...load, loadFactor: 2.5, organisations: sizes }).run();
        const frequent = [...result.organisations.values()].filter(({ asked }) => asked >= 20);
        const least = Math.min(...frequent.map(each => served([each])));
        expect(least).toBeGreaterThan(0.28 * served([result]));
    });

    it("refuse no organisation that takes nothing from the others", () => {
        const result = new LoadPlay({ ...load, loadFactor: 0.6, organisations: surge }).run();
        expect(result.refused).toBe(0);
    });
});
