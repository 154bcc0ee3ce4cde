/**
 * State machine of one call at the caller's node: which targets receive offers, when a hedged attempt starts, and how
 * the call ends.
 *
 * Before a slot is granted, an offer can be withdrawn without side effects, so offering the call to another target is
 * free. After the grant the call may run: it goes to another target only if the route is repeatable or the target
 * reported that it did not run the call, and each further attempt is charged to the retry budget.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import { CallReason } from "@bilberrycroft/protocol.calls";
import {
    type AttemptEnd,
    AttemptEndKind,
    type PlanAction,
    PlanActionKind,
    type PlannedCall,
} from "./callPlanTypes";
import type { RetryBudgets } from "./retryBudgets";
import type { RouteLatencyTable } from "./routeLatencyTable";
import type { TargetCandidate, TargetDirectory } from "./targetDirectory";
import type { VersionSide } from "./versionSplit";

type Refusal = Extract<AttemptEnd, { kind: AttemptEndKind.Refused | AttemptEndKind.NotRun }>;

/** Dependencies that all plans of a node share. */
export interface PlanDependencies {
    readonly clock: Clock;
    readonly directory: TargetDirectory;
    readonly budgets: RetryBudgets;
    readonly latencies: RouteLatencyTable;
    /** Whether the request may go to another target although targets crashed while it was in flight. */
    mayRepeat(): boolean;
}

/** After this many refused offers the call is refused and the caller may retry later. */
const maxRefusedOffers = 4;
/** Limits for the delay before a hedged attempt, as shares of the latency objective. */
const minHedgeDelayShare = 0.25;
const maxHedgeDelayShare = 0.6;
/** Queueing time after which another target is tried for a free slot, as a share of the latency objective. */
const queuedHedgeDelayShare = 0.15;
const defaultRetryAfterMs: Milliseconds = 200;

enum AttemptPhase {
    Offered,
    Granted,
}

interface AttemptState {
    phase: AttemptPhase;
    readonly node: string;
    /** The offer is refused instead of queued if no slot is free. */
    readonly spareOnly: boolean;
    /** The retry budget was charged, so the attempt may run beside or after another one. */
    readonly isBudgeted: boolean;
}

/** Each method handles one event and returns the actions to carry out. */
export class CallPlan {
    private readonly attempts = new Map<number, AttemptState>();
    private readonly triedNodes = new Set<string>();
    /** Tried nodes that refused the call only because no slot was free for a second run. */
    private readonly nodesWithoutSpareSlot = new Set<string>();
    private attemptCount = 0;
    private refusedOffers = 0;
    private targetsUsed = 0;
    private mayHaveRun = false;
    /** First attempt whose response reports a failure; its response is used if no other attempt succeeds. */
    private failedAttempt: number | undefined;
    private retryAfterMs: Milliseconds | undefined;
    private reason = CallReason.NoTarget;
    private isFinished = false;
    /** Drawn once for each call, so that repeats do not add to the exposure of a new version. */
    private side: VersionSide | undefined;

    constructor(
        private readonly dependencies: PlanDependencies,
        private readonly call: PlannedCall,
        private readonly responseBytes: number,
    ) {}

    /** Whether the call has its final result or its caller has disconnected. */
    get hasEnded(): boolean {
        return this.isFinished;
    }

    /** Returns the first offer. */
    start(): PlanAction[] {
        this.dependencies.budgets.recordCall(this.call.service, this.call.isFromRepeat);
        return this.offerNext(false, false) ?? this.endWithFailure();
    }

    /** The target's node queued the offer. */
    handleQueued(attempt: number): PlanAction[] {
        if (this.isFinished || !this.attempts.has(attempt)) {
            return [];
        }
        return [
            {
                kind: PlanActionKind.WakeAt,
                at: this.dependencies.clock.now() + queuedHedgeDelayShare * this.objectiveMs,
            },
        ];
    }

    /** The target's node granted a slot. */
    handleGranted(attempt: number): PlanAction[] {
        const state = this.attempts.get(attempt);
        if (this.isFinished || state === undefined) {
            return [{ kind: PlanActionKind.Withdraw, attempt }];
        }
        if (!this.mayUseAnotherTarget() || (this.isRunning() && !state.isBudgeted)) {
            this.attempts.delete(attempt);
            return [{ kind: PlanActionKind.Withdraw, attempt }];
        }
        state.phase = AttemptPhase.Granted;
        if (!this.call.isInner) {
            this.dependencies.directory.recordGrant(state.node, this.call.priority, this.call.organisation);
        }
        this.targetsUsed++;
        const actions: PlanAction[] = [{ kind: PlanActionKind.Proceed, attempt }];
        for (const [other, { phase }] of this.attempts) {
            if (phase === AttemptPhase.Offered) {
                this.attempts.delete(other);
                actions.push({ kind: PlanActionKind.Withdraw, attempt: other });
            }
        }
        if (this.call.route.repeatable) {
            actions.push({ kind: PlanActionKind.WakeAt, at: this.dependencies.clock.now() + this.hedgeDelayMs() });
        }
        return actions;
    }

    /** The time of a `WakeAt` action is reached: offers the call to a second target if it is still pending. */
    handleWakeUp(): PlanAction[] {
        if (this.isFinished || this.attempts.size !== 1) {
            return [];
        }
        if (!this.isRunning()) {
            // Only the offer that is granted first runs, so one charge to the retry budget covers both.
            const isBudgeted = [...this.attempts.values()].some(attempt => attempt.isBudgeted);
            return this.offerNext(true, isBudgeted) ?? [];
        }
        if (!this.mayRunAgain() || !this.hasTimeForSecondRun()) {
            return [];
        }
        return this.offerWithBudget(true) ?? [];
    }

    handleAttemptEnd(attempt: number, end: AttemptEnd): PlanAction[] {
        const state = this.attempts.get(attempt);
        if (this.isFinished || state === undefined) {
            return [];
        }
        this.attempts.delete(attempt);
        switch (end.kind) {
            case AttemptEndKind.Refused:
                this.handleRefusal(state, end);
                return this.continueWithoutBudget(state);
            case AttemptEndKind.Unreachable:
                return this.continueWithoutBudget(state);
            case AttemptEndKind.NotRun:
                this.recordRefusal(end);
                return this.continueWithBudget();
            case AttemptEndKind.Answered:
                return this.end({ kind: PlanActionKind.Answer, attempt });
            case AttemptEndKind.Failed:
                this.failedAttempt ??= attempt;
                return this.call.route.repeatable ? this.continueWithBudget() : this.endWithFailure();
            case AttemptEndKind.Lost:
                this.mayHaveRun = true;
                this.reason = end.reason;
                return this.call.route.repeatable ? this.continueWithBudget() : this.endWithFailure();
        }
    }

    handleDeadline(): PlanAction[] {
        if (this.isFinished) {
            return [];
        }
        this.mayHaveRun = this.mayHaveRun || this.isRunning();
        this.reason = this.mayHaveRun ? CallReason.TimedOut : CallReason.DeadlinePassed;
        return this.endWithFailure();
    }

    /** The caller disconnected: withdraws all attempts, except running ones of routes that are not repeatable. */
    handleCallerDisconnect(): PlanAction[] {
        if (this.isFinished) {
            return [];
        }
        this.isFinished = true;
        const { repeatable } = this.call.route;
        return [...this.attempts]
            .filter(([, { phase }]) => repeatable || phase === AttemptPhase.Offered)
            .map(([attempt]) => ({ kind: PlanActionKind.Withdraw, attempt }));
    }

    private continueWithoutBudget(state: AttemptState): PlanAction[] {
        if (this.attempts.size > 0) {
            return [];
        }
        if (this.targetsUsed > 0 && !state.isBudgeted) {
            return this.endWithFailure();
        }
        if (this.refusedOffers >= maxRefusedOffers || this.isPastDeadline()) {
            return this.endWithFailure();
        }
        return this.offerNext(false, state.isBudgeted) ?? this.endWithFailure();
    }

    private continueWithBudget(): PlanAction[] {
        if (this.attempts.size > 0) {
            return [];
        }
        const maySend = this.mayHaveRun || this.failedAttempt !== undefined
            ? this.mayRunAgain()
            : this.mayUseAnotherTarget();
        if (!maySend || this.isPastDeadline()) {
            return this.endWithFailure();
        }
        return this.offerWithBudget(false) ?? this.offerToBusyNode() ?? this.endWithFailure();
    }

    /** No run is left beside which a free slot was wanted, so a target that may queue the call is better than none. */
    private offerToBusyNode(): PlanAction[] | undefined {
        if (this.nodesWithoutSpareSlot.size === 0) {
            return undefined;
        }
        this.nodesWithoutSpareSlot.forEach(node => this.triedNodes.delete(node));
        this.nodesWithoutSpareSlot.clear();
        return this.offerWithBudget(false);
    }

    private offerWithBudget(spareOnly: boolean): PlanAction[] | undefined {
        const candidate = this.chooseCandidate();
        if (candidate === undefined || !this.dependencies.budgets.trySpend(this.call.service)) {
            return undefined;
        }
        return [this.offer(candidate, spareOnly, true)];
    }

    private offerNext(spareOnly: boolean, isBudgeted: boolean): PlanAction[] | undefined {
        const candidate = this.chooseCandidate();
        return candidate === undefined ? undefined : [this.offer(candidate, spareOnly, isBudgeted)];
    }

    /** Returns the best target; if all of them are known to refuse the call, records that as its refusal. */
    private chooseCandidate(): TargetCandidate | undefined {
        const { service, route, priority, organisation, isInner } = this.call;
        const { directory } = this.dependencies;
        this.side ??= directory.drawVersion(service, route.name);
        const { side, triedNodes: exclude, responseBytes } = this;
        const request = { service, route, organisation, exclude, responseBytes, side };
        if (isInner) {
            return directory.choose(request);
        }
        const candidate = directory.choose({ ...request, priority });
        const retryAfterMs = candidate === undefined ? directory.overloadDelayMs({ ...request, priority }) : undefined;
        if (retryAfterMs !== undefined) {
            this.recordRefusal({ reason: CallReason.Overloaded, retryAfterMs });
        }
        return candidate;
    }

    private offer(candidate: TargetCandidate, spareOnly: boolean, isBudgeted: boolean): PlanAction {
        this.attemptCount++;
        this.triedNodes.add(candidate.node);
        const { node } = candidate;
        this.attempts.set(this.attemptCount, { phase: AttemptPhase.Offered, node, spareOnly, isBudgeted });
        return { kind: PlanActionKind.Offer, attempt: this.attemptCount, candidate, spareOnly, isRepeat: isBudgeted };
    }

    private recordRefusal({ reason, retryAfterMs }: Pick<Refusal, "reason" | "retryAfterMs">): void {
        this.reason = reason;
        this.retryAfterMs = Math.min(this.retryAfterMs ?? retryAfterMs, retryAfterMs);
    }

    private handleRefusal({ node, spareOnly }: AttemptState, refusal: Refusal): void {
        const { priority, organisation, isInner } = this.call;
        this.refusedOffers++;
        this.recordRefusal(refusal);
        if (spareOnly) {
            this.nodesWithoutSpareSlot.add(node);
        }
        // Inner calls are queued past their objective, and an offer for a free slot is not queued at all: refusals of
        // either say little about other calls.
        if (refusal.reason === CallReason.Overloaded && !isInner && !spareOnly) {
            const { retryAfterMs } = refusal;
            this.dependencies.directory.recordRefusal(node, { priority, organisation, retryAfterMs });
        }
    }

    /** Ends the call with the failure response of a target if there is one, or with an error of this node. */
    private endWithFailure(): PlanAction[] {
        if (this.failedAttempt !== undefined) {
            return this.end({ kind: PlanActionKind.Answer, attempt: this.failedAttempt });
        }
        if (this.mayHaveRun) {
            const reason = this.reason === CallReason.TimedOut ? this.reason : CallReason.AnswerLost;
            return this.end({ kind: PlanActionKind.Fail, reason });
        }
        const retryAfterMs = this.retryAfterMs ?? defaultRetryAfterMs;
        return this.end({ kind: PlanActionKind.Refuse, reason: this.reason, retryAfterMs });
    }

    private end(action: PlanAction): PlanAction[] {
        this.isFinished = true;
        const withdrawals = [...this.attempts.keys()].map(attempt =>
            ({ kind: PlanActionKind.Withdraw, attempt }) as const);
        this.attempts.clear();
        return [action, ...withdrawals];
    }

    private isRunning(): boolean {
        return [...this.attempts.values()].some(({ phase }) => phase === AttemptPhase.Granted);
    }

    private mayUseAnotherTarget(): boolean {
        return this.targetsUsed < this.call.route.maxTargets;
    }

    private mayRunAgain(): boolean {
        return this.call.route.repeatable && this.mayUseAnotherTarget() && this.dependencies.mayRepeat();
    }

    private isPastDeadline(): boolean {
        return this.dependencies.clock.now() >= this.call.deadlineAt;
    }

    /** A second run that cannot finish before the deadline would only add load to the target. */
    private hasTimeForSecondRun(): boolean {
        return this.dependencies.clock.now() + minHedgeDelayShare * this.objectiveMs < this.call.deadlineAt;
    }

    private get objectiveMs(): Milliseconds {
        return this.call.route.latencyObjectiveMs;
    }

    /** Uses the 95th percentile latency: few calls are hedged, and the hedged response can still arrive in time. */
    private hedgeDelayMs(): Milliseconds {
        const maxDelayMs = maxHedgeDelayShare * this.objectiveMs;
        const typicalMs = this.dependencies.latencies.latenciesOf(this.call.route.name).percentile95() ?? maxDelayMs;
        return Math.max(minHedgeDelayShare * this.objectiveMs, Math.min(maxDelayMs, typicalMs));
    }
}
