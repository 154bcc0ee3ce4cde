import { TargetState } from "@bilberrycroft/coordination.membership";
import { AttemptResult, NoTargetReason, Router, TargetChoiceKind } from "@bilberrycroft/coordination.routing";
import type { EndedAttempt, RoutingTarget, TargetRequest, TargetView } from "@bilberrycroft/coordination.routing";
import { ManualClock } from "@bilberrycroft/core.clock";
import { createSeededRandom } from "@bilberrycroft/core.random";
import { RunTimeClass } from "@bilberrycroft/state.rules";
import { beforeEach, describe, expect, it } from "vitest";

const baselineMs = 4;
let clock: ManualClock;
let router: Router;
let nextCallNumber: number;

beforeEach(() => {
    clock = new ManualClock();
    router = new Router({ clock, random: createSeededRandom(1), zone: "a" });
    nextCallNumber = 0;
});

function createTarget(id: string, changes: Partial<RoutingTarget> = {}): RoutingTarget {
    return {
        id,
        service: "readings",
        address: `10.0.0.1:${id}`,
        zone: "a",
        state: TargetState.Ready,
        slots: 6,
        connections: 100,
        reachable: true,
        ...changes,
    };
}

function viewOf(id: string): TargetView {
    return router.view().find(view => view.id === id) as TargetView;
}

function choose(changes: Partial<TargetRequest> = {}): string {
    const request = { service: "readings", runTimeClass: RunTimeClass.Short, exclude: [], isTrialAllowed: true };
    const choice = router.choose({ ...request, ...changes });
    return choice.kind === TargetChoiceKind.Chosen ? choice.target.id : choice.reason;
}

/** Counts how often each target is chosen in a hundred choices. */
function chooseOften(changes: Partial<TargetRequest> = {}): Record<string, number> {
    const counts: Record<string, number> = {};
    for (let index = 0; index < 100; index++) {
        const id = choose(changes);
        counts[id] = (counts[id] ?? 0) + 1;
    }
    return counts;
}

function startAttempt(id: string): string {
    const callId = `call-${nextCallNumber++}`;
    router.recordAttemptStart({ callId, target: id, runTimeClass: RunTimeClass.Short });
    return callId;
}

function endAttempt(callId: string, id: string, changes: Partial<EndedAttempt> = {}): void {
    const answered = { latencyMs: baselineMs, result: AttemptResult.Answered, load: undefined, draining: false };
    router.recordAttemptEnd({ callId, target: id, ...answered, ...changes });
}

function runCalls(id: string, calls: number, latencyMs = baselineMs, changes: Partial<EndedAttempt> = {}): void {
    for (let index = 0; index < calls; index++) {
        const callId = startAttempt(id);
        clock.advance(latencyMs);
        endAttempt(callId, id, { latencyMs, ...changes });
    }
}

function failAttempt(id: string, result: AttemptResult): void {
    endAttempt(startAttempt(id), id, { result, latencyMs: 0 });
}

function causeSuspicion(id: string): void {
    startAttempt(id);
    clock.advance(4 * baselineMs);
    choose();
}

describe("router", () => {
    describe("with no target to choose", () => {
        it.each([
            { name: "an unknown service", targets: [], reason: NoTargetReason.UnknownService },
            { name: "a draining target", targets: [createTarget("1", { state: TargetState.Draining })], reason: NoTargetReason.Leaving },
            { name: "a target that is gone", targets: [createTarget("1", { state: TargetState.Gone })], reason: NoTargetReason.Leaving },
        ])("reports the reason for $name, so that a leaving target never gets new calls", ({ targets, reason }) => {
            router.setTargets(targets);
            expect(choose()).toBe(reason);
        });

        it("does not choose a target that the call has already tried, which would repeat a failure", () => {
            router.setTargets([createTarget("1")]);
            expect(choose({ exclude: ["1"] })).toBe(NoTargetReason.Tried);
        });

        it("reports a full target as busy, so that the call waits instead of failing", () => {
            router.setTargets([createTarget("1")]);
            expect(choose({ hasCapacity: () => false })).toBe(NoTargetReason.Busy);
        });
    });

    describe("draining header", () => {
        it("avoids the target immediately, before membership has spread the announcement", () => {
            router.setTargets([createTarget("1"), createTarget("2")]);
            runCalls("1", 1, baselineMs, { draining: true });
            router.setTargets([createTarget("1"), createTarget("2")]);
            expect(chooseOften()).toEqual({ 2: 100 });
        });
    });

    describe("stalled target", () => {
        beforeEach(() => {
            router.setTargets(["1", "2", "3", "4"].map(id => createTarget(id)));
            ["1", "2", "3", "4"].forEach(id => runCalls(id, 20));
        });

        it("is avoided after a few times its normal latency, without waiting for a response", () => {
            startAttempt("1");
            clock.advance(4 * baselineMs);
            expect(chooseOften()["1"]).toBeUndefined();
        });

        it("is not suspected for one long call if later calls are answered", () => {
            startAttempt("1");
            clock.advance(1);
            runCalls("1", 3);
            clock.advance(4 * baselineMs);
            choose();
            expect(viewOf("1").isSuspected).toBe(false);
        });

        it("stays suspected when the stalled call is cancelled, because hedging would hide the stall otherwise", () => {
            const callId = startAttempt("1");
            clock.advance(10 * baselineMs);
            endAttempt(callId, "1", { result: AttemptResult.Cancelled, latencyMs: 10 * baselineMs });
            expect(viewOf("1").isSuspected).toBe(true);
        });

        it("gets one trial call at a time and is used again after a response in time", () => {
            causeSuspicion("1");
            clock.advance(100);
            expect(choose()).toBe("1");
            const trial = startAttempt("1");
            const onlyFirst = { exclude: ["2", "3", "4"] };
            expect(chooseOften(onlyFirst)["1"]).toBeUndefined();
            clock.advance(baselineMs);
            endAttempt(trial, "1");
            expect(chooseOften(onlyFirst)).toEqual({ 1: 100 });
            expect(viewOf("1").isSuspected).toBe(false);
        });

        it("does not use a call that is not repeatable as a trial", () => {
            causeSuspicion("1");
            clock.advance(100);
            expect(chooseOften({ isTrialAllowed: false })["1"]).toBeUndefined();
        });

        it("is chosen by cost when more than half are suspected, so that the rest is not overloaded", () => {
            ["1", "2", "3"].forEach(id => startAttempt(id));
            clock.advance(4 * baselineMs);
            const counts = chooseOften({ hasCapacity: load => load.target.id !== "4" });
            expect(Object.keys(counts).sort()).toEqual(["1", "2", "3"]);
        });
    });

    describe("refused connection", () => {
        beforeEach(() => router.setTargets([createTarget("1"), createTarget("2")]));

        it.each([AttemptResult.ConnectionRefused, AttemptResult.Broken])("excludes the target immediately: %s", result => {
            failAttempt("1", result);
            expect(chooseOften()).toEqual({ 2: 100 });
        });

        it("is tried again by a short call first, because a long one would delay the result", () => {
            failAttempt("1", AttemptResult.ConnectionRefused);
            clock.advance(150);
            const onlyFirst = { exclude: ["2"] };
            expect(choose({ ...onlyFirst, runTimeClass: RunTimeClass.Long })).toBe(NoTargetReason.Refusing);
            expect(choose(onlyFirst)).toBe("1");
        });

        it("is tried again with exponential backoff, not as often as calls arrive", () => {
            const waits: number[] = [];
            for (let round = 0; round < 4; round++) {
                failAttempt("1", AttemptResult.ConnectionRefused);
                const since = clock.now();
                while (choose({ exclude: ["2"] }) !== "1") {
                    clock.advance(5);
                }
                waits.push(clock.now() - since);
            }
            expect(waits[0]).toBeGreaterThanOrEqual(50);
            expect(waits[3]).toBeGreaterThan(3 * (waits[0] ?? 0));
        });
    });

    describe("slow start", () => {
        it("gives a new target a small share at first, because its caches are cold", () => {
            router.setTargets([createTarget("1"), createTarget("2")]);
            ["1", "2"].forEach(id => runCalls(id, 20));
            router.setTargets([createTarget("1"), createTarget("2"), createTarget("3")]);
            expect(chooseOften()["3"]).toBeUndefined();
            expect(viewOf("3").ramp).toBeCloseTo(0.1);
            clock.advance(5_000);
            expect(viewOf("3").ramp).toBe(1);
        });

        it("does not ramp targets that are present when the node starts", () => {
            router.setTargets([createTarget("1")]);
            expect(viewOf("1").ramp).toBe(1);
        });

        it("does not treat a target as cold because the node learned of it late", () => {
            router.setTargets([createTarget("1", { stateAgeMs: 60_000 })]);
            router.setTargets([
                createTarget("1"),
                createTarget("2", { stateAgeMs: 60_000 }),
                createTarget("3", { stateAgeMs: 1_000 }),
            ]);
            expect(viewOf("2").ramp).toBe(1);
            expect(viewOf("3").ramp).toBeCloseTo(0.2);
        });

        it.each([
            { name: "beside a warm one", others: 60_000, expected: 0.2 },
            { name: "where all are equally new, so that a recovering zone does not shed calls", others: 1_000, expected: 1 },
        ])("offers a new target $name a share of $expected of its limit", ({ others, expected }) => {
            const ramps = new Map<string, number>();
            router.setTargets([createTarget("1", { stateAgeMs: others }), createTarget("2", { stateAgeMs: others })]);
            router.setTargets([
                createTarget("1", { stateAgeMs: others }),
                createTarget("2", { stateAgeMs: others }),
                createTarget("3", { stateAgeMs: 1_000 }),
            ]);
            choose({
                hasCapacity: load => {
                    ramps.set(load.target.id, load.ramp);
                    return true;
                },
            });
            expect(ramps.get("3")).toBeCloseTo(expected);
        });

        it("starts the ramp after a cold start at the target's change of state", () => {
            router.setTargets([createTarget("1", { state: TargetState.Warming, stateAgeMs: 4_000 })]);
            expect(viewOf("1").ramp).toBeCloseTo(0.1);
            router.setTargets([createTarget("1", { state: TargetState.Ready, stateAgeMs: 2_500 })]);
            expect(viewOf("1").ramp).toBeCloseTo(0.5);
        });
    });

    describe("cost", () => {
        it("prefers the local zone until its targets are slower by more than the distance", () => {
            router.setTargets([createTarget("1"), createTarget("2", { zone: "b" })]);
            router.recordDistance({ zone: "b", roundTripMs: 3 });
            runCalls("1", 20);
            runCalls("2", 20, baselineMs - 1 + 3);
            expect(chooseOften()).toEqual({ 1: 100 });
            runCalls("1", 10, baselineMs + 6);
            expect(chooseOften()).toEqual({ 2: 100 });
        });

        it("prefers the faster target", () => {
            router.setTargets([createTarget("1"), createTarget("2")]);
            runCalls("1", 20, 20);
            runCalls("2", 20, 2);
            expect(chooseOften()).toEqual({ 2: 100 });
        });

        it.each([
            { name: "fresh report of a full target", calls: 6, ageMs: 0, chosen: "2" },
            { name: "old report of a full target", calls: 6, ageMs: 1_000, chosen: undefined },
        ])("discounts reports by age: $name", ({ calls, ageMs, chosen }) => {
            router.setTargets([createTarget("1"), createTarget("2")]);
            runCalls("2", 20);
            runCalls("1", 20, baselineMs, { load: { calls, slots: 6 } });
            clock.advance(ageMs);
            const counts = chooseOften();
            expect(Object.keys(counts)).toEqual(chosen === undefined ? ["1", "2"] : [chosen]);
        });

        it("loses trust in a target that reports an overload but responds at its normal latency", () => {
            router.setTargets([createTarget("1")]);
            runCalls("1", 40, baselineMs, { load: { calls: 24, slots: 6 } });
            expect(viewOf("1").otherCalls).toBeLessThan(0.5);
        });
    });

    describe("unreachable target", () => {
        it("is used only while no target is reachable", () => {
            router.setTargets([createTarget("1", { reachable: false }), createTarget("2")]);
            expect(chooseOften()).toEqual({ 2: 100 });
            router.setTargets([createTarget("1", { reachable: false })]);
            expect(choose()).toBe("1");
        });
    });

    describe("connection share", () => {
        it("is enforced, so that all nodes together stay below the target's limit", () => {
            router.setTargets([createTarget("1", { connections: 4 })]);
            router.setCallers(2, 0);
            startAttempt("1");
            expect(choose()).toBe("1");
            startAttempt("1");
            expect(choose()).toBe(NoTargetReason.Busy);
        });

        it("is granted outside the subset while the whole subset is unusable", () => {
            router.setTargets([createTarget("1", { connections: 1 }), createTarget("2", { connections: 1 })]);
            router.setCallers(2, 0);
            const inSubset = choose();
            failAttempt(inSubset, AttemptResult.ConnectionRefused);
            expect(choose()).toBe(inSubset === "1" ? "2" : "1");
        });
    });
});
