import { TargetState } from "@bilberrycroft/coordination.membership";
import type { RoutingTarget, EstimatedTargetLoad } from "@bilberrycroft/coordination.routing";
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
const idle: EstimatedTargetLoad = { target, otherCalls: 0, reportedOtherCalls: 0, ramp: 1, longCallShare: 1 };

describe("capacity", () => {
    describe("long calls on targets shared with other nodes", () => {
        it.each([
            { name: "already holds a third of the target", long: 2, load: { longCallShare: 6 }, hasCapacity: false },
            { name: "is within its share, without a report", long: 0, load: { reportedOtherCalls: undefined }, hasCapacity: true },
            { name: "is beyond its share of an idle target", long: 1, load: {}, hasCapacity: true },
            { name: "is beyond its share of a used target", long: 1, load: { reportedOtherCalls: 2 }, hasCapacity: false },
            { name: "is beyond its share, without a report", long: 1, load: { reportedOtherCalls: undefined }, hasCapacity: false },
            { name: "would overfill the target", long: 0, load: { otherCalls: 6 }, hasCapacity: false },
        ])("are admitted: $hasCapacity when the node $name, so that nodes do not overfill it", ({ long, load, hasCapacity }) => {
            const capacity = new Capacity({ clock: new ManualClock(), nodeConcurrency: 100 });
            for (let index = 0; index < long; index++) {
                capacity.recordAttemptStart(target, RunTimeClass.Long);
            }
            expect(capacity.hasTargetCapacity({ ...idle, ...load }, RunTimeClass.Long)).toBe(hasCapacity);
        });
    });

    describe("node", () => {
        it("limits its calls in flight, at most a third of them long, so that its memory is bounded", () => {
            const capacity = new Capacity({ clock: new ManualClock(), nodeConcurrency: 6 });
            capacity.recordAttemptStart(target, RunTimeClass.Long);
            expect(capacity.hasNodeCapacity(RunTimeClass.Long)).toBe(true);
            capacity.recordAttemptStart(target, RunTimeClass.Long);
            expect(capacity.hasNodeCapacity(RunTimeClass.Long)).toBe(false);
            expect(capacity.hasNodeCapacity(RunTimeClass.Short)).toBe(true);
            for (let index = 0; index < 4; index++) {
                capacity.recordAttemptStart(target, RunTimeClass.Short);
            }
            expect(capacity.hasNodeCapacity(RunTimeClass.Short)).toBe(false);
        });
    });

    describe("services", () => {
        const capacity = new Capacity({ clock: new ManualClock(), nodeConcurrency: 100 });
        const runTimeMs = 40;
        const removed = "removed-service";

        it("are forgotten with their last target and call, so that renamed services do not use memory for ever", () => {
            for (const service of [target.service, removed]) {
                capacity.recordRunTime(service, RunTimeClass.Short, runTimeMs);
            }
            const removedTarget = { ...target, id: "t1", service: removed };
            capacity.setTargets([target, removedTarget]);
            capacity.recordAttemptStart(removedTarget, RunTimeClass.Short);
            capacity.setTargets([target]);
            expect(capacity.releaseIntervalMs(removed, RunTimeClass.Short)).toBe(runTimeMs);
            capacity.recordAttemptEnd(removedTarget, RunTimeClass.Short);
            capacity.setTargets([target]);
            expect(capacity.releaseIntervalMs(removed, RunTimeClass.Short)).toBe(0);
            expect(capacity.releaseIntervalMs(target.service, RunTimeClass.Short)).toBe(runTimeMs);
        });
    });

    describe("ramp", () => {
        it("admits one call at a time to a cold target at the start of its ramp", () => {
            const capacity = new Capacity({ clock: new ManualClock(), nodeConcurrency: 100 });
            const cold = { ...idle, ramp: 0.1 };
            expect(capacity.hasTargetCapacity(cold, RunTimeClass.Short)).toBe(true);
            capacity.recordAttemptStart(target, RunTimeClass.Short);
            expect(capacity.hasTargetCapacity(cold, RunTimeClass.Short)).toBe(false);
        });
    });
});
