/**
 * Runs one granted call at the local target and forwards the response to the caller's node.
 */
import { RunResult } from "@bilberrycroft/coordination.forwarding";
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import { assertNever } from "@bilberrycroft/core.errors";
import type { EventLog } from "@bilberrycroft/core.eventLog";
import { CallReason } from "@bilberrycroft/protocol.calls";
import type { NodeReport } from "@bilberrycroft/protocol.forwarding";
import {
    type Attempt,
    type AttemptEvent,
    AttemptEventKind,
    DiscardCut,
    discardResponseBody,
    recordReadChunk,
    type TargetClient,
} from "@bilberrycroft/transport.calls";
import { copyHeaders, type IncomingOffer } from "@bilberrycroft/transport.forwarding";
import type { CallHeaderCodec, TargetResponseHead } from "../ports";
import { firstServerErrorStatus } from "./statuses";

/** Dependencies shared by all calls to the target. */
export interface TargetServices {
    readonly clock: Clock;
    readonly client: TargetClient;
    readonly codec: CallHeaderCodec;
    readonly log: EventLog;
    /** `host:port` of the target. */
    readonly targetAddress: string;
    /** Returns the report that is sent with each response. */
    createReport(route: string): NodeReport;
    /** Called for each response of the target, also for one that is not to its call. */
    recordTargetResponse(): void;
    /** Called with the head of each response that the target has sent for its call, and the target's start. */
    handleTargetHead(head: TargetResponseHead, startedAt: Milliseconds): void;
    /** Called when a call is sent to the target. */
    recordSend(): void;
    /** Called if the target's address refuses the connection, which means that no process listens there. */
    handleConnectionRefused(): void;
    /** Called if a connection to the target breaks with a call in flight. */
    handleBrokenConnection(connection: BrokenConnection): void;
}

/** A call that was in flight on a broken connection. */
export interface BrokenConnection {
    readonly callId: string;
    readonly fingerprint: string;
    readonly target: string;
    /** Time since the call was sent. */
    readonly ageMs: Milliseconds;
}

/** A granted call with its body. */
export interface GrantedCall {
    readonly incoming: IncomingOffer;
    readonly body: Buffer;
    readonly deadlineAt: Milliseconds;
    /** Start of the target that runs the call, in milliseconds since the epoch. */
    readonly targetStartedAt: Milliseconds;
}

type ResponseEvent = Extract<AttemptEvent, { kind: AttemptEventKind.Responded }>;

const firstSuccessStatus = 200;
const firstRedirectStatus = 300;

export class TargetCall {
    private attempt: Attempt | undefined;
    private sentAt: Milliseconds = 0;
    private isCancelled = false;
    private isUnqueued = false;
    private hasResponded = false;
    private forwardedBytes = 0;
    private flushed: Promise<void> = Promise.resolve();

    constructor(private readonly call: GrantedCall, private readonly services: TargetServices) {}

    /** Sends the call; resolves when its response has been forwarded or is lost. */
    async run(): Promise<RunResult> {
        const { incoming, body, deadlineAt } = this.call;
        const { offer, method, path } = incoming.message;
        const { clock, client, codec, targetAddress } = this.services;
        this.sentAt = clock.now();
        const headers = codec.createTargetHeaders(incoming.message.headers, {
            callId: offer.callId,
            target: offer.target,
            callerService: offer.callerService,
            remainingMs: Math.max(1, Math.floor(deadlineAt - clock.now())),
            organisation: offer.organisation,
        });
        if (offer.bodyBytes !== undefined) {
            headers["content-length"] = String(body.length);
        }
        this.services.recordSend();
        this.attempt = client.send({
            address: targetAddress,
            method,
            path,
            headers,
            body,
            freshConnection: !offer.repeatable,
        });
        const timer = setTimeout(() => this.cancel(), Math.max(0, deadlineAt - clock.now()));
        const result = await this.handleEvent(await this.attempt.event);
        clearTimeout(timer);
        return result;
    }

    get route(): string {
        return this.call.incoming.message.offer.route;
    }

    /** Time since the call was sent. */
    get ageMs(): Milliseconds {
        return this.services.clock.now() - this.sentAt;
    }

    /** Whether any part of the response has arrived, an informational response included. */
    get hasProgress(): boolean {
        return this.hasResponded || this.attempt?.hasReceivedBytes() === true;
    }

    /**
     * The target has probably never queued the call and will not respond on its connection. A repeatable call is
     * cancelled, so that it is offered to another target; any other may have run and keeps its connection until its
     * deadline.
     */
    handleUnqueued(): void {
        this.isUnqueued = true;
        this.log("call-unqueued", this.call.incoming.message.offer.repeatable ? "cancelled" : "kept until its deadline");
        if (this.call.incoming.message.offer.repeatable) {
            this.cancel();
        }
    }

    /** Bytes of the response body forwarded so far. */
    get responseBytes(): number {
        return this.forwardedBytes;
    }

    /** Resolves when the response has been sent completely. The target has finished the call before that. */
    whenFlushed(): Promise<void> {
        return this.flushed;
    }

    /**
     * The caller no longer needs the response. A call that is not repeatable runs to completion, because its effect is
     * wanted even so; once its response has begun, the rest of it, which may have no end, is not.
     */
    handleWithdrawal(): void {
        if (this.call.incoming.message.offer.repeatable || this.hasResponded) {
            this.cancel();
        }
    }

    /** Cancels the call at the target, because its response is no longer needed. */
    cancel(): void {
        this.isCancelled = true;
        this.attempt?.cancel();
    }

    private async handleEvent(event: AttemptEvent): Promise<RunResult> {
        const { services } = this;
        switch (event.kind) {
            case AttemptEventKind.Responded:
                return this.handleResponse(event);
            case AttemptEventKind.ConnectFailed:
                if (event.reason === "ECONNREFUSED") {
                    services.handleConnectionRefused();
                }
                this.log("target-not-connected", event.reason);
                this.refuse(CallReason.NoTarget);
                return RunResult.Broken;
            case AttemptEventKind.Broken:
                this.handleBrokenConnection(event.reason);
                return RunResult.Broken;
            case AttemptEventKind.Cancelled:
                return this.handleCancelled();
            default:
                return assertNever(event);
        }
    }

    private handleCancelled(): RunResult {
        const isPastDeadline = this.services.clock.now() >= this.call.deadlineAt;
        if (this.isUnqueued) {
            this.reportLoss(this.call.incoming.message.offer.repeatable ? CallReason.AnswerLost : CallReason.TimedOut);
            return RunResult.Unqueued;
        }
        this.reportLoss(CallReason.TimedOut);
        return isPastDeadline ? RunResult.Broken : RunResult.Cancelled;
    }

    private async handleResponse(event: ResponseEvent): Promise<RunResult> {
        const { services } = this;
        const { offer } = this.call.incoming.message;
        const head = services.codec.readTargetResponse(event.status, event.headers);
        services.recordTargetResponse();
        this.hasResponded = true;
        if (this.call.incoming.isWithdrawn) {
            event.response.destroy();
            return RunResult.Cancelled;
        }
        if (head.callId !== offer.callId) {
            // Probably the response to an earlier call, so later ones on this connection cannot be matched either.
            event.response.destroy();
            this.log("answer-of-another-call", head.callId ?? "no identifier");
            this.reportLoss(CallReason.AnswerLost);
            return RunResult.Broken;
        }
        if (head.isFromTarget) {
            services.handleTargetHead(head, this.call.targetStartedAt);
        }
        if (head.isNotRun) {
            discardResponseBody(event.response, cut => this.handleRefusalCut(cut));
            this.log("target-refused", String(event.status));
            this.refuse(CallReason.TargetRefused);
            return RunResult.Shed;
        }
        const isSuccess = event.status >= firstSuccessStatus && event.status < firstRedirectStatus;
        if (head.isEncoded || head.isMisleading || (isSuccess && !head.isSigned)) {
            event.response.destroy();
            this.log("answer-not-signed", String(event.status));
            this.reportLoss(CallReason.AnswerLost);
            return RunResult.Broken;
        }
        if (!await this.forwardResponse(event)) {
            this.log("answer-cut", String(event.status));
            this.reportLoss(CallReason.AnswerLost);
            if (!this.isCancelled) {
                this.reportBrokenConnection();
            }
            return this.isCancelled ? RunResult.Cancelled : RunResult.Broken;
        }
        return event.status >= firstServerErrorStatus ? RunResult.Failed : RunResult.Answered;
    }

    /** Streams the response to the caller's node; returns whether it was complete. */
    private async forwardResponse({ status, headers, response, wasReset }: ResponseEvent): Promise<boolean> {
        const { incoming } = this.call;
        incoming.startResponse({
            status,
            headers: copyHeaders(headers, () => false),
            report: this.services.createReport(incoming.message.offer.route),
        });
        const isComplete = await new Promise<boolean>(resolve => {
            response.on("data", (data: Buffer) => {
                this.forwardedBytes += data.length;
                // The data and the frame that it is copied into.
                recordReadChunk(2 * data.length);
                if (!incoming.write(data)) {
                    response.pause();
                    void incoming.waitForDrain().then(() => response.resume());
                }
            });
            response.on("end", () => resolve(response.complete));
            response.on("close", () => resolve(false));
        });
        if (!isComplete || await wasReset()) {
            return false;
        }
        this.flushed = incoming.end();
        return true;
    }

    private handleBrokenConnection(reason: string): void {
        this.log("target-connection-broke", reason);
        this.reportBrokenConnection();
        this.reportLoss(CallReason.AnswerLost);
    }

    private handleRefusalCut(cut: DiscardCut): void {
        this.log("refusal-cut", cut);
        if (cut === DiscardCut.Broken) {
            this.reportBrokenConnection();
        }
    }

    /** A target may crash at any moment of a call, also after it has begun to respond. */
    private reportBrokenConnection(): void {
        const { services } = this;
        const { callId, fingerprint, target } = this.call.incoming.message.offer;
        services.handleBrokenConnection({ callId, fingerprint, target, ageMs: services.clock.now() - this.sentAt });
    }

    private refuse(reason: CallReason): void {
        const { incoming } = this.call;
        incoming.refuse({ reason, retryAfterMs: 0, report: this.services.createReport(incoming.message.offer.route) });
    }

    private reportLoss(reason: CallReason): void {
        const { incoming } = this.call;
        incoming.reportLoss({ reason, report: this.services.createReport(incoming.message.offer.route) });
    }

    private log(event: string, detail: string): void {
        const { offer } = this.call.incoming.message;
        const ageMs = Math.round(this.services.clock.now() - this.sentAt);
        this.services.log.info(event, { call: offer.callId, route: offer.route, target: offer.target, ageMs, detail });
    }
}
