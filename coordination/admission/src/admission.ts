/**
 * Admission control: decides for each call whether it may run now, is queued, or is refused before it reaches a target.
 *
 * Owns the rate limits, the queues and the learned run times. It does not choose targets: `Dispatcher` queries the
 * router and calls `enqueue` if no target has capacity.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import type { Random } from "@bilberrycroft/core.random";
import { CallReason } from "@bilberrycroft/protocol.calls";
import { RunTimeClass } from "@bilberrycroft/state.rules";
import { CallQueue } from "./callQueue";
import { RateLimits } from "./rateLimits";
import { RunTimes } from "./runTimes";
import { AdmissionKind, DispatchKind } from "./types";
import type { AdmissionDecision, PendingCall, RefusedDecision, SubmittedCall } from "./types";

/**
 * Maximum time in a queue. A caller that is refused early can still try elsewhere. At three times the capacity, 300 ms
 * for short calls gave no more goodput than 100 ms and a higher p99 (docs/measurements.md, case b).
 */
const maxWaitMs: Record<RunTimeClass, Milliseconds> = {
    [RunTimeClass.Short]: 100,
    [RunTimeClass.Long]: 3_000,
};
/** A queue may hold this many calls even if the expected wait is too long for them. */
const minQueueLimit = 8;
const maxQueueLimit = 512;
const maxQueuedCalls = 4_096;
const minRetryAfterMs = 50;
const maxRetryAfterMs = 2_000;

export interface AdmissionOptions {
    readonly clock: Clock;
    readonly random: Random;
    /** Estimated mean time between two slot releases by calls of a service and class while all slots are in use. */
    readonly releaseIntervalMs: (service: string, runTimeClass: RunTimeClass) => Milliseconds;
}

interface ServiceQueues {
    readonly [RunTimeClass.Short]: CallQueue;
    readonly [RunTimeClass.Long]: CallQueue;
}

export class Admission {
    readonly runTimes = new RunTimes();
    private readonly rateLimits: RateLimits;
    private readonly queues = new Map<string, ServiceQueues>();

    constructor(private readonly options: AdmissionOptions) {
        this.rateLimits = new RateLimits(options.clock);
    }

    /** Checks deadline, rate limits and queue of a new call. */
    submit(call: SubmittedCall): AdmissionDecision {
        const pending = this.createPending(call);
        if (this.options.clock.now() + pending.expectedRunTimeMs >= call.deadlineAt) {
            return this.refuse(pending, CallReason.DeadlinePassed, 0);
        }
        const rateWaitMs = this.rateLimits.tryAcquire([
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

    /** Queues a call that no target has capacity for, or refuses it if it cannot start in time. */
    enqueue(pending: PendingCall): AdmissionDecision {
        const now = this.options.clock.now();
        const queue = this.queueOf(pending);
        const { deadlineAt } = pending.call;
        pending.latestStartAt = Math.min(deadlineAt - pending.expectedRunTimeMs, now + maxWaitMs[pending.runTimeClass]);
        if (now + this.expectedWaitMs(pending, queue) >= pending.latestStartAt) {
            return this.refuse(pending, CallReason.Overloaded, this.retryAfterMs(pending));
        }
        queue.push(pending, now);
        const shed = this.shedExcess(queue, pending);
        const refusedItself = shed.find(refused => refused.callId === pending.call.callId);
        return refusedItself === undefined
            ? { kind: AdmissionKind.Queued, pending, shed }
            : { kind: AdmissionKind.Refused, refused: refusedItself };
    }

    /** The call of a service and class to serve next. It stays queued until `serve`. */
    peek(service: string, runTimeClass: RunTimeClass): PendingCall | undefined {
        return this.queues.get(service)?.[runTimeClass].peek(this.options.clock.now());
    }

    /** Removes a call that starts from its queue and charges its tenant. */
    serve(pending: PendingCall): void {
        this.queueOf(pending).serve(pending);
    }

    /** Removes a call from its queue without charging its tenant. Returns false if it is not queued. */
    cancel(callId: string): boolean {
        for (const queues of this.queues.values()) {
            const removed = queues[RunTimeClass.Short].remove(callId) ?? queues[RunTimeClass.Long].remove(callId);
            if (removed !== undefined) {
                return true;
            }
        }
        return false;
    }

    /** Services that have queued calls. */
    servicesWithQueuedCalls(): string[] {
        return [...this.queues.keys()].filter(service => this.queuedCallsOf(service) > 0);
    }

    /** Removes and refuses the queued calls that can no longer start in time. */
    expire(): RefusedDecision[] {
        const now = this.options.clock.now();
        const refused: RefusedDecision[] = [];
        for (const queues of this.queues.values()) {
            for (const runTimeClass of [RunTimeClass.Short, RunTimeClass.Long]) {
                const expired = queues[runTimeClass].expire(now);
                refused.push(...expired.map(pending => this.refuseWithRetryAfter(pending)));
            }
        }
        return refused;
    }

    /** Creates a refusal with the current retry-after time of the call's queue. Does not remove the call from it. */
    refuseWithRetryAfter(pending: PendingCall, reason = CallReason.Overloaded): RefusedDecision {
        return this.createRefused(pending, reason, this.retryAfterMs(pending));
    }

    /** Number of calls in all queues. */
    get queuedCalls(): number {
        let count = 0;
        for (const service of this.queues.keys()) {
            count += this.queuedCallsOf(service);
        }
        return count;
    }

    private createPending(call: SubmittedCall): PendingCall {
        return {
            call,
            runTimeClass: this.runTimes.classOf(call.route),
            expectedRunTimeMs: this.runTimes.expectedRunTimeMs(call.route) ?? 0,
            // Inner calls go first within their priority: refusing one wastes the work of its outer calls.
            rank: call.route.priority * 2 + (call.depth > 0 ? 1 : 0),
            latestStartAt: call.deadlineAt,
        };
    }

    /** Under overload a tenant's newest call is served first. Calls of other tenants ahead of it are not counted. */
    private expectedWaitMs(pending: PendingCall, queue: CallQueue): Milliseconds {
        const ahead = queue.isOverloaded(this.options.clock.now()) ? 0 : queue.countAtOrAbove(pending.rank);
        return (ahead + 1) * this.options.releaseIntervalMs(pending.call.route.to, pending.runTimeClass);
    }

    private shedExcess(queue: CallQueue, pending: PendingCall): RefusedDecision[] {
        const shed: RefusedDecision[] = [];
        const limit = this.queueLimit(pending);
        while (queue.size > limit || this.queuedCalls > maxQueuedCalls) {
            const first = queue.firstToShed as PendingCall;
            queue.remove(first.call.callId);
            shed.push(this.refuseWithRetryAfter(first));
        }
        return shed;
    }

    /** Number of calls that can be served within the maximum wait, clamped to the queue limits. */
    private queueLimit(pending: PendingCall): number {
        const intervalMs = this.options.releaseIntervalMs(pending.call.route.to, pending.runTimeClass);
        const servableCalls = maxWaitMs[pending.runTimeClass] / Math.max(intervalMs, 0.01);
        return Math.min(maxQueueLimit, Math.max(minQueueLimit, Math.floor(servableCalls)));
    }

    /** Random jitter of up to a factor of two keeps refused callers from retrying at the same time. */
    private retryAfterMs(pending: PendingCall): Milliseconds {
        const queuedCalls = this.queueOf(pending).size + 1;
        const drainMs = queuedCalls * this.options.releaseIntervalMs(pending.call.route.to, pending.runTimeClass);
        const bounded = Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, drainMs));
        return Math.ceil(bounded * (1 + this.options.random.nextFraction()));
    }

    private refuse(pending: PendingCall, reason: CallReason, retryAfterMs: Milliseconds): AdmissionDecision {
        return { kind: AdmissionKind.Refused, refused: this.createRefused(pending, reason, retryAfterMs) };
    }

    private createRefused(pending: PendingCall, reason: CallReason, retryAfterMs: Milliseconds): RefusedDecision {
        return {
            kind: DispatchKind.Refused,
            callId: pending.call.callId,
            reason,
            retryAfterMs: Math.ceil(retryAfterMs),
        };
    }

    private queueOf(pending: PendingCall): CallQueue {
        const service = pending.call.route.to;
        const existing = this.queues.get(service);
        if (existing !== undefined) {
            return existing[pending.runTimeClass];
        }
        const created: ServiceQueues = {
            [RunTimeClass.Short]: new CallQueue(),
            [RunTimeClass.Long]: new CallQueue(),
        };
        this.queues.set(service, created);
        return created[pending.runTimeClass];
    }

    private queuedCallsOf(service: string): number {
        const queues = this.queues.get(service);
        return queues === undefined ? 0 : queues[RunTimeClass.Short].size + queues[RunTimeClass.Long].size;
    }
}
