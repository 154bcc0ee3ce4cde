/**
 * Carries one call of a caller: makes the offers that its plan asks for and responds exactly once.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import {
    type AttemptEnd,
    AttemptEndKind,
    type CallPlan,
    type PlanAction,
    PlanActionKind,
    type TargetDirectory,
} from "@bilberrycroft/coordination.forwarding";
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import { assertNever } from "@bilberrycroft/core.errors";
import type { EventLog } from "@bilberrycroft/core.eventLog";
import { CallOutcome, CallReason } from "@bilberrycroft/protocol.calls";
import type { ResponseHead, NodeReport, Offer, ForwardedHeaders, Refusal, StateVersions } from "@bilberrycroft/protocol.forwarding";
import type { OfferInProgress, PeerClient } from "@bilberrycroft/transport.forwarding";
import type { CallHeaderCodec } from "../ports";
import { IncomingAnswer } from "./incomingAnswer";
import { sendOwnResponse } from "./ownResponses";

/** What all calls of a node share. */
export interface CallerServices {
    readonly clock: Clock;
    readonly client: PeerClient;
    readonly codec: CallHeaderCodec;
    readonly directory: TargetDirectory;
    readonly log: EventLog;
    /** Newest state of this node. */
    stateMark(): StateVersions;
    /** Takes the newest state of another node. */
    stateHeard(mark: StateVersions): void;
}

/** A call whose route is known and whose body is read. */
export interface AcceptedCall {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly headers: ForwardedHeaders;
    readonly body: Buffer;
    readonly hasBody: boolean;
    /** The call of the own target in the course of which this one is made. */
    readonly parent: Offer | undefined;
    readonly callId: string;
    readonly route: string;
    readonly version: number;
    readonly startedAt: Milliseconds;
    readonly objectiveAt: Milliseconds;
    readonly deadlineAt: Milliseconds;
    /** A large answer is expected. */
    readonly isBulk: boolean;
    readonly offer: Pick<Offer, "route" | "priority" | "isInner" | "repeatable" | "callerService" | "callId" | "fingerprint">;
}

/** How a call ended. */
export interface CallEnd {
    readonly outcome: CallOutcome;
    /** Reason of a response that the node made itself. */
    readonly reason: CallReason | undefined;
    readonly status: number | undefined;
    readonly target: string | undefined;
    readonly attempts: number;
    readonly answerBytes: number;
}

interface AttemptState {
    readonly handle: OfferInProgress;
    readonly node: string;
    readonly address: string;
    readonly target: string;
    readonly offeredAt: Milliseconds;
    /** Time that was expected until the answer when the target was chosen. */
    readonly expectedMs: Milliseconds;
    isAcknowledged: boolean;
    isGranted: boolean;
    answer: IncomingAnswer | undefined;
    acknowledgeTimer: NodeJS.Timeout | undefined;
}

/** One call in progress. */
export class CallerCall {
    private readonly attempts = new Map<number, AttemptState>();
    private readonly answers = new Map<number, IncomingAnswer>();
    private readonly targets = new Map<number, string>();
    private readonly timers = new Set<NodeJS.Timeout>();
    private streaming: AttemptState | undefined;
    private finish: (end: CallEnd) => void = () => undefined;

    constructor(
        private readonly call: AcceptedCall,
        private readonly plan: CallPlan,
        private readonly services: CallerServices,
    ) {}

    /** Carries the call to its end. */
    run(): Promise<CallEnd> {
        return new Promise(resolve => {
            this.finish = resolve;
            this.schedule(this.call.deadlineAt, () => this.perform(this.plan.handleDeadline()));
            this.call.response.on("close", () => this.callerClosed());
            this.perform(this.plan.start());
        });
    }

    private callerClosed(): void {
        if (this.call.response.writableFinished) {
            return;
        }
        if (this.streaming !== undefined) {
            this.streaming.handle.withdraw();
            this.end(endWithoutAnswer(CallOutcome.Unknown, undefined));
        }
        else if (!this.plan.hasEnded) {
            this.perform(this.plan.handleCallerDisconnect());
            this.end(endWithoutAnswer(CallOutcome.Unknown, undefined));
        }
    }

    private perform(actions: readonly PlanAction[]): void {
        for (const action of actions) {
            switch (action.kind) {
                case PlanActionKind.Offer:
                    this.offer(action);
                    break;
                case PlanActionKind.Proceed:
                    this.attempts.get(action.attempt)?.handle.sendBody(this.call.body);
                    break;
                case PlanActionKind.Withdraw:
                    this.withdraw(action.attempt);
                    break;
                case PlanActionKind.WakeAt:
                    this.schedule(action.at, () => this.perform(this.plan.handleWakeUp()));
                    break;
                case PlanActionKind.Answer:
                    this.answer(action.attempt);
                    break;
                case PlanActionKind.Refuse:
                    this.respondOwn(CallOutcome.NotRun, action.reason, action.retryAfterMs);
                    break;
                case PlanActionKind.Fail:
                    this.respondOwn(CallOutcome.Unknown, action.reason, undefined);
                    break;
                default:
                    assertNever(action);
            }
        }
    }

    private offer(action: Extract<PlanAction, { kind: PlanActionKind.Offer }>): void {
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
                    bodyBytes: call.hasBody ? call.body.length : undefined,
                },
                method: call.request.method ?? "GET",
                path: call.request.url ?? "/",
                headers: call.headers,
                state: services.stateMark(),
            },
            observer: {
                queued: () => this.queued(attempt),
                granted: () => this.granted(attempt),
                refused: refusal => this.refused(attempt, refusal),
                lost: ({ report }) => this.lost(attempt, report),
                responseStarted: head => this.answerStarted(attempt, head),
                responseData: data => this.answerData(attempt, data),
                responseEnded: () => this.answerEnded(attempt),
                broken: reason => this.broken(attempt, reason),
            },
        });
        this.attempts.set(attempt, {
            handle,
            node: candidate.node,
            address: candidate.address,
            target: candidate.target,
            offeredAt: now,
            expectedMs: candidate.costMs,
            isAcknowledged: false,
            isGranted: false,
            answer: undefined,
            acknowledgeTimer: this.awaitAcknowledgement(attempt, candidate.node),
        });
    }

    /** What has arrived is read before the wait is taken to be over: this process may have stood still itself. */
    private awaitAcknowledgement(attempt: number, node: string): NodeJS.Timeout {
        const { clock, directory } = this.services;
        const waitMs = directory.responseTimeoutMs(node, this.call.deadlineAt - clock.now());
        return setTimeout(() => setImmediate(() => this.notAcknowledged(attempt)), waitMs);
    }

    private queued(attempt: number): void {
        this.acknowledged(attempt);
        this.perform(this.plan.handleQueued(attempt));
    }

    private granted(attempt: number): void {
        const state = this.acknowledged(attempt);
        if (state !== undefined) {
            state.isGranted = true;
            this.perform(this.plan.handleGranted(attempt));
        }
    }

    private acknowledged(attempt: number): AttemptState | undefined {
        const state = this.attempts.get(attempt);
        if (state !== undefined && !state.isAcknowledged) {
            state.isAcknowledged = true;
            clearTimeout(state.acknowledgeTimer);
            this.services.directory.recordResponse(state.node, this.services.clock.now() - state.offeredAt);
        }
        return state;
    }

    private notAcknowledged(attempt: number): void {
        const state = this.attempts.get(attempt);
        if (state === undefined || state.isAcknowledged) {
            return;
        }
        state.handle.withdraw();
        if (state.handle.hasReceivedFrame()) {
            // The node is there, only slow: the call goes elsewhere, and the next wait for it is longer.
            this.services.log.info("node-slow", this.attemptFields(state));
            this.services.directory.recordResponse(state.node, this.services.clock.now() - state.offeredAt);
            this.endAttempt(attempt, { kind: AttemptEndKind.Unreachable });
        }
        else {
            this.unreachable(attempt, state, "no response");
        }
    }

    private broken(attempt: number, reason: string): void {
        const state = this.attempts.get(attempt);
        if (state === undefined) {
            return;
        }
        if (state.isGranted) {
            this.services.log.warn("answer-lost", { ...this.attemptFields(state), reason });
            this.endAttempt(attempt, { kind: AttemptEndKind.Lost });
        }
        else {
            this.unreachable(attempt, state, reason);
        }
    }

    /** The body was not sent, so the call can not have run there. */
    private unreachable(attempt: number, state: AttemptState, reason: string): void {
        const { directory, client, log } = this.services;
        client.renewConnections(state.address);
        if (directory.markUnhealthy(state.node)) {
            log.warn("node-distrusted", { ...this.attemptFields(state), reason });
        }
        this.endAttempt(attempt, { kind: AttemptEndKind.Unreachable });
    }

    private refused(attempt: number, { reason, retryAfterMs, report }: Refusal): void {
        const state = this.reported(attempt, report);
        const kind = state?.isGranted === true ? AttemptEndKind.NotRun : AttemptEndKind.Refused;
        this.endAttempt(attempt, { kind, reason, retryAfterMs });
    }

    private lost(attempt: number, report: NodeReport): void {
        this.reported(attempt, report);
        this.endAttempt(attempt, { kind: AttemptEndKind.Lost });
    }

    private answerStarted(attempt: number, head: ResponseHead): void {
        const state = this.reported(attempt, head.report);
        if (state !== undefined) {
            state.answer = new IncomingAnswer(head);
        }
    }

    private answerData(attempt: number, data: Buffer): void {
        const state = this.attempts.get(attempt);
        const { answer } = state ?? {};
        if (state === undefined || answer === undefined) {
            return;
        }
        if (!answer.add(data)) {
            this.call.response.destroy();
            return;
        }
        if (answer.isLarge && this.streaming === undefined && !this.plan.hasEnded) {
            // From here on no other attempt can answer the call.
            this.streaming = state;
            answer.stream(this.call.response);
            this.perform(this.plan.handleAttemptEnd(attempt, { kind: AttemptEndKind.Answered }));
        }
    }

    private answerEnded(attempt: number): void {
        const state = this.attempts.get(attempt);
        if (state?.answer === undefined) {
            return this.endAttempt(attempt, { kind: AttemptEndKind.Lost });
        }
        this.answers.set(attempt, state.answer);
        if (this.streaming === state) {
            this.forget(attempt, state);
            return this.deliver(attempt, state.answer);
        }
        const { status } = state.answer.head;
        this.endAttempt(attempt, {
            kind: status >= firstServerErrorStatus ? AttemptEndKind.Failed : AttemptEndKind.Answered,
        });
    }

    private reported(attempt: number, report: NodeReport): AttemptState | undefined {
        const state = this.acknowledged(attempt);
        if (state !== undefined) {
            this.services.directory.recordLoad(state.node, report.load, this.call.route);
            this.services.stateHeard(report.state);
        }
        return state;
    }

    private endAttempt(attempt: number, end: AttemptEnd): void {
        const state = this.attempts.get(attempt);
        if (state === undefined) {
            return;
        }
        this.forget(attempt, state);
        if (this.streaming === state) {
            // A part of the answer has left; closing tells the caller that the rest is missing.
            this.call.response.destroy();
            return this.end(endWithoutAnswer(CallOutcome.Unknown, CallReason.AnswerLost));
        }
        if (end.kind !== AttemptEndKind.Answered) {
            const reason = "reason" in end ? end.reason : undefined;
            this.services.log.info("attempt-ended", { ...this.attemptFields(state), outcome: end.kind, reason });
        }
        this.perform(this.plan.handleAttemptEnd(attempt, end));
    }

    private withdraw(attempt: number): void {
        const state = this.attempts.get(attempt);
        if (state !== undefined && state !== this.streaming) {
            this.forget(attempt, state);
            state.handle.withdraw();
        }
    }

    private forget(attempt: number, state: AttemptState): void {
        this.attempts.delete(attempt);
        clearTimeout(state.acknowledgeTimer);
        this.services.directory.recordEnd(state.node, this.offerKey(attempt));
    }

    private answer(attempt: number): void {
        const answer = this.answers.get(attempt);
        if (answer !== undefined) {
            this.deliver(attempt, answer);
        }
    }

    private deliver(attempt: number, answer: IncomingAnswer): void {
        answer.deliver(this.call.response, this.call.request.method);
        this.end({
            outcome: CallOutcome.Done,
            reason: undefined,
            status: answer.head.status,
            target: this.targets.get(attempt),
            answerBytes: answer.bytes,
        });
    }

    private respondOwn(
        outcome: CallOutcome.NotRun | CallOutcome.Unknown,
        reason: CallReason,
        retryAfterMs: Milliseconds | undefined,
    ): void {
        const { call, services } = this;
        const longestMs = Math.max(0, call.deadlineAt - services.clock.now()) / retryAfterPart;
        sendOwnResponse(call.response, services.codec, {
            callId: call.callId,
            reason,
            retryAfterMs: retryAfterMs === undefined ? undefined : Math.min(retryAfterMs, longestMs),
        });
        this.end(endWithoutAnswer(outcome, reason));
    }

    private end(end: Omit<CallEnd, "attempts">): void {
        this.timers.forEach(timer => clearTimeout(timer));
        this.timers.clear();
        this.finish({ ...end, attempts: this.targets.size });
    }

    private schedule(at: Milliseconds, run: () => void): void {
        const timer = setTimeout(() => {
            this.timers.delete(timer);
            run();
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

const firstServerErrorStatus = 500;
/** A caller waits for at most a third of the time that it has left. */
const retryAfterPart = 3;

function endWithoutAnswer(outcome: CallOutcome, reason: CallReason | undefined): Omit<CallEnd, "attempts"> {
    return { outcome, reason, status: undefined, target: undefined, answerBytes: 0 };
}
