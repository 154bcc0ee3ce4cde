/**
 * Plan of one call at the caller's node: to which targets it is offered, when a second one is asked, and how it ends.
 *
 * Up to the grant of a slot an offer can be taken back without a trace, so going elsewhere is free. From the grant on
 * the call may run: another target is asked only for calls that may be repeated, or on the target's word that it did
 * not run the call, and draws on the retry budget.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import { RouteLatencies } from "@bilberrycroft/coordination.retries";
import { CallReason } from "@bilberrycroft/protocol.calls";
import type { Route } from "@bilberrycroft/state.routes";
import { makeRoomFor } from "./boundedMap";
import type { RetryBudgets } from "./retryBudgets";
import type { TargetCandidate, TargetDirectory } from "./targetDirectory";

/** A call that a node carries for its caller. */
export interface PlannedCall {
    readonly route: Route;
    readonly service: string;
    /** A target made the call in the course of a run that was itself a repeat. */
    readonly isOfRepeat: boolean;
    readonly deadlineAt: Milliseconds;
}

/** Kinds of `PlanAction`. */
export enum PlanActionKind {
    /** Offer the call to a target. */
    Offer = "offer",
    /** Send the body: the target may run the call. */
    Proceed = "proceed",
    /** Take an attempt back, or cancel it if it runs. */
    Withdraw = "withdraw",
    /** Ask again at a later time by `secondTargetDue`. */
    WakeAt = "wake-at",
    /** Give the caller the answer of this attempt. */
    Answer = "answer",
    /** Tell the caller that the call did not run. */
    Refuse = "refuse",
    /** Tell the caller that the call may have run. */
    Fail = "fail",
}

/** What the call's task does next. */
export type PlanAction =
    | {
        readonly kind: PlanActionKind.Offer;
        readonly attempt: number;
        readonly candidate: TargetCandidate;
        readonly spareOnly: boolean;
        /** Another target may have run the call already, or still runs it. */
        readonly isRepeat: boolean;
    }
    | { readonly kind: PlanActionKind.Proceed; readonly attempt: number }
    | { readonly kind: PlanActionKind.Withdraw; readonly attempt: number }
    | { readonly kind: PlanActionKind.WakeAt; readonly at: Milliseconds }
    | { readonly kind: PlanActionKind.Answer; readonly attempt: number }
    | { readonly kind: PlanActionKind.Refuse; readonly reason: CallReason; readonly retryAfterMs: Milliseconds }
    | { readonly kind: PlanActionKind.Fail; readonly reason: CallReason };

/** Kinds of `AttemptEnd`. */
export enum AttemptEndKind {
    /** The target's node refused the offer. */
    Refused = "refused",
    /** The node did not respond, or its connection broke before the grant. */
    Unreachable = "unreachable",
    /** The target said that it did not run the call. */
    NotRun = "not-run",
    /** A complete answer. */
    Answered = "answered",
    /** A complete answer that says that the target failed. */
    Failed = "failed",
    /** The call may have run and has no usable answer. */
    Lost = "lost",
}

/** How an attempt ended. */
export type AttemptEnd =
    | {
        readonly kind: AttemptEndKind.Refused | AttemptEndKind.NotRun;
        readonly reason: CallReason;
        readonly retryAfterMs: Milliseconds;
    }
    | { readonly kind: AttemptEndKind.Unreachable }
    | { readonly kind: AttemptEndKind.Answered }
    | { readonly kind: AttemptEndKind.Failed }
    | { readonly kind: AttemptEndKind.Lost };

/** What all plans of a node share. */
export interface PlanServices {
    readonly clock: Clock;
    readonly directory: TargetDirectory;
    readonly budgets: RetryBudgets;
    readonly latencies: RouteLatencyTable;
    /** Whether a request that was in flight at crashes may go to one more target. */
    mayRepeat(): boolean;
}

/** Offers of one call that may be refused before the caller is told to come back. */
const maxRefusedOffers = 4;
/** Bounds of the wait for the first target, as parts of the latency objective. */
const shortestSecondTargetPart = 0.25;
const longestSecondTargetPart = 0.6;
/** Wait in a queue after which a free slot is looked for elsewhere, as a part of the latency objective. */
const queueWaitPart = 0.15;
const defaultRetryAfterMs: Milliseconds = 200;

enum AttemptPhase {
    Offered,
    Granted,
}

interface AttemptState {
    phase: AttemptPhase;
    readonly node: string;
    /** The budget has paid for this attempt to run beside or after another one. */
    readonly isPaid: boolean;
}

/** Recent latencies of all routes. */
export class RouteLatencyTable {
    private readonly routes = new Map<string, RouteLatencies>();

    of(route: string): RouteLatencies {
        const known = this.routes.get(route);
        if (known !== undefined) {
            return known;
        }
        makeRoomFor(this.routes, route, maxRoutes);
        const created = new RouteLatencies();
        this.routes.set(route, created);
        return created;
    }
}

/** Bounds the memory for routes that come and go. */
const maxRoutes = 512;

/** Decisions of one call. */
export class CallPlan {
    private readonly attempts = new Map<number, AttemptState>();
    private readonly tried = new Set<string>();
    private attemptCount = 0;
    private refusedOffers = 0;
    private targetsUsed = 0;
    private mayHaveRun = false;
    private failedAnswer: number | undefined;
    private retryAfterMs: Milliseconds | undefined;
    private reason = CallReason.NoTarget;
    private isEnded = false;

    constructor(
        private readonly services: PlanServices,
        private readonly call: PlannedCall,
        private readonly answerBytes: number,
    ) {}

    /** Whether the call has its final answer. */
    get ended(): boolean {
        return this.isEnded;
    }

    /** The first offer. */
    start(): PlanAction[] {
        this.services.budgets.callStarted(this.call.service, this.call.isOfRepeat);
        return this.offerNext(false, false) ?? this.endWithoutAnswer();
    }

    /** The offer waits in the queue of the target's node. */
    queued(attempt: number): PlanAction[] {
        if (this.isEnded || !this.attempts.has(attempt)) {
            return [];
        }
        return [{ kind: PlanActionKind.WakeAt, at: this.services.clock.now() + queueWaitPart * this.objectiveMs }];
    }

    /** The target's node granted a slot. */
    granted(attempt: number): PlanAction[] {
        const state = this.attempts.get(attempt);
        if (this.isEnded || state === undefined) {
            return [{ kind: PlanActionKind.Withdraw, attempt }];
        }
        if (!this.mayUseTarget() || (this.isRunning() && !state.isPaid)) {
            this.attempts.delete(attempt);
            return [{ kind: PlanActionKind.Withdraw, attempt }];
        }
        state.phase = AttemptPhase.Granted;
        this.targetsUsed++;
        const actions: PlanAction[] = [{ kind: PlanActionKind.Proceed, attempt }];
        for (const [other, { phase }] of this.attempts) {
            if (phase === AttemptPhase.Offered) {
                this.attempts.delete(other);
                actions.push({ kind: PlanActionKind.Withdraw, attempt: other });
            }
        }
        if (this.call.route.repeatable) {
            actions.push({ kind: PlanActionKind.WakeAt, at: this.services.clock.now() + this.secondTargetDelayMs() });
        }
        return actions;
    }

    /** A time that `WakeAt` named has come: a second target is asked if the call still waits. */
    secondTargetDue(): PlanAction[] {
        if (this.isEnded || this.attempts.size !== 1) {
            return [];
        }
        if (!this.isRunning()) {
            // Whichever of the two is granted first runs, and what was paid for the one pays for the other.
            const isPaid = [...this.attempts.values()].some(attempt => attempt.isPaid);
            return this.offerNext(true, isPaid) ?? [];
        }
        if (!this.mayRunAgain() || !this.hasTimeForRun()) {
            return [];
        }
        return this.offerPaid(true) ?? [];
    }

    /** Takes the end of an attempt. */
    attemptEnded(attempt: number, end: AttemptEnd): PlanAction[] {
        const state = this.attempts.get(attempt);
        if (this.isEnded || state === undefined) {
            return [];
        }
        this.attempts.delete(attempt);
        switch (end.kind) {
            case AttemptEndKind.Refused:
                this.refusedOffers++;
                this.noteRefusal(end);
                return this.continueUnpaid(state);
            case AttemptEndKind.Unreachable:
                return this.continueUnpaid(state);
            case AttemptEndKind.NotRun:
                this.noteRefusal(end);
                return this.continuePaid();
            case AttemptEndKind.Answered:
                return this.end({ kind: PlanActionKind.Answer, attempt });
            case AttemptEndKind.Failed:
                this.failedAnswer ??= attempt;
                return this.call.route.repeatable ? this.continuePaid() : this.endWithoutAnswer();
            case AttemptEndKind.Lost:
                this.mayHaveRun = true;
                return this.call.route.repeatable ? this.continuePaid() : this.endWithoutAnswer();
        }
    }

    /** The deadline has come. */
    deadlinePassed(): PlanAction[] {
        if (this.isEnded) {
            return [];
        }
        this.mayHaveRun = this.mayHaveRun || this.isRunning();
        this.reason = this.mayHaveRun ? CallReason.TimedOut : CallReason.DeadlinePassed;
        return this.endWithoutAnswer();
    }

    /** The caller left; attempts that may not be repeated and already run go on. */
    callerLeft(): PlanAction[] {
        if (this.isEnded) {
            return [];
        }
        this.isEnded = true;
        const { repeatable } = this.call.route;
        return [...this.attempts]
            .filter(([, { phase }]) => repeatable || phase === AttemptPhase.Offered)
            .map(([attempt]) => ({ kind: PlanActionKind.Withdraw, attempt }));
    }

    private continueUnpaid(state: AttemptState): PlanAction[] {
        if (this.attempts.size > 0) {
            return [];
        }
        if (this.targetsUsed > 0 && !state.isPaid) {
            return this.endWithoutAnswer();
        }
        if (this.refusedOffers >= maxRefusedOffers || this.isLate()) {
            return this.endWithoutAnswer();
        }
        return this.offerNext(false, state.isPaid) ?? this.endWithoutAnswer();
    }

    private continuePaid(): PlanAction[] {
        if (this.attempts.size > 0) {
            return [];
        }
        const maySend = this.mayHaveRun || this.failedAnswer !== undefined ? this.mayRunAgain() : this.mayUseTarget();
        if (!maySend || this.isLate()) {
            return this.endWithoutAnswer();
        }
        return this.offerPaid(false) ?? this.endWithoutAnswer();
    }

    private offerPaid(spareOnly: boolean): PlanAction[] | undefined {
        const candidate = this.chooseNext();
        if (candidate === undefined || !this.services.budgets.trySpend(this.call.service)) {
            return undefined;
        }
        return [this.offer(candidate, spareOnly, true)];
    }

    private offerNext(spareOnly: boolean, isPaid: boolean): PlanAction[] | undefined {
        const candidate = this.chooseNext();
        return candidate === undefined ? undefined : [this.offer(candidate, spareOnly, isPaid)];
    }

    private chooseNext(): TargetCandidate | undefined {
        const { service, route } = this.call;
        return this.services.directory.choose({ service, route, exclude: this.tried, answerBytes: this.answerBytes });
    }

    private offer(candidate: TargetCandidate, spareOnly: boolean, isPaid: boolean): PlanAction {
        this.attemptCount++;
        this.tried.add(candidate.node);
        this.attempts.set(this.attemptCount, { phase: AttemptPhase.Offered, node: candidate.node, isPaid });
        return { kind: PlanActionKind.Offer, attempt: this.attemptCount, candidate, spareOnly, isRepeat: isPaid };
    }

    private noteRefusal(end: { readonly reason: CallReason; readonly retryAfterMs: Milliseconds }): void {
        this.reason = end.reason;
        this.retryAfterMs = Math.min(this.retryAfterMs ?? end.retryAfterMs, end.retryAfterMs);
    }

    private endWithoutAnswer(): PlanAction[] {
        if (this.failedAnswer !== undefined) {
            return this.end({ kind: PlanActionKind.Answer, attempt: this.failedAnswer });
        }
        if (this.mayHaveRun) {
            const reason = this.reason === CallReason.TimedOut ? this.reason : CallReason.AnswerLost;
            return this.end({ kind: PlanActionKind.Fail, reason });
        }
        const retryAfterMs = this.retryAfterMs ?? defaultRetryAfterMs;
        return this.end({ kind: PlanActionKind.Refuse, reason: this.reason, retryAfterMs });
    }

    private end(action: PlanAction): PlanAction[] {
        this.isEnded = true;
        const withdrawals = [...this.attempts.keys()].map(attempt =>
            ({ kind: PlanActionKind.Withdraw, attempt }) as const);
        this.attempts.clear();
        return [action, ...withdrawals];
    }

    private isRunning(): boolean {
        return [...this.attempts.values()].some(({ phase }) => phase === AttemptPhase.Granted);
    }

    private mayUseTarget(): boolean {
        return this.targetsUsed < this.call.route.maxTargets;
    }

    private mayRunAgain(): boolean {
        return this.call.route.repeatable && this.mayUseTarget() && this.services.mayRepeat();
    }

    private isLate(): boolean {
        return this.services.clock.now() >= this.call.deadlineAt;
    }

    /** A second run that can not end before the deadline would only load the target. */
    private hasTimeForRun(): boolean {
        return this.services.clock.now() + shortestSecondTargetPart * this.objectiveMs < this.call.deadlineAt;
    }

    private get objectiveMs(): Milliseconds {
        return this.call.route.latencyObjectiveMs;
    }

    /** Late enough that few calls have a second run, and early enough that its answer can still be in time. */
    private secondTargetDelayMs(): Milliseconds {
        const longest = longestSecondTargetPart * this.objectiveMs;
        const usual = this.services.latencies.of(this.call.route.name).percentile95() ?? longest;
        return Math.max(shortestSecondTargetPart * this.objectiveMs, Math.min(longest, usual));
    }
}
