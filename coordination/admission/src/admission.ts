/**
 * Decides for each call whether it may run now, waits, or is refused before any target has seen it.
 *
 * Admission owns rate limits, queues and learned run times. It does not choose targets: `Dispatcher` asks the router
 * and comes back with `enqueue` when no target has room.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import type { Random } from "@bilberrycroft/core.random";
import { CallReason } from "@bilberrycroft/protocol.calls";
import { RunTimeClass } from "@bilberrycroft/state.rules";
import { CallQueue } from "./callQueue";
import { RateLimits } from "./rateLimits";
import { RunTimes } from "./runTimes";
import { AdmissionKind, DispatchKind } from "./types";
import type { AdmissionDecision, PendingCall, Refused, SubmittedCall } from "./types";

/**
 * Longest wait in a queue. A caller that is refused early can still try elsewhere. At three times the capacity 300 ms
 * for short calls gave no more goodput than 100 ms and a higher p99 (docs/measurements.md, case b).
 */
const longestWaitMs: Record<RunTimeClass, Milliseconds> = {
    [RunTimeClass.Short]: 100,
    [RunTimeClass.Long]: 3_000,
};
/** A queue may always hold this many calls, whatever its expected wait. */
const shortestQueue = 8;
const longestQueue = 512;
const maxQueuedCalls = 4_096;
const shortestRetryAfterMs = 50;
const longestRetryAfterMs = 2_000;

/** Options of `Admission`. */
export interface AdmissionOptions {
    readonly clock: Clock;
    readonly random: Random;
    /** Mean time between two freed slots of a service and class while it is busy. */
    readonly slotIntervalMs: (service: string, runTimeClass: RunTimeClass) => Milliseconds;
}

interface ServiceQueues {
    readonly [RunTimeClass.Short]: CallQueue;
    readonly [RunTimeClass.Long]: CallQueue;
}

/** Rate limits, queues and deadlines. */
export class Admission {
    readonly runTimes = new RunTimes();
    private readonly rateLimits: RateLimits;
    private readonly queues = new Map<string, ServiceQueues>();

    constructor(private readonly options: AdmissionOptions) {
        this.rateLimits = new RateLimits(options.clock);
    }

    /** Decides for a new call. */
    submit(call: SubmittedCall): AdmissionDecision {
        const pending = this.createPending(call);
        if (this.options.clock.now() + pending.expectedMs >= call.deadlineAt) {
            return this.refuse(pending, CallReason.DeadlinePassed, 0);
        }
        const rateWaitMs = this.rateLimits.take([
            { name: `tenant ${call.tenant.name}`, ratePerSecond: call.tenant.ratePerSecond },
            { name: `route ${call.route.name}`, ratePerSecond: call.route.ratePerSecond },
        ]);
        if (rateWaitMs > 0) {
            return this.refuse(pending, CallReason.RateLimited, rateWaitMs);
        }
        const highestRank = this.queueOf(pending).highestRank;
        if (highestRank !== undefined && highestRank >= pending.rank) {
            return this.enqueue(pending);
        }
        return { kind: AdmissionKind.Run, pending };
    }

    /** Queues a call that found no room, or refuses it when it can not be served in time. */
    enqueue(pending: PendingCall): AdmissionDecision {
        const now = this.options.clock.now();
        const queue = this.queueOf(pending);
        const { deadlineAt } = pending.call;
        pending.queuedAt = now;
        pending.startBy = Math.min(deadlineAt - pending.expectedMs, now + longestWaitMs[pending.runTimeClass]);
        if (now + this.expectedWaitMs(pending, queue) >= pending.startBy) {
            return this.refuse(pending, CallReason.Overloaded, this.retryAfterMs(pending));
        }
        queue.push(pending, now);
        const shed = this.shedExcess(queue, pending);
        const refusedItself = shed.find(refused => refused.callId === pending.call.callId);
        return refusedItself === undefined
            ? { kind: AdmissionKind.Queued, pending, shed }
            : { kind: AdmissionKind.Refused, refused: refusedItself };
    }

    /** The call of a service and class to serve next; stays queued until `serve`. */
    next(service: string, runTimeClass: RunTimeClass): PendingCall | undefined {
        return this.queues.get(service)?.[runTimeClass].peek(this.options.clock.now());
    }

    /** Takes a call out of its queue because it starts. */
    serve(pending: PendingCall): void {
        this.queueOf(pending).serve(pending);
    }

    /** Takes a call out of its queue because its caller left; false if it does not wait. */
    cancel(callId: string): boolean {
        for (const queues of this.queues.values()) {
            const removed = queues[RunTimeClass.Short].remove(callId) ?? queues[RunTimeClass.Long].remove(callId);
            if (removed !== undefined) {
                return true;
            }
        }
        return false;
    }

    /** Services with waiting calls. */
    waitingServices(): string[] {
        return [...this.queues.keys()].filter(service => this.sizeOf(service) > 0);
    }

    /** Refuses the calls that can no longer start in time. */
    expire(): Refused[] {
        const now = this.options.clock.now();
        const refused: Refused[] = [];
        for (const queues of this.queues.values()) {
            for (const runTimeClass of [RunTimeClass.Short, RunTimeClass.Long]) {
                const expired = queues[runTimeClass].expire(now);
                refused.push(...expired.map(pending => this.refuseQueued(pending)));
            }
        }
        return refused;
    }

    /** Refuses a call that was taken out of its queue. */
    refuseQueued(pending: PendingCall, reason = CallReason.Overloaded): Refused {
        return this.createRefused(pending, reason, this.retryAfterMs(pending));
    }

    /** Calls that wait in all queues. */
    get queuedCalls(): number {
        let count = 0;
        for (const service of this.queues.keys()) {
            count += this.sizeOf(service);
        }
        return count;
    }

    private createPending(call: SubmittedCall): PendingCall {
        return {
            call,
            runTimeClass: this.runTimes.classOf(call.route),
            expectedMs: this.runTimes.expectedMs(call.route) ?? 0,
            // Calls below other calls go first within their priority: refusing them wastes the work above them.
            rank: call.route.priority * 2 + (call.depth > 0 ? 1 : 0),
            startBy: call.deadlineAt,
            queuedAt: this.options.clock.now(),
        };
    }

    /** Under overload the newest call of a tenant is served next, so only other tenants' calls are ahead of it. */
    private expectedWaitMs(pending: PendingCall, queue: CallQueue): Milliseconds {
        const ahead = queue.isOverloaded(this.options.clock.now()) ? 0 : queue.countFrom(pending.rank);
        return (ahead + 1) * this.options.slotIntervalMs(pending.call.route.to, pending.runTimeClass);
    }

    private shedExcess(queue: CallQueue, pending: PendingCall): Refused[] {
        const shed: Refused[] = [];
        const limit = this.queueLimit(pending);
        while (queue.size > limit || this.queuedCalls > maxQueuedCalls) {
            const first = queue.firstToShed as PendingCall;
            queue.remove(first.call.callId);
            shed.push(this.refuseQueued(first));
        }
        return shed;
    }

    /** Calls that can be served within the longest wait. */
    private queueLimit(pending: PendingCall): number {
        const intervalMs = this.options.slotIntervalMs(pending.call.route.to, pending.runTimeClass);
        const served = longestWaitMs[pending.runTimeClass] / Math.max(intervalMs, 0.01);
        return Math.min(longestQueue, Math.max(shortestQueue, Math.floor(served)));
    }

    /** Spread over a factor of two, so that refused callers do not come back together. */
    private retryAfterMs(pending: PendingCall): Milliseconds {
        const waiting = this.queueOf(pending).size + 1;
        const drainMs = waiting * this.options.slotIntervalMs(pending.call.route.to, pending.runTimeClass);
        const bounded = Math.min(longestRetryAfterMs, Math.max(shortestRetryAfterMs, drainMs));
        return Math.ceil(bounded * (1 + this.options.random.nextFraction()));
    }

    private refuse(pending: PendingCall, reason: CallReason, retryAfterMs: Milliseconds): AdmissionDecision {
        return { kind: AdmissionKind.Refused, refused: this.createRefused(pending, reason, retryAfterMs) };
    }

    private createRefused(pending: PendingCall, reason: CallReason, retryAfterMs: Milliseconds): Refused {
        return {
            kind: DispatchKind.Refused,
            callId: pending.call.callId,
            reason,
            retryAfterMs: Math.ceil(retryAfterMs),
        };
    }

    private queueOf(pending: PendingCall): CallQueue {
        const service = pending.call.route.to;
        const known = this.queues.get(service);
        if (known !== undefined) {
            return known[pending.runTimeClass];
        }
        const created: ServiceQueues = {
            [RunTimeClass.Short]: new CallQueue(),
            [RunTimeClass.Long]: new CallQueue(),
        };
        this.queues.set(service, created);
        return created[pending.runTimeClass];
    }

    private sizeOf(service: string): number {
        const queues = this.queues.get(service);
        return queues === undefined ? 0 : queues[RunTimeClass.Short].size + queues[RunTimeClass.Long].size;
    }
}
