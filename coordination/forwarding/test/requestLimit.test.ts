import { RequestLimit, RunResult, TargetQueue } from "@bilberrycroft/coordination.forwarding";
import { ManualClock } from "@bilberrycroft/core.clock";
import { createSeededRandom } from "@bilberrycroft/core.random";
import { TargetAvailability, TargetLimitKind } from "@bilberrycroft/protocol.forwarding";
import fc from "fast-check";
import { beforeEach, describe, expect, it } from "vitest";
import { repeatableRoute } from "./fixtures";
import { LoadPlay } from "./loadPlay";

const propertySeed = 22;
const windowMs = 4_000;
/** Bound of the platform's rule on limits. */
const allowedIn = (callsPerSecond: number): number => 1.5 * callsPerSecond * windowMs / 1_000 + 5;
const countMost = (times: readonly number[]): number =>
    Math.max(0, ...times.map(start => times.filter(at => at >= start && at < start + windowMs).length));

describe("RequestLimit", () => {
    let clock: ManualClock;
    let limit: RequestLimit;

    beforeEach(() => {
        clock = new ManualClock();
        limit = new RequestLimit(clock);
    });

    const take = (): number => {
        let taken = 0;
        while (taken < 1_000 && limit.tryTake()) {
            taken++;
        }
        return taken;
    };

    describe("without a named limit", () => {
        it("allows any number of calls at once", () => {
            expect(take()).toBe(1_000);
            expect(limit.delayMs(100)).toBe(0);
        });

        it("is unknown before the first response and absent after it", () => {
            expect(limit.current).toEqual({ kind: TargetLimitKind.Unknown });
            limit.handleResponse(undefined);
            expect(limit.current).toBeUndefined();
        });
    });

    describe("named by a response", () => {
        it("allows calls at its rate, and half a second's worth at once", () => {
            limit.handleResponse(20);
            expect(take()).toBe(10);
            clock.advance(1_000);
            expect(take()).toBe(10);
            expect(limit.delayMs(2)).toBeCloseTo(100);
        });

        it("allows one call in two seconds if it is lower, so that its end is noticed", () => {
            limit.handleResponse(0);
            expect(take()).toBe(1);
            clock.advance(1_900);
            expect(take()).toBe(0);
            clock.advance(200);
            expect(take()).toBe(1);
        });

        it("does not allow more at once when another value is named", () => {
            limit.handleResponse(20);
            take();
            limit.handleResponse(40);
            expect(take()).toBe(0);
        });

        it("ends with a response that names none, unless another one has just named it", () => {
            limit.handleResponse(5);
            limit.handleResponse(undefined);
            expect(limit.callsPerSecond).toBe(5);
            clock.advance(250);
            limit.handleResponse(undefined);
            expect(limit.callsPerSecond).toBeUndefined();
        });
    });

    describe("known to other nodes", () => {
        it("is adopted at its lowest value until the target responds", () => {
            limit.adopt(5);
            limit.adopt(3);
            limit.adopt(8);
            expect(limit.callsPerSecond).toBe(3);
            limit.handleResponse(6);
            limit.adopt(1);
            expect(limit.callsPerSecond).toBe(6);
        });

        it("ends with the first response that names none", () => {
            limit.adopt(5);
            limit.handleResponse(undefined);
            expect(limit.callsPerSecond).toBeUndefined();
        });
    });

    describe("in the queue of a target whose node restarts", () => {
        it("allows no more calls in any four seconds than the rule, whenever calls arrive, end and nodes restart", () => {
            const step = fc.record({ kind: fc.integer({ min: 0, max: 9 }), waitMs: fc.integer({ min: 0, max: 120 }) });
            const rates = fc.double({ min: 0, max: 60, noNaN: true });
            fc.assert(fc.property(rates, fc.array(step, { maxLength: 400 }), (rate, steps) => {
                const manual = new ManualClock();
                const random = createSeededRandom(propertySeed);
                const createQueue = (): TargetQueue => {
                    const created = new TargetQueue({ clock: manual, random, linkBacklogMs: () => 0 });
                    created.setTarget({ slots: 12, availability: TargetAvailability.Serving });
                    return created;
                };
                let queue = createQueue();
                queue.limit.handleResponse(rate);
                let restartedAt = Number.NEGATIVE_INFINITY;
                const grantedAt: number[] = [];
                const running: string[] = [];
                const apply = (events: readonly { readonly kind: string; readonly callId: string }[]): void => {
                    for (const { kind, callId } of events) {
                        if (kind === "granted") {
                            grantedAt.push(manual.now());
                            running.push(callId);
                        }
                    }
                };
                steps.forEach(({ kind, waitMs }, index) => {
                    manual.advance(waitMs);
                    apply(queue.advance());
                    const ended = running[0];
                    // A process needs longer than this from its end to its next call.
                    if (kind === 0 && manual.now() - restartedAt > windowMs) {
                        restartedAt = manual.now();
                        queue = createQueue();
                        running.length = 0;
                    }
                    else if (kind <= 3 && ended !== undefined) {
                        running.shift();
                        queue.limit.handleResponse(rate);
                        apply(queue.finish(ended, RunResult.Answered));
                    }
                    else {
                        queue.limit.adopt(rate);
                        apply([queue.offer({
                            callId: `c${index}`,
                            route: "r",
                            priority: 1,
                            isInner: kind === 9,
                            spareOnly: kind === 8,
                            objectiveAt: manual.now() + 400,
                            deadlineAt: manual.now() + 1_000,
                            transferMs: 0,
                        })]);
                    }
                });
                expect(countMost(grantedAt)).toBeLessThanOrEqual(allowedIn(rate));
            }), { seed: propertySeed, numRuns: 200 });
        });
    });
});

describe("five targets, four of which name limits, and the nodes of their callers", () => {
    const objectiveMs = 400;
    const limits = [54, 17, 14, 17, undefined];
    const slots = 12;
    const runMs = 100;
    /** Calls per second that the limits and the slots of the unlimited target allow. */
    const capacity = 54 + 17 + 14 + 17 + slots / runMs * 1_000;
    const play = (loadShare: number, seed: number): ReturnType<LoadPlay["run"]> => new LoadPlay({
        seed,
        callerNodes: 17,
        targets: limits.length,
        slots,
        runMs,
        loadFactor: loadShare * capacity / (limits.length * slots / runMs * 1_000),
        durationMs: 20_000,
        route: { ...repeatableRoute, latencyObjectiveMs: objectiveMs, timeoutMs: 1_000 },
        deadlineMs: 1_000,
        tracksAges: true,
        limitOf: target => limits[target],
    }).run();
    const seeds = [1, 2, 3, 4];
    const expectWithinLimits = (arrivals: readonly (readonly number[])[]): void => limits.forEach((limit, index) =>
        expect(countMost(arrivals[index] ?? [])).toBeLessThanOrEqual(allowedIn(limit ?? Number.POSITIVE_INFINITY)));

    describe("with three quarters of the calls that they accept", () => {
        it("keep the limits and answer nineteen of twenty calls in time", () => {
            for (const seed of seeds) {
                const { arrivals, inTime, asked } = play(0.75, seed);
                expectWithinLimits(arrivals);
                expect(inTime / asked).toBeGreaterThan(0.95);
            }
        });
    });

    describe("with one and a half times the calls that they accept", () => {
        it("keep the limits and answer in time four fifths of what they accept", () => {
            for (const seed of seeds) {
                const { arrivals, inTime, asked } = play(1.5, seed);
                expectWithinLimits(arrivals);
                expect(inTime / asked * 1.5).toBeGreaterThan(0.8);
            }
        });
    });
});

describe("three targets, one of which names a low limit for five seconds", () => {
    const limitEndsAt = 5_000;
    const durationMs = 15_000;
    const measuredMs = 5_000;

    it("gets at least half of an even share of the calls soon after that", () => {
        for (const seed of [1, 2, 3, 4]) {
            const { arrivals } = new LoadPlay({
                seed,
                callerNodes: 12,
                targets: 3,
                slots: 12,
                runMs: 100,
                loadFactor: 0.4,
                durationMs,
                route: { ...repeatableRoute, latencyObjectiveMs: 400, timeoutMs: 1_000 },
                deadlineMs: 1_000,
                tracksAges: true,
                limitOf: (target, at) => target === 0 && at < limitEndsAt ? 1 : undefined,
            }).run();
            const counts = arrivals.map(times => times.filter(at => at > durationMs - measuredMs).length);
            const evenShare = counts.reduce((sum, count) => sum + count) / counts.length;
            expect(counts[0]).toBeGreaterThan(evenShare / 2);
        }
    });
});
