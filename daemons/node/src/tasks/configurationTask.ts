/**
 * Runs the dissemination state machine: feeds it inputs from the store and other nodes, and performs its outputs.
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
import { type ConfigurationReader, type StoredConfiguration, StoredConfigurationKind } from "./configurationReader";
import type { ReceivedHead } from "./membershipTask";

const tickMs: Milliseconds = 250;
// Spreads the first reads when a whole fleet starts at once: 670 nodes then use a third of the store's read capacity.
const initialReadJitterMs: Milliseconds = 1_000;
const storeRetryMs: Milliseconds = 2_000;

export interface ConfigurationTaskOptions {
    readonly dissemination: Dissemination;
    readonly reader: ConfigurationReader;
    readonly client: ControlClient;
    readonly random: Random;
    readonly logger: Logger;
    /** Name and control address of this node. */
    localPeer(): Peer;
}

type OutputOf<Kind extends DisseminationOutputKind> = Extract<DisseminationOutput, { kind: Kind }>;

export class ConfigurationTask {
    /** Emits each configuration when this node activates it. */
    readonly activations = new Subject<VerifiedSnapshot>();
    /** Emits each version that this node refused, with the first invalid line. */
    readonly refusals = new Subject<ReportedRefusal>();
    private readonly inbox = new Subject<DisseminationInput>();
    private readonly pendingFetches = new Map<number, (reply: FetchReply) => void>();
    private readonly subscriptions: Subscription[] = [];
    private highestRecordedHead: ConfigurationHead | undefined;
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

    /** Reads the accepted version from the store and retries until a version is in force. */
    start(): void {
        this.subscriptions.push(
            interval(tickMs).subscribe(() => this.inbox.next({ kind: DisseminationInputKind.Tick })),
        );
        void this.readUntilInForce();
    }

    /** Configuration in force. */
    get current(): VerifiedSnapshot | undefined {
        return this.options.dissemination.inForce();
    }

    /** Head of the highest version that this node has or that a peer reported. */
    get highestHead(): ConfigurationHead | undefined {
        return this.highestRecordedHead;
    }

    /** Reason why no version is in force; `undefined` once one is. */
    get startBlocker(): string | undefined {
        if (this.current !== undefined) {
            return undefined;
        }
        const blocker = this.options.dissemination.startBlocker();
        return blocker === StartBlocker.None ? "no version heard of" : blocker;
    }

    /** Watches the store while this node is the reader of its zone. */
    setIsReader(isReader: boolean): void {
        if (isReader) {
            this.options.reader.startWatching();
        }
        else {
            this.options.reader.stopWatching();
        }
    }

    /** Handles the head of the version that a peer has in force. */
    handleHead(received: ReceivedHead): void {
        this.recordHead(received.head);
        this.inbox.next({
            kind: DisseminationInputKind.HeadReceived,
            from: { node: received.from, controlAddress: received.controlAddress },
            head: received.head,
            rememberedVersion: received.rememberedVersion,
            inReply: received.inReply,
        });
    }

    /** Handles a change of the membership table; `entries` are those of all zones. */
    handlePeersChanged(entries: readonly Entry[]): void {
        const { node: localNode } = this.options.localPeer();
        this.inbox.next({
            kind: DisseminationInputKind.PeersChanged,
            peers: entries
                .filter(entry => entry.node !== localNode && entry.liveness === Liveness.Alive)
                .map(({ node, controlAddress, zone }) => ({ node, controlAddress, zone })),
        });
    }

    /** Handles the number of other members in the zone's roster. */
    handleRosterSize(otherMembers: number): void {
        this.inbox.next({ kind: DisseminationInputKind.RosterLearned, otherMembers });
    }

    /** Handles a version that a peer pushed. */
    async handlePush(push: ConfigurationPush): Promise<void> {
        const { from, head, delta } = push;
        this.recordHead(head);
        this.inbox.next(delta === undefined
            ? { kind: DisseminationInputKind.HeadReceived, from, head, rememberedVersion: 0, inReply: false }
            : { kind: DisseminationInputKind.DeltaReceived, from, delta });
    }

    /** Handles a peer's fetch; resolves with the reply for it. */
    handleFetch(baseVersion: number): Promise<FetchReply> {
        const token = this.nextToken++;
        return new Promise(resolve => {
            this.pendingFetches.set(token, resolve);
            this.inbox.next({ kind: DisseminationInputKind.FetchRequested, token, baseVersion });
        });
    }

    stop(): void {
        this.isStopped = true;
        this.options.reader.stopWatching();
        this.subscriptions.forEach(subscription => subscription.unsubscribe());
    }

    private async readUntilInForce(): Promise<void> {
        await sleep(this.options.random.nextFraction() * initialReadJitterMs);
        while (!this.isStopped && this.current === undefined) {
            const stored = await this.options.reader.readStored();
            this.handleStoredConfiguration(stored);
            if (stored.kind === StoredConfigurationKind.None) {
                // No version has been accepted yet. The zone's reader or a peer will announce the first one.
                return;
            }
            await sleep(storeRetryMs);
        }
    }

    private handleStoredConfiguration(stored: StoredConfiguration): void {
        switch (stored.kind) {
            case StoredConfigurationKind.Found: {
                const { snapshot } = stored;
                this.recordHead(snapshot);
                this.handleVersionFloor(snapshot.version);
                const source = { kind: ConfigurationSourceKind.Store } as const;
                return this.inbox.next({ kind: DisseminationInputKind.SnapshotReceived, snapshot, source });
            }
            case StoredConfigurationKind.None:
                return this.handleVersionFloor(0);
            case StoredConfigurationKind.Unavailable:
            case StoredConfigurationKind.Malformed:
                return this.inbox.next({ kind: DisseminationInputKind.StoreUnavailable });
            default:
                return assertNever(stored);
        }
    }

    /** Handles the accepted version according to the store; this node must not activate a lower one. */
    private handleVersionFloor(version: number): void {
        const source = ConfigurationSourceKind.Store;
        this.inbox.next({ kind: DisseminationInputKind.FloorLearned, version, source });
    }

    private recordHead(head: ConfigurationHead): void {
        if (head.version > (this.highestRecordedHead?.version ?? 0)) {
            this.highestRecordedHead = { version: head.version, digest: head.digest };
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
                this.pendingFetches.get(output.token)?.(output.reply);
                this.pendingFetches.delete(output.token);
                return;
            case DisseminationOutputKind.Announce:
                return this.announce(output);
            case DisseminationOutputKind.ReportRefused:
                return this.reportRefused(output);
            case DisseminationOutputKind.ReportCorrupt:
                return logger.warn("Ignored a damaged configuration.", {
                    version: output.version,
                    from: output.from?.node,
                });
            case DisseminationOutputKind.ReportConflict:
                return logger.error("Two different configurations have the same version.", {
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
        this.recordHead(verified.snapshot);
        this.options.logger.info("Configuration in force.", { version, digest });
        this.activations.next(verified);
    }

    private async fetchFrom(output: OutputOf<DisseminationOutputKind.Fetch>): Promise<void> {
        const { call, from, baseVersion, timeoutMs } = output;
        const outcome = await this.options.client.fetchConfiguration(from.controlAddress, baseVersion, timeoutMs);
        this.inbox.next(outcome.kind === ControlOutcomeKind.Done
            ? toDisseminationInput(outcome.value, from, call)
            : { kind: DisseminationInputKind.FetchFailed, call });
    }

    private announce(output: OutputOf<DisseminationOutputKind.Announce>): void {
        const { head, delta, to } = output;
        const push: ConfigurationPush = { from: this.options.localPeer(), head, delta };
        for (const peer of to) {
            // Gossip exchanges carry the head too, so a peer that misses this push fetches the version later.
            void this.options.client.pushConfiguration(peer.controlAddress, push);
        }
    }

    private reportRefused(output: OutputOf<DisseminationOutputKind.ReportRefused>): void {
        const { version, digest, problems } = output;
        const firstProblem = problems[0];
        const refusal: ReportedRefusal = {
            version,
            digest,
            line: firstProblem?.line ?? 0,
            requester: firstProblem?.requester ?? "",
            reason: firstProblem?.reason ?? "",
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

function toDisseminationInput(reply: FetchReply, from: Peer, call: number): DisseminationInput {
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
