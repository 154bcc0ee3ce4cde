/**
 * Takes the offers of other nodes for the target beside this node.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import {
    type OfferDecision,
    OfferDecisionKind,
    type QueueEvent,
    RunResult,
    type TargetQueue,
} from "@bilberrycroft/coordination.forwarding";
import { type Quarantine, QuarantineDecisionKind } from "@bilberrycroft/coordination.quarantine";
import type { OwnTarget } from "@bilberrycroft/coordination.registration";
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import { assertNever } from "@bilberrycroft/core.errors";
import type { EventLog } from "@bilberrycroft/core.eventLog";
import { CallHeader, CallOutcome, CallReason } from "@bilberrycroft/protocol.calls";
import {
    type AnnouncedCrash,
    formatStateMark,
    formatTargetLoad,
    type Offer,
    OfferHeader,
    parseOffer,
    parseStateMark,
    type StateMark,
    TargetAvailability,
} from "@bilberrycroft/protocol.forwarding";
import { BodyOutcomeKind, probeListener, readBody, type TargetClient } from "@bilberrycroft/transport.calls";
import type { PassedHeaders } from "@bilberrycroft/transport.forwarding";
import { type BrokenConnection, TargetCall, type TargetServices } from "../calls/targetCall";
import type { CallHeaderCodec } from "../ports";

/** Options of a `TargetTask`. */
export interface TargetTaskOptions {
    readonly clock: Clock;
    readonly queue: TargetQueue;
    readonly target: OwnTarget;
    readonly quarantine: Quarantine;
    readonly client: TargetClient;
    readonly codec: CallHeaderCodec;
    readonly log: EventLog;
    readonly targetAddress: string;
    stateMark(): StateMark;
    stateHeard(mark: StateMark): void;
    /** Takes the requests that were in flight when the target crashed. */
    targetCrashed(crashes: readonly AnnouncedCrash[]): void;
}

/** Path at which other nodes ask for the load without a call. */
export const loadPath = "/mesh/load";

const statusOk = 200;
const notRunStatus = 503;
const malformedStatus = 400;
const notFoundStatus = 404;
/** A granted call whose body does not arrive within this time gives its slot back. */
const longestBodyWaitMs: Milliseconds = 500;
/** Largest body; the caller's node checks the operator's bound. */
const maxBodyBytes = 67_108_864;
/** The availability is looked at this often; a target that goes silent is noticed by its calls long before. */
const beliefTickMs: Milliseconds = 500;
/** Expired calls are refused this often while calls wait. */
const queueTickMs: Milliseconds = 20;
/** Connections that break together are judged together after this time. */
const crashProbeDelayMs: Milliseconds = 20;

interface PendingOffer {
    readonly offer: Offer;
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly deadlineAt: Milliseconds;
}

/** Offers and running calls of one target. */
export class TargetTask {
    private readonly pending = new Map<string, PendingOffer>();
    private readonly services: TargetServices;
    private timer: NodeJS.Timeout | undefined;
    private queueTimer: NodeJS.Timeout | undefined;
    private offerCount = 0;
    private isLeaving = false;
    private broken: BrokenConnection[] = [];
    private believed = "";

    constructor(private readonly options: TargetTaskOptions) {
        const { clock, client, codec, log, targetAddress, target } = options;
        this.services = {
            clock,
            client,
            codec,
            log,
            targetAddress,
            createStateHeaders: route => this.createStateHeaders(route),
            refuse: (response, route, reason, retryAfterMs) => this.refuse(response, route, reason, retryAfterMs),
            targetAnswered: () => target.answered(),
            connectionRefused: () => {
                target.connectionRefused();
                this.believe();
            },
            connectionBroke: broken => this.connectionBroke(broken),
        };
    }

    start(): void {
        this.timer = setInterval(() => this.believe(), beliefTickMs);
    }

    stop(): void {
        clearInterval(this.timer);
        clearTimeout(this.queueTimer);
    }

    /** Calls that run or wait. */
    get inProgress(): number {
        return this.options.queue.runningCalls + this.options.queue.queuedCalls;
    }

    /** Takes no new offers: the node stops. */
    leave(): void {
        this.isLeaving = true;
        this.believe();
    }

    /** Tells the queue what is believed of the target. */
    believe(): void {
        const { target, queue, log } = this.options;
        const { availability: targetAvailability, announced } = target;
        const availability = this.isLeaving ? TargetAvailability.Leaving : targetAvailability;
        const slots = announced?.slots ?? 0;
        const believed = `${announced?.id} ${availability} ${slots}`;
        if (believed !== this.believed) {
            this.believed = believed;
            log.info("target-availability", { target: announced?.id, availability, slots });
            this.follow(queue.setTarget({ slots, availability }));
        }
    }

    /** Handles a request that expects no continuation, which is no offer. */
    handle(request: IncomingMessage, response: ServerResponse): void {
        request.resume();
        this.hearState(request);
        const isLoad = request.method === "GET" && request.url === loadPath;
        response.writeHead(isLoad ? statusOk : notFoundStatus, this.createStateHeaders(""));
        response.end();
    }

    /** Handles an offer. */
    handleOffer(request: IncomingMessage, response: ServerResponse): void {
        const offer = parseOffer(request.headers);
        this.hearState(request);
        if (offer === undefined) {
            this.options.log.warn("offer-malformed", { path: request.url });
            request.resume();
            response.writeHead(malformedStatus, { [CallHeader.Outcome]: CallOutcome.NotRun });
            response.end();
            return;
        }
        const reason = this.findObstacle(offer);
        if (reason !== undefined) {
            request.resume();
            this.refuse(response, offer.route, reason, 0);
            return;
        }
        const now = this.options.clock.now();
        const key = `${offer.callId} ${++this.offerCount}`;
        const deadlineAt = now + offer.deadlineMs;
        this.pending.set(key, { offer, request, response, deadlineAt });
        response.on("close", () => this.callerClosed(key));
        this.decide(this.options.queue.offer({
            callId: key,
            route: offer.route,
            priority: offer.priority,
            isInner: offer.isInner,
            spareOnly: offer.spareOnly,
            objectiveAt: now + offer.objectiveMs,
            deadlineAt,
        }));
    }

    private findObstacle(offer: Offer): CallReason | undefined {
        if (offer.target !== this.options.target.announced?.id) {
            return CallReason.NoTarget;
        }
        const { kind } = this.options.quarantine.check(offer.fingerprint);
        return kind === QuarantineDecisionKind.Held ? CallReason.Quarantined : undefined;
    }

    private decide(decision: OfferDecision): void {
        switch (decision.kind) {
            case OfferDecisionKind.Queued:
                this.pending.get(decision.callId)?.response.writeProcessing();
                return this.scheduleExpiry();
            case OfferDecisionKind.Granted:
            case OfferDecisionKind.Refused:
                return this.follow([decision]);
            default:
                return assertNever(decision);
        }
    }

    private follow(events: readonly QueueEvent[]): void {
        for (const event of events) {
            const pending = this.pending.get(event.callId);
            if (pending === undefined) {
                continue;
            }
            if (event.kind === OfferDecisionKind.Granted) {
                void this.carry(event.callId, pending);
            }
            else {
                this.pending.delete(event.callId);
                pending.request.resume();
                this.refuse(pending.response, pending.offer.route, event.reason, event.retryAfterMs);
            }
        }
    }

    private async carry(key: string, pending: PendingOffer): Promise<void> {
        const { request, response, offer, deadlineAt } = pending;
        const body = readBody(request, maxBodyBytes);
        response.writeContinue();
        const timer = setTimeout(() => request.destroy(), longestBodyWaitMs);
        const outcome = await body;
        clearTimeout(timer);
        this.pending.delete(key);
        if (outcome.kind !== BodyOutcomeKind.Complete || response.destroyed) {
            response.destroy();
            return this.finished(key, RunResult.Cancelled);
        }
        const call = new TargetCall({ request, response, offer, body: outcome.body, deadlineAt }, this.services);
        response.on("close", () => {
            // A call that may not be repeated runs to its end: its effect is wanted even if the caller has left.
            if (!response.writableFinished && offer.repeatable) {
                call.cancel();
            }
        });
        const result = await call.run();
        if (result === RunResult.Answered) {
            this.options.quarantine.completed(offer.fingerprint);
        }
        this.finished(key, result);
    }

    private finished(key: string, result: RunResult): void {
        this.follow(this.options.queue.finished(key, result));
    }

    private callerClosed(key: string): void {
        const isWaiting = this.pending.delete(key);
        if (isWaiting) {
            this.options.queue.cancelled(key);
        }
    }

    private scheduleExpiry(): void {
        if (this.queueTimer === undefined && this.options.queue.queuedCalls > 0) {
            this.queueTimer = setTimeout(() => {
                this.queueTimer = undefined;
                this.follow(this.options.queue.expire());
                this.scheduleExpiry();
            }, queueTickMs);
        }
    }

    private refuse(response: ServerResponse, route: string, reason: CallReason, retryAfterMs: Milliseconds): void {
        if (response.headersSent || response.destroyed) {
            response.destroy();
            return;
        }
        response.writeHead(notRunStatus, {
            ...this.createStateHeaders(route),
            [CallHeader.Outcome]: CallOutcome.NotRun,
            [CallHeader.Reason]: reason,
            [OfferHeader.RetryAfterMs]: String(Math.ceil(retryAfterMs)),
        });
        response.end();
    }

    private createStateHeaders(route: string): PassedHeaders {
        return {
            [OfferHeader.Load]: formatTargetLoad(this.options.queue.load(route)),
            [OfferHeader.State]: formatStateMark(this.options.stateMark()),
        };
    }

    private hearState(request: IncomingMessage): void {
        const mark = parseStateMark(request.headers[OfferHeader.State]);
        if (mark !== undefined) {
            this.options.stateHeard(mark);
        }
    }

    private connectionBroke(broken: BrokenConnection): void {
        this.broken.push(broken);
        if (this.broken.length === 1) {
            setTimeout(() => void this.judgeBroken(), crashProbeDelayMs);
        }
    }

    /** A target that no longer listens has crashed, perhaps by one of the calls that were in flight. */
    private async judgeBroken(): Promise<void> {
        const { broken } = this;
        this.broken = [];
        const { clock, target, targetAddress, log } = this.options;
        if (await probeListener(targetAddress)) {
            return;
        }
        target.connectionRefused();
        this.believe();
        log.warn("target-crashed", { target: broken[0]?.target, calls: broken.length });
        const at = clock.wallTime();
        this.options.targetCrashed(broken.map(({ fingerprint, target: crashed, ageMs }) =>
            ({ fingerprint, target: crashed, at, startedAt: at - ageMs })));
    }
}
