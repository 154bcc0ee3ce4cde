/**
 * Admission and routing together: decides when a call starts and on which target.
 *
 * A slot on a target is reserved in the same step in which the router chooses the target, so no other call can take
 * it. The router sees only targets with room, and its observations are updated with the same calls that hold slots.
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
    FurtherAttempt,
    PendingCall,
    Refused,
    Start,
    Submission,
    SubmittedCall,
} from "./types";

const defaultNodeConcurrency = 1_024;
/** All queues are visited at most this often, although `tick` is called after each completion. */
const sweepIntervalMs = 10;

/** Options of a `Dispatcher`. */
export interface DispatcherOptions {
    readonly clock: Clock;
    readonly random: Random;
    /** Receives targets, callers and distances directly. */
    readonly router: Router;
    /** Calls that the node carries at once. */
    readonly nodeConcurrency?: number;
}

/** An attempt that holds a slot. */
interface ReservedAttempt {
    readonly pending: PendingCall;
    readonly target: RoutingTarget;
}

/** Starts, queues and refuses calls. */
export class Dispatcher {
    private readonly router: Router;
    private readonly capacity: Capacity;
    private readonly admission: Admission;
    /** Calls that were started and may ask for a further attempt, oldest first. */
    private readonly calls = new Map<string, PendingCall>();
    private readonly attempts = new Map<string, ReservedAttempt>();
    private readonly shedBySubmit: Refused[] = [];
    private sweptAt = Number.NEGATIVE_INFINITY;

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
            slotIntervalMs: (service, runTimeClass) => this.capacity.slotIntervalMs(service, runTimeClass),
        });
    }

    /** Takes the targets of all services; hands them to the router too. */
    setTargets(targets: readonly RoutingTarget[]): void {
        this.router.setTargets(targets);
        this.capacity.setTargets(targets);
    }

    /** Decides for a new call. Calls that it displaces from a queue are refused by the next `tick`. */
    submit(call: SubmittedCall): Submission {
        const decision = this.admission.submit(call);
        if (decision.kind !== AdmissionKind.Run) {
            return this.takeDecision(decision, call.callId);
        }
        const { pending } = decision;
        const choice = this.choose(pending, []);
        if (choice.kind === TargetChoiceKind.Chosen) {
            return this.start(pending, choice.target, choice.trial);
        }
        if (canWaitFor(choice.reason)) {
            return this.takeDecision(this.admission.enqueue(pending), call.callId);
        }
        return this.admission.refuseQueued(pending, CallReason.NoTarget);
    }

    /** Reserves a slot for a retry or a hedge. Further attempts never wait. */
    chooseAgain(attempt: FurtherAttempt): Start | Refused {
        const pending = this.calls.get(attempt.callId);
        if (pending === undefined) {
            return {
                kind: DispatchKind.Refused,
                callId: attempt.callId,
                reason: CallReason.DeadlinePassed,
                retryAfterMs: 0,
            };
        }
        if (this.isHedge(attempt) && this.isAnyWaiting(pending)) {
            // A hedge would take the slot of a call that has not been tried at all.
            return this.admission.refuseQueued(pending);
        }
        const choice = this.choose(pending, attempt.exclude);
        if (choice.kind === TargetChoiceKind.Chosen) {
            return this.start(pending, choice.target, choice.trial);
        }
        const reason = choice.reason === NoTargetReason.Busy ? CallReason.Overloaded : CallReason.NoTarget;
        return this.admission.refuseQueued(pending, reason);
    }

    /** Takes the end of an attempt and starts calls that waited for its slot. */
    completed(completion: Completion): readonly DispatchEvent[] {
        const key = attemptKey(completion.callId, completion.target);
        const attempt = this.attempts.get(key);
        if (attempt === undefined) {
            return [];
        }
        this.attempts.delete(key);
        const assessment = this.router.attemptEnded(completion);
        this.learn(attempt, completion, assessment);
        this.capacity.ended(attempt.target, attempt.pending.runTimeClass);
        if (completion.result === AttemptResult.Answered) {
            this.calls.delete(completion.callId);
        }
        return this.startWaiting(attempt.target.service);
    }

    /**
     * Forgets a call whose caller left or that is finished without an answer. Its attempts in flight keep their slots
     * until `completed`. Returns whether the call was waiting.
     */
    cancel(callId: string): boolean {
        this.calls.delete(callId);
        return this.admission.cancel(callId);
    }

    /** Refuses calls that waited too long and starts calls that targets have room for. */
    tick(): readonly DispatchEvent[] {
        const now = this.options.clock.now();
        const events: DispatchEvent[] = this.shedBySubmit.splice(0);
        if (now - this.sweptAt < sweepIntervalMs) {
            return events;
        }
        this.sweptAt = now;
        events.push(...this.admission.expire());
        this.forgetPastDeadline();
        for (const service of this.admission.waitingServices()) {
            events.push(...this.startWaiting(service));
        }
        return events;
    }

    /** Calls that wait in all queues. */
    get queuedCalls(): number {
        return this.admission.queuedCalls;
    }

    /** Attempts that hold slots. */
    get callsInFlight(): number {
        return this.attempts.size;
    }

    /** Concurrency limit of this node for a target. */
    limitOf(target: RoutingTarget): number {
        return this.capacity.limitOf(target);
    }

    /** A further attempt is a hedge while another attempt of the call is in flight. */
    private isHedge({ callId, exclude }: FurtherAttempt): boolean {
        return exclude.some(target => this.attempts.has(attemptKey(callId, target)));
    }

    private isAnyWaiting({ call, runTimeClass }: PendingCall): boolean {
        return this.admission.next(call.route.to, runTimeClass) !== undefined;
    }

    private takeDecision(decision: AdmissionDecision, callId: string): Submission {
        if (decision.kind === AdmissionKind.Refused) {
            return decision.refused;
        }
        if (decision.kind === AdmissionKind.Queued) {
            this.shedBySubmit.push(...decision.shed);
        }
        return { kind: DispatchKind.Queued, callId };
    }

    private choose(pending: PendingCall, exclude: readonly string[]): TargetChoice {
        const service = pending.call.route.to;
        const { runTimeClass } = pending;
        const isLong = runTimeClass === RunTimeClass.Long;
        const admitted = this.capacity.nodeHasRoom(runTimeClass)
            && (!isLong || this.capacity.serviceHasRoomForLong(service, this.router.targetsOf(service)));
        return this.router.choose({
            service,
            runTimeClass,
            exclude,
            // A retry or hedge must not go to a target that is likely to fail it again.
            trialAllowed: pending.call.route.repeatable && !isLong && exclude.length === 0,
            hasRoom: load => admitted && this.capacity.hasRoom(load, runTimeClass),
        });
    }

    private start(pending: PendingCall, target: RoutingTarget, trial: boolean): Start {
        const { callId } = pending.call;
        this.calls.set(callId, pending);
        this.attempts.set(attemptKey(callId, target.id), { pending, target });
        this.capacity.started(target, pending.runTimeClass);
        this.router.attemptStarted({ callId, target: target.id, runTimeClass: pending.runTimeClass });
        return { kind: DispatchKind.Start, callId, target, trial };
    }

    private learn(
        attempt: ReservedAttempt,
        completion: Completion,
        assessment: AttemptAssessment | undefined,
    ): void {
        const { pending, target } = attempt;
        switch (completion.result) {
            case AttemptResult.Answered:
                if (assessment !== undefined) {
                    const { runTimeMs, slowdown } = assessment;
                    this.capacity.answered(target, slowdown);
                    this.capacity.addRunTime(target.service, pending.runTimeClass, runTimeMs);
                    this.admission.runTimes.add({ route: pending.call.route, target: target.id, runTimeMs });
                }
                return;
            case AttemptResult.Shed:
            case AttemptResult.TimedOut:
                this.capacity.overloaded(target);
                return;
            case AttemptResult.ConnectionRefused:
            case AttemptResult.Broken:
            case AttemptResult.Cancelled:
        }
    }

    /** Starts waiting calls of a service until none can start. */
    private startWaiting(service: string): DispatchEvent[] {
        const events: DispatchEvent[] = [];
        // One long call always runs, so that a steady load of short calls does not starve the long class.
        const longFirst = this.capacity.callsIn(service, RunTimeClass.Long) === 0;
        const order = longFirst ? [RunTimeClass.Long, RunTimeClass.Short] : [RunTimeClass.Short, RunTimeClass.Long];
        for (const runTimeClass of order) {
            this.startWaitingOf(service, runTimeClass, events);
        }
        return events;
    }

    private startWaitingOf(service: string, runTimeClass: RunTimeClass, events: DispatchEvent[]): void {
        const now = this.options.clock.now();
        let pending = this.admission.next(service, runTimeClass);
        while (pending !== undefined) {
            if (pending.startBy <= now) {
                this.admission.cancel(pending.call.callId);
                events.push(this.admission.refuseQueued(pending));
            }
            else {
                const choice = this.choose(pending, []);
                if (choice.kind === TargetChoiceKind.NoTarget) {
                    return;
                }
                this.admission.serve(pending);
                events.push(this.start(pending, choice.target, choice.trial));
            }
            pending = this.admission.next(service, runTimeClass);
        }
    }

    /** Started calls are kept for retries and hedges only until their deadline. */
    private forgetPastDeadline(): void {
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

function canWaitFor(reason: NoTargetReason): boolean {
    return reason === NoTargetReason.Busy || reason === NoTargetReason.Refusing;
}
