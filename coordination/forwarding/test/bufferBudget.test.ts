import { BufferBudget } from "@bilberrycroft/coordination.forwarding";
import { describe, expect, it } from "vitest";

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
});
