import { describe, expect, it } from "vitest";
import { ManualClock, SystemClock } from "@bilberrycroft/core.clock";

describe("clock", () => {
    describe("manual", () => {
        it("advances monotonic and wall time together", () => {
            const clock = new ManualClock(1_000);
            clock.advance(250);
            expect(clock.now()).toBe(250);
            expect(clock.wallTime()).toBe(1_250);
        });
    });

    describe("system", () => {
        it("does not go backwards between two readings", () => {
            const clock = new SystemClock();
            const first = clock.now();
            expect(clock.now()).toBeGreaterThanOrEqual(first);
        });
    });
});
