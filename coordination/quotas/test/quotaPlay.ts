/**
 * Plays calls of organisations in virtual time against the quota decisions of many nodes. A seed gives the same result
 * every time.
 */
import { ManualClock, type Milliseconds } from "@bilberrycroft/core.clock";
import { createSeededRandom, type Random } from "@bilberrycroft/core.random";
import {
    hashNode,
    NoReplyCause,
    type OutgoingRequest,
    type QuotaDecision,
    QuotaDecisionKind,
    QuotaNode,
    replyTimeoutMs,
    selectAccountingNode,
} from "@bilberrycroft/coordination.quotas";
import type { QuotaLimit } from "@bilberrycroft/protocol.forwarding";

export const bound = { windowMs: 5_000, overage: 0.1, slack: 20 };

export interface PlayedOrganisation {
    readonly name: string;
    /** Calls per second at a time. */
    readonly rateAt: (at: Milliseconds) => number;
    /** Upper bound of `rateAt`. */
    readonly maxRate: number;
    readonly limit: QuotaLimit;
    /** Nodes that receive calls at a time, as a range of indexes; all by default. */
    readonly rangeAt?: (at: Milliseconds) => readonly [number, number];
}

export interface PlayOptions {
    readonly seed: number;
    readonly nodes: number;
    readonly zones: number;
    readonly organisations: readonly PlayedOrganisation[];
    readonly durationMs: Milliseconds;
}

/** What happened to one organisation. Times are those of the decisions. */
export interface PlayedCalls {
    readonly arrivals: Milliseconds[];
    /** Index of the node at which each call arrived. */
    readonly arrivalNodes: number[];
    readonly admitted: Milliseconds[];
    readonly refused: Milliseconds[];
    waitMs: Milliseconds;
}

export interface PlayedNode {
    readonly index: number;
    readonly name: string;
    readonly zone: string;
    quota: QuotaNode;
    generation: number;
    isDead: boolean;
    frozenUntil: Milliseconds;
    isAdvancing: boolean;
}

export const limitSpreadMs: Milliseconds = 300;
const minDelayMs: Milliseconds = 0.1;
const maxDelayMs: Milliseconds = 8;

export class QuotaPlay {
    readonly clock = new ManualClock();
    readonly calls = new Map<string, PlayedCalls>();
    readonly nodes: PlayedNode[];
    /** Frames by their receiver. */
    readonly framesTo = new Map<string, number>();
    frames = 0;
    private readonly random: Random;
    private readonly heap: { readonly at: Milliseconds; readonly order: number; readonly run: () => void }[] = [];
    private order = 0;
    private cutZone: string | undefined;
    private limits: Map<string, QuotaLimit>;
    private version = 1;

    constructor(private readonly options: PlayOptions) {
        this.random = createSeededRandom(options.seed);
        this.limits = new Map(options.organisations.map(({ name, limit }) => [name, limit]));
        this.nodes = Array.from({ length: options.nodes }, (_, index) => ({
            index,
            name: `node-${index}`,
            zone: `zone-${Math.floor(index * options.zones / options.nodes)}`,
            quota: undefined as unknown as QuotaNode,
            generation: 0,
            isDead: false,
            frozenUntil: 0,
            isAdvancing: false,
        }));
        this.nodes.forEach(node => this.start(node));
        options.organisations.forEach(organisation => {
            this.calls.set(organisation.name, { arrivals: [], arrivalNodes: [], admitted: [], refused: [], waitMs: 0 });
            this.scheduleArrival(organisation);
        });
    }

    run(): void {
        for (let next = this.pop(); next !== undefined && next.at < this.options.durationMs; next = this.pop()) {
            this.clock.advance(next.at - this.clock.now());
            next.run();
        }
    }

    at(time: Milliseconds, run: () => void): void {
        this.push(time, run);
    }

    kill(node: PlayedNode): void {
        node.isDead = true;
        node.generation++;
    }

    restart(node: PlayedNode): void {
        node.isDead = false;
        node.generation++;
        this.start(node);
    }

    freeze(node: PlayedNode, durationMs: Milliseconds): void {
        node.frozenUntil = this.clock.now() + durationMs;
    }

    /** Cuts a zone off from all others; `undefined` ends it. */
    cut(zone: string | undefined): void {
        this.cutZone = zone;
    }

    /** Changes a limit; nodes learn of it within `limitSpreadMs`. */
    changeLimit(organisation: string, limit: QuotaLimit): void {
        this.version++;
        this.limits = new Map([...this.limits, [organisation, limit]]);
        const { version, limits } = this;
        this.nodes.forEach(({ quota }) =>
            this.later(this.random.nextFraction() * limitSpreadMs, () => quota.setLimits(version, limits)));
    }

    /** The node that all prefer as the accounting node of an organisation. */
    findAccountingNode(organisation: string): PlayedNode {
        const selected = selectAccountingNode(organisation, this.nodes.map(({ name }) => hashNode(name)));
        return this.nodes.find(({ name }) => name === selected) as PlayedNode;
    }

    private start(node: PlayedNode): void {
        node.quota = new QuotaNode({ clock: this.clock, random: this.random, node: node.name, bound });
        node.isAdvancing = false;
        node.quota.setNodes(this.nodes.map(({ name, zone }) => ({ node: name, zone })));
        node.quota.setLimits(this.version, this.limits);
        this.flush(node);
    }

    private scheduleArrival(organisation: PlayedOrganisation): void {
        const { name, rateAt, maxRate, rangeAt } = organisation;
        this.later(-Math.log(1 - this.random.nextFraction()) / maxRate * 1_000, () => {
            this.scheduleArrival(organisation);
            const now = this.clock.now();
            const isOver = now > this.options.durationMs - coolDownMs;
            if (isOver || this.random.nextFraction() * maxRate >= rateAt(now)) {
                return;
            }
            const [from, to] = rangeAt?.(now) ?? [0, this.nodes.length];
            const node = this.nodes[from + this.random.nextInteger(to - from)] as PlayedNode;
            this.whenAwake(node, () => this.call(node, name));
        });
    }

    private call(node: PlayedNode, organisation: string): void {
        if (node.isDead) {
            return;
        }
        const calls = this.calls.get(organisation) as PlayedCalls;
        const startedAt = this.clock.now();
        calls.arrivals.push(startedAt);
        calls.arrivalNodes.push(node.index);
        const record = (decision: QuotaDecision): void => {
            const now = this.clock.now();
            calls.waitMs += now - startedAt;
            (decision.kind === QuotaDecisionKind.Admitted ? calls.admitted : calls.refused).push(now);
        };
        const decision = node.quota.acquire(organisation, record);
        if (decision !== undefined) {
            record(decision);
        }
        this.flush(node);
    }

    private flush(node: PlayedNode): void {
        for (const request of node.quota.takeRequests()) {
            this.send(node, request);
        }
        const delayMs = node.quota.nextAdvanceMs;
        if (delayMs !== undefined && !node.isAdvancing) {
            node.isAdvancing = true;
            const { generation } = node;
            this.later(delayMs, () => this.whenAwake(node, () => {
                if (node.generation === generation) {
                    node.isAdvancing = false;
                    node.quota.advance();
                    this.flush(node);
                }
            }));
        }
    }

    private send(from: PlayedNode, { id, to, message }: OutgoingRequest): void {
        const receiver = this.nodes.find(({ name }) => name === to) as PlayedNode;
        const { quota } = from;
        const ifSame = (run: () => void): void => this.whenAwake(from, () => {
            if (from.quota === quota && !from.isDead) {
                run();
                this.flush(from);
            }
        });
        this.countFrame(to);
        this.later(replyTimeoutMs, () => ifSame(() => quota.handleNoReply(id, NoReplyCause.Silent)));
        if (receiver.isDead) {
            this.later(this.drawDelay(), () => ifSame(() => quota.handleNoReply(id, NoReplyCause.Broken)));
            return;
        }
        if (this.isCut(from, receiver)) {
            return;
        }
        const { generation } = receiver;
        this.later(this.drawDelay(), () => this.whenAwake(receiver, () => {
            if (receiver.isDead || receiver.generation !== generation) {
                return;
            }
            const allowance = receiver.quota.handleRequest(message);
            this.flush(receiver);
            this.countFrame(from.name);
            if (!this.isCut(from, receiver)) {
                this.later(this.drawDelay(), () => ifSame(() => quota.handleReply(id, allowance)));
            }
        }));
    }

    private countFrame(to: string): void {
        this.frames++;
        this.framesTo.set(to, (this.framesTo.get(to) ?? 0) + 1);
    }

    private isCut(one: PlayedNode, other: PlayedNode): boolean {
        return this.cutZone !== undefined && (one.zone === this.cutZone) !== (other.zone === this.cutZone);
    }

    private drawDelay(): Milliseconds {
        return minDelayMs + this.random.nextFraction() * (maxDelayMs - minDelayMs);
    }

    private whenAwake(node: PlayedNode, run: () => void): void {
        if (node.frozenUntil > this.clock.now()) {
            this.push(node.frozenUntil, run);
        }
        else {
            run();
        }
    }

    private later(delayMs: Milliseconds, run: () => void): void {
        this.push(this.clock.now() + delayMs, run);
    }

    private push(at: Milliseconds, run: () => void): void {
        const { heap } = this;
        const event = { at, order: this.order++, run };
        let index = heap.push(event) - 1;
        while (index > 0) {
            const parent = (index - 1) >> 1;
            const above = heap[parent] as typeof event;
            if (above.at < at || (above.at === at && above.order < event.order)) {
                break;
            }
            heap[index] = above;
            index = parent;
        }
        heap[index] = event;
    }

    private pop(): { readonly at: Milliseconds; readonly run: () => void } | undefined {
        const { heap } = this;
        const first = heap[0];
        const last = heap.pop();
        if (first === undefined || last === undefined || heap.length === 0) {
            return first;
        }
        let index = 0;
        for (;;) {
            let child = 2 * index + 1;
            const right = heap[child + 1];
            if (right !== undefined && precedes(right, heap[child] as typeof right)) {
                child++;
            }
            const below = heap[child];
            if (below === undefined || !precedes(below, last)) {
                break;
            }
            heap[index] = below;
            index = child;
        }
        heap[index] = last;
        return first;
    }
}

function precedes(
    left: { readonly at: Milliseconds; readonly order: number },
    right: { readonly at: Milliseconds; readonly order: number },
): boolean {
    return left.at < right.at || (left.at === right.at && left.order < right.order);
}

/** Calls end this long before the play, so that all are decided. */
const coolDownMs: Milliseconds = 500;

/** Buckets begin empty, and the measured part of a play begins when they are full. */
export const warmUpMs: Milliseconds = 3_000;

export interface Surge {
    /** Index of the organisation, in the order of their load. */
    readonly index: number;
    readonly from: Milliseconds;
}

/** Organisations whose shares of the calls follow a power law; limits of 1.6 times the rate, burst of one second. */
export function createOrganisations(callsPerSecond: number, surge?: Surge): PlayedOrganisation[] {
    const shares = Array.from({ length: 78 }, (_, index) => (index + 1) ** -1.2);
    const total = shares.reduce((sum, share) => sum + share, 0);
    return shares.map((share, index) => {
        const rate = callsPerSecond * share / total;
        const isSurging = (at: Milliseconds): boolean =>
            surge?.index === index && at >= surge.from && at < surge.from + 6_500;
        return {
            name: `org-${index}`,
            rateAt: at => at < warmUpMs ? 0 : isSurging(at) ? 7.5 * rate : rate,
            maxRate: surge?.index === index ? 7.5 * rate : rate,
            limit: { callsPerSecond: 1.6 * rate, burst: 1.6 * rate },
        };
    });
}

/** Times of the calls that one token bucket admits. */
export function admitByOneBucket(
    arrivals: readonly Milliseconds[],
    { callsPerSecond, burst }: QuotaLimit,
): Milliseconds[] {
    const capacity = Math.max(1, burst);
    let tokens = capacity;
    let last = 0;
    return arrivals.filter(at => {
        tokens = Math.min(capacity, tokens + (at - last) * callsPerSecond / 1_000);
        last = at;
        const isAdmitted = tokens >= 1;
        tokens -= isAdmitted ? 1 : 0;
        return isAdmitted;
    });
}

/** Times of the calls that equal parts of the limit admit; `partOf` gives the part that decides a call. */
export function admitByParts(
    arrivals: readonly Milliseconds[],
    { callsPerSecond, burst }: QuotaLimit,
    parts: number,
    partOf: (index: number) => number,
): Milliseconds[] {
    const byPart = Array.from({ length: parts }, () => [] as Milliseconds[]);
    arrivals.forEach((at, index) => byPart[partOf(index)]?.push(at));
    const limit = { callsPerSecond: callsPerSecond / parts, burst: burst / parts };
    return byPart.flatMap(times => admitByOneBucket(times, limit)).sort((left, right) => left - right);
}

/** Largest number of times within one window, counted over windows that begin at `from` or later. */
export function countFullestWindow(times: readonly Milliseconds[], from: Milliseconds = 0): number {
    let first = 0;
    let fullest = 0;
    times.forEach((time, index) => {
        while ((times[first] as number) < from || time - (times[first] as number) > bound.windowMs) {
            first++;
            if (first > index) {
                return;
            }
        }
        fullest = Math.max(fullest, index - first + 1);
    });
    return fullest;
}

export function computeUpperBound({ callsPerSecond, burst }: QuotaLimit): number {
    return (callsPerSecond * bound.windowMs / 1_000 + burst) * (1 + bound.overage) + bound.slack;
}
