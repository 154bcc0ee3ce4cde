/**
 * The control decisions of one node, connected as the daemon's tasks connect them.
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
import { Traffic } from "./carrier";
import type { DecisionFleet } from "./decisionFleet";

const tickMs = 250;
const announceMs = 1_000;
const discoveryMs = 5_000;
const startReadJitterMs = 1_000;

/** Where a node runs and what its target serves. */
export interface Place {
    readonly host: string;
    readonly zone: string;
    readonly region: string;
    readonly service: string;
}

type Reply = (output: unknown) => void;

/** One node. */
export class DecisionNode {
    readonly traffic = new Traffic();
    readonly membership: Membership;
    readonly dissemination: Dissemination;
    readonly address: string;
    isRunning = true;
    /** Time at which the version in force came into force. */
    inForceAt = 0;
    inForce = 0;
    joinedAt: number | undefined;
    private readonly lease: Lease;
    private readonly random: Random;
    private readonly replies = new Map<number, Reply>();
    private lastToken = 0;

    constructor(private readonly fleet: DecisionFleet, readonly place: Place, readonly node: string, seed: number) {
        const { clock } = fleet.schedule;
        const random = createSeededRandom(seed);
        const { host, zone, region } = place;
        this.random = random;
        // The address belongs to the host: a restarted process has the one that rosters and tables list.
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

    /** Starts the ticks and the first reads, as the daemon does. */
    start(): void {
        this.tell({ kind: MembershipInputKind.Start });
        this.repeat(tickMs, () => {
            this.tell({ kind: MembershipInputKind.Tick });
            this.tellDissemination({ kind: DisseminationInputKind.Tick });
            this.tellLease({ kind: LeaseInputKind.Tick });
        });
        this.repeat(announceMs, () => this.announceTarget());
        this.repeat(discoveryMs, () => this.discoverZones());
        this.fleet.schedule.after(this.random.nextFraction() * startReadJitterMs, () => this.readCurrent());
    }

    /** Gives a message to membership. */
    tell(input: MembershipInput): void {
        if (!this.isRunning) {
            return;
        }
        const outputs = this.fleet.times.measure(`membership: ${input.kind}`, () => this.membership.handle(input));
        outputs.forEach(output => this.performMembership(output));
    }

    /** Gives a message to dissemination. */
    tellDissemination(input: DisseminationInput): void {
        if (!this.isRunning) {
            return;
        }
        const { times } = this.fleet;
        const outputs = times.measure(`dissemination: ${input.kind}`, () => this.dissemination.handle(input));
        outputs.forEach(output => this.performDissemination(output));
    }

    /** Answers a call; `reply` gets the output that answers it. */
    answer(createInput: (token: number) => MembershipInput, reply: Reply): void {
        const token = ++this.lastToken;
        this.replies.set(token, reply);
        this.tell(createInput(token));
    }

    /** Answers a fetch. */
    answerFetch(baseVersion: number, reply: Reply): void {
        const token = ++this.lastToken;
        this.replies.set(token, reply);
        this.tellDissemination({ kind: DisseminationInputKind.FetchRequested, token, baseVersion });
    }

    /** The store's watch returned, if this node is its zone's reader. */
    takeStored(snapshot: Snapshot): void {
        if (this.isReader()) {
            this.fleet.store.calls.watch++;
            const source = { kind: ConfigurationSourceKind.Store } as const;
            this.tellDissemination({ kind: DisseminationInputKind.SnapshotReceived, snapshot, source });
        }
    }

    isReader(): boolean {
        return this.isRunning && this.lease.isActing();
    }

    private repeat(spacingMs: number, work: () => void): void {
        const step = (): void => {
            if (this.isRunning) {
                work();
                this.fleet.schedule.after(spacingMs, step);
            }
        };
        this.fleet.schedule.after(this.random.nextFraction() * spacingMs, step);
    }

    private announceTarget(): void {
        const { host, service } = this.place;
        const announcement = {
            id: `target-of-${host}`,
            service,
            address: `10.1.0.1:2${host}`,
            state: TargetState.Ready,
            slots: 6,
            connections: 100,
        };
        this.tell({ kind: MembershipInputKind.TargetAnnounced, announcement });
    }

    private readCurrent(): void {
        if (!this.isRunning) {
            return;
        }
        const snapshot = this.fleet.store.readCurrent();
        const source = ConfigurationSourceKind.Store;
        this.tellDissemination({
            kind: DisseminationInputKind.FloorLearned,
            version: snapshot?.version ?? 0,
            source,
        });
        if (snapshot !== undefined) {
            const kind = DisseminationInputKind.SnapshotReceived;
            this.tellDissemination({ kind, snapshot, source: { kind: source } });
        }
    }

    private discoverZones(): void {
        if (!this.isReader()) {
            return;
        }
        const unknown = this.fleet.store.listZones()
            .filter(zone => zone !== this.place.zone && this.membership.nodesInZone(zone).length === 0);
        const members = unknown.flatMap(zone => this.readRoster(zone));
        if (members.length > 0) {
            this.tell({ kind: MembershipInputKind.ZonesDiscovered, members });
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

    private tellLease(input: LeaseInput): void {
        if (!this.isRunning) {
            return;
        }
        const outputs = this.fleet.times.measure(`lease: ${input.kind}`, () => this.lease.handle(input));
        const { store, schedule } = this.fleet;
        const { zone } = this.place;
        for (const output of outputs) {
            const { kind } = output;
            if (kind === LeaseOutputKind.ReadLease) {
                const outcome = store.readLease(zone);
                schedule.after(2, () => this.tellLease({ kind: LeaseInputKind.LeaseRead, call: output.call, outcome }));
            }
            else if (kind === LeaseOutputKind.WriteLease) {
                const outcome = store.writeLease(zone, output.record, output.condition);
                const written = { kind: LeaseInputKind.LeaseWritten, call: output.call, outcome } as const;
                schedule.after(2, () => this.tellLease(written));
            }
            else if (kind === LeaseOutputKind.StartReading && store.current !== undefined) {
                this.takeStored(store.current);
            }
        }
    }

    private performMembership(output: MembershipOutput): void {
        switch (output.kind) {
            case MembershipOutputKind.ReadRoster: {
                const members = this.readRoster(this.place.zone);
                this.tellDissemination({
                    kind: DisseminationInputKind.RosterLearned,
                    otherMembers: members.length,
                });
                return this.fleet.schedule.after(2, () => this.tell({ kind: MembershipInputKind.RosterRead, members }));
            }
            case MembershipOutputKind.ReplyExchange:
            case MembershipOutputKind.ReplyJoin:
            case MembershipOutputKind.ReplyZone:
                this.replies.get(output.token)?.(output);
                this.replies.delete(output.token);
                return;
            case MembershipOutputKind.TableChanged:
                return this.spreadTable();
            case MembershipOutputKind.HeadReceived: {
                const { from: node, controlAddress, head, rememberedVersion, inReply } = output;
                const from = { node, controlAddress };
                const kind = DisseminationInputKind.HeadReceived;
                return this.tellDissemination({ kind, from, head, rememberedVersion, inReply });
            }
            case MembershipOutputKind.JoinFinished:
                this.joinedAt = this.fleet.schedule.clock.now();
                return;
            default:
                return this.fleet.carryMembership(this, output);
        }
    }

    private spreadTable(): void {
        const entries = this.membership.entries();
        const peers = entries.filter(entry => entry.node !== this.node && entry.liveness === Liveness.Alive);
        this.tellDissemination({ kind: DisseminationInputKind.PeersChanged, peers });
        const zone = this.membership.nodesInZone(this.place.zone);
        this.tellLease({ kind: LeaseInputKind.MembersChanged, members: zone, summary: summarizeZone(zone) });
    }

    private performDissemination(output: DisseminationOutput): void {
        switch (output.kind) {
            case DisseminationOutputKind.Activate: {
                const { version, digest } = output.verified.snapshot;
                this.inForce = version;
                this.inForceAt = this.fleet.schedule.clock.now();
                return this.tell({ kind: MembershipInputKind.VersionActivated, head: { version, digest } });
            }
            case DisseminationOutputKind.ReplyFetch:
                this.replies.get(output.token)?.(output.reply);
                this.replies.delete(output.token);
                return;
            case DisseminationOutputKind.Fetch:
                return this.fleet.carryFetch(this, output, (reply, from) => {
                    const { call } = output;
                    if (reply === undefined || reply.kind === FetchReplyKind.Nothing) {
                        return this.tellDissemination({ kind: DisseminationInputKind.FetchFailed, call });
                    }
                    const source = { kind: ConfigurationSourceKind.Peer, peer: from } as const;
                    this.tellDissemination(reply.kind === FetchReplyKind.Delta
                        ? { kind: DisseminationInputKind.DeltaReceived, delta: reply.delta, from, call }
                        : { kind: DisseminationInputKind.SnapshotReceived, snapshot: reply.snapshot, source, call });
                });
            case DisseminationOutputKind.Announce:
                return this.fleet.carryPush(this, output);
            default:
                throw new Error(`unexpected output: ${output.kind}`);
        }
    }
}
