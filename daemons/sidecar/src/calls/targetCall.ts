/**
 * Runs one granted call at the target beside this node and passes its answer on to the caller's node.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { RunResult } from "@bilberrycroft/coordination.forwarding";
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import { assertNever } from "@bilberrycroft/core.errors";
import type { EventLog } from "@bilberrycroft/core.eventLog";
import { CallHeader, CallOutcome, CallReason } from "@bilberrycroft/protocol.calls";
import { meshHeaders, type Offer } from "@bilberrycroft/protocol.forwarding";
import {
    type Attempt,
    type AttemptEvent,
    AttemptEventKind,
    BodyOutcomeKind,
    readBody,
    streamAnswer,
    type TargetClient,
} from "@bilberrycroft/transport.calls";
import { copyHeaders, type PassedHeaders } from "@bilberrycroft/transport.forwarding";
import type { CallHeaderCodec } from "../ports";

/** What all calls to the target share. */
export interface TargetServices {
    readonly clock: Clock;
    readonly client: TargetClient;
    readonly codec: CallHeaderCodec;
    readonly log: EventLog;
    /** `host:port` of the target. */
    readonly targetAddress: string;
    /** Headers that each response of this node to an offer carries. */
    createStateHeaders(route: string): PassedHeaders;
    /** Refuses an offer: the target did not run the call. */
    refuse(response: ServerResponse, route: string, reason: CallReason, retryAfterMs: Milliseconds): void;
    /** The target answered. */
    targetAnswered(): void;
    /** Nothing listens at the target's address. */
    connectionRefused(): void;
    /** A connection to the target broke with a call in flight. */
    connectionBroke(broken: BrokenConnection): void;
}

/** A call that was in flight on a connection that broke. */
export interface BrokenConnection {
    readonly callId: string;
    readonly fingerprint: string;
    readonly target: string;
    /** Time since the call was sent. */
    readonly ageMs: Milliseconds;
}

/** A granted call with its body. */
export interface GrantedCall {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly offer: Offer;
    readonly body: Buffer;
    readonly deadlineAt: Milliseconds;
}

type AnswerEvent = Extract<AttemptEvent, { kind: AttemptEventKind.Responded }>;

/** An answer up to this size is passed on whole. */
const longestWholeBytes = 65_536;
const unknownStatus = 502;
const firstServerErrorStatus = 500;
const firstSuccessStatus = 200;
const firstRedirectStatus = 300;

/** One call at the target. */
export class TargetCall {
    private attempt: Attempt | undefined;
    private sentAt: Milliseconds = 0;
    private isCancelled = false;

    constructor(private readonly call: GrantedCall, private readonly services: TargetServices) {}

    /** Sends the call and resolves when its answer is passed on or lost. */
    async run(): Promise<RunResult> {
        const { request, offer, body, deadlineAt } = this.call;
        const { clock, client, codec, targetAddress } = this.services;
        this.sentAt = clock.now();
        const passed = copyHeaders(request.headers, name => meshHeaders.has(name));
        const headers = codec.createTargetHeaders(passed, {
            callId: offer.callId,
            target: offer.target,
            callerService: offer.callerService,
            remainingMs: Math.max(1, Math.floor(deadlineAt - clock.now())),
        });
        if (offer.bodyBytes !== undefined) {
            headers["content-length"] = String(body.length);
        }
        this.attempt = client.send({
            address: targetAddress,
            method: request.method ?? "GET",
            path: request.url ?? "/",
            headers,
            body,
            freshConnection: !offer.repeatable,
        });
        const timer = setTimeout(() => this.cancel(), Math.max(0, deadlineAt - clock.now()));
        const result = await this.takeEvent(await this.attempt.event);
        clearTimeout(timer);
        return result;
    }

    /** Ends the call at the target: nobody waits for its answer. */
    cancel(): void {
        this.isCancelled = true;
        this.attempt?.cancel();
    }

    private async takeEvent(event: AttemptEvent): Promise<RunResult> {
        const { services, call } = this;
        const { route } = call.offer;
        switch (event.kind) {
            case AttemptEventKind.Responded:
                return this.takeAnswer(event);
            case AttemptEventKind.ConnectFailed:
                if (event.reason === "ECONNREFUSED") {
                    services.connectionRefused();
                }
                this.log("target-not-connected", event.reason);
                services.refuse(call.response, route, CallReason.NoTarget, 0);
                return RunResult.Broken;
            case AttemptEventKind.Broken:
                this.broke(event.reason);
                return RunResult.Broken;
            case AttemptEventKind.Cancelled:
                this.respondUnknown(CallReason.TimedOut);
                return services.clock.now() >= call.deadlineAt ? RunResult.Broken : RunResult.Cancelled;
            default:
                return assertNever(event);
        }
    }

    private async takeAnswer(event: AnswerEvent): Promise<RunResult> {
        const { services, call } = this;
        const { offer, response } = call;
        const head = services.codec.readTargetAnswer(event.status, event.headers);
        services.targetAnswered();
        if (head.callId !== undefined && head.callId !== offer.callId) {
            // An answer to an earlier call: the connection carries answers that belong to no call of ours.
            event.response.destroy();
            this.log("answer-of-another-call", head.callId);
            this.respondUnknown(CallReason.AnswerLost);
            return RunResult.Broken;
        }
        if (head.isNotRun) {
            event.response.resume();
            this.log("target-refused", String(event.status));
            services.refuse(response, offer.route, CallReason.TargetRefused, 0);
            return RunResult.Shed;
        }
        const isSuccess = event.status >= firstSuccessStatus && event.status < firstRedirectStatus;
        if (head.isEncoded || (isSuccess && (!head.isSigned || head.callId === undefined))) {
            event.response.destroy();
            this.log("answer-not-signed", String(event.status));
            this.respondUnknown(CallReason.AnswerLost);
            return RunResult.Broken;
        }
        const isComplete = isSmall(event) ? await this.passOnWhole(event) : await this.passOnStreamed(event);
        if (!isComplete) {
            this.log("answer-cut", String(event.status));
            return this.isCancelled ? RunResult.Cancelled : RunResult.Broken;
        }
        return event.status >= firstServerErrorStatus ? RunResult.Failed : RunResult.Answered;
    }

    /** One write for head and body; a stream for each of them would cost more than the call itself. */
    private async passOnWhole(event: AnswerEvent): Promise<boolean> {
        const body = await readBody(event.response, longestWholeBytes);
        if (body.kind !== BodyOutcomeKind.Complete || !event.response.complete) {
            this.respondUnknown(CallReason.AnswerLost);
            return false;
        }
        this.call.response.writeHead(event.status, this.createAnswerHeaders(event));
        this.call.response.end(body.body);
        return true;
    }

    private async passOnStreamed(event: AnswerEvent): Promise<boolean> {
        this.call.response.writeHead(event.status, this.createAnswerHeaders(event));
        const { complete } = await streamAnswer(event.response, this.call.response);
        return complete;
    }

    private createAnswerHeaders(event: AnswerEvent): PassedHeaders {
        return {
            ...copyHeaders(event.headers, name => meshHeaders.has(name)),
            ...this.services.createStateHeaders(this.call.offer.route),
            [CallHeader.Outcome]: CallOutcome.Done,
        };
    }

    private broke(reason: string): void {
        const { services, call } = this;
        this.log("target-connection-broke", reason);
        services.connectionBroke({
            callId: call.offer.callId,
            fingerprint: call.offer.fingerprint,
            target: call.offer.target,
            ageMs: services.clock.now() - this.sentAt,
        });
        this.respondUnknown(CallReason.AnswerLost);
    }

    private respondUnknown(reason: CallReason): void {
        const { response, offer } = this.call;
        if (response.headersSent || response.destroyed) {
            response.destroy();
            return;
        }
        response.writeHead(unknownStatus, {
            ...this.services.createStateHeaders(offer.route),
            [CallHeader.Outcome]: CallOutcome.Unknown,
            [CallHeader.Reason]: reason,
        });
        response.end();
    }

    private log(event: string, detail: string): void {
        const { offer } = this.call;
        const ageMs = Math.round(this.services.clock.now() - this.sentAt);
        this.services.log.info(event, { call: offer.callId, route: offer.route, target: offer.target, ageMs, detail });
    }
}

/** Whether the answer declares a size that is passed on whole. */
function isSmall(event: AnswerEvent): boolean {
    const declared = event.headers["content-length"];
    return declared !== undefined && Number(declared) <= longestWholeBytes;
}
