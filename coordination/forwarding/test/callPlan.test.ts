import { ManualClock } from "@bilberrycroft/core.clock";
import { createSeededRandom } from "@bilberrycroft/core.random";
import {
    type AttemptEnd,
    AttemptEndKind,
    CallPlan,
    type PlanAction,
    PlanActionKind,
    RetryBudgets,
    RouteLatencyTable,
    TargetDirectory,
} from "@bilberrycroft/coordination.forwarding";
import { CallReason } from "@bilberrycroft/protocol.calls";
import { TargetPhase } from "@bilberrycroft/protocol.forwarding";
import type { Route } from "@bilberrycroft/state.routes";
import fc from "fast-check";
import { beforeEach, describe, expect, it } from "vitest";
import { repeatableRoute } from "./fixtures";

const windowMs = 10_000;
const onceRoute: Route = { ...repeatableRoute, repeatable: false };
const overloaded: AttemptEnd = { kind: AttemptEndKind.Refused, reason: CallReason.Overloaded, retryAfterMs: 90 };
const notRun: AttemptEnd = { kind: AttemptEndKind.NotRun, reason: CallReason.TargetRefused, retryAfterMs: 0 };

const lost: AttemptEnd = { kind: AttemptEndKind.Lost, reason: CallReason.AnswerLost };

const runEnds: readonly AttemptEnd[] = [
    notRun,
    lost,
    { kind: AttemptEndKind.Failed },
    { kind: AttemptEndKind.Answered },
];

describe("CallPlan", () => {
    let clock: ManualClock;
    let budgets: RetryBudgets;
    let directory: TargetDirectory;

    beforeEach(() => {
        clock = new ManualClock();
        const random = createSeededRandom(5);
        directory = new TargetDirectory({ clock, random, node: "caller", zone: "z" });
        directory.setEntries(["a", "b", "c"].map(node => ({
            node,
            zone: "z",
            address: `${node}:1`,
            processors: 1,
            target: { id: `t-${node}`, service: "s", slots: 4, phase: TargetPhase.Ready, startedAt: 1, coldUntil: 0 },
            crashes: [],
        })));
        budgets = new RetryBudgets({ clock, bound: { share: 0, allowance: 10, windowMs }, countNodes: () => 1 });
        clock.advance(windowMs);
    });

    const createPlan = (route: Route, mayRepeat = true): CallPlan => {
        const services = { clock, directory, budgets, latencies: new RouteLatencyTable(), mayRepeat: () => mayRepeat };
        return new CallPlan(services, {
            route,
            service: "s",
            priority: route.priority,
            isInner: false,
            isFromRepeat: false,
            deadlineAt: clock.now() + 1_000,
        }, 100);
    };
    const kinds = (actions: readonly PlanAction[]): PlanActionKind[] => actions.map(({ kind }) => kind);
    const spendBudget = (): void => {
        while (budgets.trySpend("s")) {
            // `trySpend` returns false once the budget is exhausted.
        }
    };

    describe("before the grant", () => {
        it.each([repeatableRoute, onceRoute])("offers the call to another target without budget when a node refuses or does not respond", route => {
            spendBudget();
            const plan = createPlan(route);
            plan.start();
            expect(plan.handleAttemptEnd(1, { kind: AttemptEndKind.Unreachable }))
                .toMatchObject([{ kind: PlanActionKind.Offer, attempt: 2 }]);
            expect(plan.handleAttemptEnd(2, overloaded)).toMatchObject([{ kind: PlanActionKind.Offer, attempt: 3 }]);
            expect(plan.handleAttemptEnd(3, overloaded)).toEqual([
                { kind: PlanActionKind.Refuse, reason: CallReason.Overloaded, retryAfterMs: 90 },
            ]);
        });

        it("tries another target for a free slot while queued, and uses only the first grant", () => {
            const plan = createPlan(onceRoute);
            plan.start();
            expect(kinds(plan.handleQueued(1))).toEqual([PlanActionKind.WakeAt]);
            expect(plan.handleWakeUp())
                .toMatchObject([{ kind: PlanActionKind.Offer, attempt: 2, spareOnly: true, isRepeat: false }]);
            expect(kinds(plan.handleGranted(2))).toEqual([PlanActionKind.Proceed, PlanActionKind.Withdraw]);
            expect(plan.handleGranted(1)).toEqual([{ kind: PlanActionKind.Withdraw, attempt: 1 }]);
        });
    });

    describe("after the grant", () => {
        // Guards against a call that ends without a response although the target that was only busy may still run it.
        it("offers a lost call to a target that refused it for a free slot, if no other is left", () => {
            const plan = createPlan({ ...repeatableRoute, maxTargets: 4 });
            plan.start();
            plan.handleGranted(1);
            const [hedge] = plan.handleWakeUp();
            expect(hedge).toMatchObject({ kind: PlanActionKind.Offer, attempt: 2, spareOnly: true });
            expect(plan.handleAttemptEnd(2, overloaded)).toEqual([]);
            expect(kinds(plan.handleAttemptEnd(1, lost))).toEqual([PlanActionKind.Offer]);
            plan.handleGranted(3);
            const { node } = (hedge as Extract<PlanAction, { kind: PlanActionKind.Offer }>).candidate;
            expect(plan.handleAttemptEnd(3, lost))
                .toMatchObject([{ kind: PlanActionKind.Offer, candidate: { node }, spareOnly: false }]);
        });

        it("resends a call that is not repeatable only if the target reports that it did not run it", () => {
            const lostPlan = createPlan(onceRoute);
            lostPlan.start();
            expect(kinds(lostPlan.handleGranted(1))).toEqual([PlanActionKind.Proceed]);
            expect(lostPlan.handleWakeUp()).toEqual([]);
            expect(lostPlan.handleAttemptEnd(1, lost))
                .toEqual([{ kind: PlanActionKind.Fail, reason: CallReason.AnswerLost }]);
            const refused = createPlan(onceRoute);
            refused.start();
            refused.handleGranted(1);
            expect(refused.handleAttemptEnd(1, notRun)).toMatchObject([{ kind: PlanActionKind.Offer, attempt: 2 }]);
        });

        it("hedges a slow repeatable call and uses the first response", () => {
            const plan = createPlan(repeatableRoute);
            plan.start();
            const wakeAt = plan.handleGranted(1).find(action => action.kind === PlanActionKind.WakeAt);
            expect(wakeAt?.at).toBeLessThan(clock.now() + 300);
            clock.advance(180);
            expect(plan.handleWakeUp()).toMatchObject([{ kind: PlanActionKind.Offer, attempt: 2, isRepeat: true }]);
            plan.handleGranted(2);
            expect(plan.handleAttemptEnd(2, { kind: AttemptEndKind.Answered })).toEqual([
                { kind: PlanActionKind.Answer, attempt: 2 },
                { kind: PlanActionKind.Withdraw, attempt: 1 },
            ]);
        });

        it("does not hedge without budget or for a request that crashes its targets", () => {
            const blocked = createPlan(repeatableRoute, false);
            blocked.start();
            blocked.handleGranted(1);
            expect(blocked.handleWakeUp()).toEqual([]);
            spendBudget();
            const unbudgeted = createPlan(repeatableRoute);
            unbudgeted.start();
            unbudgeted.handleGranted(1);
            expect(unbudgeted.handleWakeUp()).toEqual([]);
            expect(kinds(unbudgeted.handleAttemptEnd(1, lost))).toEqual([PlanActionKind.Fail]);
        });

        it("does not exceed the target limit of the route", () => {
            const plan = createPlan(repeatableRoute);
            plan.start();
            plan.handleGranted(1);
            plan.handleAttemptEnd(1, lost);
            plan.handleGranted(2);
            expect(kinds(plan.handleAttemptEnd(2, lost))).toEqual([PlanActionKind.Fail]);
        });

        it("does not exceed the target limit when a budgeted offer is queued and another target has a free slot", () => {
            const plan = createPlan(repeatableRoute);
            plan.start();
            plan.handleGranted(1);
            expect(plan.handleAttemptEnd(1, { kind: AttemptEndKind.Failed }))
                .toMatchObject([{ kind: PlanActionKind.Offer, attempt: 2 }]);
            plan.handleQueued(2);
            expect(plan.handleWakeUp()).toMatchObject([{ kind: PlanActionKind.Offer, attempt: 3 }]);
            expect(plan.handleGranted(3)).toEqual(expect.arrayContaining([
                { kind: PlanActionKind.Proceed, attempt: 3 },
                { kind: PlanActionKind.Withdraw, attempt: 2 },
            ]));
            expect(plan.handleGranted(2)).toEqual([{ kind: PlanActionKind.Withdraw, attempt: 2 }]);
        });

        it("returns the failure response of a target rather than a generated error", () => {
            const plan = createPlan(repeatableRoute);
            plan.start();
            plan.handleGranted(1);
            expect(kinds(plan.handleAttemptEnd(1, { kind: AttemptEndKind.Failed }))).toEqual([PlanActionKind.Offer]);
            plan.handleGranted(2);
            expect(plan.handleAttemptEnd(2, lost))
                .toEqual([{ kind: PlanActionKind.Answer, attempt: 1 }]);
        });
    });

    describe("end of the call", () => {
        it("reports at the deadline whether the call may have run", () => {
            const waiting = createPlan(onceRoute);
            waiting.start();
            expect(waiting.handleDeadline()[0])
                .toMatchObject({ kind: PlanActionKind.Refuse, reason: CallReason.DeadlinePassed });
            const running = createPlan(onceRoute);
            running.start();
            running.handleGranted(1);
            expect(running.handleDeadline()[0]).toEqual({ kind: PlanActionKind.Fail, reason: CallReason.TimedOut });
        });

        it("reports a timeout if the target's node observes the deadline first", () => {
            const plan = createPlan(onceRoute);
            plan.start();
            plan.handleGranted(1);
            expect(plan.handleAttemptEnd(1, { kind: AttemptEndKind.Lost, reason: CallReason.TimedOut }))
                .toEqual([{ kind: PlanActionKind.Fail, reason: CallReason.TimedOut }]);
        });

        it("withdraws all attempts when the caller disconnects, except a run that is not repeatable", () => {
            const once = createPlan(onceRoute);
            once.start();
            once.handleGranted(1);
            expect(once.handleCallerDisconnect()).toEqual([]);
            const repeatable = createPlan(repeatableRoute);
            repeatable.start();
            repeatable.handleGranted(1);
            expect(repeatable.handleCallerDisconnect()).toEqual([{ kind: PlanActionKind.Withdraw, attempt: 1 }]);
        });

        it("never reports a call as not run after its body was sent, unless the target reported so", () => {
            const event = fc.record({
                event: fc.nat({ max: 7 }),
                attempt: fc.integer({ min: 1, max: 4 }),
                ms: fc.nat({ max: 200 }),
            });
            const events = fc.array(event, { maxLength: 25 });
            fc.assert(fc.property(events, fc.boolean(), (steps, isRepeatable) => {
                const plan = createPlan(isRepeatable ? repeatableRoute : onceRoute);
                const open = new Set<number>();
                const unknown = new Set<number>();
                const proceeded = new Set<number>();
                let endCount = 0;
                const perform = (actions: readonly PlanAction[]): void => {
                    for (const action of actions) {
                        switch (action.kind) {
                            case PlanActionKind.Offer:
                                open.add(action.attempt);
                                break;
                            case PlanActionKind.Proceed:
                                unknown.add(action.attempt);
                                proceeded.add(action.attempt);
                                expect(proceeded.size).toBeLessThanOrEqual(repeatableRoute.maxTargets);
                                expect(isRepeatable || unknown.size === 1).toBe(true);
                                break;
                            case PlanActionKind.Withdraw:
                                open.delete(action.attempt);
                                break;
                            case PlanActionKind.Refuse:
                                expect(unknown.size).toBe(0);
                                endCount++;
                                break;
                            case PlanActionKind.Answer:
                            case PlanActionKind.Fail:
                                endCount++;
                                break;
                            default:
                                break;
                        }
                    }
                };
                perform(plan.start());
                for (const { event, attempt, ms } of steps) {
                    clock.advance(ms);
                    if (event === 0) {
                        perform(plan.handleWakeUp());
                    }
                    else if (event === 1) {
                        perform(plan.handleDeadline());
                    }
                    else if (open.has(attempt)) {
                        const isRunning = unknown.has(attempt);
                        if (event === 2 && !isRunning) {
                            perform(plan.handleGranted(attempt));
                            continue;
                        }
                        open.delete(attempt);
                        const end: AttemptEnd = isRunning
                            ? runEnds[event % runEnds.length] ?? notRun
                            : event % 2 === 0 ? overloaded : { kind: AttemptEndKind.Unreachable };
                        if (end.kind === AttemptEndKind.NotRun) {
                            unknown.delete(attempt);
                        }
                        perform(plan.handleAttemptEnd(attempt, end));
                    }
                }
                perform(plan.handleDeadline());
                expect(endCount).toBe(1);
            }), { seed: 23, numRuns: 500 });
        });
    });
});
