/**
 * Several dissemination decisions, a store, and a network that reorders, repeats, loses, delays and damages messages.
 * Membership is reduced to what it gives: versions in force and the memory of versions of hosts.
 */
import { expect } from "vitest";
import { ManualClock, type Milliseconds } from "@bilberrycroft/core.clock";
import { createSeededRandom } from "@bilberrycroft/core.random";
import type { Snapshot } from "@bilberrycroft/state.snapshots";
import {
    ConfigurationSourceKind,
    Dissemination,
    DisseminationInputKind,
    DisseminationOutputKind,
    FetchReplyKind,
    type DisseminationInput,
    type DisseminationOutput,
    type FetchReply,
} from "../src/index";
import { createFakeSnapshot, fakeSnapshotFunctions, peerNamed } from "./fakes";

const hostsPerZone = 3;
const zones = ["a", "b"];

/** One run of the process of a host. */
interface Process {
    readonly host: string;
    readonly node: string;
    readonly decision: Dissemination;
    /** Versions that this process remembers for hosts. */
    readonly memory: Map<string, number>;
}

/** A message on its way. `process` is absent if whatever process runs on the host takes it. */
interface Letter {
    readonly host: string;
    readonly process: Process | undefined;
    readonly input: DisseminationInput;
    /** Runs instead of a delivery that is not possible, for calls that report their failure. */
    readonly lost?: () => void;
    /** Runs after the delivery. */
    readonly then?: (receiver: Process) => void;
}

/** The system under test with its history. */
export class World {
    readonly clock = new ManualClock();
    readonly accepted: Snapshot[] = [];
    readonly activated = new Map<string, number[]>();
    storeUp = true;
    private readonly processes = new Map<string, Process>();
    private readonly letters: Letter[] = [];
    private readonly fetchOrigins = new Map<number, { readonly process: Process; readonly call: number }>();
    private runs = 0;
    private tokens = 0;

    constructor() {
        this.accept(false);
        zones.forEach(zone => Array.from({ length: hostsPerZone }, (_, index) => this.start(`${zone}${index}`)));
        this.hosts().forEach(host => this.readStore(host));
    }

    hosts(): readonly string[] {
        return [...this.processes.keys()];
    }

    hostAt(choice: number): string {
        return this.hosts()[choice % this.processes.size] as string;
    }

    versionOf(host: string): number {
        return this.processOn(host).decision.head().version;
    }

    /** The store accepts a further version; a faulty client may get bad rules past its own check. */
    accept(isBad: boolean): void {
        const version = this.accepted.length + 1;
        this.accepted.push(createFakeSnapshot(version, isBad ? `bad rules of ${version}` : undefined));
    }

    /** The host reads the store; the response is delivered at once. */
    readStore(host: string): void {
        this.deliver({ host, process: undefined, input: this.storeResponse() });
    }

    /** The host reads the store as a reader whose lease may have expired by the time the response arrives. */
    readStoreLate(host: string): void {
        this.letters.push({ host, process: this.processOn(host), input: this.storeResponse() });
    }

    /** Replaces the process of a host. Every running peer remembers what the host had in force, as gossip provides. */
    restart(host: string): void {
        const version = this.versionOf(host);
        this.processes.forEach(peer => remember(peer, host, version));
        this.start(host);
    }

    /** A host takes a version before its peers, and its process is replaced while the store is down. */
    restartAhead(host: string): void {
        this.accept(false);
        this.storeUp = true;
        this.readStore(host);
        this.storeUp = false;
        this.restart(host);
        this.hosts().forEach(peer => this.exchange(host, peer));
    }

    /** One exchange: whatever process runs on the other host takes the request and replies to its sender. */
    exchange(from: string, to: string): void {
        if (from !== to) {
            const caller = this.processOn(from);
            this.letters.push({
                host: to,
                process: undefined,
                input: this.headFor(caller, to, false),
                then: receiver => this.replyToExchange(receiver, caller),
            });
        }
    }

    /** Delivers one message of those on their way, in any order. */
    deliverAt(choice: number): void {
        const letter = this.takeAt(choice);
        if (letter !== undefined) {
            this.deliver(letter);
        }
    }

    /** Delivers a message and leaves a copy on its way. */
    repeatAt(choice: number): void {
        const letter = this.letters[choice % Math.max(1, this.letters.length)];
        if (letter !== undefined) {
            this.deliver(letter);
        }
    }

    /** Loses a message; its sender may or may not learn that. */
    loseAt(choice: number): void {
        const letter = this.takeAt(choice);
        if (choice % 2 === 0) {
            letter?.lost?.();
        }
    }

    /** Damages a snapshot or delta on its way and delivers it. */
    damageAt(choice: number): void {
        const letter = this.takeAt(choice);
        if (letter !== undefined) {
            this.deliver({ ...letter, input: damage(letter.input) });
        }
    }

    /** Lets time pass. */
    tick(duration: Milliseconds): void {
        this.clock.advance(duration);
        this.hosts().forEach(host =>
            this.deliver({ host, process: undefined, input: { kind: DisseminationInputKind.Tick } }));
    }

    /**
     * Messages flow again. Two hosts read the store, and the others find it unavailable: exchanges and fetches have to
     * do the rest. Two, because a starting node needs two peers with a version in force.
     */
    settle(): void {
        this.accept(false);
        this.storeUp = true;
        const [first, second, ...others] = this.hosts() as [string, string, ...string[]];
        [first, second].forEach(host => this.readStore(host));
        this.storeUp = false;
        others.forEach(host => this.readStore(host));
        const isSettled = (): boolean => this.hosts().every(host => this.versionOf(host) === this.accepted.length);
        for (let round = 0; round < 40 && !isSettled(); round++) {
            this.hosts().forEach(from => this.hosts().forEach(to => this.exchange(from, to)));
            while (this.letters.length > 0) {
                this.deliverAt(0);
            }
            this.tick(1_000);
        }
    }

    private start(host: string): void {
        const node = `${host}-${++this.runs}`;
        const decision = new Dissemination({
            clock: this.clock,
            random: createSeededRandom(Math.imul(this.runs, 0x9e3779b1)),
            node,
            zone: host.charAt(0),
            snapshots: fakeSnapshotFunctions,
        });
        this.processes.set(host, { host, node, decision, memory: new Map() });
        const peers = [...this.processes.values()]
            .map(peer => ({ ...peerNamed(peer.node), zone: peer.host.charAt(0) }));
        this.hosts().forEach(other => this.deliver({
            host: other,
            process: undefined,
            input: { kind: DisseminationInputKind.PeersChanged, peers },
        }));
        if (!this.storeUp) {
            this.readStore(host);
        }
    }

    private storeResponse(): DisseminationInput {
        return this.storeUp
            ? {
                    kind: DisseminationInputKind.SnapshotReceived,
                    snapshot: this.accepted.at(-1) as Snapshot,
                    source: { kind: ConfigurationSourceKind.Store },
                }
            : { kind: DisseminationInputKind.StoreUnavailable };
    }

    private replyToExchange(receiver: Process, caller: Process): void {
        shareMemory(caller, receiver);
        this.letters.push({
            host: caller.host,
            process: caller,
            input: this.headFor(receiver, caller.host, true),
            then: () => shareMemory(receiver, caller),
        });
    }

    private headFor(from: Process, host: string, inReply: boolean): DisseminationInput {
        return {
            kind: DisseminationInputKind.HeadHeard,
            from: peerNamed(from.node),
            head: from.decision.head(),
            rememberedVersion: from.memory.get(host) ?? 0,
            inReply,
        };
    }

    private takeAt(choice: number): Letter | undefined {
        return this.letters.splice(choice % Math.max(1, this.letters.length), 1)[0];
    }

    private deliver(letter: Letter): void {
        const process = this.processOn(letter.host);
        if (letter.process !== undefined && letter.process !== process) {
            letter.lost?.();
            return;
        }
        process.decision.handle(letter.input).forEach(output => this.carry(process, output));
        letter.then?.(process);
    }

    private carry(process: Process, output: DisseminationOutput): void {
        const from = peerNamed(process.node);
        switch (output.kind) {
            case DisseminationOutputKind.Activate:
                return this.noteActivation(process, output.verified.snapshot);
            case DisseminationOutputKind.Announce:
                return output.to.forEach(peer => this.letters.push({
                    host: hostOf(peer.node),
                    process: undefined,
                    input: output.delta === undefined
                        ? this.headFor(process, hostOf(peer.node), false)
                        : { kind: DisseminationInputKind.DeltaReceived, delta: output.delta, from },
                }));
            case DisseminationOutputKind.Fetch: {
                const token = ++this.tokens;
                const failure = { kind: DisseminationInputKind.FetchFailed, call: output.call } as const;
                this.fetchOrigins.set(token, { process, call: output.call });
                this.letters.push({
                    host: hostOf(output.from.node),
                    process: undefined,
                    input: { kind: DisseminationInputKind.FetchRequested, token, baseVersion: output.baseVersion },
                    lost: () => this.letters.push({ host: process.host, process, input: failure }),
                });
                return;
            }
            case DisseminationOutputKind.ReplyFetch: {
                const origin = this.fetchOrigins.get(output.token);
                if (origin !== undefined) {
                    const input = replyInput(output.reply, process, origin.call);
                    this.letters.push({ host: origin.process.host, process: origin.process, input });
                }
                return;
            }
            default:
        }
    }

    /** The invariants that hold at each activation. */
    private noteActivation(process: Process, snapshot: Snapshot): void {
        const versions = this.activated.get(process.host) ?? [];
        const previous = versions.at(-1) ?? 0;
        const isSameProcess = this.processOn(process.host) === process && process.memory.has(process.host);
        expect(snapshot, "only whole versions that the store accepted").toEqual(this.accepted[snapshot.version - 1]);
        expect(snapshot.text, "no version with bad rules").not.toContain("bad");
        expect(snapshot.version, `no step back on ${process.host}`)
            .toBeGreaterThanOrEqual(isSameProcess ? previous + 1 : previous);
        this.activated.set(process.host, [...versions, snapshot.version]);
        remember(process, process.host, snapshot.version);
    }

    private processOn(host: string): Process {
        return this.processes.get(host) as Process;
    }
}

function hostOf(node: string): string {
    return node.split("-")[0] as string;
}

function remember(process: Process, host: string, version: number): void {
    process.memory.set(host, Math.max(version, process.memory.get(host) ?? 0));
}

/** A node learns the memory of its peers with their tables. */
function shareMemory(from: Process, to: Process): void {
    from.memory.forEach((version, host) => {
        if (host !== to.host) {
            remember(to, host, version);
        }
    });
}

function replyInput(reply: FetchReply, from: Process, call: number): DisseminationInput {
    const peer = peerNamed(from.node);
    switch (reply.kind) {
        case FetchReplyKind.Delta:
            return { kind: DisseminationInputKind.DeltaReceived, delta: reply.delta, from: peer, call };
        case FetchReplyKind.Snapshot: {
            const source = { kind: ConfigurationSourceKind.Peer, peer } as const;
            return { kind: DisseminationInputKind.SnapshotReceived, snapshot: reply.snapshot, source, call };
        }
        case FetchReplyKind.Nothing:
            return { kind: DisseminationInputKind.FetchFailed, call };
    }
}

function damage(input: DisseminationInput): DisseminationInput {
    if (input.kind === DisseminationInputKind.SnapshotReceived) {
        const isFromStore = input.source.kind === ConfigurationSourceKind.Store;
        return isFromStore ? input : { ...input, snapshot: { ...input.snapshot, text: "damaged" } };
    }
    if (input.kind === DisseminationInputKind.DeltaReceived) {
        const edits = input.delta.edits.map(edit => ({ ...edit, inserted: ["damaged"] }));
        return { ...input, delta: { ...input.delta, edits } };
    }
    return input;
}
