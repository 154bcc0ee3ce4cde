/**
 * Several claim keepers over one object store in memory, with every fault that the store, the hosts and their clocks
 * can have. A scenario is a list of steps; each step acts on whatever it finds.
 */
import { v7 } from "uuid";
import type { Clock } from "@bilberrycroft/core.clock";
import { createSeededRandom } from "@bilberrycroft/core.random";
import { type ReadOutcome, StoreOutcomeKind, WriteConditionKind, type WriteOutcome } from "@bilberrycroft/protocol.store";
import {
    type ClaimDecision,
    ClaimedCallResultKind,
    ClaimKeeper,
    type ClaimOutput,
    ClaimOutputKind as Out,
    type OwnedOutcome,
    type ShardRequest,
    shardOfKey,
} from "@bilberrycroft/coordination.idempotency";

const epoch = 1_700_000_000_000;
const minute = 60_000;
const storeDown = { kind: StoreOutcomeKind.Unavailable, reason: "down" } as const;

/** Creates a key of a shard, so that a test decides which keys share one. */
export function createKey(createdAt: number, shard: number, first = 0): string {
    for (let seq = first; ; seq++) {
        const key = v7({ msecs: createdAt, seq, random: new Uint8Array(16).fill(7) });
        if (shardOfKey(key) === shard) {
            return key;
        }
    }
}

/** A conditional object store without faults; `conditional: false` writes whatever the condition says. */
export class MemoryStore {
    readonly objects = new Map<string, { readonly revision: string; readonly value: string }>();
    private revisions = 0;

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
        const revision = `r${++this.revisions}`;
        this.objects.set(key, { revision, value });
        return { kind: StoreOutcomeKind.Done, revision };
    }
}

class SkewedClock implements Clock {
    constructor(private readonly time: { now: number }, private readonly skew: number) {}

    now(): number {
        return this.time.now;
    }

    wallTime(): number {
        return epoch + this.time.now + this.skew;
    }
}

interface FleetNode {
    readonly index: number;
    readonly keeper: ClaimKeeper;
    paused: boolean;
    dead: boolean;
    /** What a paused node gets when it resumes. */
    readonly inbox: (() => void)[];
}

interface StoreCall {
    readonly node: FleetNode;
    readonly request: ShardRequest;
    /** Outcome of a call that took effect and has not been answered. */
    outcome?: ReadOutcome | WriteOutcome;
}

interface BegunCall {
    readonly node: FleetNode;
    readonly key: string;
    readonly deadlineAt: number;
}

interface Send {
    readonly node: FleetNode;
    readonly attempt: string;
    readonly key: string;
    provedNotRun: boolean;
    ended: boolean;
}

interface Question {
    readonly node: FleetNode;
    readonly ask: Extract<ClaimDecision, { kind: Out.AskOwner }>;
    /** Reply that is on its way. */
    outcome?: OwnedOutcome;
}

/** Kinds of steps. */
export enum StepKind {
    Begin,
    Complete,
    LoseAnswer,
    DropRequest,
    LateWrite,
    ApplyOnly,
    Refuse,
    LandLateWrite,
    Advance,
    Sleep,
    Finish,
    FinishNotRun,
    Reply,
    ReplyLost,
    DelayReply,
    Pause,
    Resume,
    Kill,
}

/** One step; `a` and `b` choose among what the step finds. */
export interface Step {
    readonly kind: StepKind;
    readonly a: number;
    readonly b: number;
}

/** Keys of one shard. The clocks of the nodes disagree so far that some keys are too old or too new for some nodes. */
const fleetKeys = [0, 0, 4 * minute, 9 * minute].map((age, index) => createKey(epoch + age, 5, index * 1_000));

/** A fleet of three nodes whose wall clocks disagree. */
export class Fleet {
    readonly sends: Send[] = [];
    /** Final decisions by call. */
    readonly decisions = new Map<string, Out>();
    private readonly time = { now: 0 };

    private readonly skews = [0, 6 * minute, 13 * minute];
    private readonly store: MemoryStore;
    private readonly nodes: FleetNode[];
    private readonly began = new Map<string, BegunCall>();
    private calls: StoreCall[] = [];
    private lateWrites: ShardRequest[] = [];
    private questions: Question[] = [];
    private started = 0;

    constructor(conditional: boolean) {
        this.store = new MemoryStore(conditional);
        this.nodes = this.skews.map((_skew, index) => this.startNode(index));
    }

    /** Runs a step; throws if a key is sent to a target while an earlier send may have run. */
    run({ kind, a, b }: Step): void {
        const call = kind >= StepKind.Complete && kind <= StepKind.Refuse ? take(this.calls, a) : undefined;
        const node = pick(this.nodes, a);
        switch (kind) {
            case StepKind.Begin: return this.begin(node, pick(fleetKeys, b), 300 + (a + b) % 5_000);
            case StepKind.Complete: return call && this.answer(call, call.outcome ?? this.apply(call.request));
            case StepKind.LoseAnswer:
                if (call !== undefined && call.outcome === undefined) {
                    this.apply(call.request);
                }
                return call && this.answer(call, this.lostAnswer(call));
            case StepKind.DropRequest: return call && this.answer(call, this.lostAnswer(call));
            case StepKind.LateWrite:
                if (call?.outcome === undefined && call?.request.kind === Out.WriteShard) {
                    this.lateWrites.push(call.request);
                }
                return call && this.answer(call, this.lostAnswer(call));
            case StepKind.ApplyOnly:
                return call && void this.calls.push({ ...call, outcome: call.outcome ?? this.apply(call.request) });
            case StepKind.Refuse: return call && this.answer(call, call.outcome ?? storeDown);
            case StepKind.LandLateWrite: return this.landLateWrite(a);
            case StepKind.Advance: return this.advance(1 + b % 150);
            case StepKind.Sleep: return this.advance(b % 4 === 0 ? 4 * minute : 2_000);
            case StepKind.Finish: return this.finish(a, b % 3 === 0);
            case StepKind.FinishNotRun: return this.finishNotRun(a);
            case StepKind.Reply: return this.reply(a, true);
            case StepKind.ReplyLost: return this.reply(a, false);
            case StepKind.DelayReply: return this.delayReply(a);
            case StepKind.Pause: return this.pause(node);
            case StepKind.Resume: return this.resume(node);
            case StepKind.Kill: return b % 3 === 0 ? this.replaceNode(a % this.nodes.length) : undefined;
        }
    }

    /** Ends all faults and lets every call come to its decision. */
    settle(): void {
        this.nodes.forEach(node => this.resume(node));
        // The longest deadline is 5.3 s.
        for (let round = 0; round < 60 && this.undecided().length > 0; round++) {
            this.calls.splice(0).forEach(call => this.answer(call, call.outcome ?? this.apply(call.request)));
            this.questions.slice().forEach(() => this.reply(0, true));
            this.sends.forEach((_send, index) => this.finish(index, false));
            this.advance(100);
        }
    }

    /** Calls of nodes that are alive and have no final decision. */
    undecided(): readonly string[] {
        const waiting = [...this.began].filter(([callId, { node }]) => !node.dead && !this.decisions.has(callId));
        return waiting.map(([callId]) => callId);
    }

    private begin(node: FleetNode, key: string, timeout: number): void {
        const callId = `call-${this.began.size}`;
        const deadlineAt = this.time.now + timeout;
        this.began.set(callId, { node, key, deadlineAt });
        this.give(node, () => node.keeper.begin({ callId, key, fingerprint: "same", deadlineAt }));
    }

    private startNode(index: number): FleetNode {
        const name = `node-${index}-${++this.started}`;
        const clock = new SkewedClock(this.time, this.skews[index] ?? 0);
        const keeper = new ClaimKeeper({ node: name, clock, random: createSeededRandom(this.started) });
        return { index, keeper, paused: false, dead: false, inbox: [] };
    }

    /** Gives a node an input, at once or when it resumes, and takes in what it wants done. */
    private give(node: FleetNode, input: () => readonly ClaimOutput[]): void {
        if (node.dead) {
            return;
        }
        if (node.paused) {
            node.inbox.push(() => this.give(node, input));
            return;
        }
        input().forEach(output => this.takeOutput(node, output));
    }

    private takeOutput(node: FleetNode, output: ClaimOutput): void {
        switch (output.kind) {
            case Out.ReadShard:
            case Out.WriteShard:
                this.calls.push({ node, request: output });
                return;
            case Out.AskOwner:
                this.questions.push({ node, ask: output });
                return;
            case Out.Proceed:
                this.send(node, output.callId, output.attempt);
        }
        if (this.decisions.has(output.callId)) {
            throw new Error(`${output.callId} was decided twice`);
        }
        this.decisions.set(output.callId, output.kind);
    }

    private send(node: FleetNode, callId: string, attempt: string): void {
        const { key, deadlineAt } = this.began.get(callId) as BegunCall;
        if (this.time.now >= deadlineAt) {
            throw new Error(`${callId} was sent after its deadline`);
        }
        if (this.sends.some(send => send.key === key && !send.provedNotRun)) {
            throw new Error(`${key} was sent twice`);
        }
        this.sends.push({ node, attempt, key, provedNotRun: false, ended: false });
    }

    private apply(request: ShardRequest): ReadOutcome | WriteOutcome {
        return request.kind === Out.ReadShard ? this.store.read(request.key) : this.store.write(request);
    }

    private lostAnswer({ request }: StoreCall): ReadOutcome | WriteOutcome {
        return request.kind === Out.ReadShard ? storeDown : { kind: StoreOutcomeKind.Unknown, reason: "lost" };
    }

    private answer({ node, request: { kind, request } }: StoreCall, outcome: ReadOutcome | WriteOutcome): void {
        this.give(node, () => kind === Out.ReadShard
            ? node.keeper.readCompleted({ request, outcome: outcome as ReadOutcome })
            : node.keeper.writeCompleted({ request, outcome: outcome as WriteOutcome }));
    }

    private landLateWrite(index: number): void {
        const request = take(this.lateWrites, index);
        if (request !== undefined) {
            this.apply(request);
        }
    }

    private advance(duration: number): void {
        this.time.now += duration;
        this.nodes.filter(node => !node.paused).forEach(node => this.give(node, () => node.keeper.tick()));
    }

    private finish(index: number, lost: boolean): void {
        const send = this.sends[index % this.sends.length];
        if (send === undefined || send.ended) {
            return;
        }
        send.ended = true;
        const response = { status: 200, headers: [], body: Buffer.from(send.attempt) };
        const result = lost
            ? { kind: ClaimedCallResultKind.ResponseLost } as const
            : { kind: ClaimedCallResultKind.Responded, response } as const;
        this.give(send.node, () => send.node.keeper.finished({ attempt: send.attempt, result }));
    }

    private finishNotRun(index: number): void {
        const send = this.sends[index % this.sends.length];
        if (send === undefined || send.ended || send.node.dead) {
            return;
        }
        send.ended = true;
        send.provedNotRun = true;
        const result = { kind: ClaimedCallResultKind.NotRun } as const;
        this.give(send.node, () => send.node.keeper.finished({ attempt: send.attempt, result }));
    }

    private reply(index: number, arrives: boolean): void {
        const question = take(this.questions, index);
        if (question === undefined) {
            return;
        }
        const { node, ask } = question;
        const outcome = arrives ? question.outcome ?? this.askOwner(ask) : undefined;
        this.give(node, () => node.keeper.ownerReplied({ callId: ask.callId, attempt: ask.attempt, outcome }));
    }

    private askOwner(ask: Question["ask"]): OwnedOutcome | undefined {
        // A process that replaced a dead one is reached at the same address.
        const owner = this.nodes.find(node => node.index === Number(ask.node.split("-")[1]));
        return owner === undefined || owner.paused ? undefined : owner.keeper.ownedOutcome(ask);
    }

    private delayReply(index: number): void {
        const question = this.questions[index % this.questions.length];
        if (question !== undefined) {
            question.outcome ??= this.askOwner(question.ask);
        }
    }

    private pause(node: FleetNode): void {
        node.paused = true;
    }

    private resume(node: FleetNode): void {
        node.paused = false;
        node.inbox.splice(0).forEach(input => input());
    }

    private replaceNode(index: number): void {
        const node = this.nodes[index];
        if (node !== undefined) {
            node.dead = true;
            this.nodes[index] = this.startNode(index);
        }
    }
}

function pick<Item>(items: readonly Item[], index: number): Item {
    return items[index % items.length] as Item;
}

function take<Item>(items: Item[], index: number): Item | undefined {
    return items.length === 0 ? undefined : items.splice(index % items.length, 1)[0];
}
