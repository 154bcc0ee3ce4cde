import { ManualClock } from "@bilberrycroft/core.clock";
import { RetryBudgets } from "@bilberrycroft/coordination.forwarding";
import { beforeEach, describe, expect, it } from "vitest";

const windowMs = 10_000;
const bound = { share: 0.2, allowance: 50, windowMs };

describe("RetryBudgets", () => {
    let clock: ManualClock;

    beforeEach(() => {
        clock = new ManualClock();
    });

    const createBudgets = (nodes: number): RetryBudgets => new RetryBudgets({ clock, bound, countNodes: () => nodes });
    const spendAll = (budgets: RetryBudgets, service = "s"): number => {
        let spent = 0;
        while (budgets.trySpend(service)) {
            spent++;
        }
        return spent;
    };

    it("keeps the sum of all nodes within the shared bound without coordination", () => {
        const nodes = Array.from({ length: 10 }, () => createBudgets(10));
        clock.advance(windowMs);
        nodes.forEach(budgets => {
            for (let calls = 0; calls < 30; calls++) {
                budgets.recordCall("s", false);
            }
        });
        const spent = nodes.reduce((sum, budgets) => sum + spendAll(budgets), 0);
        expect(spent).toBeLessThanOrEqual(bound.share * 300 + bound.allowance);
        expect(spent).toBeGreaterThan(bound.share * 300 / 2);
    });

    it("gives a new process no allowance at first, because the previous process may have spent it", () => {
        expect(spendAll(createBudgets(1))).toBe(0);
    });

    it("renews the budget when the window has passed", () => {
        const budgets = createBudgets(1);
        clock.advance(windowMs);
        const first = spendAll(budgets);
        clock.advance(windowMs / 2);
        expect(spendAll(budgets)).toBe(0);
        clock.advance(windowMs);
        expect(spendAll(budgets)).toBe(first);
    });

    it("charges calls from repeated runs of the local target to the called service", () => {
        const budgets = createBudgets(1);
        clock.advance(windowMs);
        for (let calls = 0; calls < 100; calls++) {
            budgets.recordCall("below", calls < 15);
        }
        expect(spendAll(budgets, "below")).toBeLessThanOrEqual(0.8 * (bound.share * 100 + bound.allowance) - 15);
    });
});
