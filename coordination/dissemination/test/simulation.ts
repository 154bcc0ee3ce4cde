/**
 * Simulation of several `Dissemination` instances, a store, and a network that reorders, duplicates, loses, delays and
 * corrupts messages. Membership is reduced to its outputs: versions in force and the remembered versions of hosts.
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

/** One process run on a host. */
interface Process {
    readonly host: string;
    readonly node: string;
    readonly dissemination: Dissemination;
    /** Highest version that this process remembers for each host. */
    readonly rememberedVersions: Map<string, number>;
}

/** A message in flight. `process` is `undefined` if any process that runs on the host may receive it. */
interface PendingMessage {
    readonly host: string;
    readonly process: Process | undefined;
    readonly input: DisseminationInput;
    /** Runs if the message is lost or its process no longer runs, for calls that report their failure. */
    readonly onLost?: () => void;
    /** Runs after the delivery. */
    readonly onDelivered?: (receiver: Process) => void;
}

/** The simulated fleet, with the accepted and the activated versions. */
export class Simulation {
    readonly clock = new ManualClock();
    readonly accepted: Snapshot[] = [];
    readonly activated = new Map<string, number[]>();
    isStoreUp = true;
    private readonly processes = new Map<string, Process>();
    private readonly pendingMessages: PendingMessage[] = [];
    private readonly fetchOrigins = new Map<number, { readonly process: Process; readonly call: number }>();
    private lastRun = 0;
    private lastToken = 0;

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
        return this.processOn(host).dissemination.head().version;
    }

    /** The store accepts another version; a faulty client may skip its check and submit bad rules. */
    accept(isBad: boolean): void {
        const version = this.accepted.length + 1;
        this.accepted.push(createFakeSnapshot(version, isBad ? `bad rules of ${version}` : undefined));
    }

    /** The host reads the store; the response is delivered immediately. */
    readStore(host: string): void {
        this.deliver({ host, process: undefined, input: this.storeResponse() });
    }

    /** The host reads the store; the response is delayed, so the reader's lease may have expired when it arrives. */
    readStoreLate(host: string): void {
        this.pendingMessages.push({ host, process: this.processOn(host), input: this.storeResponse() });
    }

    /** Replaces the process of a host. Every running peer remembers the host's version in force, as after gossip. */
    restart(host: string): void {
        const version = this.versionOf(host);
        this.processes.forEach(peer => rememberVersion(peer, host, version));
        this.start(host);
    }

    /** A host activates a version before its peers, and its process is replaced while the store is unavailable. */
    restartWithNewerVersion(host: string): void {
        this.accept(false);
        this.isStoreUp = true;
        this.readStore(host);
        this.isStoreUp = false;
        this.restart(host);
        this.hosts().forEach(peer => this.exchange(host, peer));
    }

    /** Starts an exchange: the process that runs on the other host at delivery receives the request and replies. */
    exchange(from: string, to: string): void {
        if (from !== to) {
            const caller = this.processOn(from);
            this.pendingMessages.push({
                host: to,
                process: undefined,
                input: this.createHeadInput(caller, to, false),
                onDelivered: receiver => this.replyToExchange(receiver, caller),
            });
        }
    }

    /** Delivers the message in flight that `choice` selects. */
    deliverAt(choice: number): void {
        const message = this.removeAt(choice);
        if (message !== undefined) {
            this.deliver(message);
        }
    }

    /** Delivers a message and keeps a copy in flight. */
    duplicateAt(choice: number): void {
        const message = this.pendingMessages[choice % Math.max(1, this.pendingMessages.length)];
        if (message !== undefined) {
            this.deliver(message);
        }
    }

    /** Loses a message; the loss is reported to its sender in half of the cases. */
    loseAt(choice: number): void {
        const message = this.removeAt(choice);
        if (choice % 2 === 0) {
            message?.onLost?.();
        }
    }

    /** Corrupts a snapshot or delta in flight and delivers it. */
    corruptAt(choice: number): void {
        const message = this.removeAt(choice);
        if (message !== undefined) {
            this.deliver({ ...message, input: corrupt(message.input) });
        }
    }

    /** Advances the clock and sends a tick to every process. */
    tick(duration: Milliseconds): void {
        this.clock.advance(duration);
        this.hosts().forEach(host =>
            this.deliver({ host, process: undefined, input: { kind: DisseminationInputKind.Tick } }));
    }

    /**
     * Delivers all messages until every host has the newest version in force. Only two hosts can read the store,
     * the number of peers that a starting node requires. The other hosts depend on exchanges and fetches.
     */
    settle(): void {
        this.accept(false);
        this.isStoreUp = true;
        const [first, second, ...others] = this.hosts() as [string, string, ...string[]];
        [first, second].forEach(host => this.readStore(host));
        this.isStoreUp = false;
        others.forEach(host => this.readStore(host));
        const isSettled = (): boolean => this.hosts().every(host => this.versionOf(host) === this.accepted.length);
        for (let round = 0; round < 40 && !isSettled(); round++) {
            this.hosts().forEach(from => this.hosts().forEach(to => this.exchange(from, to)));
            while (this.pendingMessages.length > 0) {
                this.deliverAt(0);
            }
            this.tick(1_000);
        }
    }

    private start(host: string): void {
        const node = `${host}-${++this.lastRun}`;
        const dissemination = new Dissemination({
            clock: this.clock,
            random: createSeededRandom(Math.imul(this.lastRun, 0x9e3779b1)),
            node,
            zone: host.charAt(0),
            snapshots: fakeSnapshotFunctions,
        });
        this.processes.set(host, { host, node, dissemination, rememberedVersions: new Map() });
        const peers = [...this.processes.values()]
            .map(peer => ({ ...peerNamed(peer.node), zone: peer.host.charAt(0) }));
        this.hosts().forEach(other => this.deliver({
            host: other,
            process: undefined,
            input: { kind: DisseminationInputKind.PeersChanged, peers },
        }));
        if (!this.isStoreUp) {
            this.readStore(host);
        }
    }

    private storeResponse(): DisseminationInput {
        return this.isStoreUp
            ? {
                    kind: DisseminationInputKind.SnapshotReceived,
                    snapshot: this.accepted.at(-1) as Snapshot,
                    source: { kind: ConfigurationSourceKind.Store },
                }
            : { kind: DisseminationInputKind.StoreUnavailable };
    }

    private replyToExchange(receiver: Process, caller: Process): void {
        shareRememberedVersions(caller, receiver);
        this.pendingMessages.push({
            host: caller.host,
            process: caller,
            input: this.createHeadInput(receiver, caller.host, true),
            onDelivered: () => shareRememberedVersions(receiver, caller),
        });
    }

    private createHeadInput(from: Process, host: string, inReply: boolean): DisseminationInput {
        return {
            kind: DisseminationInputKind.HeadReceived,
            from: peerNamed(from.node),
            head: from.dissemination.head(),
            rememberedVersion: from.rememberedVersions.get(host) ?? 0,
            inReply,
        };
    }

    private removeAt(choice: number): PendingMessage | undefined {
        return this.pendingMessages.splice(choice % Math.max(1, this.pendingMessages.length), 1)[0];
    }

    private deliver(message: PendingMessage): void {
        const process = this.processOn(message.host);
        if (message.process !== undefined && message.process !== process) {
            message.onLost?.();
            return;
        }
        process.dissemination.handle(message.input).forEach(output => this.handleOutput(process, output));
        message.onDelivered?.(process);
    }

    private handleOutput(process: Process, output: DisseminationOutput): void {
        const from = peerNamed(process.node);
        switch (output.kind) {
            case DisseminationOutputKind.Activate:
                return this.checkActivation(process, output.verified.snapshot);
            case DisseminationOutputKind.Announce:
                return output.to.forEach(peer => this.pendingMessages.push({
                    host: hostOf(peer.node),
                    process: undefined,
                    input: output.delta === undefined
                        ? this.createHeadInput(process, hostOf(peer.node), false)
                        : { kind: DisseminationInputKind.DeltaReceived, delta: output.delta, from },
                }));
            case DisseminationOutputKind.Fetch: {
                const token = ++this.lastToken;
                const failure = { kind: DisseminationInputKind.FetchFailed, call: output.call } as const;
                this.fetchOrigins.set(token, { process, call: output.call });
                this.pendingMessages.push({
                    host: hostOf(output.from.node),
                    process: undefined,
                    input: { kind: DisseminationInputKind.FetchRequested, token, baseVersion: output.baseVersion },
                    onLost: () => this.pendingMessages.push({ host: process.host, process, input: failure }),
                });
                return;
            }
            case DisseminationOutputKind.ReplyFetch: {
                const origin = this.fetchOrigins.get(output.token);
                if (origin !== undefined) {
                    const input = toFetchResult(output.reply, process, origin.call);
                    this.pendingMessages.push({ host: origin.process.host, process: origin.process, input });
                }
                return;
            }
            default:
        }
    }

    /** Checks the invariants of each activation. */
    private checkActivation(process: Process, snapshot: Snapshot): void {
        const versions = this.activated.get(process.host) ?? [];
        const previous = versions.at(-1) ?? 0;
        const hasActivated = this.processOn(process.host) === process && process.rememberedVersions.has(process.host);
        expect(snapshot, "only complete versions that the store accepted").toEqual(this.accepted[snapshot.version - 1]);
        expect(snapshot.text, "no version with bad rules").not.toContain("bad");
        expect(snapshot.version, `no lower version on ${process.host}`)
            .toBeGreaterThanOrEqual(hasActivated ? previous + 1 : previous);
        this.activated.set(process.host, [...versions, snapshot.version]);
        rememberVersion(process, process.host, snapshot.version);
    }

    private processOn(host: string): Process {
        return this.processes.get(host) as Process;
    }
}

function hostOf(node: string): string {
    return node.split("-")[0] as string;
}

function rememberVersion(process: Process, host: string, version: number): void {
    process.rememberedVersions.set(host, Math.max(version, process.rememberedVersions.get(host) ?? 0));
}

/** Copies remembered versions between processes, as membership does with table copies. */
function shareRememberedVersions(from: Process, to: Process): void {
    from.rememberedVersions.forEach((version, host) => {
        if (host !== to.host) {
            rememberVersion(to, host, version);
        }
    });
}

function toFetchResult(reply: FetchReply, from: Process, call: number): DisseminationInput {
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

function corrupt(input: DisseminationInput): DisseminationInput {
    if (input.kind === DisseminationInputKind.SnapshotReceived) {
        const isFromStore = input.source.kind === ConfigurationSourceKind.Store;
        return isFromStore ? input : { ...input, snapshot: { ...input.snapshot, text: "corrupt" } };
    }
    if (input.kind === DisseminationInputKind.DeltaReceived) {
        const edits = input.delta.edits.map(edit => ({ ...edit, inserted: ["corrupt"] }));
        return { ...input, delta: { ...input.delta, edits } };
    }
    return input;
}
