/**
 * Carries one call: sends its attempts, follows the decisions of dispatcher and retries, and responds to the caller
 * exactly once.
 */
import type { IncomingHttpHeaders, ServerResponse } from "node:http";
import {
    type Completion,
    type DispatchEvent,
    DispatchKind,
    type Dispatcher,
    type Start,
    type SubmittedCall,
} from "@bilberrycroft/coordination.admission";
import {
    type AttemptDecision,
    AttemptDecisionKind,
    type AttemptResult,
    AttemptResultKind,
    HedgeDecisionKind,
    type Retries,
    type RespondDecision,
} from "@bilberrycroft/coordination.retries";
import { AttemptResult as RoutingResult } from "@bilberrycroft/coordination.routing";
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import { assertNever } from "@bilberrycroft/core.errors";
import { CallOutcome, CallReason } from "@bilberrycroft/protocol.calls";
import {
    type Attempt,
    type AttemptEvent,
    AttemptEventKind,
    streamResponse,
    type TargetClient,
} from "@bilberrycroft/transport.calls";
import {
    type Answer,
    type AnswerHead,
    isSmall,
    loadOf,
    readAnswer,
    retryAfterOf,
    saysDraining,
    saysNotRun,
} from "./answers";
import { type CallHead, createAttemptHeaders } from "./callRequest";
import { createAnswerHeaders, sendOwnResponse } from "./responses";

/** What a call execution works with. */
export interface CallServices {
    readonly clock: Clock;
    readonly dispatcher: Dispatcher;
    readonly retries: Retries;
    readonly targets: TargetClient;
    /** Takes what the dispatcher decided for other calls. */
    dispatch(events: readonly DispatchEvent[]): void;
    /** Takes that a call waits in the dispatcher. */
    callQueued(): void;
    /** Takes the time that a new connection to a zone took. */
    distanceMeasured(zone: string, roundTripMs: Milliseconds): void;
    /** Takes a connection that broke with the call in flight. */
    connectionBroke(broken: BrokenConnection): void;
    /** Whether a request that broke several connections may go to one more target. */
    mayRepeat(fingerprint: string): Promise<boolean>;
    /** Counts an additional attempt. */
    countAttempt(kind: AdditionalAttempt): void;
}

/** A connection that broke with a call in flight. */
export interface BrokenConnection {
    readonly target: string;
    /** `host:port` of the target. */
    readonly address: string;
    readonly fingerprint: string;
    /** Time since the attempt was sent. */
    readonly ageMs: Milliseconds;
}

/** Why a call was sent more than once. */
export enum AdditionalAttempt {
    Retry = "retry",
    Hedge = "hedge",
}

/** A call that passed all checks of its head and body. */
export interface AcceptedCall {
    readonly head: CallHead;
    readonly received: IncomingHttpHeaders;
    readonly body: Buffer;
    readonly submitted: SubmittedCall;
    readonly fingerprint: string;
    /** Version of the rule set that the call is carried under. */
    readonly version: number;
}

/** How a call ended. */
export interface CallResult {
    readonly outcome: CallOutcome;
    readonly reason: CallReason | undefined;
    readonly target: string | undefined;
    /** The complete answer, if it was small enough to be read whole. */
    readonly answer: Answer | undefined;
}

interface AttemptInFlight {
    readonly attempt: Attempt;
    readonly start: Start;
    readonly startedAt: Milliseconds;
    /** Result to report when the node abandons the attempt. */
    abandonedAs: AttemptResultKind.Cancelled | AttemptResultKind.TimedOut | undefined;
}

// Two distinct targets make the quarantine hold a request.
const crashesBeforeHold = 2;

/** One call in progress. */
export class CallExecution {
    private readonly attempts = new Map<string, AttemptInFlight>();
    private readonly answers = new Map<string, Answer>();
    private readonly timers = new Set<NodeJS.Timeout>();
    private hasStarted = false;
    private brokenAttempts = 0;
    private streaming = false;
    private finish: (result: CallResult) => void = () => undefined;
    private isFinished = false;

    constructor(
        private readonly call: AcceptedCall,
        private readonly response: ServerResponse,
        private readonly services: CallServices,
    ) {}

    /** Carries the call to its end. */
    run(): Promise<CallResult> {
        return new Promise(resolve => {
            this.finish = resolve;
            const { submitted } = this.call;
            this.schedule(submitted.deadlineAt, () => this.passDeadline());
            const submission = this.services.dispatcher.submit(submitted);
            if (submission.kind === DispatchKind.Queued) {
                this.services.callQueued();
            }
            else {
                this.dispatched(submission);
            }
        });
    }

    /** Takes the dispatcher's decision for a call that waited. */
    dispatched(event: DispatchEvent): void {
        if (this.isFinished) {
            this.giveBack(event);
            return;
        }
        switch (event.kind) {
            case DispatchKind.Start:
                return this.startFirst(event);
            case DispatchKind.Refused:
                return this.respondOwn(CallOutcome.NotRun, event.reason, event.retryAfterMs);
            default:
                return assertNever(event);
        }
    }

    /** The caller closed its connection. A call that may not be repeated goes on, so that its outcome gets known. */
    callerLeft(): void {
        const mayStop = this.call.submitted.route.repeatable || this.attempts.size === 0;
        if (!this.isFinished && mayStop) {
            this.abandonAttempts(AttemptResultKind.Cancelled);
            this.services.retries.callAbandoned(this.call.submitted.callId);
            this.end({ outcome: CallOutcome.Unknown, reason: undefined, target: undefined, answer: undefined });
        }
    }

    private startFirst(start: Start): void {
        this.hasStarted = true;
        const { head, submitted } = this.call;
        const plan = this.services.retries.callStarted({
            callId: submitted.callId,
            route: submitted.route,
            deadlineAt: submitted.deadlineAt,
            depth: head.depth,
            attempt: head.attempt,
        });
        if (plan.hedgeAt !== undefined) {
            this.schedule(plan.hedgeAt, () => this.hedge());
        }
        this.send(start);
    }

    private send(start: Start): void {
        const { clock, retries, targets } = this.services;
        const { call } = this;
        const { callId, deadlineAt, route } = call.submitted;
        const number = retries.attemptStarted({ callId, target: start.target.id });
        const attempt = targets.send({
            address: start.target.address,
            method: call.head.method,
            path: call.head.url,
            headers: createAttemptHeaders({
                received: call.received,
                head: call.head,
                bodyBytes: call.body.length,
                remainingMs: deadlineAt - clock.now(),
                attempt: number,
            }),
            body: call.body,
            freshConnection: !route.repeatable,
        });
        const inFlight: AttemptInFlight = { attempt, start, startedAt: clock.now(), abandonedAs: undefined };
        this.attempts.set(start.target.id, inFlight);
        void attempt.event.then(event => this.takeEvent(inFlight, event));
    }

    private async takeEvent(inFlight: AttemptInFlight, event: AttemptEvent): Promise<void> {
        switch (event.kind) {
            case AttemptEventKind.Responded:
                return this.takeHead(inFlight, event);
            case AttemptEventKind.ConnectFailed:
                return this.endAttempt(inFlight, { kind: AttemptResultKind.ConnectFailed }, undefined);
            case AttemptEventKind.Broken:
                return this.endAttempt(inFlight, { kind: AttemptResultKind.Broken }, undefined);
            case AttemptEventKind.Cancelled:
                return this.endAttempt(
                    inFlight,
                    { kind: inFlight.abandonedAs ?? AttemptResultKind.Cancelled },
                    undefined,
                );
            default:
                return assertNever(event);
        }
    }

    private async takeHead(inFlight: AttemptInFlight, head: AnswerHead): Promise<void> {
        if (saysNotRun(head)) {
            head.response.resume();
            this.endAttempt(inFlight, { kind: AttemptResultKind.NotRun, retryAfterMs: retryAfterOf(head) }, head);
            return;
        }
        if (!isSmall(head)) {
            return this.passOn(inFlight, head);
        }
        const answer = await readAnswer(head);
        if (answer === undefined) {
            this.endAttempt(inFlight, { kind: inFlight.abandonedAs ?? AttemptResultKind.Broken }, head);
            return;
        }
        this.answers.set(inFlight.start.target.id, answer);
        this.endAttempt(inFlight, { kind: AttemptResultKind.Done, status: head.status }, head);
    }

    /** Streams a large answer. From its head on, no other attempt can answer the call. */
    private async passOn(inFlight: AttemptInFlight, head: AnswerHead): Promise<void> {
        if (this.isFinished || this.streaming) {
            inFlight.attempt.cancel();
            this.endAttempt(inFlight, { kind: AttemptResultKind.Cancelled }, head);
            return;
        }
        this.streaming = true;
        this.abandonAttempts(AttemptResultKind.Cancelled, inFlight);
        this.response.writeHead(head.status, createAnswerHeaders(head.headers, this.call.version));
        const { complete } = await streamResponse(head.response, this.response);
        this.endAttempt(inFlight, complete
            ? { kind: AttemptResultKind.Done, status: head.status }
            : { kind: inFlight.abandonedAs ?? AttemptResultKind.Broken }, head);
    }

    private endAttempt(inFlight: AttemptInFlight, result: AttemptResult, head: AnswerHead | undefined): void {
        const { services, call } = this;
        const { target } = inFlight.start;
        this.attempts.delete(target.id);
        const connectMs = inFlight.attempt.connectMs();
        if (connectMs !== undefined) {
            services.distanceMeasured(target.zone, connectMs);
        }
        if (result.kind === AttemptResultKind.Broken && !this.streaming) {
            this.brokenAttempts++;
            services.connectionBroke({
                target: target.id,
                address: target.address,
                fingerprint: call.fingerprint,
                ageMs: services.clock.now() - inFlight.startedAt,
            });
        }
        const completion: Completion = {
            callId: call.submitted.callId,
            target: target.id,
            latencyMs: services.clock.now() - inFlight.startedAt,
            result: routingResults[result.kind],
            load: head === undefined ? undefined : loadOf(head),
            draining: head !== undefined && saysDraining(head),
        };
        const decision = services.retries.attemptEnded({
            callId: call.submitted.callId,
            target: target.id,
            result,
        });
        const events = services.dispatcher.attemptEnded(completion);
        this.follow(decision);
        services.dispatch(events);
    }

    private follow(decision: AttemptDecision): void {
        switch (decision.kind) {
            case AttemptDecisionKind.Respond:
                return this.respond(decision);
            case AttemptDecisionKind.RetryAt:
                return this.schedule(decision.at, () => void this.retry(decision.exclude));
            case AttemptDecisionKind.Wait:
            case AttemptDecisionKind.Ignored:
                return;
            default:
                return assertNever(decision);
        }
    }

    /** A request that crashes its targets would otherwise take one more before it is held. */
    private async retry(exclude: readonly string[]): Promise<void> {
        const isHeld = this.brokenAttempts >= crashesBeforeHold
            && !await this.services.mayRepeat(this.call.fingerprint);
        if (!isHeld) {
            return this.sendAgain(AdditionalAttempt.Retry, exclude);
        }
        if (!this.isFinished) {
            this.follow(this.services.retries.attemptNotStarted(this.call.submitted.callId));
        }
    }

    private hedge(): void {
        const decision = this.services.retries.hedgeDue(this.call.submitted.callId);
        if (decision.kind === HedgeDecisionKind.Hedge) {
            this.sendAgain(AdditionalAttempt.Hedge, decision.exclude);
        }
    }

    private sendAgain(kind: AdditionalAttempt, exclude: readonly string[]): void {
        if (this.isFinished) {
            return;
        }
        const { callId } = this.call.submitted;
        const choice = this.streaming ? undefined : this.services.dispatcher.reserveAttempt({ callId, exclude });
        if (choice?.kind === DispatchKind.Start) {
            this.services.countAttempt(kind);
            this.send(choice);
            return;
        }
        this.follow(this.services.retries.attemptNotStarted(callId));
    }

    private respond(decision: RespondDecision): void {
        const answer = decision.target === undefined ? undefined : this.answers.get(decision.target);
        this.abandonAttempts(AttemptResultKind.Cancelled);
        if (answer !== undefined) {
            this.response.writeHead(answer.status, createAnswerHeaders(answer.headers, this.call.version));
            this.response.end(answer.body);
        }
        else if (decision.outcome !== CallOutcome.Done) {
            this.sendOwn(decision.outcome, decision.reason ?? CallReason.AnswerLost, decision.retryAfterMs);
        }
        this.end({ outcome: decision.outcome, reason: decision.reason, target: decision.target, answer });
    }

    private respondOwn(
        outcome: CallOutcome.NotRun | CallOutcome.Unknown,
        reason: CallReason,
        retryAfterMs: Milliseconds | undefined,
    ): void {
        this.sendOwn(outcome, reason, retryAfterMs);
        this.end({ outcome, reason, target: undefined, answer: undefined });
    }

    private sendOwn(
        outcome: CallOutcome.NotRun | CallOutcome.Unknown,
        reason: CallReason,
        retryAfterMs: Milliseconds | undefined,
    ): void {
        sendOwnResponse(this.response, { outcome, reason, retryAfterMs, version: this.call.version });
    }

    /** At the deadline every attempt in flight is abandoned; a call that never started is refused as not run. */
    private passDeadline(): void {
        if (this.isFinished) {
            return;
        }
        if (!this.hasStarted) {
            this.respondOwn(CallOutcome.NotRun, CallReason.DeadlinePassed, 0);
            return;
        }
        if (this.attempts.size === 0) {
            this.follow(this.services.retries.attemptNotStarted(this.call.submitted.callId));
            return;
        }
        this.abandonAttempts(AttemptResultKind.TimedOut);
    }

    private abandonAttempts(
        abandonedAs: AttemptResultKind.Cancelled | AttemptResultKind.TimedOut,
        except?: AttemptInFlight,
    ): void {
        for (const inFlight of this.attempts.values()) {
            if (inFlight !== except) {
                inFlight.abandonedAs = abandonedAs;
                inFlight.attempt.cancel();
            }
        }
    }

    private end(result: CallResult): void {
        this.isFinished = true;
        this.timers.forEach(clearTimeout);
        this.timers.clear();
        this.services.dispatcher.cancel(this.call.submitted.callId);
        this.finish(result);
    }

    /** Returns the slot of a start that came after the call had ended. */
    private giveBack(event: DispatchEvent): void {
        if (event.kind === DispatchKind.Start) {
            this.services.dispatch(this.services.dispatcher.attemptEnded({
                callId: event.callId,
                target: event.target.id,
                latencyMs: 0,
                result: RoutingResult.Cancelled,
                load: undefined,
                draining: false,
            }));
        }
    }

    private schedule(at: Milliseconds, action: () => void): void {
        const timer = setTimeout(() => {
            this.timers.delete(timer);
            action();
        }, Math.max(0, at - this.services.clock.now()));
        this.timers.add(timer);
    }
}

const routingResults: Readonly<Record<AttemptResultKind, RoutingResult>> = {
    [AttemptResultKind.Done]: RoutingResult.Answered,
    [AttemptResultKind.NotRun]: RoutingResult.Shed,
    [AttemptResultKind.ConnectFailed]: RoutingResult.ConnectionRefused,
    [AttemptResultKind.Broken]: RoutingResult.Broken,
    [AttemptResultKind.TimedOut]: RoutingResult.TimedOut,
    [AttemptResultKind.Cancelled]: RoutingResult.Cancelled,
};
