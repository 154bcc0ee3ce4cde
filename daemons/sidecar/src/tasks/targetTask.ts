/**
 * Queues the calls that nodes offer to the local target, runs the granted ones, and tracks the target's availability.
 */
import {
    type BufferBudget,
    drawOf,
    ResponseSizes,
    type OfferDecision,
    OfferDecisionKind,
    type QueueEvent,
    RunResult,
    type TargetQueue,
} from "@bilberrycroft/coordination.forwarding";
import { type Quarantine, QuarantineDecisionKind } from "@bilberrycroft/coordination.quarantine";
import type { LocalTarget, TargetDeparture } from "@bilberrycroft/coordination.registration";
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import { assertNever } from "@bilberrycroft/core.errors";
import type { EventLog, FaultBarrier } from "@bilberrycroft/core.eventLog";
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
import { UnqueuedCalls } from "../calls/unqueuedCalls";
import type { CallHeaderCodec, TargetResponseHead } from "../ports";
import { TargetEvidence } from "./targetEvidence";
import { TargetLimitLog } from "./targetLimitLog";

export interface TargetTaskOptions {
    readonly clock: Clock;
    readonly queue: TargetQueue;
    readonly target: LocalTarget;
    readonly quarantine: Quarantine;
    readonly client: TargetClient;
    readonly codec: CallHeaderCodec;
    readonly log: EventLog;
    readonly faults: FaultBarrier;
    readonly targetAddress: string;
    /** Paces large responses to the bandwidth of the link. */
    readonly pacer: ResponsePacer;
    /** Counts the bodies of the target's calls. */
    readonly bufferBudget: BufferBudget;
    getLocalVersions(): StateVersions;
    handlePeerVersions(versions: StateVersions): void;
    /** Called when the target says in a response that it leaves. */
    handleTargetLeaving(departure: TargetDeparture): void;
    /** Reports the requests that were in flight when the target crashed. */
    handleTargetCrash(crashes: readonly AnnouncedCrash[]): void;
}

/** A granted call releases its slot if its body does not arrive within this time. */
const bodyTimeoutMs: Milliseconds = 500;
/** May be long, because failing calls reveal an unresponsive target much earlier. */
const availabilityCheckIntervalMs: Milliseconds = 500;
/** Interval at which expired calls are refused while the queue is not empty. */
const queueExpiryIntervalMs: Milliseconds = 20;
/** About the time in which the bodies of running calls are released. */
const noMemoryRetryAfterMs: Milliseconds = 300;
/** Connections that break within this time cause one common check for a crash. */
const crashProbeDelayMs: Milliseconds = 20;

interface PendingOffer {
    readonly incoming: IncomingOffer;
    readonly deadlineAt: Milliseconds;
    /** Set while the call is granted and its body has not arrived. */
    bodyTimer: NodeJS.Timeout | undefined;
}

interface RunningCall {
    /** Key of the offer in the queue. */
    readonly key: string;
    readonly offer: Offer;
}

interface TimedBrokenConnection extends BrokenConnection {
    /** Wall time at which the connection broke. */
    readonly at: Milliseconds;
}

export class TargetTask {
    private readonly pending = new Map<string, PendingOffer>();
    /** Calls running in the target, by call identifier. */
    private readonly running = new Map<string, RunningCall>();
    /** `undefined` if the settings do not ask for the recognition of such calls. */
    private readonly unqueuedCalls: UnqueuedCalls | undefined;
    private readonly services: TargetServices;
    private readonly responseSizes = new ResponseSizes();
    /** What the target's version does during a rollout. */
    readonly evidence: TargetEvidence;
    private readonly limitLog: TargetLimitLog;
    private responsesInFlight = 0;
    /** Bytes of the bodies of running calls. */
    private heldBodyBytes = 0;
    private availabilityTimer: NodeJS.Timeout | undefined;
    private queueTimer: NodeJS.Timeout | undefined;
    private offerCount = 0;
    private isStopping = false;
    private brokenConnections: TimedBrokenConnection[] = [];
    private lastTargetState = "";
    private callsSent = 0;
    private lastIncarnation = "";

    constructor(private readonly options: TargetTaskOptions) {
        const { clock, client, codec, log, targetAddress, target, queue, faults } = options;
        this.evidence = new TargetEvidence(clock);
        this.limitLog = new TargetLimitLog({ target, queue, log });
        this.unqueuedCalls = !queue.recognizesUnqueuedCalls
            ? undefined
            : new UnqueuedCalls({
                    queue,
                    faults,
                    applyQueueEvents: events => this.applyQueueEvents(events),
                });
        this.services = {
            clock,
            client,
            codec,
            log,
            targetAddress,
            createReport: route => this.createReport(route),
            recordTargetResponse: () => target.recordResponse(),
            handleTargetHead: (head, startedAt) => this.handleTargetHead(head, startedAt),
            recordSend: () => {
                this.callsSent++;
            },
            handleConnectionRefused: () => {
                target.recordConnectionRefused();
                this.updateAvailability();
            },
            handleBrokenConnection: broken => this.handleBrokenConnection(broken),
        };
    }

    start(): void {
        this.availabilityTimer = setInterval(
            () => this.options.faults.run("availability-timer", {}, () => {
                this.updateAvailability();
                this.unqueuedCalls?.check();
            }),
            availabilityCheckIntervalMs,
        );
    }

    stop(): void {
        clearInterval(this.availabilityTimer);
        clearTimeout(this.queueTimer);
    }

    /** Number of running and queued calls, plus responses not fully sent yet. */
    get inProgress(): number {
        const { runningCalls, queuedCalls } = this.options.queue;
        return runningCalls + queuedCalls + (this.unqueuedCalls?.size ?? 0) + this.responsesInFlight;
    }

    /** Number of calls sent to the target since the start. */
    get sentCalls(): number {
        return this.callsSent;
    }

    /** Limit that the target names, in calls per second; 0 if it names none. */
    get requestLimit(): number {
        return this.options.queue.limit.callsPerSecond ?? 0;
    }

    /** Records the end of an inner call of the target; calls whose inner calls find no room are refused. */
    recordInnerCall(parentRoute: string, isRefused: boolean): void {
        this.options.queue.recordInnerCallEnd(parentRoute, isRefused);
    }

    /** Slots that the target announces, and the number of calls that it is found to handle well at once. */
    get slots(): { readonly announced: number; readonly learned: number } {
        return { announced: this.options.target.announced?.slots ?? 0, learned: this.options.queue.learnedSlots };
    }

    /** Refuses new offers, because the node is stopping. */
    startDraining(): void {
        this.isStopping = true;
        this.updateAvailability();
    }

    /** Updates the queue with the target's current availability and slots. */
    updateAvailability(): void {
        const { target, queue, log } = this.options;
        const { availability: targetAvailability, announced } = target;
        const availability = this.isStopping ? TargetAvailability.Leaving : targetAvailability;
        const slots = announced?.slots ?? 0;
        const incarnation = `${announced?.id} ${announced?.startedAt}`;
        if (incarnation !== this.lastIncarnation) {
            this.lastIncarnation = incarnation;
            queue.handleReplacement();
        }
        const targetState = `${announced?.id} ${availability} ${slots}`;
        if (targetState !== this.lastTargetState) {
            this.lastTargetState = targetState;
            log.info("target-availability", { target: announced?.id, availability, slots });
            this.applyQueueEvents(queue.setTarget({ slots, availability }));
        }
        this.limitLog.recordLearnedSlots(slots);
    }

    /** Returns the parent of an inner call if it is running in the target, which the inner call shows. */
    findRunningCall(callId: string): Offer | undefined {
        const parent = this.running.get(callId);
        if (parent !== undefined) {
            this.options.queue.recordProgress(parent.key);
        }
        return parent?.offer;
    }

    /** Returns the load and the state versions of this node. */
    createReport(route: string): NodeReport {
        const load = this.options.queue.load(route, this.estimateTransferMs(route));
        const { leaving: leavingTarget } = this.options.target;
        return {
            load: leavingTarget === undefined ? load : { ...load, leavingTarget },
            state: this.options.getLocalVersions(),
        };
    }

    /** Returns the report for a node that asks without a call. */
    createProbeReport(): NodeReport {
        const report = this.createReport("");
        const counts = this.evidence.countsOf(this.options.target.announced);
        return counts === undefined ? report : { ...report, counts };
    }

    handleOffer(incoming: IncomingOffer): void {
        const { callId: call, route } = incoming.message.offer;
        this.options.faults.run("offer", { call, route }, () => this.acceptOffer(incoming), () =>
            this.refuse(incoming, CallReason.NoTarget, 0));
    }

    private acceptOffer(incoming: IncomingOffer): void {
        const { offer, state } = incoming.message;
        this.options.handlePeerVersions(state);
        const reason = this.findRefusalReason(offer);
        if (reason !== undefined) {
            return this.refuse(incoming, reason, 0);
        }
        const { bodyBytes = 0 } = offer;
        // One body is always accepted, so that the largest allowed one is served while the node is lightly loaded.
        if (this.heldBodyBytes > 0 && !this.options.bufferBudget.hasRoom(bodyBytes)) {
            return this.refuse(incoming, CallReason.Overloaded, noMemoryRetryAfterMs);
        }
        if (offer.targetCallsPerSecond !== undefined) {
            this.options.queue.limit.adopt(offer.targetCallsPerSecond);
            this.limitLog.recordLimit("peer", this.callsSent);
        }
        this.unqueuedCalls?.check();
        const now = this.options.clock.now();
        const key = `${offer.callId} ${++this.offerCount}`;
        const deadlineAt = now + offer.deadlineMs;
        this.pending.set(key, { incoming, deadlineAt, bodyTimer: undefined });
        incoming.observe({
            onBody: body => this.handleBody(key, body),
            onWithdrawn: () => this.handleWithdrawal(key),
        });
        this.applyDecision(this.options.queue.offer({
            callId: key,
            route: offer.route,
            priority: offer.priority,
            organisation: offer.organisation,
            isInner: offer.isInner,
            spareOnly: offer.spareOnly,
            objectiveAt: now + offer.objectiveMs,
            deadlineAt,
            transferMs: this.estimateTransferMs(offer.route),
            draw: () => drawOf(offer.callId),
        }));
    }

    /** Transmission time on the link of a mean-size response of the route. */
    private estimateTransferMs(route: string): Milliseconds {
        return this.options.pacer.transmissionTimeMs(this.responseSizes.meanBytes(route));
    }

    private findRefusalReason(offer: Offer): CallReason | undefined {
        if (offer.target !== this.options.target.announced?.id) {
            return CallReason.NoTarget;
        }
        const { kind } = this.options.quarantine.check(offer.fingerprint);
        return kind === QuarantineDecisionKind.Held ? CallReason.Quarantined : undefined;
    }

    private applyDecision(decision: OfferDecision): void {
        switch (decision.kind) {
            case OfferDecisionKind.Queued:
                this.pending.get(decision.callId)?.incoming.reportQueued();
                this.applyQueueEvents(decision.evicted === undefined ? [] : [decision.evicted]);
                return this.scheduleExpiry();
            case OfferDecisionKind.Granted:
            case OfferDecisionKind.Refused:
                return this.applyQueueEvents([decision]);
            default:
                return assertNever(decision);
        }
    }

    private applyQueueEvents(events: readonly QueueEvent[]): void {
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
            this.handleFinished(key, RunResult.Cancelled);
        }, bodyTimeoutMs);
        pending.incoming.grant();
    }

    private handleBody(key: string, body: Buffer): void {
        const pending = this.pending.get(key);
        if (pending?.bodyTimer === undefined) {
            return;
        }
        clearTimeout(pending.bodyTimer);
        this.pending.delete(key);
        const { incoming } = pending;
        const { callId, route } = incoming.message.offer;
        void this.options.faults.runAsync("target-call", { call: callId, route }, () => this.runCall(key, pending, body), () => {
            this.removeCall(key, callId);
            incoming.reportLoss({ reason: CallReason.AnswerLost, report: this.createReport(route) });
            this.handleFinished(key, RunResult.Broken);
        });
    }

    private async runCall(key: string, { incoming, deadlineAt }: PendingOffer, body: Buffer): Promise<void> {
        const { offer } = incoming.message;
        this.running.set(offer.callId, { key, offer });
        const { announced } = this.options.target;
        const startedAt = this.options.clock.now();
        const targetStartedAt = announced?.startedAt ?? 0;
        const call = new TargetCall({ incoming, body, deadlineAt, targetStartedAt }, this.services);
        this.unqueuedCalls?.add(key, call);
        incoming.observe({
            onBody: () => undefined,
            onWithdrawn: () => call.handleWithdrawal(),
        });
        const account = this.options.bufferBudget.open();
        account.set(body.length);
        this.heldBodyBytes += body.length;
        const result = await call.run().finally(() => {
            account.set(0);
            this.heldBodyBytes -= body.length;
        });
        this.removeCall(key, offer.callId);
        this.evidence.record({ target: announced, route: offer.route, result, startedAt });
        this.responsesInFlight++;
        void call.whenFlushed().then(() => {
            this.responsesInFlight--;
        });
        if (result === RunResult.Answered) {
            this.responseSizes.add(offer.route, call.responseBytes);
            this.options.quarantine.recordCompletion(offer.fingerprint);
        }
        this.handleFinished(key, result);
    }

    private handleFinished(key: string, result: RunResult): void {
        const { queue } = this.options;
        if (this.unqueuedCalls?.handleFinished(key, result) !== true) {
            this.applyQueueEvents(queue.finish(key, result));
            this.unqueuedCalls?.check();
        }
    }

    private removeCall(key: string, callId: string): void {
        this.running.delete(callId);
        this.unqueuedCalls?.remove(key);
    }

    private handleWithdrawal(key: string): void {
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
            this.handleFinished(key, RunResult.Cancelled);
        }
    }

    private scheduleExpiry(): void {
        if (this.queueTimer === undefined && this.options.queue.queuedCalls > 0) {
            this.queueTimer = setTimeout(() => {
                this.queueTimer = undefined;
                this.options.faults.run("queue-timer", {}, () => this.applyQueueEvents(this.options.queue.advance()));
                this.scheduleExpiry();
            }, queueExpiryIntervalMs);
        }
    }

    private refuse(incoming: IncomingOffer, reason: CallReason, retryAfterMs: Milliseconds): void {
        const { route, callId, target, priority, organisation } = incoming.message.offer;
        const report = this.createReport(route);
        const { running, queued, slots, availability, meanRunTimeMs } = report.load;
        this.options.log.info("offer-refused", {
            call: callId,
            route,
            target,
            reason,
            priority,
            organisation,
            running,
            queued,
            slots,
            availability,
            meanRunTimeMs: Math.round(meanRunTimeMs),
        });
        incoming.refuse({ reason, retryAfterMs: Math.ceil(retryAfterMs), report });
    }

    private handleTargetHead({ callsPerSecond, isLeaving }: TargetResponseHead, startedAt: Milliseconds): void {
        const { target, queue, handleTargetLeaving } = this.options;
        queue.limit.handleResponse(callsPerSecond);
        this.limitLog.recordLimit("target", this.callsSent);
        if (isLeaving && target.announced?.startedAt === startedAt && target.leaving === undefined) {
            this.options.log.info("target-leaving", { target: target.announced.id, startedAt, sent: this.callsSent });
            handleTargetLeaving({ id: target.announced.id, startedAt });
        }
    }

    private handleBrokenConnection(connection: BrokenConnection): void {
        this.brokenConnections.push({ ...connection, at: this.options.clock.wallTime() });
        if (this.brokenConnections.length === 1) {
            const check = (): Promise<void> => this.checkForCrash();
            setTimeout(() => void this.options.faults.runAsync("crash-check", {}, check), crashProbeDelayMs);
        }
    }

    /** If the target no longer listens, it has crashed, possibly because of one of the calls in flight. */
    private async checkForCrash(): Promise<void> {
        const { brokenConnections: connections } = this;
        this.brokenConnections = [];
        const { target, targetAddress, log } = this.options;
        if (await probeListener(targetAddress)) {
            return;
        }
        target.recordConnectionRefused();
        this.updateAvailability();
        log.warn("target-crashed", { target: connections[0]?.target, calls: connections.length });
        this.options.handleTargetCrash(connections.map(({ fingerprint, target: crashed, ageMs, at }) =>
            ({ fingerprint, target: crashed, at, startedAt: at - ageMs })));
    }
}
