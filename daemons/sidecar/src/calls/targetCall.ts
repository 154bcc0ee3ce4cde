/**
 * Runs one granted call at the target beside this node and passes its answer on to the caller's node.
 */
import { RunResult } from "@bilberrycroft/coordination.forwarding";
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import { assertNever } from "@bilberrycroft/core.errors";
import type { EventLog } from "@bilberrycroft/core.eventLog";
import { CallReason } from "@bilberrycroft/protocol.calls";
import type { NodeReport } from "@bilberrycroft/protocol.forwarding";
import { type Attempt, type AttemptEvent, AttemptEventKind, type TargetClient } from "@bilberrycroft/transport.calls";
import { copyHeaders, type IncomingOffer } from "@bilberrycroft/transport.forwarding";
import type { CallHeaderCodec } from "../ports";

/** What all calls to the target share. */
export interface TargetServices {
    readonly clock: Clock;
    readonly client: TargetClient;
    readonly codec: CallHeaderCodec;
    readonly log: EventLog;
    /** `host:port` of the target. */
    readonly targetAddress: string;
    /** Report that goes with each response. */
    report(route: string): NodeReport;
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
    readonly incoming: IncomingOffer;
    readonly body: Buffer;
    readonly deadlineAt: Milliseconds;
}

type AnswerEvent = Extract<AttemptEvent, { kind: AttemptEventKind.Responded }>;

const firstServerErrorStatus = 500;
const firstSuccessStatus = 200;
const firstRedirectStatus = 300;

/** One call at the target. */
export class TargetCall {
    private attempt: Attempt | undefined;
    private sentAt: Milliseconds = 0;
    private isCancelled = false;
    private passedBytes = 0;
    private isSent: Promise<void> = Promise.resolve();

    constructor(private readonly call: GrantedCall, private readonly services: TargetServices) {}

    /** Sends the call and resolves when its answer is passed on or lost. */
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
        });
        if (offer.bodyBytes !== undefined) {
            headers["content-length"] = String(body.length);
        }
        this.attempt = client.send({
            address: targetAddress,
            method,
            path,
            headers,
            body,
            freshConnection: !offer.repeatable,
        });
        const timer = setTimeout(() => this.cancel(), Math.max(0, deadlineAt - clock.now()));
        const result = await this.takeEvent(await this.attempt.event);
        clearTimeout(timer);
        return result;
    }

    /** Bytes of the answer's body so far. */
    get answerBytes(): number {
        return this.passedBytes;
    }

    /** Resolves when the answer has left this host; the target itself is done before. */
    sent(): Promise<void> {
        return this.isSent;
    }

    /** Ends the call at the target: nobody waits for its answer. */
    cancel(): void {
        this.isCancelled = true;
        this.attempt?.cancel();
    }

    private async takeEvent(event: AttemptEvent): Promise<RunResult> {
        const { services, call } = this;
        switch (event.kind) {
            case AttemptEventKind.Responded:
                return this.takeAnswer(event);
            case AttemptEventKind.ConnectFailed:
                if (event.reason === "ECONNREFUSED") {
                    services.connectionRefused();
                }
                this.log("target-not-connected", event.reason);
                this.refuse(CallReason.NoTarget);
                return RunResult.Broken;
            case AttemptEventKind.Broken:
                this.broke(event.reason);
                return RunResult.Broken;
            case AttemptEventKind.Cancelled:
                this.lose(CallReason.TimedOut);
                return services.clock.now() >= call.deadlineAt ? RunResult.Broken : RunResult.Cancelled;
            default:
                return assertNever(event);
        }
    }

    private async takeAnswer(event: AnswerEvent): Promise<RunResult> {
        const { services } = this;
        const { offer } = this.call.incoming.message;
        const head = services.codec.readTargetAnswer(event.status, event.headers);
        services.targetAnswered();
        if (head.callId !== undefined && head.callId !== offer.callId) {
            // An answer to an earlier call: the connection carries answers that belong to no call of ours.
            event.response.destroy();
            this.log("answer-of-another-call", head.callId);
            this.lose(CallReason.AnswerLost);
            return RunResult.Broken;
        }
        if (head.isNotRun) {
            event.response.resume();
            this.log("target-refused", String(event.status));
            this.refuse(CallReason.TargetRefused);
            return RunResult.Shed;
        }
        const isSuccess = event.status >= firstSuccessStatus && event.status < firstRedirectStatus;
        if (head.isEncoded || (isSuccess && (!head.isSigned || head.callId === undefined))) {
            event.response.destroy();
            this.log("answer-not-signed", String(event.status));
            this.lose(CallReason.AnswerLost);
            return RunResult.Broken;
        }
        if (!await this.passOn(event)) {
            this.log("answer-cut", String(event.status));
            this.lose(CallReason.AnswerLost);
            return this.isCancelled ? RunResult.Cancelled : RunResult.Broken;
        }
        return event.status >= firstServerErrorStatus ? RunResult.Failed : RunResult.Answered;
    }

    /** Passes the answer on as it arrives; whether all of it did. */
    private async passOn({ status, headers, response, wasReset }: AnswerEvent): Promise<boolean> {
        const { incoming } = this.call;
        incoming.startResponse({
            status,
            headers: copyHeaders(headers, () => false),
            report: this.services.report(incoming.message.offer.route),
        });
        const isComplete = await new Promise<boolean>(resolve => {
            response.on("data", (data: Buffer) => {
                this.passedBytes += data.length;
                if (!incoming.write(data)) {
                    response.pause();
                    void incoming.drained().then(() => response.resume());
                }
            });
            response.on("end", () => resolve(response.complete));
            response.on("close", () => resolve(false));
        });
        if (!isComplete || await wasReset()) {
            return false;
        }
        this.isSent = incoming.end();
        return true;
    }

    private broke(reason: string): void {
        const { services } = this;
        const { offer } = this.call.incoming.message;
        this.log("target-connection-broke", reason);
        services.connectionBroke({
            callId: offer.callId,
            fingerprint: offer.fingerprint,
            target: offer.target,
            ageMs: services.clock.now() - this.sentAt,
        });
        this.lose(CallReason.AnswerLost);
    }

    private refuse(reason: CallReason): void {
        const { incoming } = this.call;
        incoming.refuse({ reason, retryAfterMs: 0, report: this.services.report(incoming.message.offer.route) });
    }

    private lose(reason: CallReason): void {
        const { incoming } = this.call;
        incoming.lose({ reason, report: this.services.report(incoming.message.offer.route) });
    }

    private log(event: string, detail: string): void {
        const { offer } = this.call.incoming.message;
        const ageMs = Math.round(this.services.clock.now() - this.sentAt);
        this.services.log.info(event, { call: offer.callId, route: offer.route, target: offer.target, ageMs, detail });
    }
}
