/**
 * The control decisions of one node, connected in the same way as in the daemon's tasks.
 */
import {
    ConfigurationSourceKind,
    Dissemination,
    type DisseminationInput,
    DisseminationInputKind,
    type DisseminationOutput,
    DisseminationOutputKind,
    FetchReplyKind,
} from "@bilberrycroft/coordination.dissemination";
import {
    Lease,
    type LeaseInput,
    LeaseInputKind,
    LeaseOutputKind,
    summarizeZone,
} from "@bilberrycroft/coordination.lease";
import {
    type KnownMember,
    Liveness,
    Membership,
    type MembershipInput,
    MembershipInputKind,
    type MembershipOutput,
    MembershipOutputKind,
    TargetState,
} from "@bilberrycroft/coordination.membership";
import { createSeededRandom, type Random } from "@bilberrycroft/core.random";
import { applyDelta, encodeDelta, type Snapshot, verifySnapshot } from "@bilberrycroft/state.snapshots";
import { NodeTraffic } from "./schedule";
import type { DecisionFleet } from "./decisionFleet";

const tickIntervalMs = 250;
const announceIntervalMs = 1_000;
const discoveryIntervalMs = 5_000;
const maxStartReadDelayMs = 1_000;

/** Where a node runs and what its target serves. */
export interface Placement {
    readonly host: string;
    readonly zone: string;
    readonly region: string;
    readonly service: string;
}

type ReplyCallback = (output: unknown) => void;

export class DecisionNode {
    readonly traffic = new NodeTraffic();
    readonly membership: Membership;
    readonly dissemination: Dissemination;
    readonly address: string;
    isRunning = true;
    /** Time at which `inForce` was activated. */
    lastActivatedAt = 0;
    /** Version in force; 0 before the first activation. */
    inForce = 0;
    joinedAt: number | undefined;
    private readonly lease: Lease;
    private readonly random: Random;
    private readonly pendingReplies = new Map<number, ReplyCallback>();
    private lastToken = 0;

    constructor(
        private readonly fleet: DecisionFleet,
        readonly placement: Placement,
        readonly node: string,
        seed: number,
    ) {
        const { clock } = fleet.schedule;
        const random = createSeededRandom(seed);
        const { host, zone, region } = placement;
        this.random = random;
        // A restarted process keeps the address of its host, which rosters and tables list.
        this.address = `10.1.0.1:${host}`;
        const controlAddress = this.address;
        this.membership = new Membership({
            clock,
            random,
            identity: {
                node,
                host,
                zone,
                region,
                controlAddress,
                callAddress: `${this.address}0`,
                incarnation: clock.wallTime(),
            },
            peers: [],
        });
        const snapshots = { verifySnapshot, encodeDelta, applyDelta };
        this.dissemination = new Dissemination({ clock, random, node, zone, snapshots });
        this.lease = new Lease({ clock, random, zone, node, controlAddress });
    }

    /** Starts the periodic work and the first read of the configuration, as the daemon does. */
    start(): void {
        this.handleMembershipInput({ kind: MembershipInputKind.Start });
        this.runPeriodically(tickIntervalMs, () => {
            this.handleMembershipInput({ kind: MembershipInputKind.Tick });
            this.handleDisseminationInput({ kind: DisseminationInputKind.Tick });
            this.handleLeaseInput({ kind: LeaseInputKind.Tick });
        });
        this.runPeriodically(announceIntervalMs, () => this.announceTarget());
        this.runPeriodically(discoveryIntervalMs, () => this.discoverZones());
        this.fleet.schedule.runAfter(this.random.nextFraction() * maxStartReadDelayMs, () => this.readConfiguration());
    }

    handleMembershipInput(input: MembershipInput): void {
        if (!this.isRunning) {
            return;
        }
        const outputs = this.fleet.handlingTimes
            .measure(`membership: ${input.kind}`, () => this.membership.handle(input));
        outputs.forEach(output => this.performMembershipOutput(output));
    }

    handleDisseminationInput(input: DisseminationInput): void {
        if (!this.isRunning) {
            return;
        }
        const { handlingTimes } = this.fleet;
        const outputs = handlingTimes.measure(`dissemination: ${input.kind}`, () => this.dissemination.handle(input));
        outputs.forEach(output => this.performDisseminationOutput(output));
    }

    /** Handles a membership request; `reply` receives the output that responds to it. */
    handleRequest(createInput: (token: number) => MembershipInput, reply: ReplyCallback): void {
        const token = ++this.lastToken;
        this.pendingReplies.set(token, reply);
        this.handleMembershipInput(createInput(token));
    }

    /** Handles a fetch of the configuration; `reply` receives the `FetchReply`. */
    handleFetch(baseVersion: number, reply: ReplyCallback): void {
        const token = ++this.lastToken;
        this.pendingReplies.set(token, reply);
        this.handleDisseminationInput({ kind: DisseminationInputKind.FetchRequested, token, baseVersion });
    }

    /** Handles a version from the watch on the store. Nodes that are not the reader of their zone do not watch. */
    handleStoreUpdate(snapshot: Snapshot): void {
        if (this.isZoneReader()) {
            this.fleet.store.calls.watch++;
            const source = { kind: ConfigurationSourceKind.Store } as const;
            this.handleDisseminationInput({ kind: DisseminationInputKind.SnapshotReceived, snapshot, source });
        }
    }

    isZoneReader(): boolean {
        return this.isRunning && this.lease.isActing();
    }

    private runPeriodically(intervalMs: number, work: () => void): void {
        const step = (): void => {
            if (this.isRunning) {
                work();
                this.fleet.schedule.runAfter(intervalMs, step);
            }
        };
        this.fleet.schedule.runAfter(this.random.nextFraction() * intervalMs, step);
    }

    private announceTarget(): void {
        const { host, service } = this.placement;
        const announcement = {
            id: `target-of-${host}`,
            service,
            address: `10.1.0.1:2${host}`,
            state: TargetState.Ready,
            slots: 6,
            connections: 100,
        };
        this.handleMembershipInput({ kind: MembershipInputKind.TargetAnnounced, announcement });
    }

    private readConfiguration(): void {
        if (!this.isRunning) {
            return;
        }
        const snapshot = this.fleet.store.readCurrent();
        const source = ConfigurationSourceKind.Store;
        this.handleDisseminationInput({
            kind: DisseminationInputKind.FloorLearned,
            version: snapshot?.version ?? 0,
            source,
        });
        if (snapshot !== undefined) {
            const kind = DisseminationInputKind.SnapshotReceived;
            this.handleDisseminationInput({ kind, snapshot, source: { kind: source } });
        }
    }

    private discoverZones(): void {
        if (!this.isZoneReader()) {
            return;
        }
        const unknownZones = this.fleet.store.listZones()
            .filter(zone => zone !== this.placement.zone && this.membership.nodesInZone(zone).length === 0);
        const members = unknownZones.flatMap(zone => this.readRoster(zone));
        if (members.length > 0) {
            this.handleMembershipInput({ kind: MembershipInputKind.ZonesDiscovered, members });
        }
    }

    private readRoster(zone: string): readonly KnownMember[] {
        const record = this.fleet.store.readZone(zone);
        const addresses = record === undefined
            ? []
            : [record.address, ...record.members.map(member => member.controlAddress)];
        return [...new Set(addresses)]
            .filter(controlAddress => controlAddress !== this.address)
            .map(controlAddress => ({ controlAddress, zone }));
    }

    private handleLeaseInput(input: LeaseInput): void {
        if (!this.isRunning) {
            return;
        }
        const outputs = this.fleet.handlingTimes.measure(`lease: ${input.kind}`, () => this.lease.handle(input));
        const { store, schedule } = this.fleet;
        const { zone } = this.placement;
        for (const output of outputs) {
            const { kind } = output;
            if (kind === LeaseOutputKind.ReadLease) {
                const outcome = store.readLease(zone);
                schedule.runAfter(2, () =>
                    this.handleLeaseInput({ kind: LeaseInputKind.LeaseRead, call: output.call, outcome }));
            }
            else if (kind === LeaseOutputKind.WriteLease) {
                const outcome = store.writeLease(zone, output.record, output.condition);
                const written = { kind: LeaseInputKind.LeaseWritten, call: output.call, outcome } as const;
                schedule.runAfter(2, () => this.handleLeaseInput(written));
            }
            else if (kind === LeaseOutputKind.StartReading && store.current !== undefined) {
                this.handleStoreUpdate(store.current);
            }
        }
    }

    private performMembershipOutput(output: MembershipOutput): void {
        switch (output.kind) {
            case MembershipOutputKind.ReadRoster: {
                const members = this.readRoster(this.placement.zone);
                this.handleDisseminationInput({
                    kind: DisseminationInputKind.RosterLearned,
                    otherMembers: members.length,
                });
                return this.fleet.schedule.runAfter(2, () =>
                    this.handleMembershipInput({ kind: MembershipInputKind.RosterRead, members }));
            }
            case MembershipOutputKind.ReplyExchange:
            case MembershipOutputKind.ReplyJoin:
            case MembershipOutputKind.ReplyZone:
                this.pendingReplies.get(output.token)?.(output);
                this.pendingReplies.delete(output.token);
                return;
            case MembershipOutputKind.TableChanged:
                return this.handleTableChange();
            case MembershipOutputKind.HeadReceived: {
                const { from: node, controlAddress, head, rememberedVersion, inReply } = output;
                const from = { node, controlAddress };
                const kind = DisseminationInputKind.HeadReceived;
                return this.handleDisseminationInput({ kind, from, head, rememberedVersion, inReply });
            }
            case MembershipOutputKind.JoinFinished:
                this.joinedAt = this.fleet.schedule.clock.now();
                return;
            default:
                return this.fleet.sendMembershipRequest(this, output);
        }
    }

    private handleTableChange(): void {
        const entries = this.membership.entries();
        const peers = entries.filter(entry => entry.node !== this.node && entry.liveness === Liveness.Alive);
        this.handleDisseminationInput({ kind: DisseminationInputKind.PeersChanged, peers });
        const zoneMembers = this.membership.nodesInZone(this.placement.zone);
        this.handleLeaseInput({
            kind: LeaseInputKind.MembersChanged,
            members: zoneMembers,
            summary: summarizeZone(zoneMembers),
        });
    }

    private performDisseminationOutput(output: DisseminationOutput): void {
        switch (output.kind) {
            case DisseminationOutputKind.Activate: {
                const { version, digest } = output.verified.snapshot;
                this.inForce = version;
                this.lastActivatedAt = this.fleet.schedule.clock.now();
                return this.handleMembershipInput({
                    kind: MembershipInputKind.VersionActivated,
                    head: { version, digest },
                });
            }
            case DisseminationOutputKind.ReplyFetch:
                this.pendingReplies.get(output.token)?.(output.reply);
                this.pendingReplies.delete(output.token);
                return;
            case DisseminationOutputKind.Fetch:
                return this.fleet.sendFetch(this, output, (reply, from) => {
                    const { call } = output;
                    if (reply === undefined || reply.kind === FetchReplyKind.Nothing) {
                        return this.handleDisseminationInput({ kind: DisseminationInputKind.FetchFailed, call });
                    }
                    const source = { kind: ConfigurationSourceKind.Peer, peer: from } as const;
                    this.handleDisseminationInput(reply.kind === FetchReplyKind.Delta
                        ? { kind: DisseminationInputKind.DeltaReceived, delta: reply.delta, from, call }
                        : { kind: DisseminationInputKind.SnapshotReceived, snapshot: reply.snapshot, source, call });
                });
            case DisseminationOutputKind.Announce:
                return this.fleet.sendPush(this, output);
            default:
                throw new Error(`unexpected dissemination output: ${output.kind}`);
        }
    }
}
