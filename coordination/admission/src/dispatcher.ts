/**
 * Combines admission and routing: decides when a call starts and on which target.
 *
 * The dispatcher reserves a slot in the same step in which the router chooses the target, so that no other call can
 * take it. The router chooses only among targets with free capacity and is notified of every attempt that holds a slot.
 */
import {
    AttemptResult,
    NoTargetReason,
    Router,
    TargetChoiceKind,
} from "@bilberrycroft/coordination.routing";
import type {
    AttemptAssessment,
    RoutingTarget,
    TargetChoice,
} from "@bilberrycroft/coordination.routing";
import type { Clock } from "@bilberrycroft/core.clock";
import type { Random } from "@bilberrycroft/core.random";
import { CallReason } from "@bilberrycroft/protocol.calls";
import { RunTimeClass } from "@bilberrycroft/state.rules";
import { Admission } from "./admission";
import { Capacity } from "./capacity";
import { AdmissionKind, DispatchKind } from "./types";
import type {
    AdmissionDecision,
    Completion,
    DispatchEvent,
    FurtherAttemptRequest,
    PendingCall,
    RefusedDecision,
    StartDecision,
    SubmitDecision,
    SubmittedCall,
} from "./types";

const defaultNodeConcurrency = 1_024;
/** Minimum time between two sweeps of all queues. `tick` is called after each completion, which is more often. */
const sweepIntervalMs = 10;

export interface DispatcherOptions {
    readonly clock: Clock;
    readonly random: Random;
    /** Receives targets from the dispatcher; its owner sets callers and distances on it directly. */
    readonly router: Router;
    /** Maximum number of attempts in flight on this node; 1,024 by default. */
    readonly nodeConcurrency?: number;
}

/** An attempt in flight, which holds a slot on its target. */
interface ReservedAttempt {
    readonly pending: PendingCall;
    readonly target: RoutingTarget;
}

/** Decides for each call whether it starts, is queued or is refused, and tracks the slots that attempts hold. */
export class Dispatcher {
    private readonly router: Router;
    private readonly capacity: Capacity;
    private readonly admission: Admission;
    /** Started calls that may still request a retry or a hedge, oldest first. */
    private readonly calls = new Map<string, PendingCall>();
    private readonly attempts = new Map<string, ReservedAttempt>();
    /** Calls that `submit` shed from a queue; the next `tick` returns them. */
    private readonly unreportedRefusals: RefusedDecision[] = [];
    private lastSweepAt = Number.NEGATIVE_INFINITY;

    constructor(private readonly options: DispatcherOptions) {
        const { clock, random, router } = options;
        this.router = router;
        this.capacity = new Capacity({
            clock,
            nodeConcurrency: options.nodeConcurrency ?? defaultNodeConcurrency,
        });
        this.admission = new Admission({
            clock,
            random,
            releaseIntervalMs: (service, runTimeClass) => this.capacity.releaseIntervalMs(service, runTimeClass),
        });
    }

    /** Replaces the targets of all services, here and in the router. */
    setTargets(targets: readonly RoutingTarget[]): void {
        this.router.setTargets(targets);
        this.capacity.setTargets(targets);
    }

    /** Starts, queues or refuses a new call. The next `tick` returns refusals of the queued calls that it displaces. */
    submit(call: SubmittedCall): SubmitDecision {
        const decision = this.admission.submit(call);
        if (decision.kind !== AdmissionKind.Run) {
            return this.toSubmission(decision, call.callId);
        }
        const { pending } = decision;
        const choice = this.chooseTarget(pending, []);
        if (choice.kind === TargetChoiceKind.Chosen) {
            return this.startAttempt(pending, choice.target, choice.isTrial);
        }
        if (canQueueFor(choice.reason)) {
            return this.toSubmission(this.admission.enqueue(pending), call.callId);
        }
        return this.admission.refuseWithRetryAfter(pending, CallReason.NoTarget);
    }

    /** Reserves a slot for a retry or a hedge. Further attempts are refused rather than queued. */
    reserveAttempt(attempt: FurtherAttemptRequest): StartDecision | RefusedDecision {
        const pending = this.calls.get(attempt.callId);
        if (pending === undefined) {
            return {
                kind: DispatchKind.Refused,
                callId: attempt.callId,
                reason: CallReason.DeadlinePassed,
                retryAfterMs: 0,
            };
        }
        if (this.isHedge(attempt) && this.hasQueuedCalls(pending)) {
            // A hedge would take a slot from a queued call that has had no attempt yet.
            return this.admission.refuseWithRetryAfter(pending);
        }
        const choice = this.chooseTarget(pending, attempt.exclude);
        if (choice.kind === TargetChoiceKind.Chosen) {
            return this.startAttempt(pending, choice.target, choice.isTrial);
        }
        const reason = choice.reason === NoTargetReason.Busy ? CallReason.Overloaded : CallReason.NoTarget;
        return this.admission.refuseWithRetryAfter(pending, reason);
    }

    /** Releases the slot of an attempt that ended and starts queued calls of the service. Ignores unknown attempts. */
    handleAttemptEnd(completion: Completion): readonly DispatchEvent[] {
        const key = attemptKey(completion.callId, completion.target);
        const attempt = this.attempts.get(key);
        if (attempt === undefined) {
            return [];
        }
        this.attempts.delete(key);
        const assessment = this.router.recordAttemptEnd(completion);
        this.recordOutcome(attempt, completion, assessment);
        this.capacity.recordAttemptEnd(attempt.target, attempt.pending.runTimeClass);
        if (completion.result === AttemptResult.Answered) {
            this.calls.delete(completion.callId);
        }
        return this.startQueuedCalls(attempt.target.service);
    }

    /**
     * Removes a call whose caller disconnected or that ended without a response. Its attempts in flight keep their
     * slots until they end. Returns whether the call was queued.
     */
    cancel(callId: string): boolean {
        this.calls.delete(callId);
        return this.admission.cancel(callId);
    }

    /** Refuses queued calls whose wait has expired and starts queued calls that targets have capacity for. */
    tick(): readonly DispatchEvent[] {
        const now = this.options.clock.now();
        const events: DispatchEvent[] = this.unreportedRefusals.splice(0);
        if (now - this.lastSweepAt < sweepIntervalMs) {
            return events;
        }
        this.lastSweepAt = now;
        events.push(...this.admission.expire());
        this.removeExpiredCalls();
        for (const service of this.admission.servicesWithQueuedCalls()) {
            events.push(...this.startQueuedCalls(service));
        }
        return events;
    }

    /** Number of calls in all queues. */
    get queuedCalls(): number {
        return this.admission.queuedCalls;
    }

    /** Number of attempts that hold slots. */
    get callsInFlight(): number {
        return this.attempts.size;
    }

    /** Maximum number of calls that this node may have in flight on the target. */
    concurrencyLimitOf(target: RoutingTarget): number {
        return this.capacity.concurrencyLimitOf(target);
    }

    /** A further attempt is a hedge if another attempt of the call is still in flight, and a retry otherwise. */
    private isHedge({ callId, exclude }: FurtherAttemptRequest): boolean {
        return exclude.some(target => this.attempts.has(attemptKey(callId, target)));
    }

    private hasQueuedCalls({ call, runTimeClass }: PendingCall): boolean {
        return this.admission.peek(call.route.to, runTimeClass) !== undefined;
    }

    private toSubmission(decision: AdmissionDecision, callId: string): SubmitDecision {
        if (decision.kind === AdmissionKind.Refused) {
            return decision.refused;
        }
        if (decision.kind === AdmissionKind.Queued) {
            this.unreportedRefusals.push(...decision.shed);
        }
        return { kind: DispatchKind.Queued, callId };
    }

    private chooseTarget(pending: PendingCall, exclude: readonly string[]): TargetChoice {
        const service = pending.call.route.to;
        const { runTimeClass } = pending;
        const isLong = runTimeClass === RunTimeClass.Long;
        const hasCapacity = this.capacity.hasNodeCapacity(runTimeClass)
            && (!isLong || this.capacity.hasServiceCapacityForLongCall(service, this.router.targetsOf(service)));
        return this.router.choose({
            service,
            runTimeClass,
            exclude,
            // Only first attempts test a suspected target; a retry or hedge would probably fail again there.
            isTrialAllowed: pending.call.route.repeatable && !isLong && exclude.length === 0,
            hasCapacity: load => hasCapacity && this.capacity.hasTargetCapacity(load, runTimeClass),
        });
    }

    private startAttempt(pending: PendingCall, target: RoutingTarget, isTrial: boolean): StartDecision {
        const { callId } = pending.call;
        this.calls.set(callId, pending);
        this.attempts.set(attemptKey(callId, target.id), { pending, target });
        this.capacity.recordAttemptStart(target, pending.runTimeClass);
        this.router.recordAttemptStart({ callId, target: target.id, runTimeClass: pending.runTimeClass });
        return { kind: DispatchKind.Start, callId, target, isTrial };
    }

    private recordOutcome(
        attempt: ReservedAttempt,
        completion: Completion,
        assessment: AttemptAssessment | undefined,
    ): void {
        const { pending, target } = attempt;
        switch (completion.result) {
            case AttemptResult.Answered:
                if (assessment !== undefined) {
                    const { runTimeMs, slowdown } = assessment;
                    this.capacity.recordResponse(target, slowdown);
                    this.capacity.recordRunTime(target.service, pending.runTimeClass, runTimeMs);
                    this.admission.runTimes.add({ route: pending.call.route, target: target.id, runTimeMs });
                }
                return;
            case AttemptResult.Shed:
            case AttemptResult.TimedOut:
                this.capacity.recordOverload(target);
                return;
            case AttemptResult.ConnectionRefused:
            case AttemptResult.Broken:
            case AttemptResult.Cancelled:
        }
    }

    /** Starts queued calls of a service until no target has capacity. */
    private startQueuedCalls(service: string): DispatchEvent[] {
        const events: DispatchEvent[] = [];
        // The long class goes first while none of its calls runs, so that steady short load does not starve it.
        const isLongFirst = this.capacity.callsInFlightOf(service, RunTimeClass.Long) === 0;
        const order = isLongFirst ? [RunTimeClass.Long, RunTimeClass.Short] : [RunTimeClass.Short, RunTimeClass.Long];
        for (const runTimeClass of order) {
            this.startQueuedCallsOfClass(service, runTimeClass, events);
        }
        return events;
    }

    private startQueuedCallsOfClass(service: string, runTimeClass: RunTimeClass, events: DispatchEvent[]): void {
        const now = this.options.clock.now();
        let pending = this.admission.peek(service, runTimeClass);
        while (pending !== undefined) {
            if (pending.latestStartAt <= now) {
                this.admission.cancel(pending.call.callId);
                events.push(this.admission.refuseWithRetryAfter(pending));
            }
            else {
                const choice = this.chooseTarget(pending, []);
                if (choice.kind === TargetChoiceKind.NoTarget) {
                    return;
                }
                this.admission.serve(pending);
                events.push(this.startAttempt(pending, choice.target, choice.isTrial));
            }
            pending = this.admission.peek(service, runTimeClass);
        }
    }

    /** Started calls are kept for retries and hedges until their deadline. */
    private removeExpiredCalls(): void {
        const now = this.options.clock.now();
        for (const [callId, pending] of this.calls) {
            if (pending.call.deadlineAt <= now) {
                this.calls.delete(callId);
            }
        }
    }
}

function attemptKey(callId: string, target: string): string {
    return `${callId} ${target}`;
}

function canQueueFor(reason: NoTargetReason): boolean {
    return reason === NoTargetReason.Busy || reason === NoTargetReason.Refusing;
}
