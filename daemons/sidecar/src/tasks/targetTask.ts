/**
 * Takes the offers of other nodes for the target beside this node.
 */
import {
    ResponseSizes,
    type OfferDecision,
    OfferDecisionKind,
    type QueueEvent,
    RunResult,
    type TargetQueue,
} from "@bilberrycroft/coordination.forwarding";
import { type Quarantine, QuarantineDecisionKind } from "@bilberrycroft/coordination.quarantine";
import type { LocalTarget } from "@bilberrycroft/coordination.registration";
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import { assertNever } from "@bilberrycroft/core.errors";
import type { EventLog } from "@bilberrycroft/core.eventLog";
import { CallReason } from "@bilberrycroft/protocol.calls";
import {
    type AnnouncedCrash,
    type NodeReport,
    type Offer,
    type StateVersions,
    TargetAvailability,
} from "@bilberrycroft/protocol.forwarding";
import { probeListener, type TargetClient } from "@bilberrycroft/transport.calls";
import type { ResponsePacer, IncomingOffer } from "@bilberrycroft/transport.forwarding";
import { type BrokenConnection, TargetCall, type TargetServices } from "../calls/targetCall";
import type { CallHeaderCodec } from "../ports";

/** Options of a `TargetTask`. */
export interface TargetTaskOptions {
    readonly clock: Clock;
    readonly queue: TargetQueue;
    readonly target: LocalTarget;
    readonly quarantine: Quarantine;
    readonly client: TargetClient;
    readonly codec: CallHeaderCodec;
    readonly log: EventLog;
    readonly targetAddress: string;
    /** Line of large answers. */
    readonly pacer: ResponsePacer;
    stateMark(): StateVersions;
    stateHeard(mark: StateVersions): void;
    /** Takes the requests that were in flight when the target crashed. */
    targetCrashed(crashes: readonly AnnouncedCrash[]): void;
}

/** A granted call whose body does not arrive within this time gives its slot back. */
const longestBodyWaitMs: Milliseconds = 500;
/** The availability is looked at this often; a target that goes silent is noticed by its calls long before. */
const beliefTickMs: Milliseconds = 500;
/** Expired calls are refused this often while calls wait. */
const queueTickMs: Milliseconds = 20;
/** Connections that break together are judged together after this time. */
const crashProbeDelayMs: Milliseconds = 20;

interface PendingOffer {
    readonly incoming: IncomingOffer;
    readonly deadlineAt: Milliseconds;
    /** Set while a granted call waits for its body. */
    bodyTimer: NodeJS.Timeout | undefined;
}

interface BreakInTime extends BrokenConnection {
    /** Wall time at which the connection broke. */
    readonly at: Milliseconds;
}

/** Offers and running calls of one target. */
export class TargetTask {
    private readonly pending = new Map<string, PendingOffer>();
    /** Calls that run in the target, by the caller's identifier. */
    private readonly running = new Map<string, Offer>();
    private readonly services: TargetServices;
    private readonly answerSizes = new ResponseSizes();
    private answersLeaving = 0;
    private timer: NodeJS.Timeout | undefined;
    private queueTimer: NodeJS.Timeout | undefined;
    private offerCount = 0;
    private isLeaving = false;
    private broken: BreakInTime[] = [];
    private believed = "";

    constructor(private readonly options: TargetTaskOptions) {
        const { clock, client, codec, log, targetAddress, target } = options;
        this.services = {
            clock,
            client,
            codec,
            log,
            targetAddress,
            report: route => this.report(route),
            targetAnswered: () => target.recordResponse(),
            connectionRefused: () => {
                target.recordConnectionRefused();
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

    /** Calls that run or wait, and answers that have not left yet. */
    get inProgress(): number {
        return this.options.queue.runningCalls + this.options.queue.queuedCalls + this.answersLeaving;
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

    /** The call with this identifier if it runs in the target now. */
    runningCall(callId: string): Offer | undefined {
        return this.running.get(callId);
    }

    /** What this node tells of itself. */
    report(route: string): NodeReport {
        return { load: this.options.queue.load(route, this.transferMs(route)), state: this.options.stateMark() };
    }

    /** Handles an offer. */
    handleOffer(incoming: IncomingOffer): void {
        const { offer, state } = incoming.message;
        this.options.stateHeard(state);
        const reason = this.findObstacle(offer);
        if (reason !== undefined) {
            return this.refuse(incoming, reason, 0);
        }
        const now = this.options.clock.now();
        const key = `${offer.callId} ${++this.offerCount}`;
        const deadlineAt = now + offer.deadlineMs;
        this.pending.set(key, { incoming, deadlineAt, bodyTimer: undefined });
        incoming.observe({
            bodyReceived: body => this.proceeded(key, body),
            withdrawn: () => this.withdrawn(key),
        });
        this.decide(this.options.queue.offer({
            callId: key,
            route: offer.route,
            priority: offer.priority,
            isInner: offer.isInner,
            spareOnly: offer.spareOnly,
            objectiveAt: now + offer.objectiveMs,
            deadlineAt,
            transferMs: this.transferMs(offer.route),
        }));
    }

    /** Time that the link takes for a usual answer on the route. */
    private transferMs(route: string): Milliseconds {
        return this.options.pacer.transmissionTimeMs(this.answerSizes.meanBytes(route));
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
                this.pending.get(decision.callId)?.incoming.queue();
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
                this.grant(event.callId, pending);
            }
            else {
                this.pending.delete(event.callId);
                this.refuse(pending.incoming, event.reason, event.retryAfterMs);
            }
        }
    }

    private grant(key: string, pending: PendingOffer): void {
        pending.bodyTimer = setTimeout(() => {
            this.pending.delete(key);
            this.refuse(pending.incoming, CallReason.DeadlinePassed, 0);
            this.finished(key, RunResult.Cancelled);
        }, longestBodyWaitMs);
        pending.incoming.grant();
    }

    private proceeded(key: string, body: Buffer): void {
        const pending = this.pending.get(key);
        if (pending?.bodyTimer === undefined) {
            return;
        }
        clearTimeout(pending.bodyTimer);
        this.pending.delete(key);
        void this.carry(key, pending, body);
    }

    private async carry(key: string, { incoming, deadlineAt }: PendingOffer, body: Buffer): Promise<void> {
        const { offer } = incoming.message;
        this.running.set(offer.callId, offer);
        const call = new TargetCall({ incoming, body, deadlineAt }, this.services);
        incoming.observe({
            bodyReceived: () => undefined,
            withdrawn: () => {
                // A call that may not be repeated runs to its end: its effect is wanted even if the caller has left.
                if (offer.repeatable) {
                    call.cancel();
                }
            },
        });
        const result = await call.run();
        this.running.delete(offer.callId);
        this.answersLeaving++;
        void call.sent().then(() => {
            this.answersLeaving--;
        });
        if (result === RunResult.Answered) {
            this.answerSizes.add(offer.route, call.answerBytes);
            this.options.quarantine.callCompleted(offer.fingerprint);
        }
        this.finished(key, result);
    }

    private finished(key: string, result: RunResult): void {
        this.follow(this.options.queue.finish(key, result));
    }

    private withdrawn(key: string): void {
        const pending = this.pending.get(key);
        if (pending === undefined) {
            return;
        }
        this.pending.delete(key);
        if (pending.bodyTimer === undefined) {
            this.options.queue.cancel(key);
        }
        else {
            clearTimeout(pending.bodyTimer);
            this.finished(key, RunResult.Cancelled);
        }
    }

    private scheduleExpiry(): void {
        if (this.queueTimer === undefined && this.options.queue.queuedCalls > 0) {
            this.queueTimer = setTimeout(() => {
                this.queueTimer = undefined;
                this.follow(this.options.queue.expireQueued());
                this.scheduleExpiry();
            }, queueTickMs);
        }
    }

    private refuse(incoming: IncomingOffer, reason: CallReason, retryAfterMs: Milliseconds): void {
        const { route, callId, target, priority } = incoming.message.offer;
        const report = this.report(route);
        const { running, queued, slots, availability, meanRunTimeMs } = report.load;
        this.options.log.info("offer-refused", {
            call: callId,
            route,
            target,
            reason,
            priority,
            running,
            queued,
            slots,
            availability,
            meanRunTimeMs: Math.round(meanRunTimeMs),
        });
        incoming.refuse({ reason, retryAfterMs: Math.ceil(retryAfterMs), report });
    }

    private connectionBroke(broken: BrokenConnection): void {
        this.broken.push({ ...broken, at: this.options.clock.wallTime() });
        if (this.broken.length === 1) {
            setTimeout(() => void this.judgeBroken(), crashProbeDelayMs);
        }
    }

    /** A target that no longer listens has crashed, perhaps by one of the calls that were in flight. */
    private async judgeBroken(): Promise<void> {
        const { broken } = this;
        this.broken = [];
        const { target, targetAddress, log } = this.options;
        if (await probeListener(targetAddress)) {
            return;
        }
        target.recordConnectionRefused();
        this.believe();
        log.warn("target-crashed", { target: broken[0]?.target, calls: broken.length });
        this.options.targetCrashed(broken.map(({ fingerprint, target: crashed, ageMs, at }) =>
            ({ fingerprint, target: crashed, at, startedAt: at - ageMs })));
    }
}
