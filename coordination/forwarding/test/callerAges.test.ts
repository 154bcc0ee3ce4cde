import { CallerAges } from "@bilberrycroft/coordination.forwarding";
import { ManualClock } from "@bilberrycroft/core.clock";
import { beforeEach, describe, expect, it } from "vitest";

describe("CallerAges", () => {
    let clock: ManualClock;
    let ages: CallerAges;

    beforeEach(() => {
        clock = new ManualClock();
        ages = new CallerAges(clock);
    });

    it("tells by how much less than the longest recent time a caller waits", () => {
        expect(ages.recordCall("r", 1_200)).toBe(0);
        expect(ages.recordCall("r", 800)).toBe(400);
        expect(ages.recordCall("another", 800)).toBe(0);
    });

    it("takes small differences for first attempts", () => {
        ages.recordCall("r", 1_200);
        expect(ages.recordCall("r", 1_170)).toBe(0);
    });

    it("forgets a longest time that no caller has used for two windows", () => {
        ages.recordCall("r", 5_000);
        clock.advance(10_000);
        expect(ages.recordCall("r", 1_000)).toBe(4_000);
        clock.advance(10_000);
        expect(ages.recordCall("r", 1_000)).toBe(0);
    });

    it("forgets it too when there were no calls for long", () => {
        ages.recordCall("r", 5_000);
        clock.advance(60_000);
        expect(ages.recordCall("r", 1_000)).toBe(0);
    });
});
