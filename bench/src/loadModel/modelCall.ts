/**
 * One call of the load model at the node where it begins: carries out the product's plan over the modelled network.
 */
import {
    AttemptEndKind,
    CallPlan,
    OfferDecisionKind,
    type OfferRefusal,
    type PlanAction,
    PlanActionKind,
    type QueueEvent,
    RunResult,
} from "@bilberrycroft/coordination.forwarding";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import type { Route } from "@bilberrycroft/state.routes";
import type { ModelNode } from "./modelNode";
import type { CallClass } from "./scenario";
import { TargetRun } from "./targetRun";

export enum CallEndKind {
    Answered = "answered",
    /** A target ran it and answered with a failure. */
    Failed = "failed",
    /** It has not run. */
    Refused = "refused",
    /** It may have run. */
    Lost = "lost",
}

export type CallEnd =
    | { readonly kind: CallEndKind.Answered | CallEndKind.Failed | CallEndKind.Lost }
    | { readonly kind: CallEndKind.Refused; readonly retryAfterMs: Milliseconds };

export interface ModelCallRequest {
    readonly className: string;
    readonly node: ModelNode;
    readonly deadlineAt: Milliseconds;
    /** That of the outer call for an inner call. */
    readonly priority: number;
    readonly isInner: boolean;
    readonly isFromRepeat: boolean;
    handleEnd(end: CallEnd): void;
}

/** What all calls of a play share. */
export interface ModelCallContext {
    readonly classes: Readonly<Record<string, CallClass>>;
    routeOf(className: string): Route;
    nodeOf(name: string): ModelNode;
    delayMs(from: ModelNode, to: ModelNode): Milliseconds;
    later(delayMs: Milliseconds, run: () => void): void;
    now(): Milliseconds;
    /** Run time of a class at a target that is as fast as usual. */
    drawRunMs(className: string): Milliseconds;
    nextFraction(): number;
    startCall(request: ModelCallRequest): ModelCall;
    /** Returns a new key of an offer. */
    nextOfferKey(): string;
    /** What to do when a queue grants or refuses an offer, by the key of the offer. */
    readonly pending: Map<string, (event: QueueEvent) => void>;
}

type Offer = Extract<PlanAction, { kind: PlanActionKind.Offer }>;

interface ModelAttempt {
    readonly offer: Offer;
    readonly target: ModelNode;
    readonly key: string;
    run: TargetRun | undefined;
    hasFailed: boolean;
}

/** Interval at which the target's node checks its queue. */
const queueIntervalMs: Milliseconds = 20;
const responseBytes = 1_000;

export class ModelCall {
    private readonly plan: CallPlan;
    private readonly attempts = new Map<number, ModelAttempt>();
    private readonly startedAt: Milliseconds;
    private readonly objectiveAt: Milliseconds;
    private readonly draw: number;

    constructor(private readonly request: ModelCallRequest, private readonly context: ModelCallContext) {
        const { node, className, deadlineAt, priority, isInner, isFromRepeat } = request;
        const { directory, budgets, latencies } = node;
        const route = context.routeOf(className);
        this.startedAt = context.now();
        this.draw = context.nextFraction();
        const clock = { now: () => context.now(), wallTime: () => context.now() };
        const service = this.callClass.service;
        this.plan = new CallPlan(
            { clock, directory, budgets, latencies, mayRepeat: () => true },
            { route, service, priority, isInner, isFromRepeat, deadlineAt },
            responseBytes,
        );
        const ageMs = isInner ? 0 : node.ages.recordCall(className, deadlineAt - this.startedAt);
        this.objectiveAt = this.startedAt - ageMs + route.latencyObjectiveMs;
    }

    start(): void {
        const { context, request } = this;
        this.perform(this.plan.start());
        const endsAt = Math.min(request.deadlineAt, this.startedAt + context.routeOf(request.className).timeoutMs);
        context.later(endsAt - this.startedAt, () => this.perform(this.plan.handleDeadline()));
    }

    /** The caller has left. */
    disconnect(): void {
        this.perform(this.plan.handleCallerDisconnect());
    }

    private get callClass(): CallClass {
        return this.context.classes[this.request.className] as CallClass;
    }

    private perform(actions: readonly PlanAction[]): void {
        actions.forEach(action => this.performAction(action));
    }

    private performAction(action: PlanAction): void {
        const { context, request: { className, node, handleEnd } } = this;
        switch (action.kind) {
            case PlanActionKind.Offer:
                return this.offer(action);
            case PlanActionKind.Proceed:
                return this.atTarget(action.attempt, attempt => this.startRun(attempt));
            case PlanActionKind.Withdraw:
                return this.atTarget(action.attempt, attempt => this.withdraw(attempt));
            case PlanActionKind.WakeAt:
                return context.later(action.at - context.now(), () => this.perform(this.plan.handleWakeUp()));
            case PlanActionKind.Answer:
                node.latencies.latenciesOf(className).record(context.now() - this.startedAt);
                return handleEnd({ kind: this.hasFailed(action.attempt) ? CallEndKind.Failed : CallEndKind.Answered });
            case PlanActionKind.Refuse:
                return handleEnd({ kind: CallEndKind.Refused, retryAfterMs: action.retryAfterMs });
            case PlanActionKind.Fail:
                return handleEnd({ kind: CallEndKind.Lost });
        }
    }

    private hasFailed(attempt: number): boolean {
        return this.attempts.get(attempt)?.hasFailed === true;
    }

    private offer(offer: Offer): void {
        const { context, request: { className, node, isInner, deadlineAt, priority } } = this;
        const target = context.nodeOf(offer.candidate.node);
        const key = context.nextOfferKey();
        const attempt: ModelAttempt = { offer, target, key, run: undefined, hasFailed: false };
        this.attempts.set(offer.attempt, attempt);
        node.directory.recordOffer(target.name, key);
        const targetLimit = node.directory.callsPerSecondOf(target.name);
        this.atTarget(offer.attempt, () => {
            if (targetLimit !== undefined) {
                target.queue.limit.adopt(targetLimit);
            }
            context.pending.set(key, event => this.handleQueueEvent(attempt, event));
            const decision = target.queue.offer({
                callId: key,
                route: className,
                priority,
                isInner,
                spareOnly: offer.spareOnly,
                objectiveAt: this.objectiveAt,
                deadlineAt,
                transferMs: 0,
                draw: () => this.draw,
            });
            if (decision.kind === OfferDecisionKind.Queued) {
                this.atCaller(attempt, () => this.perform(this.plan.handleQueued(offer.attempt)));
                advanceLater(target, context);
            }
            else {
                apply([decision], context);
            }
        });
    }

    private handleQueueEvent(attempt: ModelAttempt, event: QueueEvent): void {
        if (event.kind === OfferDecisionKind.Granted) {
            this.atCaller(attempt, () => this.perform(this.plan.handleGranted(attempt.offer.attempt)));
        }
        else {
            this.context.pending.delete(attempt.key);
            this.endAttempt(attempt, () => this.handleRefusal(attempt, event));
        }
    }

    private handleRefusal({ offer }: ModelAttempt, { reason, retryAfterMs }: OfferRefusal): void {
        this.perform(this.plan.handleAttemptEnd(offer.attempt, { kind: AttemptEndKind.Refused, reason, retryAfterMs }));
    }

    private startRun(attempt: ModelAttempt): void {
        const { context, request } = this;
        const { target, key, offer } = attempt;
        target.arrivals.push(context.now());
        attempt.run = new TargetRun({
            context,
            target,
            callClass: this.callClass,
            className: request.className,
            deadlineAt: request.deadlineAt,
            priority: request.priority,
            isRepeat: offer.isRepeat || request.isFromRepeat,
            handleInnerCallEnd: isRefused => target.queue.recordInnerCallEnd(request.className, isRefused),
            handleInnerCall: () => target.queue.recordProgress(key),
            handleEnd: (result, busyMs) => {
                target.busyMs += busyMs;
                attempt.hasFailed = result === RunResult.Failed;
                target.queue.limit.handleResponse(target.callsPerSecond);
                this.finish(attempt, result);
                const kind = attempt.hasFailed ? AttemptEndKind.Failed : AttemptEndKind.Answered;
                this.endAttempt(attempt, () => this.perform(this.plan.handleAttemptEnd(offer.attempt, { kind })));
            },
        });
        attempt.run.start();
        context.pending.delete(key);
    }

    private withdraw(attempt: ModelAttempt): void {
        const { target, key, run } = attempt;
        this.context.pending.delete(key);
        if (run === undefined) {
            target.queue.cancel(key);
        }
        else if (run.hasEnded) {
            return;
        }
        target.busyMs += run?.cancel() ?? 0;
        this.finish(attempt, RunResult.Cancelled);
        this.endAttempt(attempt, () => undefined);
    }

    private finish({ target, key }: ModelAttempt, result: RunResult): void {
        apply(target.queue.finish(key, result), this.context);
    }

    /** Tells the caller's node the end of an attempt, with the load of the target. */
    private endAttempt(attempt: ModelAttempt, run: () => void): void {
        const { className, node } = this.request;
        const load = attempt.target.queue.load(className, 0);
        this.atCaller(attempt, () => {
            node.directory.recordEnd(attempt.target.name, attempt.key);
            node.directory.recordLoad(attempt.target.name, load, className);
            run();
        });
    }

    private atTarget(number: number, run: (attempt: ModelAttempt) => void): void {
        const attempt = this.attempts.get(number);
        if (attempt !== undefined) {
            this.context.later(this.context.delayMs(this.request.node, attempt.target), () => run(attempt));
        }
    }

    private atCaller({ target }: ModelAttempt, run: () => void): void {
        this.context.later(this.context.delayMs(target, this.request.node), run);
    }
}

function apply(events: readonly QueueEvent[], { pending }: ModelCallContext): void {
    events.forEach(event => pending.get(event.callId)?.(event));
}

function advanceLater(target: ModelNode, context: ModelCallContext): void {
    if (target.isAdvancing) {
        return;
    }
    target.isAdvancing = true;
    context.later(queueIntervalMs, () => {
        target.isAdvancing = false;
        apply(target.queue.advance(), context);
        if (target.queue.queuedCalls > 0) {
            advanceLater(target, context);
        }
    });
}
