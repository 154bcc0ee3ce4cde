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
import {
    formatOffer,
    formatStateMark,
    type Offer,
    OfferHeader,
    parseStateMark,
    parseTargetLoad,
    type StateMark,
} from "@bilberrycroft/protocol.forwarding";
import { streamAnswer } from "@bilberrycroft/transport.calls";
import type { OfferInProgress, PassedHeaders, PeerClient } from "@bilberrycroft/transport.forwarding";
import {
    type BufferedAnswer,
    classifyAnswer,
    createAnswerHeaders,
    isTooLargeToBuffer,
    readAnswer,
    readOfferEnd,
    sendAnswer,
} from "./offerAnswer";
import type { CallHeaderCodec } from "../ports";
import { sendOwnResponse } from "./ownResponses";

/** What all calls of a node share. */
export interface CallerServices {
    readonly clock: Clock;
    readonly client: PeerClient;
    readonly codec: CallHeaderCodec;
    readonly directory: TargetDirectory;
    readonly log: EventLog;
    /** Newest state of this node. */
    stateMark(): StateMark;
    /** Takes the newest state of another node. */
    stateHeard(mark: StateMark): void;
}

/** A call whose route is known and whose body is read. */
export interface AcceptedCall {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly headers: PassedHeaders;
    readonly body: Buffer;
    readonly hasBody: boolean;
    readonly callId: string;
    readonly route: string;
    readonly version: number;
    readonly startedAt: Milliseconds;
    readonly objectiveAt: Milliseconds;
    readonly deadlineAt: Milliseconds;
    /** Time within which another node has to respond to an offer. */
    readonly acknowledgeMs: Milliseconds;
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
    isGranted: boolean;
    acknowledgeTimer: NodeJS.Timeout | undefined;
}

/** One call in progress. */
export class CallerCall {
    private readonly attempts = new Map<number, AttemptState>();
    private readonly answers = new Map<number, BufferedAnswer>();
    private readonly targets = new Map<number, string>();
    private readonly timers = new Set<NodeJS.Timeout>();
    private isStreaming = false;
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
            this.schedule(this.call.deadlineAt, () => this.perform(this.plan.deadlinePassed()));
            this.call.response.on("close", () => this.callerClosed());
            this.perform(this.plan.start());
        });
    }

    private callerClosed(): void {
        if (!this.call.response.writableFinished && !this.plan.ended) {
            this.perform(this.plan.callerLeft());
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
                    this.attempts.get(action.attempt)?.handle.proceed(this.call.body);
                    break;
                case PlanActionKind.Withdraw:
                    this.withdraw(action.attempt);
                    break;
                case PlanActionKind.WakeAt:
                    this.schedule(action.at, () => this.perform(this.plan.secondTargetDue()));
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
        const { attempt, candidate, spareOnly } = action;
        const { call, services } = this;
        const now = services.clock.now();
        const headers = formatOffer({
            ...call.offer,
            target: candidate.target,
            deadlineMs: call.deadlineAt - now,
            objectiveMs: call.objectiveAt - now,
            spareOnly,
            bodyBytes: call.hasBody ? call.body.length : undefined,
        });
        services.directory.offered(candidate.node, this.offerKey(attempt));
        this.targets.set(attempt, candidate.target);
        const handle = services.client.offer({
            address: candidate.address,
            method: call.request.method ?? "GET",
            path: call.request.url ?? "/",
            headers: { ...call.headers, ...headers, [OfferHeader.State]: formatStateMark(services.stateMark()) },
            observer: {
                queued: () => this.queued(attempt),
                granted: () => this.granted(attempt),
                responded: response => void this.responded(attempt, response),
                broken: reason => this.broken(attempt, reason),
            },
        });
        this.attempts.set(attempt, {
            handle,
            node: candidate.node,
            address: candidate.address,
            target: candidate.target,
            offeredAt: now,
            isGranted: false,
            acknowledgeTimer: setTimeout(() => this.notAcknowledged(attempt), call.acknowledgeMs),
        });
    }

    private queued(attempt: number): void {
        this.acknowledged(attempt);
        this.perform(this.plan.queued(attempt));
    }

    private granted(attempt: number): void {
        const state = this.acknowledged(attempt);
        if (state !== undefined) {
            state.isGranted = true;
            this.perform(this.plan.granted(attempt));
        }
    }

    private acknowledged(attempt: number): AttemptState | undefined {
        const state = this.attempts.get(attempt);
        clearTimeout(state?.acknowledgeTimer);
        return state;
    }

    private notAcknowledged(attempt: number): void {
        const state = this.attempts.get(attempt);
        if (state !== undefined) {
            this.unreachable(attempt, state, "no response");
            state.handle.withdraw();
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
        client.dropIdleConnections(state.address);
        if (directory.distrust(state.node)) {
            log.warn("node-distrusted", { ...this.attemptFields(state), reason });
        }
        this.endAttempt(attempt, { kind: AttemptEndKind.Unreachable });
    }

    private async responded(attempt: number, response: IncomingMessage): Promise<void> {
        const state = this.acknowledged(attempt);
        if (state === undefined) {
            response.resume();
            return;
        }
        this.readState(state, response);
        const end = readOfferEnd(response, state.isGranted);
        if (end !== undefined) {
            response.resume();
            this.endAttempt(attempt, end);
            return;
        }
        if (isTooLargeToBuffer(response)) {
            return this.passOn(attempt, state, response);
        }
        const answer = await readAnswer(response);
        if (answer === undefined) {
            this.services.log.warn("answer-lost", { ...this.attemptFields(state), reason: "answer was cut" });
            this.endAttempt(attempt, { kind: AttemptEndKind.Lost });
            return;
        }
        this.answers.set(attempt, answer);
        this.endAttempt(attempt, classifyAnswer(answer));
    }

    /** Passes a large answer on while it arrives. From its head on, no other attempt can answer the call. */
    private async passOn(attempt: number, state: AttemptState, incoming: IncomingMessage): Promise<void> {
        const { response } = this.call;
        if (this.plan.ended) {
            state.handle.withdraw();
            return;
        }
        this.isStreaming = true;
        response.writeHead(incoming.statusCode ?? 0, createAnswerHeaders(incoming));
        this.endAttempt(attempt, { kind: AttemptEndKind.Answered });
        const { complete } = await streamAnswer(incoming, response);
        this.end({
            outcome: complete ? CallOutcome.Done : CallOutcome.Unknown,
            reason: undefined,
            status: incoming.statusCode,
            target: state.target,
            answerBytes: Number(incoming.headers["content-length"] ?? 0),
        });
    }

    private readState(state: AttemptState, response: IncomingMessage): void {
        const load = parseTargetLoad(response.headers[OfferHeader.Load]);
        if (load !== undefined) {
            this.services.directory.loadHeard(state.node, load, this.call.route);
        }
        const mark = parseStateMark(response.headers[OfferHeader.State]);
        if (mark !== undefined) {
            this.services.stateHeard(mark);
        }
    }

    private endAttempt(attempt: number, end: AttemptEnd): void {
        const state = this.attempts.get(attempt);
        if (state === undefined) {
            return;
        }
        this.attempts.delete(attempt);
        clearTimeout(state.acknowledgeTimer);
        this.services.directory.ended(state.node, this.offerKey(attempt));
        if (end.kind !== AttemptEndKind.Answered) {
            const reason = "reason" in end ? end.reason : undefined;
            this.services.log.info("attempt-ended", { ...this.attemptFields(state), outcome: end.kind, reason });
        }
        this.perform(this.plan.attemptEnded(attempt, end));
    }

    private withdraw(attempt: number): void {
        const state = this.attempts.get(attempt);
        if (state !== undefined) {
            this.attempts.delete(attempt);
            clearTimeout(state.acknowledgeTimer);
            this.services.directory.ended(state.node, this.offerKey(attempt));
            state.handle.withdraw();
        }
    }

    private answer(attempt: number): void {
        if (this.isStreaming) {
            return;
        }
        const answer = this.answers.get(attempt);
        if (answer === undefined) {
            return this.respondOwn(CallOutcome.Unknown, CallReason.AnswerLost, undefined);
        }
        sendAnswer(this.call.response, this.call.request.method, answer);
        this.end({
            outcome: CallOutcome.Done,
            reason: undefined,
            status: answer.status,
            target: this.targets.get(attempt),
            answerBytes: answer.body.length,
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
            node: state.node,
            target: state.target,
            ageMs: Math.round(this.services.clock.now() - state.offeredAt),
        };
    }
}

/** A caller waits for at most a third of the time that it has left. */
const retryAfterPart = 3;

function endWithoutAnswer(outcome: CallOutcome, reason: CallReason | undefined): Omit<CallEnd, "attempts"> {
    return { outcome, reason, status: undefined, target: undefined, answerBytes: 0 };
}
