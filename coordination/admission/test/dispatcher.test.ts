import { Dispatcher, DispatchKind } from "@bilberrycroft/coordination.admission";
import type { DispatchEvent, SubmitDecision, SubmittedCall } from "@bilberrycroft/coordination.admission";
import { TargetState } from "@bilberrycroft/coordination.membership";
import { AttemptResult, Router } from "@bilberrycroft/coordination.routing";
import type { EndedAttempt, RoutingTarget } from "@bilberrycroft/coordination.routing";
import { ManualClock } from "@bilberrycroft/core.clock";
import { createSeededRandom } from "@bilberrycroft/core.random";
import { CallReason } from "@bilberrycroft/protocol.calls";
import { RuleKind, RunTimeClass } from "@bilberrycroft/state.rules";
import type { RouteRule } from "@bilberrycroft/state.rules";
import { beforeEach, describe, expect, it } from "vitest";

const origin = { line: 1, text: "", requester: "test", reason: undefined };
const lookup: RouteRule = {
    ...origin,
    kind: RuleKind.Route,
    name: "lookup",
    path: "/lookup",
    to: "readings",
    runTimeClass: RunTimeClass.Short,
    timeoutMs: 1_000,
    repeatable: true,
    needs: [],
    tenants: [],
    ratePerSecond: undefined,
    priority: 5,
};
const history: RouteRule = { ...lookup, name: "history", runTimeClass: RunTimeClass.Long };
const tenant = { name: "farm", weight: 1, ratePerSecond: undefined };

const slots = 6;
/** Lower limit of the time that is told to callers. */
const minRetryAfterMs = 50;

let clock: ManualClock;
let dispatcher: Dispatcher;
let nextCallNumber: number;

function createTarget(id: string, slots: number): RoutingTarget {
    const state = TargetState.Ready;
    return { id, service: "readings", address: id, zone: "a", state, slots, connections: 100, reachable: true };
}

function setUp(...slotCounts: number[]): void {
    clock = new ManualClock();
    nextCallNumber = 0;
    const random = createSeededRandom(1);
    dispatcher = new Dispatcher({ clock, random, router: new Router({ clock, random, zone: "a" }) });
    dispatcher.setTargets(slotCounts.map((count, index) => createTarget(`t${index}`, count)));
}

function submit(changes: Partial<SubmittedCall> = {}): SubmitDecision {
    const callId = changes.callId ?? `call-${nextCallNumber++}`;
    return dispatcher.submit({ callId, route: lookup, tenant, deadlineAt: clock.now() + 1_000, depth: 0, ...changes });
}

function complete(callId: string, target = "t0", changes: Partial<EndedAttempt> = {}): readonly DispatchEvent[] {
    const answered = { latencyMs: 10, result: AttemptResult.Answered, load: undefined, draining: false };
    return dispatcher.handleAttemptEnd({ callId, target, ...answered, ...changes });
}

/** Runs calls one after another, so that the dispatcher learns the run time of the route. */
function runSequentially(route: RouteRule, latencyMs: number, calls = 5): void {
    for (let index = 0; index < calls; index++) {
        const started = submit({ route });
        clock.advance(latencyMs);
        complete(started.callId, targetOf(started), { latencyMs });
    }
}

function targetOf(submission: SubmitDecision): string {
    return submission.kind === DispatchKind.Start ? submission.target.id : "";
}

function startedIds(events: readonly DispatchEvent[]): string[] {
    return events.filter(event => event.kind === DispatchKind.Start).map(event => event.callId);
}

function countStarts(submissions: readonly SubmitDecision[]): number {
    return submissions.filter(({ kind }) => kind === DispatchKind.Start).length;
}

function times<Result>(count: number, action: (index: number) => Result): Result[] {
    return Array.from({ length: count }, (_, index) => action(index));
}

describe("dispatcher", () => {
    beforeEach(() => setUp(slots));

    describe("slots", () => {
        it("starts no more calls than the target has slots, so that none queues inside the target", () => {
            expect(countStarts(times(10, () => submit()))).toBe(6);
        });

        it("starts a queued call as soon as a slot is free", () => {
            const ids = times(7, () => submit().callId);
            expect(startedIds(complete("call-0"))).toEqual([ids[6]]);
        });

        it("frees no slot for a completion that is reported twice", () => {
            times(8, () => submit());
            complete("call-0");
            expect(complete("call-0")).toEqual([]);
            expect(dispatcher.callsInFlight).toBe(6);
        });

        it("lowers the limit of a target that sheds, and raises it again", () => {
            submit({ callId: "shed" });
            complete("shed", "t0", { result: AttemptResult.Shed });
            expect(dispatcher.concurrencyLimitOf(createTarget("t0", 6))).toBe(4);
            runSequentially(lookup, 5);
            expect(dispatcher.concurrencyLimitOf(createTarget("t0", 6))).toBe(6);
        });

        it("lowers the limit when latencies show that calls queue inside the target", () => {
            runSequentially(lookup, 5, 40);
            for (let round = 0; round < 3; round++) {
                times(6, index => submit({ callId: `slow-${round}-${index}` }));
                clock.advance(14);
                times(6, index => complete(`slow-${round}-${index}`, "t0", { latencyMs: 14 }));
            }
            expect(dispatcher.concurrencyLimitOf(createTarget("t0", 6))).toBeLessThan(6);
        });

        it("leaves slots for the calls of other nodes that the target reports", () => {
            submit({ callId: "first" });
            complete("first", "t0", { load: { calls: 5, slots: 6 } });
            expect(countStarts(times(6, () => submit()))).toBeLessThan(4);
        });
    });

    describe("long class", () => {
        it("holds at most a third of a target, so that short calls find slots", () => {
            expect(countStarts(times(6, () => submit({ route: history })))).toBe(2);
            expect(countStarts(times(6, () => submit()))).toBe(4);
        });

        it("holds at most a third of a service whose targets have one or two slots each", () => {
            setUp(1, 1, 1);
            expect(countStarts(times(3, () => submit({ route: history })))).toBe(1);
        });

        it("applies to a route that is declared short but runs long", () => {
            runSequentially(lookup, 5);
            runSequentially({ ...history, runTimeClass: RunTimeClass.Short }, 300);
            const submitLong = () => submit({ route: { ...history, runTimeClass: RunTimeClass.Short } });
            expect(countStarts(times(6, submitLong))).toBe(2);
        });

        it("is not starved by a queue of short calls", () => {
            times(12, () => submit());
            const long = submit({ route: history });
            expect(startedIds(complete("call-0"))).toEqual([long.callId]);
        });
    });

    describe("deadlines", () => {
        it("refuses a call immediately when its run time exceeds the remaining time", () => {
            runSequentially(lookup, 50);
            const refused = submit({ deadlineAt: clock.now() + 30 });
            expect(refused).toMatchObject({ kind: DispatchKind.Refused, reason: CallReason.DeadlinePassed });
        });

        it("refuses a call immediately when its expected wait exceeds the remaining time", () => {
            runSequentially(lookup, 50);
            times(30, () => submit());
            const refused = submit({ deadlineAt: clock.now() + 150 });
            expect(refused).toMatchObject({ kind: DispatchKind.Refused, reason: CallReason.Overloaded });
        });

        it("tells a call that a full queue refuses to return after one to two times what the queue takes to drain", () => {
            const runTimeMs = 40;
            runSequentially(lookup, runTimeMs, 50);
            times(30, () => submit());
            const queued = dispatcher.queuedCalls;
            const refused = submit();
            expect(refused).toMatchObject({ kind: DispatchKind.Refused, reason: CallReason.Overloaded });
            const drainMs = (queued + 1) * runTimeMs / slots;
            expect(drainMs).toBeGreaterThan(minRetryAfterMs);
            const { retryAfterMs } = refused as Extract<SubmitDecision, { kind: DispatchKind.Refused }>;
            expect(retryAfterMs).toBeGreaterThanOrEqual(drainMs);
            expect(retryAfterMs).toBeLessThanOrEqual(Math.ceil(2 * drainMs));
        });

        it("refuses a queued call at the first tick after its maximum wait, even behind a newer call", () => {
            times(7, () => submit());
            clock.advance(80);
            submit();
            clock.advance(30);
            expect(dispatcher.tick()).toMatchObject([
                { kind: DispatchKind.Refused, callId: "call-6", reason: CallReason.Overloaded },
            ]);
            expect(dispatcher.queuedCalls).toBe(1);
        });
    });

    describe("order of queued calls", () => {
        beforeEach(() => times(6, () => submit()));

        it("serves the higher priority first", () => {
            submit({ callId: "low", route: { ...lookup, priority: 1 } });
            submit({ callId: "high", route: { ...lookup, priority: 9 } });
            expect(startedIds(complete("call-0"))).toEqual(["high"]);
        });

        it("serves an inner call first, because refusing it wastes the work of its outer calls", () => {
            submit({ callId: "top" });
            submit({ callId: "inner", depth: 2 });
            expect(startedIds(complete("call-0"))).toEqual(["inner"]);
        });

        it("shares between tenants by weight, so that one tenant's flood does not delay another", () => {
            times(8, index => submit({ callId: `flood-${index}`, tenant: { ...tenant, name: "flood" } }));
            times(4, index => submit({ callId: `heavy-${index}`, tenant: { ...tenant, name: "heavy", weight: 3 } }));
            const served = times(4, index => startedIds(complete(`call-${index}`))).flat();
            expect(served.filter(callId => callId.startsWith("heavy")).length).toBe(3);
        });

        it("is oldest first during a short burst and newest first under sustained overload", () => {
            times(6, index => submit({ callId: `waiting-${index}` }));
            expect(startedIds(complete("call-0"))).toEqual(["waiting-0"]);
            clock.advance(75);
            expect(startedIds(complete("call-1"))).toEqual(["waiting-5"]);
        });

        it("sheds the lowest priority when the queue is full, so that the queue stays bounded", () => {
            submit({ callId: "low", route: { ...lookup, priority: 1 } });
            times(2_000, () => submit());
            expect(dispatcher.queuedCalls).toBeLessThanOrEqual(512);
            const refused = dispatcher.tick().filter(({ kind }) => kind === DispatchKind.Refused);
            expect(refused[0]?.callId).toBe("low");
        });
    });

    describe("rate limits", () => {
        it.each([
            { name: "tenant", changes: { tenant: { ...tenant, ratePerSecond: 2 } } },
            { name: "route", changes: { route: { ...lookup, ratePerSecond: 2 } } },
        ])("refuse calls beyond the rate of the $name and admit them again later", ({ changes }) => {
            expect(countStarts(times(3, () => submit(changes)))).toBe(2);
            expect(submit(changes)).toMatchObject({ reason: CallReason.RateLimited, retryAfterMs: 500 });
            clock.advance(500);
            expect(submit(changes).kind).toBe(DispatchKind.Start);
        });
    });

    describe("further attempts", () => {
        it("go to another target and hold a slot there", () => {
            setUp(6, 6);
            const first = submit({ callId: "call" });
            const tried = targetOf(first);
            const again = dispatcher.reserveAttempt({ callId: "call", exclude: [tried] });
            expect(again).toMatchObject({ kind: DispatchKind.Start, target: { id: tried === "t0" ? "t1" : "t0" } });
            expect(dispatcher.callsInFlight).toBe(2);
        });

        it("are refused while calls are queued if they are hedges", () => {
            setUp(1, 1);
            const [first] = times(3, () => submit());
            const tried = first === undefined ? "" : targetOf(first);
            const other = tried === "t0" ? "t1" : "t0";
            const hedge = { callId: "call-0", exclude: [tried] };
            dispatcher.setTargets([createTarget("t0", 2), createTarget("t1", 2)]);
            expect(dispatcher.reserveAttempt(hedge).kind).toBe(DispatchKind.Refused);
            dispatcher.cancel("call-2");
            expect(dispatcher.reserveAttempt(hedge)).toMatchObject({ kind: DispatchKind.Start, target: { id: other } });
        });

        it("do not test a suspected target, which would probably fail the call again", () => {
            setUp(6, 6, 6, 6, 6);
            runSequentially(lookup, 5, 60);
            const stalled = targetOf(submit());
            clock.advance(50);
            const tried = targetOf(submit({ callId: "retried" }));
            clock.advance(150);
            const again = targetOf(dispatcher.reserveAttempt({ callId: "retried", exclude: [tried] }));
            expect(["", stalled, tried]).not.toContain(again);
        });

        it("never go to an excluded target, even if it is the only one", () => {
            submit({ callId: "call" });
            expect(dispatcher.reserveAttempt({ callId: "call", exclude: ["t0"] }).kind).toBe(DispatchKind.Refused);
        });

        it("are refused after the call was answered, so that an answered call does not run again", () => {
            setUp(6, 6);
            const first = submit({ callId: "call" });
            complete("call", targetOf(first));
            expect(dispatcher.reserveAttempt({ callId: "call", exclude: [] }).kind).toBe(DispatchKind.Refused);
        });
    });

    describe("cancelled calls", () => {
        it("leave the queue and are not started after their caller disconnected", () => {
            times(7, () => submit());
            expect(dispatcher.cancel("call-6")).toBe(true);
            expect(complete("call-0")).toEqual([]);
        });
    });

    describe("service without targets", () => {
        it("refuses a call instead of queueing it", () => {
            const refused = submit({ route: { ...lookup, to: "fans" } });
            expect(refused).toMatchObject({ kind: DispatchKind.Refused, reason: CallReason.NoTarget });
        });
    });
});
