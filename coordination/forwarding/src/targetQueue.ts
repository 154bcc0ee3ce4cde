/**
 * Admission control and priority queue at the target's node.
 *
 * All calls to the target pass through this node, so only this node knows what runs there. It grants at most as many
 * calls as the target has slots, and no more than the limit that the target names allows. Inner calls (made by a target
 * while it runs another call) go first, because their outer call occupies a slot elsewhere while it waits. Calls that
 * cannot finish in time are refused immediately. Within a priority, organisations share the target (see `FairShare`).
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import type { Random } from "@bilberrycroft/core.random";
import { CallReason } from "@bilberrycroft/protocol.calls";
import { TargetAvailability, type TargetLoad } from "@bilberrycroft/protocol.forwarding";
import { AcceptedCalls } from "./acceptedCalls";
import { AnnouncedSlots, ConcurrencyLimit, type SlotLimit } from "./concurrencyLimit";
import { FairShare, type OrganisationName } from "./fairShare";
import { InnerCallRoom } from "./innerCallRoom";
import { RequestLimit } from "./requestLimit";
import { RunTimeEstimates } from "./runTimes";
import {
    type OfferDecision,
    OfferDecisionKind,
    type OfferedCall,
    type OfferRefusal,
    type QueueEvent,
    RunResult,
} from "./targetQueueTypes";
import { UnansweredCalls } from "./unansweredCalls";

export interface TargetQueueOptions {
    readonly clock: Clock;
    readonly random: Random;
    /** Time until all responses that are queued for this host's link are sent. */
    linkBacklogMs(): Milliseconds;
    /**
     * Whether to learn how many calls the target handles well, and to refuse calls early by what was learned. The
     * announced slots alone decide by default.
     */
    readonly learnsCapacity?: boolean | undefined;
    /** Whether a target may leave calls that it cannot queue without a response; off by default. */
    readonly recognizesUnqueuedCalls?: boolean | undefined;
    /** Number of calls to run at once; learned or announced by default. */
    readonly slotLimit?: SlotLimit;
}

/** Maximum queue length; calls in a longer queue could not finish in time. */
const maxQueuedCalls = 512;
/** Run times vary, so a call can meet its objective only if this multiple of its estimated run time fits before it. */
const objectiveSafetyFactor = 1.2;
/**
 * Share of the time between objective and deadline that a queued call may use. A late response has less value, and a
 * caller that is refused early can still retry.
 */
const queueGraceShare = 0.25;
/** Shorter crowds are bursts, after which there is room for late responses too. */
const crowdedAfterMs: Milliseconds = 500;
/** Responses with a shorter transfer time are not queued behind large ones. */
const shortTransferMs: Milliseconds = 5;
const minRetryAfterMs: Milliseconds = 50;
const maxRetryAfterMs: Milliseconds = 1_000;
/** Weight of the latest call in the moving average of failures. */
const failureEwmaWeight = 0.08;

interface QueuedCall {
    readonly call: OfferedCall;
    /** Time from which the call can no longer finish in time. */
    readonly refuseAt: Milliseconds;
    readonly arrival: Arrival;
}

/** When a call was offered, and in which period of the learned limit. */
interface Arrival {
    readonly at: Milliseconds;
    readonly period: number;
}

interface RunningCall {
    readonly route: string;
    readonly organisation: OrganisationName;
    readonly startedAt: Milliseconds;
    readonly transferMs: Milliseconds;
    /** Run time that was charged to the organisation at the start. */
    readonly chargedMs: Milliseconds;
    /** Calls that ran when this one started, itself included. */
    readonly place: number;
    readonly objectiveAt: Milliseconds;
    readonly arrival: Arrival;
    innerCalls: number;
}

export class TargetQueue {
    private readonly runTimes = new RunTimeEstimates();
    private readonly running = new Map<string, RunningCall>();
    private readonly fairShare: FairShare;
    private queue: QueuedCall[] = [];
    private slots = 0;
    private availability = TargetAvailability.Down;
    private failureShare = 0;
    /** Time since which the queue has not been empty; of no meaning while it is. */
    private queuingSince: Milliseconds = 0;
    /** `undefined` unless unqueued calls are recognized. */
    private readonly unanswered: UnansweredCalls | undefined;
    private readonly accepted: AcceptedCalls;
    private readonly slotLimit: SlotLimit;
    /** `undefined` unless capacity is learned. */
    private readonly innerCallRoom: InnerCallRoom | undefined;
    /** Limit that the target names. */
    readonly limit: RequestLimit;

    constructor(private readonly options: TargetQueueOptions) {
        this.limit = new RequestLimit(options.clock);
        this.fairShare = new FairShare(options.clock);
        this.accepted = new AcceptedCalls(options.clock);
        const { learnsCapacity, recognizesUnqueuedCalls, clock } = options;
        this.unanswered = recognizesUnqueuedCalls === true ? new UnansweredCalls(clock, this.runTimes) : undefined;
        this.innerCallRoom = learnsCapacity === true ? new InnerCallRoom(clock) : undefined;
        this.slotLimit = options.slotLimit
            ?? (learnsCapacity === true ? new ConcurrencyLimit(clock) : new AnnouncedSlots());
    }

    /** Forgets what was learned of the target, because it was replaced. */
    handleReplacement(): void {
        this.limit.reset();
        this.accepted.reset();
        this.slotLimit.reset();
        this.innerCallRoom?.reset();
    }

    /** Updates the target's slots and availability; returns the queued calls that are now granted or refused. */
    setTarget(target: { readonly slots: number; readonly availability: TargetAvailability }): QueueEvent[] {
        this.slots = target.slots;
        this.availability = target.availability;
        if (target.availability === TargetAvailability.Serving) {
            return this.startNext();
        }
        const refused = this.queue.map(({ call }) => this.refuse(call, this.unavailableReason()));
        this.queue = [];
        return refused;
    }

    offer(call: OfferedCall): OfferDecision {
        if (this.availability !== TargetAvailability.Serving) {
            return this.refuse(call, this.unavailableReason());
        }
        this.fairShare.observe(call.organisation);
        const now = this.options.clock.now();
        if (now + this.expectedRunMs(call) >= call.deadlineAt && call.deadlineAt - now < this.runTimes.meanMs) {
            return this.refuse(call, CallReason.DeadlinePassed);
        }
        if (this.findsNoInnerRoom(call)) {
            return this.refuse(call, CallReason.Overloaded);
        }
        const sendAfterRunMs = this.expectedSendMs(call.transferMs, this.expectedRunMs(call));
        if (sendAfterRunMs > 0 && now + this.expectedRunMs(call) + sendAfterRunMs > call.deadlineAt) {
            return this.refuse(call, CallReason.Overloaded);
        }
        const arrival = { at: now, period: this.slotLimit.period };
        if (this.queue.length === 0 && this.mayStart()) {
            return this.grant(call, arrival);
        }
        if (call.spareOnly) {
            return this.refuse(call, CallReason.Overloaded);
        }
        const expectedWaitMs = this.expectedWaitMs(call);
        const hasRoom = this.queue.length < maxQueuedCalls && this.canWait(call, expectedWaitMs, now);
        const evicted = hasRoom ? undefined : this.evictFor(call, now);
        if (!hasRoom && evicted === undefined) {
            return this.refuse(call, CallReason.Overloaded);
        }
        const refuseAt = this.latestEndAt(call, now) - this.expectedRunMs(call) - call.transferMs;
        if (this.queue.length === 0) {
            this.queuingSince = now;
        }
        this.queue.push({ call, refuseAt, arrival });
        return { kind: OfferDecisionKind.Queued, callId: call.callId, expectedWaitMs, evicted };
    }

    private findsNoInnerRoom(call: OfferedCall): boolean {
        return !call.isInner && this.innerCallRoom?.refuses(call.route, () => call.draw?.() ?? 1) === true;
    }

    /** Whether the call can end in time if it waits that long. */
    private canWait(call: OfferedCall, waitMs: Milliseconds, now: Milliseconds): boolean {
        const runMs = this.expectedRunMs(call);
        const sendMs = this.expectedSendMs(call.transferMs, waitMs + runMs);
        const latestEndAt = this.isCrowded(now) && !call.isInner
            ? this.objectiveWithin(call, now)
            : this.latestEndAt(call, now);
        return now + waitMs + runMs + sendMs <= latestEndAt;
    }

    /**
     * Refuses a queued call of the same priority and kind (inner or not), so that `call` has room: the last one of the
     * organisation that has the most of them in relation to its share. Returns `undefined` if `call` is the one to be
     * refused, as it is while one organisation is present.
     */
    private evictFor(call: OfferedCall, now: Milliseconds): OfferRefusal | undefined {
        const isRival = (other: OfferedCall): boolean =>
            other.isInner === call.isInner && other.priority === call.priority;
        if (!this.queue.some(({ call: other }) => isRival(other) && other.organisation !== call.organisation)) {
            return undefined;
        }
        const rivals = this.queue.filter(({ call: other }) => isRival(other));
        const counts = new Map<OrganisationName, number>();
        rivals.forEach(({ call: { organisation } }) => counts.set(organisation, (counts.get(organisation) ?? 0) + 1));
        const aheadOfPriority = this.countAhead(call) - rivals.length;
        const ahead = aheadOfPriority + this.fairShare.countAhead(call.organisation, counts, this.runTimes.meanMs);
        const excess = this.fairShare.findExcess(call.organisation, counts, this.runTimes.meanMs);
        if (excess === undefined || !this.canWait(call, this.startDelayMs(ahead + 1), now)) {
            return undefined;
        }
        const last = rivals.filter(({ call: { organisation } }) => organisation === excess.organisation)
            .reduce((latest, rival) => this.precedes(rival.call, latest.call, now) ? latest : rival);
        this.queue = this.queue.filter(queued => queued !== last);
        return this.refuse(last.call, CallReason.Overloaded);
    }

    /** Records the end of a granted call; returns the queued calls that are now granted or refused. */
    finish(callId: string, result: RunResult): QueueEvent[] {
        const call = this.running.get(callId);
        if (call === undefined) {
            return [];
        }
        this.running.delete(callId);
        this.fairShare.charge(call.organisation, this.options.clock.now() - call.startedAt - call.chargedMs);
        this.innerCallRoom?.recordCall(call.route, call.innerCalls);
        this.unanswered?.recordEnd(callId, result === RunResult.Answered || result === RunResult.Failed);
        if (result === RunResult.Unqueued) {
            this.accepted.recordOverflow(call.place - 1, call.startedAt);
        }
        // Neither a full target nor a cancelled call is a failure of the target.
        if (result !== RunResult.Cancelled && result !== RunResult.Shed && result !== RunResult.Unqueued) {
            const failed = result === RunResult.Answered ? 0 : 1;
            this.failureShare += failureEwmaWeight * (failed - this.failureShare);
        }
        if (result === RunResult.Answered) {
            this.recordRun(call);
        }
        return this.startNext();
    }

    private recordRun({ route, startedAt, place, objectiveAt, arrival, innerCalls }: RunningCall): void {
        const now = this.options.clock.now();
        this.runTimes.add(route, now - startedAt);
        this.slotLimit.recordRun({
            route,
            runMs: now - startedAt,
            running: place,
            hasInnerCalls: innerCalls > 0,
            period: arrival.period,
            isInTime: now <= objectiveAt,
            objectiveMs: objectiveAt - arrival.at,
        });
    }

    /** The target has shown by an inner call that it runs the call. */
    recordProgress(callId: string): void {
        const call = this.running.get(callId);
        if (call !== undefined) {
            call.innerCalls++;
        }
        this.unanswered?.recordProgress(callId);
    }

    /** Records the end of an inner call of a call on the route; `isRefused` if there was no room for it. */
    recordInnerCallEnd(route: string, isRefused: boolean): void {
        this.innerCallRoom?.recordInnerCall(route, isRefused);
    }

    /** Running calls that the target has probably never queued; `hasProgress` tells whether any byte has arrived. */
    findUnanswered(hasProgress: (callId: string) => boolean): string[] {
        return this.unanswered?.findOverdue(hasProgress) ?? [];
    }

    /** A call that was ended as `Unqueued` has got its response after all. */
    retractUnqueued(route: string, runMs: Milliseconds): QueueEvent[] {
        this.unanswered?.recordLateResponse(route, runMs);
        this.accepted.reset();
        return this.startNext();
    }

    /** Removes a queued call that was withdrawn by its caller. */
    cancel(callId: string): void {
        this.queue = this.queue.filter(({ call }) => call.callId !== callId);
    }

    /** Refuses the queued calls that can no longer finish in time, and grants those that the limit allows by now. */
    advance(): QueueEvent[] {
        return this.startNext();
    }

    private expireQueued(): QueueEvent[] {
        const now = this.options.clock.now();
        const isCrowded = this.isCrowded(now);
        const expired = this.queue.filter(({ call, refuseAt }) =>
            now >= refuseAt || (isCrowded && !call.isInner && !this.canMeetObjective(call, now)));
        if (expired.length === 0) {
            return [];
        }
        const gone = new Set(expired);
        this.queue = this.queue.filter(queued => !gone.has(queued));
        return expired.map(({ call }) => this.refuse(call, CallReason.Overloaded));
    }

    /**
     * Whether calls have waited without interruption for a time. A call that misses its objective then takes the place
     * of one that would meet it.
     */
    private isCrowded(now: Milliseconds): boolean {
        return this.options.learnsCapacity === true && this.queue.length > 1
            && now - this.queuingSince >= crowdedAfterMs;
    }

    /** Whether running calls are checked for ones that the target has never queued. */
    get recognizesUnqueuedCalls(): boolean {
        return this.unanswered !== undefined;
    }

    /** Number of calls that run in the target. */
    get runningCalls(): number {
        return this.running.size;
    }

    /** Number of queued calls. */
    get queuedCalls(): number {
        return this.queue.length;
    }

    /** Number of calls that the target may run at once: its slots, or fewer if it was found to handle fewer well. */
    get usableSlots(): number {
        return this.accepted.limitWithin(this.slotLimit.limitWithin(this.slots));
    }

    /** The same without a limit that is only being tried. */
    get learnedSlots(): number {
        return this.accepted.limitWithin(this.slotLimit.learnedWithin(this.slots));
    }

    /** Load report for a response to a call on the route. */
    load(route: string, transferMs: Milliseconds): TargetLoad {
        return {
            availability: this.availability,
            running: this.running.size,
            queued: this.queue.length,
            slots: this.slots,
            ...this.learnedSlots < this.slots && { usableSlots: this.learnedSlots },
            runTimeMs: this.runTimes.expectedMs(route),
            sendMs: this.expectedSendMs(transferMs, this.runTimes.expectedMs(route)),
            meanRunTimeMs: this.runTimes.meanMs,
            failureShare: this.failureShare,
            limit: this.limit.current,
        };
    }

    private grant(call: OfferedCall, arrival: Arrival): Extract<OfferDecision, { kind: OfferDecisionKind.Granted }> {
        const { route, organisation, transferMs, objectiveAt } = call;
        const chargedMs = this.expectedRunMs(call);
        this.fairShare.charge(organisation, chargedMs);
        const place = this.running.size + 1;
        this.running.set(call.callId, {
            route,
            organisation,
            startedAt: this.options.clock.now(),
            transferMs,
            chargedMs,
            place,
            objectiveAt,
            arrival,
            innerCalls: 0,
        });
        this.unanswered?.recordStart(call.callId, { route, deadlineAt: call.deadlineAt, place });
        return { kind: OfferDecisionKind.Granted, callId: call.callId };
    }

    private startNext(): QueueEvent[] {
        const events = this.expireQueued();
        while (this.queue.length > 0 && this.mayStart()) {
            const next = this.dequeueNext();
            events.push(this.grant(next.call, next.arrival));
        }
        return events;
    }

    /** Whether one more call may start now; takes it from the limit. */
    private mayStart(): boolean {
        return this.running.size < this.usableSlots && this.limit.tryTake();
    }

    private dequeueNext(): QueuedCall {
        const now = this.options.clock.now();
        let best = 0;
        for (let index = 1; index < this.queue.length; index++) {
            if (this.precedes((this.queue[index] as QueuedCall).call, (this.queue[best] as QueuedCall).call, now)) {
                best = index;
            }
        }
        return this.queue.splice(best, 1)[0] as QueuedCall;
    }

    /**
     * Whether `call` is granted before `other`: inner calls first, then by priority. Within a priority, those of the
     * organisation with the least recent service come first. Within an organisation, calls that can still meet their
     * objective come first, by earliest objective; the others follow by earliest deadline.
     */
    private precedes(call: OfferedCall, other: OfferedCall, now: Milliseconds): boolean {
        if (call.isInner !== other.isInner) {
            return call.isInner;
        }
        if (call.priority !== other.priority) {
            return call.priority < other.priority;
        }
        const difference = this.fairShare.compare(call.organisation, other.organisation);
        if (difference !== 0) {
            return difference < 0;
        }
        const canMeet = this.canMeetObjective(call, now);
        if (canMeet !== this.canMeetObjective(other, now)) {
            return canMeet;
        }
        return canMeet ? call.objectiveAt < other.objectiveAt : call.deadlineAt < other.deadlineAt;
    }

    /**
     * Latest acceptable end of a call. An inner call has value only as a part of its outer call, so its objective is
     * ignored and only its deadline limits it.
     */
    private latestEndAt(call: OfferedCall, now: Milliseconds): Milliseconds {
        const objectiveAt = this.objectiveWithin(call, now);
        return call.isInner ? call.deadlineAt : objectiveAt + queueGraceShare * (call.deadlineAt - objectiveAt);
    }

    private objectiveWithin(call: OfferedCall, now: Milliseconds): Milliseconds {
        return Math.min(Math.max(call.objectiveAt, now), call.deadlineAt);
    }

    private canMeetObjective(call: OfferedCall, now: Milliseconds): boolean {
        return now + objectiveSafetyFactor * this.expectedRunMs(call) <= call.objectiveAt;
    }

    private expectedRunMs(call: OfferedCall): Milliseconds {
        return this.runTimes.expectedMs(call.route);
    }

    /**
     * Time from the end of the run until the response is sent, including the responses queued before it. Responses that
     * are sent while the call waits and runs do not delay it.
     */
    private expectedSendMs(transferMs: Milliseconds, untilRunEndMs: Milliseconds): Milliseconds {
        if (transferMs < shortTransferMs) {
            return 0;
        }
        let backlogMs = this.options.linkBacklogMs();
        this.running.forEach(running => {
            backlogMs += running.transferMs;
        });
        return Math.max(0, backlogMs - untilRunEndMs) + transferMs;
    }

    /** Expected time until a slot is free for the call and the limit allows it, after the calls with precedence. */
    private expectedWaitMs(call: OfferedCall): Milliseconds {
        return this.startDelayMs(this.countAhead(call) + 1);
    }

    /** Number of queued calls of the same or a higher precedence, without regard to organisations. */
    private countAhead(call: OfferedCall): number {
        return this.queue.filter(({ call: other }) =>
            other.isInner || (!call.isInner && other.priority <= call.priority)).length;
    }

    /** Expected time until the given number of queued calls have started. */
    private startDelayMs(calls: number): Milliseconds {
        return Math.max(calls * this.runTimes.meanMs / Math.max(1, this.usableSlots), this.limit.delayMs(calls));
    }

    private unavailableReason(): CallReason {
        return this.availability === TargetAvailability.Leaving ? CallReason.Draining : CallReason.NoTarget;
    }

    /** Retry delays are spread over a factor of two, so that refused callers do not retry at the same time. */
    private refuse(call: OfferedCall, reason: CallReason): OfferRefusal {
        const bounded = Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, this.startDelayMs(this.queue.length + 1)));
        const retryAfterMs = Math.ceil(bounded * (1 + this.options.random.nextFraction()));
        return { kind: OfferDecisionKind.Refused, callId: call.callId, reason, retryAfterMs };
    }
}
