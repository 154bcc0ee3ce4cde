import { ManualClock } from "@bilberrycroft/core.clock";
import { createSeededRandom } from "@bilberrycroft/core.random";
import { CallReason } from "@bilberrycroft/protocol.calls";
import { TargetAvailability } from "@bilberrycroft/protocol.forwarding";
import fc from "fast-check";
import { beforeEach, describe, expect, it } from "vitest";
import { type OfferedCall, OfferDecisionKind, RunResult, TargetQueue } from "@bilberrycroft/coordination.forwarding";

const seed = 7;
const leaving = { slots: 2, availability: TargetAvailability.Leaving };
const serving = { slots: 2, availability: TargetAvailability.Serving };

describe("TargetQueue", () => {
    let clock: ManualClock;
    let queue: TargetQueue;
    let count: number;
    let linkBacklogMs: number;

    beforeEach(() => {
        clock = new ManualClock();
        linkBacklogMs = 0;
        queue = new TargetQueue({ clock, random: createSeededRandom(seed), linkBacklogMs: () => linkBacklogMs });
        queue.setTarget(serving);
        count = 0;
    });

    const createCall = (changes: Partial<OfferedCall> = {}): OfferedCall => ({
        callId: `call-${++count}`,
        route: "r",
        priority: 1,
        isInner: false,
        spareOnly: false,
        objectiveAt: clock.now() + 300,
        deadlineAt: clock.now() + 1_000,
        transferMs: 0,
        ...changes,
    });
    const offer = (changes: Partial<OfferedCall> = {}): string => {
        const offered = createCall(changes);
        queue.offer(offered);
        return offered.callId;
    };
    const fill = (): [string, string] => [offer(), offer()];

    describe("slots", () => {
        it("grants as many calls as the target has slots, and the next one when a call ends", () => {
            const [first] = fill();
            const third = createCall();
            expect(queue.offer(third).kind).toBe(OfferDecisionKind.Queued);
            expect(queue.finish(first, RunResult.Answered))
                .toEqual([{ kind: OfferDecisionKind.Granted, callId: third.callId }]);
        });

        it("never runs more calls than slots under random operations", () => {
            fc.assert(fc.property(
                fc.array(
                    fc.record({ step: fc.integer({ min: 0, max: 5 }), pick: fc.nat(), isInner: fc.boolean() }),
                    { maxLength: 80 },
                ),
                steps => {
                    const manual = new ManualClock();
                    const random = createSeededRandom(seed);
                    const tested = new TargetQueue({ clock: manual, random, linkBacklogMs: () => 0 });
                    tested.setTarget(serving);
                    const ids: string[] = [];
                    for (const { step, pick, isInner } of steps) {
                        const picked = ids[pick % Math.max(1, ids.length)] ?? "none";
                        switch (step) {
                            case 0: case 1: {
                                const id = `c${ids.length}`;
                                ids.push(id);
                                tested.offer({
                                    ...createCall({ isInner }),
                                    callId: id,
                                    objectiveAt: manual.now() + 300,
                                    deadlineAt: manual.now() + 1_000,
                                });
                                break;
                            }
                            case 2:
                                tested.finish(picked, RunResult.Answered);
                                break;
                            case 3:
                                tested.cancel(picked);
                                break;
                            case 4:
                                manual.advance(pick % 400);
                                tested.advance();
                                break;
                            default:
                                tested.setTarget(pick % 4 === 0 ? leaving : serving);
                        }
                        expect(tested.runningCalls).toBeLessThanOrEqual(serving.slots);
                    }
                },
            ), { seed, numRuns: 200 });
        });

        it("refuses an offer that must not be queued when all slots are in use", () => {
            fill();
            expect(queue.offer(createCall({ spareOnly: true }))).toMatchObject({
                kind: OfferDecisionKind.Refused,
                reason: CallReason.Overloaded,
            });
        });
    });

    describe("order", () => {
        const startOrder = (ids: readonly string[]): string[] => {
            const started: string[] = [];
            let running = ids;
            while (running.length > 0) {
                const events = running.flatMap(id => queue.finish(id, RunResult.Cancelled));
                const granted = events.map(({ callId }) => callId);
                started.push(...granted);
                running = granted;
            }
            return started;
        };

        it("serves inner calls first, because their outer calls occupy a slot elsewhere", () => {
            const running = fill();
            const outer = offer({ priority: 0 });
            const inner = offer({ isInner: true, priority: 9 });
            expect(startOrder(running)).toEqual([inner, outer]);
        });

        it("orders by priority, then calls that can meet their objective by the earliest objective", () => {
            const running = fill();
            const late = offer({ objectiveAt: clock.now() - 1 });
            const relaxed = offer({ objectiveAt: clock.now() + 290 });
            const pressing = offer({ objectiveAt: clock.now() + 200 });
            const urgent = offer({ priority: 0 });
            expect(startOrder(running)).toEqual([urgent, pressing, relaxed, late]);
        });
    });

    describe("refusals", () => {
        it("immediately refuses calls that could not finish in time", () => {
            fill();
            for (let waiting = 0; waiting < 40; waiting++) {
                queue.offer(createCall());
            }
            const refusal = queue.offer(createCall());
            expect(refusal).toMatchObject({ kind: OfferDecisionKind.Refused, reason: CallReason.Overloaded });
            expect(queue.queuedCalls).toBeLessThan(40);
        });

        it("queues an inner call past its objective while its deadline allows it", () => {
            fill();
            for (let waiting = 0; waiting < 15; waiting++) {
                queue.offer(createCall());
            }
            const inner = createCall({ isInner: true, objectiveAt: clock.now() + 1 });
            expect(queue.offer(inner).kind).toBe(OfferDecisionKind.Queued);
        });

        it("refuses a queued call without running it once it can no longer finish in time", () => {
            const running = fill();
            const waiting = offer();
            clock.advance(600);
            expect(queue.advance()).toMatchObject([{ kind: OfferDecisionKind.Refused, callId: waiting }]);
            expect(queue.finish(running[0], RunResult.Answered)).toEqual([]);
        });

        // Guards against slots that go to late responses while calls wait that could still be in time.
        it("refuses calls that miss their objective once the queue has not been empty for half a second", () => {
            const random = createSeededRandom(seed);
            queue = new TargetQueue({ clock, random, learnsCapacity: true, linkBacklogMs: () => 0 });
            queue.setTarget(serving);
            const longCall = { objectiveAt: clock.now() + 10_000, deadlineAt: clock.now() + 20_000 };
            fill();
            offer(longCall);
            offer(longCall);
            clock.advance(400);
            const missed = { objectiveAt: clock.now() + 60, deadlineAt: clock.now() + 5_000 };
            const late = createCall(missed);
            expect(queue.offer(late).kind).toBe(OfferDecisionKind.Queued);
            clock.advance(100);
            expect(queue.advance()).toMatchObject([{ kind: OfferDecisionKind.Refused, callId: late.callId }]);
            const laterMissed = { objectiveAt: clock.now() + 60, deadlineAt: clock.now() + 5_000 };
            expect(queue.offer(createCall(laterMissed)).kind).toBe(OfferDecisionKind.Refused);
            expect(queue.offer(createCall({ ...laterMissed, isInner: true })).kind).toBe(OfferDecisionKind.Queued);
        });

        it("refuses queued and new calls when the target is leaving", () => {
            fill();
            const waiting = offer();
            expect(queue.setTarget({ slots: 2, availability: TargetAvailability.Leaving }))
                .toMatchObject([{ callId: waiting, reason: CallReason.Draining }]);
            expect(queue.offer(createCall())).toMatchObject({ reason: CallReason.Draining });
        });
    });

    describe("with several organisations", () => {
        const fillQueue = (changes: Partial<OfferedCall>): string[] => {
            fill();
            const queued: string[] = [];
            let call = createCall(changes);
            while (queue.offer(call).kind === OfferDecisionKind.Queued) {
                queued.push(call.callId);
                call = createCall(changes);
            }
            return queued;
        };

        it("queues a call of one without any, and refuses the last one of that which fills the queue", () => {
            const queued = fillQueue({ organisation: "large" });
            const decision = queue.offer(createCall({ organisation: "small" }));
            expect(decision).toMatchObject({
                kind: OfferDecisionKind.Queued,
                evicted: { callId: queued.at(-1), reason: CallReason.Overloaded },
            });
            expect(queue.queuedCalls).toBe(queued.length);
            expect(queue.offer(createCall({ organisation: "large" })).kind).toBe(OfferDecisionKind.Refused);
        });

        it("starts the calls of the least served one first, within a priority", () => {
            const running = fill();
            const ids = ["large", "large", "small"].map(organisation => offer({ organisation }));
            const urgent = offer({ organisation: "large", priority: 0 });
            clock.advance(100);
            const granted = queue.finish(running[0], RunResult.Answered).map(({ callId }) => callId);
            expect(granted).toEqual([urgent]);
            expect(queue.finish(running[1], RunResult.Answered).map(({ callId }) => callId)).toEqual([ids[2]]);
        });

        // Guards against inner calls of one that fill the queue and make the parent calls of all others fail.
        it("queues an inner call of one without any in place of an inner call", () => {
            const queued = fillQueue({ organisation: "large", isInner: true });
            expect(queue.offer(createCall({ organisation: "small", isInner: true })))
                .toMatchObject({ kind: OfferDecisionKind.Queued, evicted: { callId: queued.at(-1) } });
        });

        // An inner call's parent holds a slot, and a call of another priority does not compete for the same share.
        it.each([{ isInner: true }, { priority: 0 }, { priority: 2 }])("never refuses queued calls with %j for it", changes => {
            const queued = fillQueue({ organisation: "large", ...changes });
            const decision = queue.offer(createCall({ organisation: "small" }));
            expect(decision).not.toHaveProperty("evicted", expect.anything());
            expect(queue.queuedCalls).toBe(queued.length + (decision.kind === OfferDecisionKind.Queued ? 1 : 0));
        });
    });

    describe("large responses", () => {
        it("are refused while the link cannot send them before the deadline", () => {
            linkBacklogMs = 900;
            expect(queue.offer(createCall({ transferMs: 200 })).kind).toBe(OfferDecisionKind.Refused);
            expect(queue.offer(createCall()).kind).toBe(OfferDecisionKind.Granted);
        });

        it("are counted together with the responses of running calls", () => {
            expect(queue.offer(createCall({ transferMs: 500 })).kind).toBe(OfferDecisionKind.Granted);
            expect(queue.load("r", 200).sendMs).toBeGreaterThan(600);
            expect(queue.offer(createCall({ transferMs: 600 })).kind).toBe(OfferDecisionKind.Refused);
            expect(queue.load("r", 0).sendMs).toBe(0);
        });
    });

    describe("load", () => {
        it("does not count calls as failed that a full target did not run", () => {
            for (let shed = 0; shed < 20; shed++) {
                queue.finish(offer(), RunResult.Shed);
            }
            expect(queue.load("r", 0).failureShare).toBe(0);
        });

        it("reports the share of calls that the target fails", () => {
            for (let failed = 0; failed < 20; failed++) {
                queue.finish(offer(), RunResult.Failed);
            }
            expect(queue.load("r", 0).failureShare).toBeGreaterThan(0.7);
            for (let answered = 0; answered < 60; answered++) {
                queue.finish(offer(), RunResult.Answered);
            }
            expect(queue.load("r", 0).failureShare).toBeLessThan(0.05);
        });
    });
});
