import { describe, expect, it } from "vitest";
import { ManualClock } from "@bilberrycroft/core.clock";
import { createSeededRandom } from "@bilberrycroft/core.random";
import { CallOutcome, CallReason } from "@bilberrycroft/protocol.calls";
import { type RouteRule, RuleKind, RunTimeClass } from "@bilberrycroft/state.rules";
import {
    type AttemptDecision,
    AttemptDecisionKind as Decision,
    type AttemptResult,
    AttemptResultKind as Result,
    HedgeDecisionKind,
    Retries,
} from "@bilberrycroft/coordination.retries";

const once: RouteRule = {
    kind: RuleKind.Route,
    name: "acknowledge",
    path: "/alarms",
    to: "alarms",
    line: 1,
    text: "",
    requester: "test",
    reason: undefined,
    runTimeClass: RunTimeClass.Short,
    timeoutMs: 1_000,
    repeatable: false,
    needs: [],
    tenants: [],
    ratePerSecond: undefined,
    priority: 5,
};
const repeatable: RouteRule = { ...once, name: "lookup", repeatable: true };
const long: RouteRule = { ...repeatable, name: "export", runTimeClass: RunTimeClass.Long };

const done: AttemptResult = { kind: Result.Done, status: 200 };
const notRun: AttemptResult = { kind: Result.NotRun, retryAfterMs: 700 };
const connectFailed: AttemptResult = { kind: Result.ConnectFailed };
const broken: AttemptResult = { kind: Result.Broken };
const timedOut: AttemptResult = { kind: Result.TimedOut };
const cancelled: AttemptResult = { kind: Result.Cancelled };

interface Limits {
    readonly deadlineAt?: number;
    readonly depth?: number;
    readonly attempt?: number;
}

function createNode(clock = new ManualClock()) {
    const retries = new Retries({ clock, random: createSeededRandom(7) });
    const start = (callId: string, route = repeatable, limits: Limits = {}) =>
        retries.handleCallStart({ callId, route, deadlineAt: clock.now() + 1_000, depth: 0, attempt: 1, ...limits });
    const send = (callId: string, target: string) => retries.handleAttemptStart({ callId, target });
    const end = (callId: string, target: string, result: AttemptResult) =>
        retries.handleAttemptEnd({ callId, target, result });
    /** Ends one attempt after another with the given results, each on a new target. Returns the last decision. */
    const runCall = (callId: string, results: readonly AttemptResult[]): AttemptDecision => {
        const decisions = results.map((result, index) => {
            send(callId, `t${index}`);
            return end(callId, `t${index}`, result);
        });
        return decisions.at(-1) as AttemptDecision;
    };
    /** Records latencies of 10 ms for a route. */
    const recordLatencies = (route: RouteRule) => {
        for (let call = 0; call < 64; call++) {
            start(`sample-${call}`, route);
            send(`sample-${call}`, "t0");
            clock.advance(10);
            end(`sample-${call}`, "t0", done);
        }
    };
    return { clock, retries, start, send, end, runCall, recordLatencies };
}

describe("retries", () => {
    describe("decision after an attempt", () => {
        it.each([
            ["once, not run", once, [notRun], Decision.RetryAt],
            ["once, connection refused", once, [connectFailed], Decision.RetryAt],
            ["once, broken", once, [broken], Decision.Respond],
            ["once, timed out", once, [timedOut], Decision.Respond],
            ["once, not run and then broken", once, [notRun, broken], Decision.Respond],
            ["repeatable, broken", repeatable, [broken], Decision.RetryAt],
            ["repeatable, timed out", repeatable, [timedOut], Decision.RetryAt],
            ["repeatable, cancelled", repeatable, [cancelled], Decision.Respond],
            ["repeatable, three refusals", repeatable, [notRun, notRun, notRun], Decision.Respond],
        ] as const)("%s: repeats a call only if that cannot run it twice", (_name, route, results, expected) => {
            const node = createNode();
            node.start("call", route);
            expect(node.runCall("call", results).kind).toBe(expected);
        });

        it("excludes every tried target and throws for a second attempt on one", () => {
            const node = createNode();
            node.start("call");
            expect(node.runCall("call", [notRun, notRun])).toMatchObject({ exclude: ["t0", "t1"] });
            expect(() => node.send("call", "t0")).toThrow();
        });

        it("adds jitter to the backoff and starts no retry at or after the deadline", () => {
            const node = createNode();
            const times = ["a", "b", "c"].map(callId => {
                node.start(callId);
                return node.runCall(callId, [connectFailed]);
            }).map(decision => decision.kind === Decision.RetryAt ? decision.at : undefined);
            expect(new Set(times).size).toBe(3);
            node.start("late", repeatable, { deadlineAt: node.clock.now() + 2 });
            expect(node.runCall("late", [connectFailed]).kind).toBe(Decision.Respond);
        });

        it.each([
            [0, 1, Decision.RetryAt],
            [0, 2, Decision.RetryAt],
            [3, 1, Decision.RetryAt],
            [3, 2, Decision.Respond],
        ])("depth %i, attempt %i: allows one level of a call chain to retry", (depth, attempt, expected) => {
            const node = createNode();
            node.start("call", repeatable, { depth, attempt });
            expect(node.send("call", "t0")).toBe(attempt);
            expect(node.end("call", "t0", connectFailed).kind).toBe(expected);
        });

        it("numbers the second attempt, so that its inner calls are not retried as well", () => {
            const node = createNode();
            node.start("call");
            node.runCall("call", [connectFailed]);
            expect(node.send("call", "t1")).toBe(2);
        });
    });

    describe("outcome", () => {
        it.each([
            ["every attempt refused", [notRun, connectFailed, notRun], CallOutcome.NotRun, CallReason.TargetRefused, 700],
            ["one broke, then refusals", [broken, notRun, connectFailed], CallOutcome.Unknown, CallReason.AnswerLost, undefined],
            ["a refusal, then a timeout", [notRun, notRun, timedOut], CallOutcome.Unknown, CallReason.TimedOut, undefined],
            ["a failure, then a response", [broken, done], CallOutcome.Done, undefined, undefined],
        ] as const)("%s: never reports a call as not run if it may have run", (_name, results, outcome, reason, retryAfterMs) => {
            const node = createNode();
            node.start("call");
            expect(node.runCall("call", results)).toMatchObject({ kind: Decision.Respond, outcome, reason, retryAfterMs });
        });

        it("is not run if no attempt was started, and unknown if the first attempt may have run", () => {
            const node = createNode();
            node.start("none");
            expect(node.retries.handleAttemptNotStarted("none")).toMatchObject({ outcome: CallOutcome.NotRun });
            node.start("one");
            node.runCall("one", [broken]);
            expect(node.retries.handleAttemptNotStarted("one")).toMatchObject({ outcome: CallOutcome.Unknown });
        });
    });

    describe("hedging", () => {
        it("hedges a slow call once, responds with the first response and cancels the other attempt", () => {
            const node = createNode();
            node.recordLatencies(repeatable);
            expect(node.start("call").hedgeAt).toBe(node.clock.now() + 10);
            node.send("call", "t0");
            expect(node.retries.handleHedgeTime("call")).toEqual({ kind: HedgeDecisionKind.Hedge, exclude: ["t0"] });
            node.send("call", "t1");
            expect(node.retries.handleHedgeTime("call").kind).toBe(HedgeDecisionKind.NoHedge);
            expect(node.end("call", "t1", done)).toMatchObject({ outcome: CallOutcome.Done, target: "t1", cancel: ["t0"] });
            expect(node.end("call", "t0", cancelled).kind).toBe(Decision.Ignored);
        });

        it("waits for the other attempt when one fails, so that a call that can still succeed does not fail", () => {
            const node = createNode();
            node.recordLatencies(repeatable);
            node.start("call");
            node.send("call", "t0");
            node.retries.handleHedgeTime("call");
            expect(node.end("call", "t0", broken).kind).toBe(Decision.Wait);
            node.send("call", "t1");
            node.send("call", "t2");
            expect(node.end("call", "t2", broken).kind).toBe(Decision.Wait);
            expect(node.end("call", "t1", done)).toMatchObject({ outcome: CallOutcome.Done });
        });

        it.each([
            ["not repeatable", once, {}],
            ["long", long, {}],
            ["inner call of a retry", repeatable, { depth: 1, attempt: 2 }],
            ["near its deadline", repeatable, { deadlineAt: 650 }],
        ])("%s: does not hedge, because the hedge would be useless or against the rules", (_name, route, limits) => {
            const node = createNode();
            node.recordLatencies(route);
            expect(node.start("call", route, limits).hedgeAt).toBeUndefined();
        });

        it("stays within 5 % of the calls when every call is slow", () => {
            const node = createNode();
            let hedges = 0;
            for (let call = 0; call < 1_000; call++) {
                node.start(`${call}`);
                node.send(`${call}`, "t0");
                hedges += node.retries.handleHedgeTime(`${call}`).kind === HedgeDecisionKind.Hedge ? 1 : 0;
                node.clock.advance(5);
            }
            expect(hedges).toBe(50);
        });

        it("counts slow attempts that lost to their hedge, so that hedges do not cause more hedges", () => {
            const node = createNode();
            node.recordLatencies(repeatable);
            for (let call = 0; call < 256; call++) {
                node.start(`${call}`);
                node.send(`${call}`, "t0");
                node.clock.advance(call % 8 === 0 ? 40 : 0);
                node.send(`${call}`, "t1");
                node.clock.advance(10);
                node.end(`${call}`, "t1", done);
            }
            expect(node.start("call").hedgeAt).toBe(node.clock.now() + 50);
        });
    });

    describe("load when every attempt fails", () => {
        it.each([
            [200, connectFailed, 0.1, 0],
            [200, broken, 0.1, 0],
            [5, connectFailed, 0, 10],
        ])("%i calls/s fail: retries in any 10 s stay within the budget", (rate, result, share, minimum) => {
            const node = createNode();
            const attemptTimes: number[] = [];
            const callTimes: number[] = [];
            for (let call = 0; call < rate * 40; call++) {
                node.start(`${call}`);
                callTimes.push(node.clock.now());
                let decision: AttemptDecision | undefined;
                for (let target = 0; target === 0 || decision?.kind === Decision.RetryAt; target++) {
                    node.send(`${call}`, `t${target}`);
                    attemptTimes.push(node.clock.now());
                    decision = node.end(`${call}`, `t${target}`, result);
                }
                node.clock.advance(1_000 / rate);
            }
            for (let from = 0; from <= 30_000; from += 100) {
                const within = (at: number) => at >= from && at < from + 10_000;
                const calls = callTimes.filter(within).length;
                const retries = attemptTimes.filter(within).length - calls;
                expect(retries).toBeLessThanOrEqual(calls * share + minimum);
                expect(retries).toBeGreaterThan(0);
            }
        });

        it("does not multiply retries from level to level of a call chain", () => {
            const clock = new ManualClock();
            const levels = Array.from({ length: 8 }, () => createNode(clock));
            let offered = 0;
            let nextId = 0;
            const call = (depth: number, attempt: number): void => {
                const node = levels[depth];
                if (node === undefined) {
                    offered++;
                    return;
                }
                const id = `${nextId++}`;
                node.start(id, repeatable, { depth, attempt });
                for (let target = 0, again = true; again; target++) {
                    call(depth + 1, node.send(id, `t${target}`));
                    again = node.end(id, `t${target}`, broken).kind === Decision.RetryAt;
                }
            };
            for (let top = 0; top < 4_000; top++) {
                call(0, 1);
                clock.advance(5);
            }
            // Each of the 8 levels may add 10 % of the top-level calls; multiplied over all levels, 1.1 ** 8 = 2.14.
            expect(offered / 4_000).toBeLessThanOrEqual(1.8);
        });
    });

    it("removes a call whose caller disconnected and returns the targets of its attempts, so that they are cancelled", () => {
        const node = createNode();
        node.start("call");
        node.send("call", "t0");
        expect(node.retries.handleCallerDisconnect("call")).toEqual(["t0"]);
        expect(node.end("call", "t0", cancelled).kind).toBe(Decision.Ignored);
    });
});
