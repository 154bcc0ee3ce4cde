/**
 * Retry budgets per service, for attempts at a second target.
 *
 * All nodes share one bound. Each node keeps within its part without coordination: a share of the calls that it
 * forwards itself, and an equal part of the fixed allowance. Calls that the local target makes during a repeated run
 * also count as repeats. They are charged at this node, because they start here.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import { Budget } from "@bilberrycroft/coordination.retries";

/** Bound for all nodes together. */
export interface SharedRetryBudget {
    /** Additional attempts per call. */
    readonly share: number;
    /** Additional attempts per window, independent of the number of calls. */
    readonly allowance: number;
    readonly windowMs: Milliseconds;
}

export interface RetryBudgetsOptions {
    readonly clock: Clock;
    readonly bound: SharedRetryBudget;
    /** Number of nodes that share the bound. */
    readonly countNodes: () => number;
}

/** Share of the bound that is used. The rest covers calls counted elsewhere and new nodes that are not yet known. */
const usedShare = 0.8;

export class RetryBudgets {
    private readonly budgets = new Map<string, Budget>();
    private readonly startedAt: Milliseconds;

    constructor(private readonly options: RetryBudgetsOptions) {
        this.startedAt = options.clock.now();
    }

    /** Counts a call to the service; `isFromRepeat` if the local target made it during a repeated run. */
    recordCall(service: string, isFromRepeat: boolean): void {
        const now = this.options.clock.now();
        const budget = this.budgetOf(service);
        budget.recordCall(now);
        if (isFromRepeat) {
            budget.charge(1, now);
        }
    }

    /** Charges one additional attempt; returns `false` if the budget is exhausted. */
    trySpend(service: string): boolean {
        const { clock, bound, countNodes } = this.options;
        // What a previous process of this node has spent is unknown, so the allowance accrues over one window.
        const accruedShare = Math.min(1, (clock.now() - this.startedAt) / bound.windowMs);
        const allowance = usedShare * accruedShare * bound.allowance / Math.max(1, countNodes());
        return this.budgetOf(service).trySpendWithAllowance(allowance, clock.now());
    }

    private budgetOf(service: string): Budget {
        const existing = this.budgets.get(service);
        if (existing !== undefined) {
            return existing;
        }
        const { share, windowMs } = this.options.bound;
        const created = new Budget({ share: usedShare * share, minimumPerSecond: 0, windowMs });
        this.budgets.set(service, created);
        return created;
    }
}
