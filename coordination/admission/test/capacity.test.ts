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
    describe("long calls beside those of other nodes", () => {
        it.each([
            { name: "holds a third already", long: 2, load: { longShare: 6 }, hasRoom: false },
            { name: "is within its share, whatever is known", long: 0, load: { reportedOthers: undefined }, hasRoom: true },
            { name: "is beyond its share of an idle target", long: 1, load: {}, hasRoom: true },
            { name: "is beyond its share of a used target", long: 1, load: { reportedOthers: 2 }, hasRoom: false },
            { name: "is beyond its share without a report", long: 1, load: { reportedOthers: undefined }, hasRoom: false },
            { name: "would overfill the target", long: 0, load: { others: 6 }, hasRoom: false },
        ])("are admitted: $hasRoom when the node $name, or nodes together fill it", ({ long, load, hasRoom }) => {
            const capacity = new Capacity({ clock: new ManualClock(), nodeConcurrency: 100 });
            for (let index = 0; index < long; index++) {
                capacity.started(target, RunTimeClass.Long);
            }
            expect(capacity.hasRoom({ ...idle, ...load }, RunTimeClass.Long)).toBe(hasRoom);
        });
    });

    describe("node", () => {
        it("carries a bounded number of calls, a third of them long, so that its memory is bounded", () => {
            const capacity = new Capacity({ clock: new ManualClock(), nodeConcurrency: 6 });
            capacity.started(target, RunTimeClass.Long);
            expect(capacity.nodeHasRoom(RunTimeClass.Long)).toBe(true);
            capacity.started(target, RunTimeClass.Long);
            expect(capacity.nodeHasRoom(RunTimeClass.Long)).toBe(false);
            expect(capacity.nodeHasRoom(RunTimeClass.Short)).toBe(true);
            for (let index = 0; index < 4; index++) {
                capacity.started(target, RunTimeClass.Short);
            }
            expect(capacity.nodeHasRoom(RunTimeClass.Short)).toBe(false);
        });
    });

    describe("ramp", () => {
        it("gives a cold target one call at a time first", () => {
            const capacity = new Capacity({ clock: new ManualClock(), nodeConcurrency: 100 });
            const cold = { ...idle, ramp: 0.1 };
            expect(capacity.hasRoom(cold, RunTimeClass.Short)).toBe(true);
            capacity.started(target, RunTimeClass.Short);
            expect(capacity.hasRoom(cold, RunTimeClass.Short)).toBe(false);
        });
    });
});
