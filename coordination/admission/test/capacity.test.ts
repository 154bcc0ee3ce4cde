import { TargetState } from "@bilberrycroft/coordination.membership";
import type { RoutingTarget, TargetLoad } from "@bilberrycroft/coordination.routing";
import { ManualClock } from "@bilberrycroft/core.clock";
import { RunTimeClass } from "@bilberrycroft/state.rules";
import { describe, expect, it } from "vitest";
import { Capacity } from "../src/capacity";

const target: RoutingTarget = {
    id: "t0",
    service: "readings",
    address: "t0",
    zone: "a",
    state: TargetState.Ready,
    slots: 6,
    connections: 100,
    reachable: true,
};
const idle: TargetLoad = { target, others: 0, reportedOthers: 0, ramp: 1, longShare: 1 };

describe("capacity", () => {
    describe("long calls on targets shared with other nodes", () => {
        it.each([
            { name: "already holds a third of the target", long: 2, load: { longShare: 6 }, hasCapacity: false },
            { name: "is within its share, without a report", long: 0, load: { reportedOthers: undefined }, hasCapacity: true },
            { name: "is beyond its share of an idle target", long: 1, load: {}, hasCapacity: true },
            { name: "is beyond its share of a used target", long: 1, load: { reportedOthers: 2 }, hasCapacity: false },
            { name: "is beyond its share, without a report", long: 1, load: { reportedOthers: undefined }, hasCapacity: false },
            { name: "would overfill the target", long: 0, load: { others: 6 }, hasCapacity: false },
        ])("are admitted: $hasCapacity when the node $name, so that nodes do not overfill it", ({ long, load, hasCapacity }) => {
            const capacity = new Capacity({ clock: new ManualClock(), nodeConcurrency: 100 });
            for (let index = 0; index < long; index++) {
                capacity.attemptStarted(target, RunTimeClass.Long);
            }
            expect(capacity.targetHasCapacity({ ...idle, ...load }, RunTimeClass.Long)).toBe(hasCapacity);
        });
    });

    describe("node", () => {
        it("limits its calls in flight, at most a third of them long, so that its memory is bounded", () => {
            const capacity = new Capacity({ clock: new ManualClock(), nodeConcurrency: 6 });
            capacity.attemptStarted(target, RunTimeClass.Long);
            expect(capacity.nodeHasCapacity(RunTimeClass.Long)).toBe(true);
            capacity.attemptStarted(target, RunTimeClass.Long);
            expect(capacity.nodeHasCapacity(RunTimeClass.Long)).toBe(false);
            expect(capacity.nodeHasCapacity(RunTimeClass.Short)).toBe(true);
            for (let index = 0; index < 4; index++) {
                capacity.attemptStarted(target, RunTimeClass.Short);
            }
            expect(capacity.nodeHasCapacity(RunTimeClass.Short)).toBe(false);
        });
    });

    describe("ramp", () => {
        it("admits one call at a time to a cold target at the start of its ramp", () => {
            const capacity = new Capacity({ clock: new ManualClock(), nodeConcurrency: 100 });
            const cold = { ...idle, ramp: 0.1 };
            expect(capacity.targetHasCapacity(cold, RunTimeClass.Short)).toBe(true);
            capacity.attemptStarted(target, RunTimeClass.Short);
            expect(capacity.targetHasCapacity(cold, RunTimeClass.Short)).toBe(false);
        });
    });
});
