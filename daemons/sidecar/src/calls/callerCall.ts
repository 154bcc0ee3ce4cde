/**
 * Executes one call of a caller: sends the offers that its call plan requests and responds exactly once.
 */
import {
    type AttemptEnd,
    AttemptEndKind,
    type CallPlan,
    type PlanAction,
    PlanActionKind,
} from "@bilberrycroft/coordination.forwarding";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { assertNever } from "@bilberrycroft/core.errors";
import { CallOutcome, CallReason } from "@bilberrycroft/protocol.calls";
import type { Loss, NodeReport, Refusal, ResponseHead } from "@bilberrycroft/protocol.forwarding";
import type { AcceptedCall, AttemptState, CallEnd, CallerServices } from "./callerCallTypes";
import type { IncomingResponse } from "./incomingResponse";
import { limitRetryAfter, sendLocalResponse } from "./localResponses";
import { firstServerErrorStatus } from "./statuses";
import { UndeliveredResponses } from "./undeliveredResponses";

export class CallerCall {
    private readonly attempts = new Map<number, AttemptState>();
    private readonly responses = new Map<number, IncomingResponse>();
    private readonly undelivered: UndeliveredResponses;
    private readonly targets = new Map<number, string>();
    private readonly timers = new Set<NodeJS.Timeout>();
    private streaming: AttemptState | undefined;
    private finish: (end: CallEnd) => void = () => undefined;

    constructor(
        private readonly call: AcceptedCall,
        private readonly plan: CallPlan,
        private readonly services: CallerServices,
    ) {
        this.undelivered = new UndeliveredResponses(services.bufferBudget);
    }

    /** Resolves when the call has ended. */
    run(): Promise<CallEnd> {
        return new Promise(resolve => {
            this.finish = resolve;
            this.schedule(this.call.deadlineAt, () => this.handleDeadline());
            this.call.response.on("close", () => this.guard(() => this.handleCallerClosed()));
            this.guard(() => this.perform(this.plan.start()));
        });
    }

    /** An unexpected exception ends this call alone. */
    private guard(run: () => void): void {
        try {
            run();
        }
        catch (error) {
            const { call, services: { faults } } = this;
            const fields = { call: call.callId, route: call.route };
            faults.record("caller-call", fields, error);
            faults.run("caller-call-recovery", fields, () => this.abort());
        }
    }

    /** Withdraws everything and responds that the call may have run. */
    private abort(): void {
        for (const [attempt, state] of [...this.attempts]) {
            this.removeAttempt(attempt, state);
            state.handle.withdraw();
        }
        this.streaming = undefined;
        this.respondLocally(CallOutcome.Unknown, CallReason.AnswerLost, undefined);
    }

    /** The plan ends when streaming begins, so a streamed response needs its own end at the deadline. */
    private handleDeadline(): void {
        const { streaming } = this;
        if (streaming === undefined) {
            return this.perform(this.plan.handleDeadline());
        }
        this.abandonStream(streaming, CallReason.TimedOut);
    }

    private handleCallerClosed(): void {
        if (this.call.response.writableFinished) {
            return;
        }
        if (this.streaming !== undefined) {
            const { streaming } = this;
            this.streaming = undefined;
            this.removeAttempt(streaming.attempt, streaming);
            streaming.handle.withdraw();
            this.end(endWithoutResponse(CallOutcome.Unknown, undefined));
        }
        else if (!this.plan.hasEnded) {
            this.perform(this.plan.handleCallerDisconnect());
            this.end(endWithoutResponse(CallOutcome.Unknown, undefined));
        }
    }

    private perform(actions: readonly PlanAction[]): void {
        for (const action of actions) {
            switch (action.kind) {
                case PlanActionKind.Offer:
                    this.sendOffer(action);
                    break;
                case PlanActionKind.Proceed:
                    this.attempts.get(action.attempt)?.handle.sendBody(this.call.bodyParts);
                    break;
                case PlanActionKind.Withdraw:
                    this.withdraw(action.attempt);
                    break;
                case PlanActionKind.WakeAt:
                    this.schedule(action.at, () => this.perform(this.plan.handleWakeUp()));
                    break;
                case PlanActionKind.Answer:
                    this.respondFromAttempt(action.attempt);
                    break;
                case PlanActionKind.Refuse:
                    this.respondLocally(CallOutcome.NotRun, action.reason, action.retryAfterMs);
                    break;
                case PlanActionKind.Fail:
                    this.respondLocally(CallOutcome.Unknown, action.reason, undefined);
                    break;
                default:
                    assertNever(action);
            }
        }
    }

    private sendOffer(action: Extract<PlanAction, { kind: PlanActionKind.Offer }>): void {
        const { attempt, candidate, spareOnly, isRepeat } = action;
        const { call, services } = this;
        const now = services.clock.now();
        services.directory.recordOffer(candidate.node, this.offerKey(attempt));
        this.targets.set(attempt, candidate.target);
        const handle = services.client.offer({
            address: candidate.address,
            isBulk: call.isBulk,
            message: {
                offer: {
                    ...call.offer,
                    target: candidate.target,
                    deadlineMs: Math.max(1, Math.floor(call.deadlineAt - now)),
                    objectiveMs: Math.floor(call.objectiveAt - now),
                    spareOnly,
                    isRepeat,
                    bodyBytes: call.hasBody ? call.bodyBytes : undefined,
                    targetCallsPerSecond: services.directory.callsPerSecondOf(candidate.node),
                },
                method: call.request.method ?? "GET",
                path: call.request.url ?? "/",
                headers: call.headers,
                state: services.getLocalVersions(),
            },
            observer: {
                onQueued: () => this.guard(() => this.handleQueued(attempt)),
                onGranted: () => this.guard(() => this.handleGranted(attempt)),
                onRefused: refusal => this.guard(() => this.handleRefused(attempt, refusal)),
                onLost: loss => this.guard(() => this.handleLost(attempt, loss)),
                onResponseStart: head => this.guard(() => this.handleResponseStart(attempt, head)),
                onResponseData: data => this.guard(() => this.handleResponseData(attempt, data)),
                onResponseEnd: () => this.guard(() => this.handleResponseEnd(attempt)),
                onBroken: reason => this.guard(() => this.handleBroken(attempt, reason)),
            },
        });
        this.attempts.set(attempt, {
            attempt,
            handle,
            node: candidate.node,
            address: candidate.address,
            target: candidate.target,
            offeredAt: now,
            expectedMs: candidate.costMs,
            isAcknowledged: false,
            isGranted: false,
            response: undefined,
            lastDataAt: now,
            acknowledgeTimer: this.startAcknowledgementTimer(attempt, candidate.node),
        });
    }

    /** After the timeout, pending input is read before the attempt fails, because this process may have been paused. */
    private startAcknowledgementTimer(attempt: number, node: string): NodeJS.Timeout {
        const { clock, directory } = this.services;
        const waitMs = directory.responseTimeoutMs(node, this.call.deadlineAt - clock.now());
        const check = (): void => this.guard(() => this.handleAcknowledgementTimeout(attempt));
        return setTimeout(() => setImmediate(check), waitMs);
    }

    private handleQueued(attempt: number): void {
        this.markAcknowledged(attempt);
        this.perform(this.plan.handleQueued(attempt));
    }

    private handleGranted(attempt: number): void {
        const state = this.markAcknowledged(attempt);
        if (state !== undefined) {
            state.isGranted = true;
            this.perform(this.plan.handleGranted(attempt));
        }
    }

    private markAcknowledged(attempt: number): AttemptState | undefined {
        const state = this.attempts.get(attempt);
        if (state !== undefined && !state.isAcknowledged) {
            state.isAcknowledged = true;
            clearTimeout(state.acknowledgeTimer);
            this.services.directory.recordResponseTime(state.node, this.services.clock.now() - state.offeredAt);
        }
        return state;
    }

    private handleAcknowledgementTimeout(attempt: number): void {
        const state = this.attempts.get(attempt);
        if (state === undefined || state.isAcknowledged) {
            return;
        }
        state.handle.withdraw();
        if (state.handle.hasReceivedFrame()) {
            // The node is slow but reachable: the call is retried elsewhere, and this node gets a longer timeout.
            this.services.log.info("node-slow", this.attemptFields(state));
            this.services.directory.recordResponseTime(state.node, this.services.clock.now() - state.offeredAt);
            this.endAttempt(attempt, { kind: AttemptEndKind.Unreachable });
        }
        else {
            this.handleUnreachable(attempt, state, "no response");
        }
    }

    private handleBroken(attempt: number, reason: string): void {
        const state = this.attempts.get(attempt);
        if (state === undefined) {
            return;
        }
        if (state.isGranted) {
            this.services.log.warn("answer-lost", { ...this.attemptFields(state), reason });
            this.endAttempt(attempt, { kind: AttemptEndKind.Lost, reason: CallReason.AnswerLost });
        }
        else {
            this.handleUnreachable(attempt, state, reason);
        }
    }

    /** The body was not sent, so the target cannot have run the call. */
    private handleUnreachable(attempt: number, state: AttemptState, reason: string): void {
        const { directory, client, log } = this.services;
        client.renewConnections(state.address);
        if (directory.markUnhealthy(state.node)) {
            log.warn("node-distrusted", { ...this.attemptFields(state), reason });
        }
        this.endAttempt(attempt, { kind: AttemptEndKind.Unreachable });
    }

    private handleRefused(attempt: number, { reason, retryAfterMs, report }: Refusal): void {
        const state = this.recordReport(attempt, report);
        const kind = state?.isGranted === true ? AttemptEndKind.NotRun : AttemptEndKind.Refused;
        this.endAttempt(attempt, { kind, reason, retryAfterMs });
    }

    private handleLost(attempt: number, { reason, report }: Loss): void {
        this.recordReport(attempt, report);
        this.endAttempt(attempt, { kind: AttemptEndKind.Lost, reason });
    }

    private handleResponseStart(attempt: number, head: ResponseHead): void {
        const state = this.recordReport(attempt, head.report);
        if (state !== undefined) {
            state.response = this.undelivered.add(head);
        }
    }

    private handleResponseData(attempt: number, data: Buffer): void {
        const state = this.attempts.get(attempt);
        const { response } = state ?? {};
        if (state === undefined || response === undefined) {
            return;
        }
        state.lastDataAt = this.services.clock.now();
        if (!response.append(data)) {
            return this.abandonStream(state, CallReason.AnswerLost);
        }
        if (response.exceedsBuffer && this.streaming === undefined && !this.plan.hasEnded) {
            // From here on no other attempt can provide the response.
            this.streaming = state;
            this.undelivered.handOver(response);
            response.startStreaming(this.call.response);
            this.perform(this.plan.handleAttemptEnd(attempt, { kind: AttemptEndKind.Answered }));
        }
    }

    private handleResponseEnd(attempt: number): void {
        const state = this.attempts.get(attempt);
        if (state?.response === undefined) {
            return this.endAttempt(attempt, { kind: AttemptEndKind.Lost, reason: CallReason.AnswerLost });
        }
        this.responses.set(attempt, state.response);
        if (this.streaming === state) {
            this.streaming = undefined;
            this.removeAttempt(attempt, state);
            return this.deliver(attempt, state.response);
        }
        const { status } = state.response.head;
        this.endAttempt(attempt, {
            kind: status >= firstServerErrorStatus ? AttemptEndKind.Failed : AttemptEndKind.Answered,
        });
    }

    private recordReport(attempt: number, report: NodeReport): AttemptState | undefined {
        const state = this.markAcknowledged(attempt);
        if (state !== undefined) {
            this.services.directory.recordLoad(state.node, report.load, this.call.route);
            this.services.handlePeerVersions(report.state);
        }
        return state;
    }

    private endAttempt(attempt: number, end: AttemptEnd): void {
        const state = this.attempts.get(attempt);
        if (state === undefined) {
            return;
        }
        this.removeAttempt(attempt, state);
        if (this.streaming === state) {
            return this.cutStream(state, "reason" in end ? end.reason : CallReason.AnswerLost);
        }
        if (end.kind !== AttemptEndKind.Answered) {
            const reason = "reason" in end ? end.reason : undefined;
            this.services.log.info("attempt-ended", { ...this.attemptFields(state), outcome: end.kind, reason });
        }
        this.perform(this.plan.handleAttemptEnd(attempt, end));
    }

    private abandonStream(state: AttemptState, reason: CallReason): void {
        state.handle.withdraw();
        this.removeAttempt(state.attempt, state);
        this.cutStream(state, reason);
    }

    /** Part of the response has been sent; closing the connection signals that it is truncated. */
    private cutStream(state: AttemptState, reason: CallReason): void {
        const { call, services } = this;
        services.log.warn("response-cut", {
            ...this.attemptFields(state),
            reason,
            receivedBytes: state.response?.bytes,
            unsentBytes: call.response.writableLength,
            silentMs: Math.round(services.clock.now() - state.lastDataAt),
        });
        this.streaming = undefined;
        call.response.destroy();
        this.end(endWithoutResponse(CallOutcome.Unknown, reason));
    }

    private withdraw(attempt: number): void {
        const state = this.attempts.get(attempt);
        if (state !== undefined && state !== this.streaming) {
            this.removeAttempt(attempt, state);
            state.handle.withdraw();
        }
    }

    private removeAttempt(attempt: number, state: AttemptState): void {
        this.attempts.delete(attempt);
        clearTimeout(state.acknowledgeTimer);
        this.services.directory.recordEnd(state.node, this.offerKey(attempt));
    }

    private respondFromAttempt(attempt: number): void {
        const response = this.responses.get(attempt);
        if (response !== undefined) {
            this.deliver(attempt, response);
        }
    }

    private deliver(attempt: number, response: IncomingResponse): void {
        this.undelivered.handOver(response);
        response.deliver(this.call.response, this.call.request.method);
        this.end({
            outcome: CallOutcome.Done,
            reason: undefined,
            status: response.head.status,
            target: this.targets.get(attempt),
            responseBytes: response.bytes,
        });
    }

    private respondLocally(
        outcome: CallOutcome.NotRun | CallOutcome.Unknown,
        reason: CallReason,
        retryAfterMs: Milliseconds | undefined,
    ): void {
        const { call, services } = this;
        const remainingMs = call.deadlineAt - services.clock.now();
        sendLocalResponse(call.response, services.codec, {
            callId: call.callId,
            reason,
            retryAfterMs: retryAfterMs === undefined ? undefined : limitRetryAfter(retryAfterMs, remainingMs),
        });
        this.end(endWithoutResponse(outcome, reason));
    }

    private end(end: Omit<CallEnd, "attempts">): void {
        this.timers.forEach(timer => clearTimeout(timer));
        this.timers.clear();
        this.undelivered.close();
        this.finish({ ...end, attempts: this.targets.size });
    }

    private schedule(at: Milliseconds, run: () => void): void {
        const timer = setTimeout(() => {
            this.timers.delete(timer);
            this.guard(run);
        }, Math.max(0, at - this.services.clock.now()));
        this.timers.add(timer);
    }

    private offerKey(attempt: number): string {
        return `${this.call.callId} ${attempt}`;
    }

    private attemptFields(state: AttemptState): Record<string, string | number> {
        return {
            call: this.call.callId,
            route: this.call.route,
            version: this.call.version,
            peer: state.node,
            target: state.target,
            expectedMs: Math.round(state.expectedMs),
            ageMs: Math.round(this.services.clock.now() - state.offeredAt),
        };
    }
}

function endWithoutResponse(outcome: CallOutcome, reason: CallReason | undefined): Omit<CallEnd, "attempts"> {
    return { outcome, reason, status: undefined, target: undefined, responseBytes: 0 };
}
