/**
 * Task of the configuration in force: carries messages between the dissemination decision, the store and other nodes.
 */
import { setTimeout as sleep } from "node:timers/promises";
import {
    ConfigurationSourceKind,
    type Dissemination,
    type DisseminationInput,
    DisseminationInputKind,
    type DisseminationOutput,
    DisseminationOutputKind,
    type FetchReply,
    FetchReplyKind,
    type Peer,
    StartBlocker,
} from "@bilberrycroft/coordination.dissemination";
import { type Entry, Liveness, type ReportedRefusal } from "@bilberrycroft/coordination.membership";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { assertNever } from "@bilberrycroft/core.errors";
import type { Logger } from "@bilberrycroft/core.logger";
import type { Random } from "@bilberrycroft/core.random";
import type { ConfigurationPush } from "@bilberrycroft/protocol.control";
import type { ConfigurationHead, VerifiedSnapshot } from "@bilberrycroft/state.snapshots";
import { type ControlClient, ControlOutcomeKind } from "@bilberrycroft/transport.control";
import { interval, Subject, type Subscription } from "rxjs";
import { type ConfigurationReader, type CurrentConfiguration, CurrentConfigurationKind } from "./configurationReader";
import type { HeardHead } from "./membershipTask";

const tickMs: Milliseconds = 250;
// Spreads the first reads of a fleet that starts at once: 670 nodes then take a third of the store's reads.
const startReadJitterMs: Milliseconds = 1_000;
const storeRetryMs: Milliseconds = 2_000;

/** Options of a `ConfigurationTask`. */
export interface ConfigurationTaskOptions {
    readonly dissemination: Dissemination;
    readonly reader: ConfigurationReader;
    readonly client: ControlClient;
    readonly random: Random;
    readonly logger: Logger;
    /** This node, as other nodes reach it. */
    self(): Peer;
}

type OutputOf<Kind extends DisseminationOutputKind> = Extract<DisseminationOutput, { kind: Kind }>;

/** Owns the configuration in force on a node. */
export class ConfigurationTask {
    /** Configurations as they come into force. */
    readonly activations = new Subject<VerifiedSnapshot>();
    /** Versions that this node refused, with the line to blame. */
    readonly refusals = new Subject<ReportedRefusal>();
    private readonly inbox = new Subject<DisseminationInput>();
    private readonly fetchReplies = new Map<number, (reply: FetchReply) => void>();
    private readonly subscriptions: Subscription[] = [];
    private highestHeard: ConfigurationHead | undefined;
    private nextToken = 1;
    private isStopped = false;

    constructor(private readonly options: ConfigurationTaskOptions) {
        this.subscriptions.push(
            this.inbox.subscribe(input => this.process(input)),
            options.reader.snapshots.subscribe(snapshot => this.inbox.next({
                kind: DisseminationInputKind.SnapshotReceived,
                snapshot,
                source: { kind: ConfigurationSourceKind.Store },
            })),
        );
    }

    /** Reads the accepted version from the store, and goes on until a version is in force. */
    start(): void {
        this.subscriptions.push(
            interval(tickMs).subscribe(() => this.inbox.next({ kind: DisseminationInputKind.Tick })),
        );
        void this.readUntilInForce();
    }

    /** The configuration in force. */
    get current(): VerifiedSnapshot | undefined {
        return this.options.dissemination.inForce();
    }

    /** Highest version that this node has or heard of. */
    get heardHead(): ConfigurationHead | undefined {
        return this.highestHeard;
    }

    /** Why no version is in force; `undefined` once one is. */
    get startBlocker(): string | undefined {
        if (this.current !== undefined) {
            return undefined;
        }
        const blocker = this.options.dissemination.startBlocker();
        return blocker === StartBlocker.None ? "no version heard of" : blocker;
    }

    /** Starts or ends the watch of the store, as reader of the zone. */
    setReading(isReader: boolean): void {
        if (isReader) {
            this.options.reader.startWatching();
        }
        else {
            this.options.reader.stopWatching();
        }
    }

    /** Takes what a peer has in force. */
    headHeard(heard: HeardHead): void {
        this.noteHead(heard.head);
        this.inbox.next({
            kind: DisseminationInputKind.HeadReceived,
            from: { node: heard.from, controlAddress: heard.controlAddress },
            head: heard.head,
            rememberedVersion: heard.rememberedVersion,
            inReply: heard.inReply,
        });
    }

    /** Takes the live entries of all zones. */
    peersChanged(entries: readonly Entry[]): void {
        const { node: self } = this.options.self();
        this.inbox.next({
            kind: DisseminationInputKind.PeersChanged,
            peers: entries
                .filter(entry => entry.node !== self && entry.liveness === Liveness.Alive)
                .map(({ node, controlAddress, zone }) => ({ node, controlAddress, zone })),
        });
    }

    /** Takes the size of the zone's roster. */
    rosterLearned(otherMembers: number): void {
        this.inbox.next({ kind: DisseminationInputKind.RosterLearned, otherMembers });
    }

    /** Takes a version that a peer pushed. */
    async push(push: ConfigurationPush): Promise<void> {
        const { from, head, delta } = push;
        this.noteHead(head);
        this.inbox.next(delta === undefined
            ? { kind: DisseminationInputKind.HeadReceived, from, head, rememberedVersion: 0, inReply: false }
            : { kind: DisseminationInputKind.DeltaReceived, from, delta });
    }

    /** Answers a peer that fetches. */
    fetch(baseVersion: number): Promise<FetchReply> {
        const token = this.nextToken++;
        return new Promise(resolve => {
            this.fetchReplies.set(token, resolve);
            this.inbox.next({ kind: DisseminationInputKind.FetchRequested, token, baseVersion });
        });
    }

    /** Ends the task. */
    stop(): void {
        this.isStopped = true;
        this.options.reader.stopWatching();
        this.subscriptions.forEach(subscription => subscription.unsubscribe());
    }

    private async readUntilInForce(): Promise<void> {
        await sleep(this.options.random.nextFraction() * startReadJitterMs);
        while (!this.isStopped && this.current === undefined) {
            const current = await this.options.reader.readCurrent();
            this.takeStored(current);
            if (current.kind === CurrentConfigurationKind.None) {
                // Nothing was accepted yet; the zone's reader or a peer will tell of the first version.
                return;
            }
            await sleep(storeRetryMs);
        }
    }

    private takeStored(current: CurrentConfiguration): void {
        switch (current.kind) {
            case CurrentConfigurationKind.Found: {
                const { snapshot } = current;
                this.noteHead(snapshot);
                this.learnFloor(snapshot.version);
                const source = { kind: ConfigurationSourceKind.Store } as const;
                return this.inbox.next({ kind: DisseminationInputKind.SnapshotReceived, snapshot, source });
            }
            case CurrentConfigurationKind.None:
                return this.learnFloor(0);
            case CurrentConfigurationKind.Unavailable:
            case CurrentConfigurationKind.Malformed:
                return this.inbox.next({ kind: DisseminationInputKind.StoreUnavailable });
            default:
                return assertNever(current);
        }
    }

    private learnFloor(version: number): void {
        const source = ConfigurationSourceKind.Store;
        this.inbox.next({ kind: DisseminationInputKind.FloorLearned, version, source });
    }

    private noteHead(head: ConfigurationHead): void {
        if (head.version > (this.highestHeard?.version ?? 0)) {
            this.highestHeard = { version: head.version, digest: head.digest };
        }
    }

    private process(input: DisseminationInput): void {
        for (const output of this.options.dissemination.handle(input)) {
            this.perform(output);
        }
    }

    private perform(output: DisseminationOutput): void {
        const { logger } = this.options;
        switch (output.kind) {
            case DisseminationOutputKind.Activate:
                return this.activate(output.verified);
            case DisseminationOutputKind.Fetch:
                return void this.fetchFrom(output);
            case DisseminationOutputKind.ReplyFetch:
                this.fetchReplies.get(output.token)?.(output.reply);
                this.fetchReplies.delete(output.token);
                return;
            case DisseminationOutputKind.Announce:
                return this.announce(output);
            case DisseminationOutputKind.ReportRefused:
                return this.reportRefused(output);
            case DisseminationOutputKind.ReportDamaged:
                return logger.warn("Damaged configuration ignored.", {
                    version: output.version,
                    from: output.from?.node,
                });
            case DisseminationOutputKind.ReportConflict:
                return logger.error("Two configurations have the same version.", {
                    version: output.version,
                    held: output.heldDigest,
                    other: output.otherDigest,
                    from: output.from?.node,
                });
            default:
                return assertNever(output);
        }
    }

    private activate(verified: VerifiedSnapshot): void {
        const { version, digest } = verified.snapshot;
        this.noteHead(verified.snapshot);
        this.options.logger.info("Configuration in force.", { version, digest });
        this.activations.next(verified);
    }

    private async fetchFrom(output: OutputOf<DisseminationOutputKind.Fetch>): Promise<void> {
        const { call, from, baseVersion, timeoutMs } = output;
        const outcome = await this.options.client.fetchConfiguration(from.controlAddress, baseVersion, timeoutMs);
        this.inbox.next(outcome.kind === ControlOutcomeKind.Done
            ? toInput(outcome.value, from, call)
            : { kind: DisseminationInputKind.FetchFailed, call });
    }

    private announce(output: OutputOf<DisseminationOutputKind.Announce>): void {
        const { head, delta, to } = output;
        const push: ConfigurationPush = { from: this.options.self(), head, delta };
        for (const peer of to) {
            // A lost push is repaired by the exchanges, which carry the head.
            void this.options.client.pushConfiguration(peer.controlAddress, push);
        }
    }

    private reportRefused(output: OutputOf<DisseminationOutputKind.ReportRefused>): void {
        const { version, digest, problems } = output;
        const first = problems[0];
        const refusal: ReportedRefusal = {
            version,
            digest,
            line: first?.line ?? 0,
            requester: first?.requester ?? "",
            reason: first?.reason ?? "",
        };
        this.options.logger.error("Configuration refused.", {
            version,
            line: refusal.line,
            requester: refusal.requester,
            reason: refusal.reason,
        });
        this.refusals.next(refusal);
    }
}

function toInput(reply: FetchReply, from: Peer, call: number): DisseminationInput {
    switch (reply.kind) {
        case FetchReplyKind.Delta:
            return { kind: DisseminationInputKind.DeltaReceived, delta: reply.delta, from, call };
        case FetchReplyKind.Snapshot: {
            const source = { kind: ConfigurationSourceKind.Peer, peer: from } as const;
            return { kind: DisseminationInputKind.SnapshotReceived, snapshot: reply.snapshot, source, call };
        }
        case FetchReplyKind.Nothing:
            return { kind: DisseminationInputKind.FetchFailed, call };
        default:
            return assertNever(reply);
    }
}
