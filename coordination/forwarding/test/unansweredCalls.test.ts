import { ManualClock } from "@bilberrycroft/core.clock";
import { createSeededRandom } from "@bilberrycroft/core.random";
import { TargetAvailability } from "@bilberrycroft/protocol.forwarding";
import { beforeEach, describe, expect, it } from "vitest";
import { OfferDecisionKind, RunResult, TargetQueue } from "@bilberrycroft/coordination.forwarding";

const slots = 6;
const usualMs = 50;
const deadlineMs = 2_000;

describe("calls that a target probably never queued", () => {
    let clock: ManualClock;
    let queue: TargetQueue;
    let count: number;

    beforeEach(() => {
        clock = new ManualClock();
        const random = createSeededRandom(1);
        queue = new TargetQueue({ clock, random, recognizesUnqueuedCalls: true, linkBacklogMs: () => 0 });
        queue.setTarget({ slots, availability: TargetAvailability.Serving });
        count = 0;
        runUsual(20);
    });

    const offer = (): string => {
        const callId = `c-${++count}`;
        const now = clock.now();
        const { kind } = queue.offer({
            callId,
            route: "r",
            priority: 1,
            isInner: false,
            spareOnly: false,
            objectiveAt: now + 500,
            deadlineAt: now + deadlineMs,
            transferMs: 0,
        });
        expect(kind).toBe(OfferDecisionKind.Granted);
        return callId;
    };
    const runUsual = (calls: number, runMs = usualMs): void => {
        for (let call = 0; call < calls; call++) {
            const callId = offer();
            clock.advance(runMs);
            queue.finish(callId, RunResult.Answered);
        }
    };
    const find = (progressed: readonly string[] = []): string[] =>
        queue.findUnanswered(callId => progressed.includes(callId));
    const endAll = (callIds: readonly string[]): void => {
        callIds.forEach(callId => queue.finish(callId, RunResult.Unqueued));
    };
    /** Sends two calls that end and others that get no response, and waits for a time. */
    const sendBeyondAccepted = (calls: number, waitMs: number): string[] => {
        const accepted = [offer(), offer()];
        const silent = Array.from({ length: calls }, offer);
        clock.advance(usualMs);
        accepted.forEach(callId => queue.finish(callId, RunResult.Answered));
        clock.advance(waitMs - usualMs);
        return silent;
    };

    it("are found long before their deadline while other calls end, except for one that shows whether it is right", () => {
        const silent = sendBeyondAccepted(3, 300);
        expect(find()).toEqual(silent.slice(1));
        clock.advance(deadlineMs / 2);
        expect(find()).toEqual(silent);
    });

    it("do not include a call of which a byte has arrived or that has made an inner call", () => {
        const [checked, started, parent, silent] = sendBeyondAccepted(4, 300) as [string, string, string, string];
        queue.recordProgress(parent);
        expect(find([started])).toEqual([silent]);
        expect(find()).not.toContain(checked);
    });

    // A frozen target is not full: its calls have to count as failures, or it would go on getting calls.
    it("do not include calls of a target of which no call ends", () => {
        Array.from({ length: 4 }, offer);
        clock.advance(deadlineMs);
        expect(find()).toEqual([]);
    });

    it("do not include the calls of a target that was frozen and responds again", () => {
        const frozen = Array.from({ length: 4 }, offer);
        clock.advance(1_000);
        frozen.slice(0, 2).forEach(callId => queue.finish(callId, RunResult.Answered));
        expect(find()).toEqual([]);
    });

    it("do not include a call that is as slow as rare calls of its route are known to be", () => {
        runUsual(1, 600);
        runUsual(20);
        sendBeyondAccepted(3, 700);
        expect(find()).toEqual([]);
    });

    it("are no failure of the target, and are not sent again beyond the number that it accepts", () => {
        sendBeyondAccepted(4, 300);
        endAll(find());
        clock.advance(deadlineMs / 2);
        endAll(find());
        expect(queue.load("r", 0).failureShare).toBe(0);
        expect(queue.usableSlots).toBe(2);
        // The number grows again by itself, and more slowly once it has been confirmed.
        clock.advance(5_001);
        expect(queue.usableSlots).toBe(4);
        sendBeyondAccepted(1, 300);
        endAll(find());
        expect(queue.usableSlots).toBe(2);
        clock.advance(9_000);
        expect(queue.usableSlots).toBe(2);
        clock.advance(2_000);
        expect(queue.usableSlots).toBe(3);
    });

    it("leave all slots in use once one of them gets its response, or the target is replaced", () => {
        const learn = (): void => {
            sendBeyondAccepted(4, 300);
            endAll(find());
            expect(queue.usableSlots).toBeLessThan(slots);
        };
        learn();
        queue.retractUnqueued("r", 350);
        expect(queue.usableSlots).toBe(slots);
        queue.handleReplacement();
        expect(queue.usableSlots).toBe(slots);
    });
});
