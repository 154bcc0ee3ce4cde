import { describe, expect, it } from "vitest";
import { ManualClock, SystemClock } from "@bilberrycroft/core.clock";

describe("clock", () => {
    describe("manual", () => {
        it("moves monotonic and wall time together, so that a test cannot see them diverge", () => {
            const clock = new ManualClock(1_000);
            clock.advance(250);
            expect(clock.now()).toBe(250);
            expect(clock.wallTime()).toBe(1_250);
        });
    });

    describe("system", () => {
        it("never steps back between two readings", () => {
            const clock = new SystemClock();
            const first = clock.now();
            expect(clock.now()).toBeGreaterThanOrEqual(first);
        });
    });
});
