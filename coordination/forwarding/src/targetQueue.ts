/**
 * Queue of the node beside a target.
 *
 * All calls to the target pass this node, so it alone knows what runs there. It grants no more calls than the target
 * has slots, lets calls below other calls go first because those hold a slot elsewhere while they wait, and refuses at
 * once what could not end in time.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import type { Random } from "@bilberrycroft/core.random";
import { CallReason } from "@bilberrycroft/protocol.calls";
import { TargetAvailability, type TargetLoad } from "@bilberrycroft/protocol.forwarding";
import { RunTimeEstimates } from "./runTimes";

/** A call that another node offers. */
export interface OfferedCall {
    readonly callId: string;
    readonly route: string;
    readonly priority: number;
    /** The call was made by a target in the course of another call. */
    readonly isInner: boolean;
    /** Takes a free slot or none. */
    readonly spareOnly: boolean;
    readonly objectiveAt: Milliseconds;
    readonly deadlineAt: Milliseconds;
    /** Time that the link of this host usually takes for the answer. */
    readonly transferMs: Milliseconds;
}

/** Kinds of `OfferDecision`. */
export enum OfferDecisionKind {
    Granted = "granted",
    Queued = "queued",
    Refused = "refused",
}

/** What becomes of an offered call. */
export type OfferDecision =
    | { readonly kind: OfferDecisionKind.Granted; readonly callId: string }
    | { readonly kind: OfferDecisionKind.Queued; readonly callId: string; readonly expectedWaitMs: Milliseconds }
    | OfferRefusal;

/** An offer that reached no target. */
export interface OfferRefusal {
    readonly kind: OfferDecisionKind.Refused;
    readonly callId: string;
    readonly reason: CallReason;
    /** When to come back. */
    readonly retryAfterMs: Milliseconds;
}

/** Later decision for a call that was queued. */
export type QueueEvent = Extract<OfferDecision, { kind: OfferDecisionKind.Granted | OfferDecisionKind.Refused }>;

/** How a granted call ended. */
export enum RunResult {
    /** The target answered. */
    Answered = "answered",
    /** The target answered that it failed. */
    Failed = "failed",
    /** The target answered that it did not run the call. */
    Shed = "shed",
    /** No usable answer came. */
    Broken = "broken",
    /** The call was taken back before its end. */
    Cancelled = "cancelled",
}

/** What a `TargetQueue` is created from. */
export interface TargetQueueOptions {
    readonly clock: Clock;
    readonly random: Random;
    /** Time until the answers that wait for the link of this host have been sent. */
    linkBacklogMs(): Milliseconds;
}

/** Calls that may wait at once; a longer queue would only hold what can not be in time. */
const maxQueued = 512;
/** A run time varies; a call is taken to meet its objective if it would with this much more than the usual time. */
const objectiveMargin = 1.2;
/**
 * Part of the time between objective and deadline that a queued call may use. A late answer is worth less, and a caller
 * that is refused early can still come back.
 */
const lateShare = 0.25;
/** An answer that the link carries in less time does not wait for large ones. */
const shortTransferMs: Milliseconds = 5;
const shortestRetryAfterMs: Milliseconds = 50;
const longestRetryAfterMs: Milliseconds = 1_000;
/** Weight of the latest end in the share of failures. */
const failureGain = 0.08;

interface QueuedCall {
    readonly call: OfferedCall;
    /** From then on the call can not end in time. */
    readonly refuseAt: Milliseconds;
}

interface RunningCall {
    readonly route: string;
    readonly startedAt: Milliseconds;
    readonly transferMs: Milliseconds;
}

/** Admission and order of the calls of one target. */
export class TargetQueue {
    private readonly runTimes = new RunTimeEstimates();
    private readonly running = new Map<string, RunningCall>();
    private queue: QueuedCall[] = [];
    private slots = 0;
    private availability = TargetAvailability.Down;
    private failureShare = 0;

    constructor(private readonly options: TargetQueueOptions) {}

    /** Takes what is believed of the target; returns the queued calls that start or that are refused for it. */
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

    /** Decides for a new offer. */
    offer(call: OfferedCall): OfferDecision {
        if (this.availability !== TargetAvailability.Serving) {
            return this.refuse(call, this.unavailableReason());
        }
        const now = this.options.clock.now();
        if (now + this.expectedRunMs(call) >= call.deadlineAt && call.deadlineAt - now < this.runTimes.meanMs) {
            return this.refuse(call, CallReason.DeadlinePassed);
        }
        const sendAfterRunMs = this.expectedSendMs(call.transferMs, this.expectedRunMs(call));
        if (sendAfterRunMs > 0 && now + this.expectedRunMs(call) + sendAfterRunMs > call.deadlineAt) {
            return this.refuse(call, CallReason.Overloaded);
        }
        if (this.running.size < this.slots && this.queue.length === 0) {
            return this.grant(call);
        }
        if (call.spareOnly || this.queue.length >= maxQueued) {
            return this.refuse(call, CallReason.Overloaded);
        }
        const expectedWaitMs = this.expectedWaitMs(call);
        const sendMs = this.expectedSendMs(call.transferMs, expectedWaitMs + this.expectedRunMs(call));
        if (now + expectedWaitMs + this.expectedRunMs(call) + sendMs > this.latestEnd(call, now)) {
            return this.refuse(call, CallReason.Overloaded);
        }
        this.queue.push({ call, refuseAt: this.latestEnd(call, now) - this.expectedRunMs(call) - call.transferMs });
        return { kind: OfferDecisionKind.Queued, callId: call.callId, expectedWaitMs };
    }

    /** Takes the end of a granted call; returns what happens to queued calls. */
    finished(callId: string, result: RunResult): QueueEvent[] {
        const call = this.running.get(callId);
        if (call === undefined) {
            return [];
        }
        this.running.delete(callId);
        if (result !== RunResult.Cancelled) {
            const failed = result === RunResult.Answered ? 0 : 1;
            this.failureShare += failureGain * (failed - this.failureShare);
        }
        if (result === RunResult.Answered) {
            this.runTimes.add(call.route, this.options.clock.now() - call.startedAt);
        }
        return this.startNext();
    }

    /** Takes a call out of the queue because its caller left. */
    cancelled(callId: string): void {
        this.queue = this.queue.filter(({ call }) => call.callId !== callId);
    }

    /** Refuses the calls that can no longer be served. */
    expire(): QueueEvent[] {
        const now = this.options.clock.now();
        const expired = this.queue.filter(({ refuseAt }) => now >= refuseAt);
        if (expired.length === 0) {
            return [];
        }
        this.queue = this.queue.filter(({ refuseAt }) => now < refuseAt);
        return expired.map(({ call }) => this.refuse(call, CallReason.Overloaded));
    }

    /** Calls that run in the target. */
    get runningCalls(): number {
        return this.running.size;
    }

    /** Calls that wait. */
    get queuedCalls(): number {
        return this.queue.length;
    }

    /** Load for the answer to a call on the route. */
    load(route: string, transferMs: Milliseconds): TargetLoad {
        return {
            availability: this.availability,
            running: this.running.size,
            queued: this.queue.length,
            slots: this.slots,
            runTimeMs: this.runTimes.expectedMs(route),
            sendMs: this.expectedSendMs(transferMs, this.runTimes.expectedMs(route)),
            meanRunTimeMs: this.runTimes.meanMs,
            failureShare: this.failureShare,
        };
    }

    private grant(call: OfferedCall): Extract<OfferDecision, { kind: OfferDecisionKind.Granted }> {
        const { route, transferMs } = call;
        this.running.set(call.callId, { route, startedAt: this.options.clock.now(), transferMs });
        return { kind: OfferDecisionKind.Granted, callId: call.callId };
    }

    private startNext(): QueueEvent[] {
        const events = this.expire();
        while (this.running.size < this.slots && this.queue.length > 0) {
            const next = this.takeNext();
            events.push(this.grant(next));
        }
        return events;
    }

    private takeNext(): OfferedCall {
        const now = this.options.clock.now();
        let best = 0;
        for (let index = 1; index < this.queue.length; index++) {
            if (this.goesBefore((this.queue[index] as QueuedCall).call, (this.queue[best] as QueuedCall).call, now)) {
                best = index;
            }
        }
        return (this.queue.splice(best, 1)[0] as QueuedCall).call;
    }

    /** Inner calls first, then by priority, then those that can still meet their objective, the most pressing first. */
    private goesBefore(call: OfferedCall, other: OfferedCall, now: Milliseconds): boolean {
        if (call.isInner !== other.isInner) {
            return call.isInner;
        }
        if (call.priority !== other.priority) {
            return call.priority < other.priority;
        }
        const canMeet = this.canMeetObjective(call, now);
        if (canMeet !== this.canMeetObjective(other, now)) {
            return canMeet;
        }
        return canMeet ? call.objectiveAt < other.objectiveAt : call.deadlineAt < other.deadlineAt;
    }

    /** A call below another one has no value of its own; only its deadline counts. */
    private latestEnd(call: OfferedCall, now: Milliseconds): Milliseconds {
        const objectiveAt = Math.min(Math.max(call.objectiveAt, now), call.deadlineAt);
        return call.isInner ? call.deadlineAt : objectiveAt + lateShare * (call.deadlineAt - objectiveAt);
    }

    private canMeetObjective(call: OfferedCall, now: Milliseconds): boolean {
        return now + objectiveMargin * this.expectedRunMs(call) <= call.objectiveAt;
    }

    private expectedRunMs(call: OfferedCall): Milliseconds {
        return this.runTimes.expectedMs(call.route);
    }

    /**
     * Time that the link takes after the run, for the answers before this one and for its own. What is to be sent while
     * the call waits and runs is not in its way.
     */
    private expectedSendMs(transferMs: Milliseconds, untilAnsweredMs: Milliseconds): Milliseconds {
        if (transferMs < shortTransferMs) {
            return 0;
        }
        let backlogMs = this.options.linkBacklogMs();
        this.running.forEach(running => {
            backlogMs += running.transferMs;
        });
        return Math.max(0, backlogMs - untilAnsweredMs) + transferMs;
    }

    /** Time until a slot is free for the call, counting the calls that would go first. */
    private expectedWaitMs(call: OfferedCall): Milliseconds {
        const ahead = this.queue.filter(({ call: other }) =>
            other.isInner || (!call.isInner && other.priority <= call.priority));
        return (ahead.length + 1) * this.runTimes.meanMs / Math.max(1, this.slots);
    }

    private unavailableReason(): CallReason {
        return this.availability === TargetAvailability.Leaving ? CallReason.Draining : CallReason.NoTarget;
    }

    /** The time to come back is spread over a factor of two, so that refused callers do not return together. */
    private refuse(call: OfferedCall, reason: CallReason): OfferRefusal {
        const drainMs = (this.queue.length + 1) * this.runTimes.meanMs / Math.max(1, this.slots);
        const bounded = Math.min(longestRetryAfterMs, Math.max(shortestRetryAfterMs, drainMs));
        const retryAfterMs = Math.ceil(bounded * (1 + this.options.random.nextFraction()));
        return { kind: OfferDecisionKind.Refused, callId: call.callId, reason, retryAfterMs };
    }
}
