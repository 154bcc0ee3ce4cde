/**
 * Budgets for sending a call to a second target, one for each service.
 *
 * All nodes together share a bound. Each node keeps to its own part of it without hearing the others: a share of the
 * calls that it carries itself, and an equal part of the fixed allowance. Calls that the own target makes in the course
 * of a repeated run count as repeats too; they are charged where they begin, which is this node.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import { Budget } from "@bilberrycroft/coordination.retries";

/** The bound that all nodes share. */
export interface SharedRetryBudget {
    /** Further attempts for each call. */
    readonly share: number;
    /** Further attempts in a window at any number of calls. */
    readonly allowance: number;
    readonly windowMs: Milliseconds;
}

/** What `RetryBudgets` is created from. */
export interface RetryBudgetsOptions {
    readonly clock: Clock;
    readonly bound: SharedRetryBudget;
    /** Nodes that share the bound. */
    readonly countNodes: () => number;
}

/** Part of the bound that is used. The rest covers calls that count elsewhere and nodes that joined unseen. */
const usedPart = 0.8;

/** Budgets of one node. */
export class RetryBudgets {
    private readonly budgets = new Map<string, Budget>();
    private readonly startedAt: Milliseconds;

    constructor(private readonly options: RetryBudgetsOptions) {
        this.startedAt = options.clock.now();
    }

    /** Counts a call for the service; `isOfRepeat` if a repeated run of the own target made it. */
    callStarted(service: string, isOfRepeat: boolean): void {
        const now = this.options.clock.now();
        const budget = this.budgetOf(service);
        budget.callStarted(now);
        if (isOfRepeat) {
            budget.charge(1, now);
        }
    }

    /** Takes one further attempt from the budget; `false` if there is none left. */
    trySpend(service: string): boolean {
        const { clock, bound, countNodes } = this.options;
        // What an earlier process of this node has spent is not known, so the allowance builds up over a window.
        const builtUp = Math.min(1, (clock.now() - this.startedAt) / bound.windowMs);
        const allowance = usedPart * builtUp * bound.allowance / Math.max(1, countNodes());
        return this.budgetOf(service).trySpendWithAllowance(allowance, clock.now());
    }

    private budgetOf(service: string): Budget {
        const known = this.budgets.get(service);
        if (known !== undefined) {
            return known;
        }
        const { share, windowMs } = this.options.bound;
        const created = new Budget({ share: usedPart * share, minimumPerSecond: 0, windowMs });
        this.budgets.set(service, created);
        return created;
    }
}
