/**
 * Ways to place and queue calls that the load model compares: the product's decisions, and plain ones as a baseline.
 */
import {
    type CandidateRequest,
    type OfferDecision,
    OfferDecisionKind,
    type OfferedCall,
    type OfferRefusal,
    type QueueEvent,
    type RunResult,
    type TargetCandidate,
    TargetDirectory,
    type TargetDirectoryOptions,
    TargetQueue,
    type TargetQueueOptions,
} from "@bilberrycroft/coordination.forwarding";
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import type { Random } from "@bilberrycroft/core.random";
import { CallReason } from "@bilberrycroft/protocol.calls";
import type { NodeEntry } from "@bilberrycroft/protocol.forwarding";

export enum Strategy {
    /** The decisions of the product. */
    Product = "product",
    /** A random target; the product's queue. */
    Random = "random",
    /** The target with the fewest calls of the caller's node; the product's queue. */
    LeastInFlight = "least-in-flight",
    /** The one of two random targets with fewer calls of the caller's node; the product's queue. */
    TwoChoices = "two-choices",
    /** The product's choice of targets; a queue in the order of arrival that refuses calls past their deadline only. */
    Fifo = "fifo",
}

export function createDirectory(strategy: Strategy, options: TargetDirectoryOptions): TargetDirectory {
    switch (strategy) {
        case Strategy.Product:
        case Strategy.Fifo:
            return new TargetDirectory(options);
        case Strategy.Random:
            return new PlainDirectory(options, 1);
        case Strategy.TwoChoices:
            return new PlainDirectory(options, 2);
        case Strategy.LeastInFlight:
            return new PlainDirectory(options, Number.POSITIVE_INFINITY);
    }
}

export function createQueue(strategy: Strategy, options: TargetQueueOptions): TargetQueue {
    return strategy === Strategy.Fifo ? new FifoQueue(options) : new TargetQueue(options);
}

/** Chooses among some random targets the one with the fewest calls of this node. */
class PlainDirectory extends TargetDirectory {
    private entries: readonly NodeEntry[] = [];
    private readonly callsInFlight = new Map<string, Set<string>>();
    private readonly random: Random;

    constructor(options: TargetDirectoryOptions, private readonly choices: number) {
        super(options);
        this.random = options.random;
    }

    override setEntries(entries: readonly NodeEntry[]): void {
        super.setEntries(entries);
        this.entries = entries;
    }

    override recordOffer(node: string, callId: string): void {
        super.recordOffer(node, callId);
        this.callsInFlight.set(node, (this.callsInFlight.get(node) ?? new Set()).add(callId));
    }

    override recordEnd(node: string, callId: string): void {
        super.recordEnd(node, callId);
        this.callsInFlight.get(node)?.delete(callId);
    }

    override choose({ service, exclude }: CandidateRequest): TargetCandidate | undefined {
        const eligible = this.entries.filter(({ node, target }) => target?.service === service && !exclude.has(node));
        const shuffled = this.random.shuffle(eligible).slice(0, this.choices);
        const [best] = shuffled.sort((one, other) => this.countCalls(one.node) - this.countCalls(other.node));
        return best === undefined
            ? undefined
            : { node: best.node, address: best.address, zone: best.zone, target: best.target?.id ?? "", costMs: 0 };
    }

    override overloadDelayMs(): Milliseconds | undefined {
        return undefined;
    }

    private countCalls(node: string): number {
        return this.callsInFlight.get(node)?.size ?? 0;
    }
}

const fifoRetryAfterMs: Milliseconds = 200;

class FifoQueue extends TargetQueue {
    private readonly waiting: OfferedCall[] = [];
    private readonly granted = new Set<string>();
    private readonly clock: Clock;
    private grantableCalls = 0;

    constructor(options: TargetQueueOptions) {
        super(options);
        this.clock = options.clock;
    }

    override setTarget(target: Parameters<TargetQueue["setTarget"]>[0]): QueueEvent[] {
        this.grantableCalls = target.slots;
        return super.setTarget(target);
    }

    override offer(call: OfferedCall): OfferDecision {
        if (this.granted.size < this.grantableCalls) {
            return this.start(call);
        }
        if (call.spareOnly) {
            return refuse(call);
        }
        this.waiting.push(call);
        return { kind: OfferDecisionKind.Queued, callId: call.callId, expectedWaitMs: 0 };
    }

    override finish(callId: string, _: RunResult): QueueEvent[] {
        this.granted.delete(callId);
        return this.advance();
    }

    override cancel(callId: string): void {
        const index = this.waiting.findIndex(call => call.callId === callId);
        if (index >= 0) {
            this.waiting.splice(index, 1);
        }
    }

    override advance(): QueueEvent[] {
        const events: QueueEvent[] = [];
        while (this.granted.size < this.grantableCalls && this.waiting.length > 0) {
            const call = this.waiting.shift() as OfferedCall;
            events.push(call.deadlineAt <= this.clock.now() ? refuse(call) : this.start(call));
        }
        return events;
    }

    override get queuedCalls(): number {
        return this.waiting.length;
    }

    private start({ callId }: OfferedCall): Extract<OfferDecision, { kind: OfferDecisionKind.Granted }> {
        this.granted.add(callId);
        return { kind: OfferDecisionKind.Granted, callId };
    }
}

function refuse({ callId }: OfferedCall): OfferRefusal {
    return { kind: OfferDecisionKind.Refused, callId, reason: CallReason.Overloaded, retryAfterMs: fifoRetryAfterMs };
}
