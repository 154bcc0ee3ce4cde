import { type BufferAccount, BufferBudget, type BufferHolder } from "@bilberrycroft/coordination.forwarding";
import { beforeEach, describe, expect, it } from "vitest";

describe("BufferBudget", () => {
    it("is exhausted while all accounts together hold its bytes", () => {
        const budget = new BufferBudget(100);
        const [one, two] = [budget.open(), budget.open()];
        one.set(60);
        expect(budget.isExhausted).toBe(false);
        two.set(40);
        expect([budget.isExhausted, budget.used]).toEqual([true, 100]);
        one.set(10);
        expect([budget.isExhausted, budget.used]).toEqual([false, 50]);
    });

    it("gets back all bytes of an account that is closed, and no more if it is closed again", () => {
        const budget = new BufferBudget(100);
        const account = budget.open();
        account.set(150);
        account.set(0);
        account.set(0);
        expect(budget.used).toBe(0);
    });

    describe("that is exceeded", () => {
        const largeBytes = 100_000;
        const totalBytes = 3 * largeBytes;
        let now: number;
        let budget: BufferBudget;
        let evicted: string[];

        beforeEach(() => {
            now = 0;
            evicted = [];
            budget = new BufferBudget(totalBytes, { now: () => now });
        });

        const open = (name: string, holder: Partial<BufferHolder> = {}): BufferAccount =>
            budget.open({ evict: () => evicted.push(name), ...holder });

        // Guards against a budget that is held by clients that stopped, or that send just enough not to be idle.
        it("evicts the holder that is furthest behind the least rate, not the oldest or the largest", () => {
            const [steady, dripping] = [open("steady"), open("dripping")];
            steady.set(2 * largeBytes);
            dripping.set(largeBytes);
            for (now = 100; now <= 60_000; now += 100) {
                steady.recordProgress(2_000);
                dripping.recordProgress(1);
            }
            open("new").set(largeBytes);
            expect(evicted).toEqual(["dripping"]);
            expect(budget.used).toBe(totalBytes);
        });

        it("gives no credit for a burst that is over", () => {
            const [burst, late] = [open("burst"), open("late")];
            burst.set(largeBytes);
            burst.recordProgress(10_000_000);
            late.set(largeBytes);
            now = 1_000;
            late.recordProgress(10_000);
            open("new").set(2 * largeBytes);
            expect(evicted).toEqual(["burst"]);
        });

        it("evicts no small holder that makes progress, but refuses the one that asks", () => {
            const fixed = budget.open();
            fixed.set(totalBytes - 10_000);
            open("small").set(10_000);
            now = 500;
            open("asking").set(5_000);
            expect(evicted).toEqual(["asking"]);
        });

        it("evicts small holders that have stopped", () => {
            budget.open().set(totalBytes - 10_000);
            open("stopped").set(10_000);
            now = 5_000;
            open("asking").set(5_000);
            expect(evicted).toEqual(["stopped"]);
        });

        it("evicts no holder that is kept", () => {
            const kept = open("kept");
            kept.set(totalBytes);
            kept.keep();
            now = 60_000;
            expect(budget.isExhausted).toBe(true);
            open("asking").set(largeBytes);
            expect(evicted).toEqual(["asking"]);
            expect(budget.hasRoom(1)).toBe(false);
        });

        it("evicts a response only if its caller has not read for long enough", () => {
            let taken = 0;
            open("response", { minLagMs: 2_000, countTaken: () => taken }).set(totalBytes);
            now = 1_900;
            open("first").set(largeBytes);
            taken = totalBytes;
            now = 3_800;
            open("second").set(largeBytes);
            now = 10_000;
            open("third").set(largeBytes);
            expect(evicted).toEqual(["first", "second", "response"]);
        });
    });
});
