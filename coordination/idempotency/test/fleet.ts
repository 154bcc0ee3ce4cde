/**
 * Simulation of several claim state machines that share one in-memory object store, with injected faults of the store,
 * the hosts and their clocks. A scenario is a list of steps; each step acts on the state it finds.
 */
import { v7 } from "uuid";
import type { Clock } from "@bilberrycroft/core.clock";
import { createSeededRandom } from "@bilberrycroft/core.random";
import { type ReadOutcome, StoreOutcomeKind, WriteConditionKind, type WriteOutcome } from "@bilberrycroft/protocol.store";
import {
    type ClaimDecision,
    ClaimedCallResultKind,
    ClaimCoordinator,
    type ClaimOutput,
    ClaimOutputKind as Out,
    type AttemptOutcome,
    type ShardRequest,
    shardOfKey,
} from "@bilberrycroft/coordination.idempotency";

const epoch = 1_700_000_000_000;
const minuteMs = 60_000;
const storeUnavailable = { kind: StoreOutcomeKind.Unavailable, reason: "down" } as const;

/** Creates a key that hashes to the given shard, so that a test controls which keys share a shard. */
export function createKey(createdAt: number, shard: number, first = 0): string {
    for (let seq = first; ; seq++) {
        const key = v7({ msecs: createdAt, seq, random: new Uint8Array(16).fill(7) });
        if (shardOfKey(key) === shard) {
            return key;
        }
    }
}

/** Object store without faults. With `conditional: false` it ignores the condition of writes. */
export class MemoryStore {
    readonly objects = new Map<string, { readonly revision: string; readonly value: string }>();
    private lastRevision = 0;

    constructor(private readonly conditional = true) {}

    read(key: string): ReadOutcome {
        const object = this.objects.get(key);
        return object === undefined
            ? { kind: StoreOutcomeKind.Absent }
            : { kind: StoreOutcomeKind.Done, object: { key, ...object } };
    }

    write({ key, value, condition }: Extract<ShardRequest, { kind: Out.WriteShard }>): WriteOutcome {
        const expected = condition.kind === WriteConditionKind.Revision ? condition.revision : undefined;
        if (this.conditional && this.objects.get(key)?.revision !== expected) {
            return { kind: StoreOutcomeKind.Conflict };
        }
        const revision = `r${++this.lastRevision}`;
        this.objects.set(key, { revision, value });
        return { kind: StoreOutcomeKind.Done, revision };
    }
}

class SkewedClock implements Clock {
    constructor(private readonly time: { now: number }, private readonly skewMs: number) {}

    now(): number {
        return this.time.now;
    }

    wallTime(): number {
        return epoch + this.time.now + this.skewMs;
    }
}

interface FleetNode {
    readonly index: number;
    readonly coordinator: ClaimCoordinator;
    paused: boolean;
    dead: boolean;
    /** Inputs that a paused node receives when it resumes. */
    readonly deferredInputs: (() => void)[];
}

interface StoreCall {
    readonly node: FleetNode;
    readonly request: ShardRequest;
    /** Outcome of a request that took effect and has not been reported to the node. */
    outcome?: ReadOutcome | WriteOutcome;
}

interface BegunCall {
    readonly node: FleetNode;
    readonly key: string;
    readonly deadlineAt: number;
}

interface SentCall {
    readonly node: FleetNode;
    readonly attempt: string;
    readonly key: string;
    provedNotRun: boolean;
    ended: boolean;
}

interface OwnerQuery {
    readonly node: FleetNode;
    readonly output: Extract<ClaimDecision, { kind: Out.AskOwner }>;
    /** Reply in flight. */
    outcome?: AttemptOutcome;
}

export enum StepKind {
    Begin,
    Complete,
    /** A store request takes effect and its response is lost. */
    LoseResponse,
    /** A store request is lost before it takes effect. */
    DropRequest,
    /** A write is reported as lost and can still take effect through `ApplyLateWrite`. */
    LateWrite,
    /** A store request takes effect; a later step reports its outcome. */
    ApplyOnly,
    /** The store reports that it is unavailable. */
    FailUnavailable,
    ApplyLateWrite,
    Advance,
    Sleep,
    Finish,
    FinishNotRun,
    Reply,
    LoseReply,
    DelayReply,
    Pause,
    Resume,
    Kill,
}

/** One step. `a` and `b` are arbitrary numbers that select the nodes, calls, keys or durations it acts on. */
export interface Step {
    readonly kind: StepKind;
    readonly a: number;
    readonly b: number;
}

/** Keys of one shard. The clock skew makes some keys too old or too new for some nodes. */
const fleetKeys = [0, 0, 4 * minuteMs, 9 * minuteMs].map((age, index) => createKey(epoch + age, 5, index * 1_000));

/** Three nodes with skewed wall clocks. */
export class Fleet {
    readonly sentCalls: SentCall[] = [];
    /** Final decisions by call id. */
    readonly decisions = new Map<string, Out>();
    private readonly time = { now: 0 };

    private readonly clockSkewsMs = [0, 6 * minuteMs, 13 * minuteMs];
    private readonly store: MemoryStore;
    private readonly nodes: FleetNode[];
    private readonly begunCalls = new Map<string, BegunCall>();
    private calls: StoreCall[] = [];
    private lateWrites: ShardRequest[] = [];
    private ownerQueries: OwnerQuery[] = [];
    private started = 0;

    constructor(conditional: boolean) {
        this.store = new MemoryStore(conditional);
        this.nodes = this.clockSkewsMs.map((_skew, index) => this.startNode(index));
    }

    /** Runs a step. Throws if a key is sent to a target while an earlier send of it may have run. */
    run({ kind, a, b }: Step): void {
        const call = kind >= StepKind.Complete && kind <= StepKind.FailUnavailable
            ? removeAt(this.calls, a)
            : undefined;
        const node = itemAt(this.nodes, a);
        switch (kind) {
            case StepKind.Begin: return this.begin(node, itemAt(fleetKeys, b), 300 + (a + b) % 5_000);
            case StepKind.Complete: return call && this.complete(call, call.outcome ?? this.apply(call.request));
            case StepKind.LoseResponse:
                if (call !== undefined && call.outcome === undefined) {
                    this.apply(call.request);
                }
                return call && this.complete(call, this.createLostOutcome(call));
            case StepKind.DropRequest: return call && this.complete(call, this.createLostOutcome(call));
            case StepKind.LateWrite:
                if (call?.outcome === undefined && call?.request.kind === Out.WriteShard) {
                    this.lateWrites.push(call.request);
                }
                return call && this.complete(call, this.createLostOutcome(call));
            case StepKind.ApplyOnly:
                return call && void this.calls.push({ ...call, outcome: call.outcome ?? this.apply(call.request) });
            case StepKind.FailUnavailable: return call && this.complete(call, call.outcome ?? storeUnavailable);
            case StepKind.ApplyLateWrite: return this.applyLateWrite(a);
            case StepKind.Advance: return this.advance(1 + b % 150);
            case StepKind.Sleep: return this.advance(b % 4 === 0 ? 4 * minuteMs : 2_000);
            case StepKind.Finish: return this.finish(a, b % 3 === 0);
            case StepKind.FinishNotRun: return this.finishNotRun(a);
            case StepKind.Reply: return this.reply(a, true);
            case StepKind.LoseReply: return this.reply(a, false);
            case StepKind.DelayReply: return this.delayReply(a);
            case StepKind.Pause: return this.pause(node);
            case StepKind.Resume: return this.resume(node);
            case StepKind.Kill: return b % 3 === 0 ? this.replaceNode(a % this.nodes.length) : undefined;
        }
    }

    /** Ends all faults and runs until every call has a decision. */
    settle(): void {
        this.nodes.forEach(node => this.resume(node));
        // The longest deadline is 5.3 s.
        for (let round = 0; round < 60 && this.undecidedCalls().length > 0; round++) {
            this.calls.splice(0).forEach(call => this.complete(call, call.outcome ?? this.apply(call.request)));
            this.ownerQueries.slice().forEach(() => this.reply(0, true));
            this.sentCalls.forEach((_send, index) => this.finish(index, false));
            this.advance(100);
        }
    }

    /** Returns the calls of live nodes that have no final decision. */
    undecidedCalls(): readonly string[] {
        const pending = [...this.begunCalls].filter(([callId, { node }]) => !node.dead && !this.decisions.has(callId));
        return pending.map(([callId]) => callId);
    }

    private begin(node: FleetNode, key: string, timeoutMs: number): void {
        const callId = `call-${this.begunCalls.size}`;
        const deadlineAt = this.time.now + timeoutMs;
        this.begunCalls.set(callId, { node, key, deadlineAt });
        this.deliver(node, () => node.coordinator.begin({ callId, key, fingerprint: "same", deadlineAt }));
    }

    private startNode(index: number): FleetNode {
        const name = `node-${index}-${++this.started}`;
        const clock = new SkewedClock(this.time, this.clockSkewsMs[index] ?? 0);
        const coordinator = new ClaimCoordinator({ node: name, clock, random: createSeededRandom(this.started) });
        return { index, coordinator, paused: false, dead: false, deferredInputs: [] };
    }

    /** Delivers an input to a node, immediately or when it resumes, and handles the outputs. */
    private deliver(node: FleetNode, input: () => readonly ClaimOutput[]): void {
        if (node.dead) {
            return;
        }
        if (node.paused) {
            node.deferredInputs.push(() => this.deliver(node, input));
            return;
        }
        input().forEach(output => this.handleOutput(node, output));
    }

    private handleOutput(node: FleetNode, output: ClaimOutput): void {
        switch (output.kind) {
            case Out.ReadShard:
            case Out.WriteShard:
                this.calls.push({ node, request: output });
                return;
            case Out.AskOwner:
                this.ownerQueries.push({ node, output });
                return;
            case Out.Proceed:
                this.send(node, output.callId, output.attempt);
        }
        if (this.decisions.has(output.callId)) {
            throw new Error(`${output.callId} received two final decisions`);
        }
        this.decisions.set(output.callId, output.kind);
    }

    private send(node: FleetNode, callId: string, attempt: string): void {
        const { key, deadlineAt } = this.begunCalls.get(callId) as BegunCall;
        if (this.time.now >= deadlineAt) {
            throw new Error(`${callId} was sent after its deadline`);
        }
        if (this.sentCalls.some(send => send.key === key && !send.provedNotRun)) {
            throw new Error(`${key} was sent twice`);
        }
        this.sentCalls.push({ node, attempt, key, provedNotRun: false, ended: false });
    }

    private apply(request: ShardRequest): ReadOutcome | WriteOutcome {
        return request.kind === Out.ReadShard ? this.store.read(request.key) : this.store.write(request);
    }

    private createLostOutcome({ request }: StoreCall): ReadOutcome | WriteOutcome {
        return request.kind === Out.ReadShard ? storeUnavailable : { kind: StoreOutcomeKind.Unknown, reason: "lost" };
    }

    private complete({ node, request: { kind, request } }: StoreCall, outcome: ReadOutcome | WriteOutcome): void {
        this.deliver(node, () => kind === Out.ReadShard
            ? node.coordinator.handleReadCompletion({ request, outcome: outcome as ReadOutcome })
            : node.coordinator.handleWriteCompletion({ request, outcome: outcome as WriteOutcome }));
    }

    private applyLateWrite(index: number): void {
        const request = removeAt(this.lateWrites, index);
        if (request !== undefined) {
            this.apply(request);
        }
    }

    private advance(durationMs: number): void {
        this.time.now += durationMs;
        this.nodes.filter(node => !node.paused).forEach(node => this.deliver(node, () => node.coordinator.tick()));
    }

    private finish(index: number, isResponseLost: boolean): void {
        const send = this.sentCalls[index % this.sentCalls.length];
        if (send === undefined || send.ended) {
            return;
        }
        send.ended = true;
        const response = { status: 200, headers: [], body: Buffer.from(send.attempt) };
        const result = isResponseLost
            ? { kind: ClaimedCallResultKind.ResponseLost } as const
            : { kind: ClaimedCallResultKind.Responded, response } as const;
        this.deliver(send.node, () => send.node.coordinator.handleCallCompletion({ attempt: send.attempt, result }));
    }

    private finishNotRun(index: number): void {
        const send = this.sentCalls[index % this.sentCalls.length];
        if (send === undefined || send.ended || send.node.dead) {
            return;
        }
        send.ended = true;
        send.provedNotRun = true;
        const result = { kind: ClaimedCallResultKind.NotRun } as const;
        this.deliver(send.node, () => send.node.coordinator.handleCallCompletion({ attempt: send.attempt, result }));
    }

    private reply(index: number, isDelivered: boolean): void {
        const query = removeAt(this.ownerQueries, index);
        if (query === undefined) {
            return;
        }
        const { node, output } = query;
        const outcome = isDelivered ? query.outcome ?? this.queryOwner(output) : undefined;
        this.deliver(node, () =>
            node.coordinator.handleOwnerReply({ callId: output.callId, attempt: output.attempt, outcome }));
    }

    private queryOwner(output: OwnerQuery["output"]): AttemptOutcome | undefined {
        // A process that replaced a dead one has the same address.
        const owner = this.nodes.find(node => node.index === Number(output.node.split("-")[1]));
        return owner === undefined || owner.paused ? undefined : owner.coordinator.getAttemptOutcome(output);
    }

    private delayReply(index: number): void {
        const query = this.ownerQueries[index % this.ownerQueries.length];
        if (query !== undefined) {
            query.outcome ??= this.queryOwner(query.output);
        }
    }

    private pause(node: FleetNode): void {
        node.paused = true;
    }

    private resume(node: FleetNode): void {
        node.paused = false;
        node.deferredInputs.splice(0).forEach(input => input());
    }

    private replaceNode(index: number): void {
        const node = this.nodes[index];
        if (node !== undefined) {
            node.dead = true;
            this.nodes[index] = this.startNode(index);
        }
    }
}

function itemAt<Item>(items: readonly Item[], index: number): Item {
    return items[index % items.length] as Item;
}

function removeAt<Item>(items: Item[], index: number): Item | undefined {
    return items.length === 0 ? undefined : items.splice(index % items.length, 1)[0];
}
