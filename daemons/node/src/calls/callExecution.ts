/**
 * Executes one call: sends attempts as the dispatcher and the retry policy decide, and responds to the caller exactly
 * once.
 */
import type { IncomingHttpHeaders, ServerResponse } from "node:http";
import {
    type Completion,
    type DispatchEvent,
    DispatchKind,
    type Dispatcher,
    type StartDecision,
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
    discardResponseBody,
    StreamOutcome,
    streamResponse,
    type TargetClient,
} from "@bilberrycroft/transport.calls";
import { type CallHead, createAttemptHeaders } from "./callRequest";
import { createResponseHeaders, sendLocalResponse } from "./responses";
import {
    type BufferedResponse,
    bufferResponse,
    isBufferable,
    readLoad,
    readRetryAfterMs,
    reportsDraining,
    reportsNotRun,
    type ResponseHead,
} from "./targetResponses";

/** Dependencies of a call execution. */
export interface CallServices {
    readonly clock: Clock;
    readonly dispatcher: Dispatcher;
    readonly retries: Retries;
    readonly targetClient: TargetClient;
    /** Applies the dispatcher's decisions for other calls. */
    dispatch(events: readonly DispatchEvent[]): void;
    /** Called when the dispatcher queues the call. */
    handleQueued(): void;
    /** Records the connect time of a new connection to a target in `zone`. */
    recordRoundTrip(zone: string, roundTripMs: Milliseconds): void;
    handleBrokenConnection(broken: BrokenConnection): void;
    /** Whether a request that broke several connections may be sent to another target. */
    isRetryAllowed(fingerprint: string): Promise<boolean>;
    countAttempt(kind: AdditionalAttempt): void;
}

/** A connection to a target that broke while a call was in flight. */
export interface BrokenConnection {
    readonly target: string;
    /** `host:port` of the target. */
    readonly address: string;
    readonly fingerprint: string;
    /** Time since the attempt was sent. */
    readonly ageMs: Milliseconds;
}

/** Why an additional attempt is sent. */
export enum AdditionalAttempt {
    Retry = "retry",
    Hedge = "hedge",
}

/** A call whose head and body passed all checks. */
export interface AcceptedCall {
    readonly head: CallHead;
    readonly receivedHeaders: IncomingHttpHeaders;
    readonly body: Buffer;
    readonly submitted: SubmittedCall;
    readonly fingerprint: string;
    /** Version of the rule set that applies to the call. */
    readonly version: number;
}

export interface CallResult {
    readonly outcome: CallOutcome;
    readonly reason: CallReason | undefined;
    readonly target: string | undefined;
    /** The target's response if it was buffered; `undefined` if it was streamed or there is none. */
    readonly response: BufferedResponse | undefined;
}

interface AttemptInFlight {
    readonly attempt: Attempt;
    readonly start: StartDecision;
    readonly startedAt: Milliseconds;
    /** Result to report when the cancelled attempt ends; `undefined` unless the node cancelled it. */
    abandonedAs: AttemptResultKind.Cancelled | AttemptResultKind.TimedOut | undefined;
}

// A request is quarantined after it crashed two distinct targets.
const quarantineCrashThreshold = 2;

export class CallExecution {
    private readonly attempts = new Map<string, AttemptInFlight>();
    private readonly bufferedResponses = new Map<string, BufferedResponse>();
    private readonly timers = new Set<NodeJS.Timeout>();
    private hasStarted = false;
    private brokenAttemptCount = 0;
    private isStreaming = false;
    private resolveResult: (result: CallResult) => void = () => undefined;
    private isFinished = false;

    constructor(
        private readonly call: AcceptedCall,
        private readonly response: ServerResponse,
        private readonly services: CallServices,
    ) {}

    /** Resolves when the call has ended. */
    run(): Promise<CallResult> {
        return new Promise(resolve => {
            this.resolveResult = resolve;
            const { submitted } = this.call;
            this.schedule(submitted.deadlineAt, () => this.handleDeadline());
            const submission = this.services.dispatcher.submit(submitted);
            if (submission.kind === DispatchKind.Queued) {
                this.services.handleQueued();
            }
            else {
                this.handleDispatch(submission);
            }
        });
    }

    /** Applies the dispatcher's decision for this call. */
    handleDispatch(event: DispatchEvent): void {
        if (this.isFinished) {
            this.releaseSlot(event);
            return;
        }
        switch (event.kind) {
            case DispatchKind.Start:
                return this.startFirstAttempt(event);
            case DispatchKind.Refused:
                return this.endWithLocalResponse(CallOutcome.NotRun, event.reason, event.retryAfterMs);
            default:
                return assertNever(event);
        }
    }

    /** Handles the caller's disconnect. A non-repeatable call in flight continues, so that its outcome is recorded. */
    handleCallerDisconnect(): void {
        const isCancellable = this.call.submitted.route.repeatable || this.attempts.size === 0;
        if (!this.isFinished && isCancellable) {
            this.abandonAttempts(AttemptResultKind.Cancelled);
            this.services.retries.handleCallerDisconnect(this.call.submitted.callId);
            this.end({ outcome: CallOutcome.Unknown, reason: undefined, target: undefined, response: undefined });
        }
    }

    private startFirstAttempt(start: StartDecision): void {
        this.hasStarted = true;
        const { head, submitted } = this.call;
        const plan = this.services.retries.handleCallStart({
            callId: submitted.callId,
            route: submitted.route,
            deadlineAt: submitted.deadlineAt,
            depth: head.depth,
            attempt: head.attempt,
        });
        if (plan.hedgeAt !== undefined) {
            this.schedule(plan.hedgeAt, () => this.hedge());
        }
        this.sendAttempt(start);
    }

    private sendAttempt(start: StartDecision): void {
        const { clock, retries, targetClient } = this.services;
        const { call } = this;
        const { callId, deadlineAt, route } = call.submitted;
        const number = retries.handleAttemptStart({ callId, target: start.target.id });
        const attempt = targetClient.send({
            address: start.target.address,
            method: call.head.method,
            path: call.head.url,
            headers: createAttemptHeaders({
                receivedHeaders: call.receivedHeaders,
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
        void attempt.event.then(event => this.handleAttemptEvent(inFlight, event));
    }

    private async handleAttemptEvent(inFlight: AttemptInFlight, event: AttemptEvent): Promise<void> {
        switch (event.kind) {
            case AttemptEventKind.Responded:
                return this.handleResponseHead(inFlight, event);
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

    private async handleResponseHead(inFlight: AttemptInFlight, head: ResponseHead): Promise<void> {
        if (reportsNotRun(head)) {
            discardResponseBody(head.response);
            this.endAttempt(inFlight, { kind: AttemptResultKind.NotRun, retryAfterMs: readRetryAfterMs(head) }, head);
            return;
        }
        if (!isBufferable(head)) {
            return this.streamToCaller(inFlight, head);
        }
        const response = await bufferResponse(head);
        if (response === undefined) {
            this.endAttempt(inFlight, { kind: inFlight.abandonedAs ?? AttemptResultKind.Broken }, head);
            return;
        }
        this.bufferedResponses.set(inFlight.start.target.id, response);
        this.endAttempt(inFlight, { kind: AttemptResultKind.Done, status: head.status }, head);
    }

    /** Streams a response that is not buffered. Once its head is sent, no other attempt can provide the response. */
    private async streamToCaller(inFlight: AttemptInFlight, head: ResponseHead): Promise<void> {
        if (this.isFinished || this.isStreaming) {
            inFlight.attempt.cancel();
            this.endAttempt(inFlight, { kind: AttemptResultKind.Cancelled }, head);
            return;
        }
        this.isStreaming = true;
        this.abandonAttempts(AttemptResultKind.Cancelled, inFlight);
        this.response.writeHead(head.status, createResponseHeaders(head.headers, this.call.version));
        const outcome = await streamResponse(head.response, this.response);
        const result: AttemptResult = outcome === StreamOutcome.Complete
            ? { kind: AttemptResultKind.Done, status: head.status }
            : { kind: inFlight.abandonedAs ?? AttemptResultKind.Broken };
        this.endAttempt(inFlight, result, head, outcome === StreamOutcome.TargetBroke);
    }

    private endAttempt(
        inFlight: AttemptInFlight,
        result: AttemptResult,
        head: ResponseHead | undefined,
        hasTargetBroken = result.kind === AttemptResultKind.Broken,
    ): void {
        const { services, call } = this;
        const { target } = inFlight.start;
        this.attempts.delete(target.id);
        const connectMs = inFlight.attempt.connectMs();
        if (connectMs !== undefined) {
            services.recordRoundTrip(target.zone, connectMs);
        }
        if (hasTargetBroken) {
            this.reportBrokenConnection(inFlight);
        }
        const completion: Completion = {
            callId: call.submitted.callId,
            target: target.id,
            latencyMs: services.clock.now() - inFlight.startedAt,
            result: routingResults[result.kind],
            load: head === undefined ? undefined : readLoad(head),
            draining: head !== undefined && reportsDraining(head),
        };
        const decision = services.retries.handleAttemptEnd({
            callId: call.submitted.callId,
            target: target.id,
            result,
        });
        const events = services.dispatcher.handleAttemptEnd(completion);
        this.applyDecision(decision);
        services.dispatch(events);
    }

    private reportBrokenConnection({ start, startedAt }: AttemptInFlight): void {
        this.brokenAttemptCount++;
        this.services.handleBrokenConnection({
            target: start.target.id,
            address: start.target.address,
            fingerprint: this.call.fingerprint,
            ageMs: this.services.clock.now() - startedAt,
        });
    }

    private applyDecision(decision: AttemptDecision): void {
        switch (decision.kind) {
            case AttemptDecisionKind.Respond:
                return this.respondWithDecision(decision);
            case AttemptDecisionKind.RetryAt:
                return this.schedule(decision.at, () => void this.retry(decision.exclude));
            case AttemptDecisionKind.Wait:
            case AttemptDecisionKind.Ignored:
                return;
            default:
                return assertNever(decision);
        }
    }

    /** Checks the quarantine first: a retry sent before the crashes are confirmed would crash another target. */
    private async retry(exclude: readonly string[]): Promise<void> {
        const isQuarantined = this.brokenAttemptCount >= quarantineCrashThreshold
            && !await this.services.isRetryAllowed(this.call.fingerprint);
        if (!isQuarantined) {
            return this.sendAdditionalAttempt(AdditionalAttempt.Retry, exclude);
        }
        if (!this.isFinished) {
            this.applyDecision(this.services.retries.handleAttemptNotStarted(this.call.submitted.callId));
        }
    }

    private hedge(): void {
        const decision = this.services.retries.handleHedgeTime(this.call.submitted.callId);
        if (decision.kind === HedgeDecisionKind.Hedge) {
            this.sendAdditionalAttempt(AdditionalAttempt.Hedge, decision.exclude);
        }
    }

    private sendAdditionalAttempt(kind: AdditionalAttempt, exclude: readonly string[]): void {
        if (this.isFinished) {
            return;
        }
        const { callId } = this.call.submitted;
        const reservation = this.isStreaming ? undefined : this.services.dispatcher.reserveAttempt({ callId, exclude });
        if (reservation?.kind === DispatchKind.Start) {
            this.services.countAttempt(kind);
            this.sendAttempt(reservation);
            return;
        }
        this.applyDecision(this.services.retries.handleAttemptNotStarted(callId));
    }

    private respondWithDecision(decision: RespondDecision): void {
        const response = decision.target === undefined ? undefined : this.bufferedResponses.get(decision.target);
        this.abandonAttempts(AttemptResultKind.Cancelled);
        if (response !== undefined) {
            this.response.writeHead(response.status, createResponseHeaders(response.headers, this.call.version));
            this.response.end(response.body);
        }
        else if (decision.outcome !== CallOutcome.Done) {
            this.sendLocalOutcome(decision.outcome, decision.reason ?? CallReason.AnswerLost, decision.retryAfterMs);
        }
        this.end({ outcome: decision.outcome, reason: decision.reason, target: decision.target, response });
    }

    private endWithLocalResponse(
        outcome: CallOutcome.NotRun | CallOutcome.Unknown,
        reason: CallReason,
        retryAfterMs: Milliseconds | undefined,
    ): void {
        this.sendLocalOutcome(outcome, reason, retryAfterMs);
        this.end({ outcome, reason, target: undefined, response: undefined });
    }

    private sendLocalOutcome(
        outcome: CallOutcome.NotRun | CallOutcome.Unknown,
        reason: CallReason,
        retryAfterMs: Milliseconds | undefined,
    ): void {
        sendLocalResponse(this.response, { outcome, reason, retryAfterMs, version: this.call.version });
    }

    /** Abandons all attempts in flight. A call that never started is refused as not run. */
    private handleDeadline(): void {
        if (this.isFinished) {
            return;
        }
        if (!this.hasStarted) {
            this.endWithLocalResponse(CallOutcome.NotRun, CallReason.DeadlinePassed, 0);
            return;
        }
        if (this.attempts.size === 0) {
            this.applyDecision(this.services.retries.handleAttemptNotStarted(this.call.submitted.callId));
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
        this.resolveResult(result);
    }

    /** Frees the slot of an attempt that was granted after the call had ended. */
    private releaseSlot(event: DispatchEvent): void {
        if (event.kind === DispatchKind.Start) {
            this.services.dispatch(this.services.dispatcher.handleAttemptEnd({
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
