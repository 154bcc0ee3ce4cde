/**
 * One node: creates the decisions and tasks, connects them and binds the listeners.
 */
import { randomInt, randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import { Dispatcher } from "@bilberrycroft/coordination.admission";
import { Dissemination } from "@bilberrycroft/coordination.dissemination";
import { Draining } from "@bilberrycroft/coordination.draining";
import { ClaimCoordinator } from "@bilberrycroft/coordination.idempotency";
import { Lease } from "@bilberrycroft/coordination.lease";
import { type KnownMember, Membership, MembershipInputKind } from "@bilberrycroft/coordination.membership";
import { Quarantine } from "@bilberrycroft/coordination.quarantine";
import { Retries } from "@bilberrycroft/coordination.retries";
import { Router } from "@bilberrycroft/coordination.routing";
import { type Clock, type Milliseconds, SystemClock } from "@bilberrycroft/core.clock";
import { createLogger, type Logger } from "@bilberrycroft/core.logger";
import { createSeededRandom, type Random } from "@bilberrycroft/core.random";
import type { ControlHandlers } from "@bilberrycroft/protocol.control";
import { type Store, StoreOutcomeKind, zoneKey } from "@bilberrycroft/protocol.store";
import { CallHistograms } from "@bilberrycroft/state.histograms";
import { applyDelta, encodeDelta, verifySnapshot } from "@bilberrycroft/state.snapshots";
import { type Listener, startListener, TargetClient } from "@bilberrycroft/transport.calls";
import { ControlClient, ControlOutcomeKind, startControlListener } from "@bilberrycroft/transport.control";
import { HttpStore } from "@bilberrycroft/transport.store";
import { CallTask } from "./calls/callTask";
import { Claims, toOwnedOutcome } from "./calls/claims";
import { createControlHandlers } from "./controlHandlers";
import { createNodeMetrics, type NodeMetrics } from "./metrics";
import type { NodeSettings } from "./settings";
import { ConfigurationReader } from "./tasks/configurationReader";
import { ConfigurationTask } from "./tasks/configurationTask";
import { DrainTask } from "./tasks/drainTask";
import { LeaseTask } from "./tasks/leaseTask";
import { MembershipTask } from "./tasks/membershipTask";
import { TargetTask } from "./tasks/targetTask";
import { listRosterMembers, parseLeaseRecord } from "./tasks/zoneRecord";

const largestSeed = 0x7fffffff;
const callRequestTimeoutMs: Milliseconds = 60_000;
const spreadMs: Milliseconds = 500;
const settleClaimsMs: Milliseconds = 5_000;
const settlePollMs: Milliseconds = 20;

/** Options of `startNode`. */
export interface NodeOptions {
    readonly settings: NodeSettings;
    /** Seed of all random choices; chosen at random by default. */
    readonly seed?: number;
    /** Store to use in place of the one that the settings name. */
    readonly store?: Store;
}

/** A running node. */
export interface RunningNode {
    readonly node: string;
    /** `host:port` of the control listener. */
    readonly controlAddress: string;
    /** `host:port` of the call listener. */
    readonly callAddress: string;
    /** Version in force; 0 before the first. */
    version(): number;
    /** Planned stop: resolves when no call is left and the listeners are closed. */
    stop(): Promise<void>;
    /** Resolves after a planned stop, whoever asked for it: a signal, an operator, or a later process of the host. */
    readonly stopped: Promise<void>;
    /** Ends at once, as a crash would, for tests. */
    kill(): Promise<void>;
}

/** Starts a node; rejects when a listener cannot be bound. */
export async function startNode(options: NodeOptions): Promise<RunningNode> {
    const node = new Node(options);
    await node.start();
    return node;
}

class Node implements RunningNode {
    readonly node: string;
    private readonly clock: Clock = new SystemClock();
    private readonly random: Random;
    private readonly logger: Logger;
    private readonly store: Store;
    private readonly histograms = new CallHistograms();
    private readonly targetClient = new TargetClient(this.clock);
    private readonly control: ControlClient;
    private readonly router: Router;
    private readonly dispatcher: Dispatcher;
    private readonly quarantine: Quarantine;
    private readonly claims: Claims;
    private readonly calls: CallTask;
    private readonly reader: ConfigurationReader;
    private readonly configuration: ConfigurationTask;
    private readonly draining: DrainTask;
    private readonly metrics: NodeMetrics;
    private members!: MembershipTask;
    private targets!: TargetTask;
    private lease!: LeaseTask;
    private callListener!: Listener;
    private controlListener!: Listener;
    readonly stopped: Promise<void>;
    private reportStopped: () => void = () => undefined;
    private stopping: Promise<void> | undefined;
    private bytesSent = 0;
    private bytesReceived = 0;
    private callsSent = 0;
    private callsReceived = 0;

    constructor(private readonly options: NodeOptions) {
        const { settings } = options;
        const { clock } = this;
        this.stopped = new Promise(resolve => {
            this.reportStopped = resolve;
        });
        this.node = `${settings.host}-${randomUUID().slice(0, 8)}`;
        this.random = createSeededRandom(options.seed ?? randomInt(largestSeed));
        const { random } = this;
        this.logger = createLogger("node", settings.logLevel);
        this.store = options.store ?? new HttpStore({ address: settings.store });
        this.control = new ControlClient({ countBytes: (sent, received) => this.countCallSent(sent, received) });
        this.router = new Router({ clock, random, zone: settings.zone });
        this.dispatcher = new Dispatcher({ clock, random, router: this.router });
        this.quarantine = new Quarantine({ node: this.node, clock });
        this.claims = new Claims({
            keeper: new ClaimCoordinator({ node: this.node, clock, random }),
            clock,
            store: this.store,
            askNode: (node, claim) => this.askNode(node, claim),
        });
        this.calls = this.createCallTask();
        this.reader = new ConfigurationReader({ store: this.store, random, logger: this.partLogger("store") });
        this.configuration = this.createConfigurationTask();
        this.draining = this.createDrainTask();
        this.metrics = this.createMetrics();
    }

    get controlAddress(): string {
        return this.controlListener.address;
    }

    get callAddress(): string {
        return this.callListener.address;
    }

    version(): number {
        return this.configuration.current?.snapshot.version ?? 0;
    }

    async start(): Promise<void> {
        const { settings } = this.options;
        this.callListener = await startListener({
            ...settings.calls,
            maxConnections: settings.maxConnections.calls,
            requestTimeoutMs: callRequestTimeoutMs,
            handle: (request, response) => this.calls.handle(request, response),
        });
        this.controlListener = await startControlListener({
            ...settings.control,
            maxConnections: settings.maxConnections.control,
            handlers: this.createHandlers(),
            announce: announcement =>
                this.members.tell({ kind: MembershipInputKind.TargetAnnounced, announcement }),
            renderMetrics: () => this.metrics.render(),
            countBytes: received => this.countCallReceived(received),
        });
        this.members = this.createMembershipTask();
        this.targets = new TargetTask({
            membership: this.members.membership,
            tableChanges: this.members.tableChanges,
            dispatcher: this.dispatcher,
            router: this.router,
            client: this.targetClient,
            clock: this.clock,
            node: this.node,
        });
        this.lease = this.createLeaseTask();
        this.connectTasks();
        this.members.start();
        this.configuration.start();
        this.lease.start();
    }

    stop(): Promise<void> {
        this.stopping ??= this.stopGracefully();
        return this.stopping;
    }

    async kill(): Promise<void> {
        await this.close();
    }

    private async stopGracefully(): Promise<void> {
        await this.draining.stop();
        await this.settleClaims();
        await this.leave();
        await this.close();
        this.reportStopped();
    }

    /** Outcomes that are lost with the process leave their resends with "unknown"; a store outage ends the wait. */
    private async settleClaims(): Promise<void> {
        const endsAt = this.clock.now() + settleClaimsMs;
        while (this.claims.unsettledOutcomes > 0 && this.clock.now() < endsAt) {
            await sleep(settlePollMs);
        }
    }

    private async close(): Promise<void> {
        this.configuration.stop();
        this.lease.stop();
        this.members.stop();
        this.targets.stop();
        this.claims.stop();
        this.calls.stop();
        this.control.close();
        await Promise.all([this.callListener.close(), this.controlListener.close()]);
    }

    private connectTasks(): void {
        const { members, configuration, calls, quarantine } = this;
        configuration.activations.subscribe(verified => {
            const { version, digest } = verified.snapshot;
            calls.activate(verified);
            members.tell({ kind: MembershipInputKind.VersionActivated, head: { version, digest } });
        });
        configuration.refusals.subscribe(refusal =>
            members.tell({ kind: MembershipInputKind.VersionRefused, refusal }));
        members.heads.subscribe(heard => configuration.headHeard(heard));
        members.tableChanges.subscribe(() => {
            configuration.peersChanged(members.membership.entries());
            this.lease.membersChanged(members.membership.nodesInZone(this.options.settings.zone));
        });
        this.lease.reading.subscribe(isReader => configuration.setReading(isReader));
        members.superseded.subscribe(() => void this.stop());
        this.lease.discoveries.subscribe(discovered =>
            members.tell({ kind: MembershipInputKind.ZonesDiscovered, members: discovered }));
        calls.inFlight.subscribe(count => this.draining.callsInFlight(count));
        calls.quarantineReports.subscribe(reports =>
            members.tell({ kind: MembershipInputKind.CrashReported, reports }));
        members.crashReports.subscribe(reports => quarantine.mergeReports(reports));
    }

    /** Members of the zone that the store lists; `undefined` if the store cannot be reached. */
    private async readRoster(): Promise<readonly KnownMember[] | undefined> {
        const { zone } = this.options.settings;
        const outcome = await this.store.read(zoneKey(zone));
        if (outcome.kind === StoreOutcomeKind.Unavailable) {
            return undefined;
        }
        const record = outcome.kind === StoreOutcomeKind.Done ? parseLeaseRecord(outcome.object.value) : undefined;
        const members = record === undefined ? [] : listRosterMembers(record, zone);
        const others = members.filter(member => member.controlAddress !== this.controlAddress);
        this.configuration.rosterLearned(others.length);
        return others;
    }

    private createConfigurationTask(): ConfigurationTask {
        const { clock, random, node, reader } = this;
        return new ConfigurationTask({
            dissemination: new Dissemination({
                clock,
                random,
                node,
                zone: this.options.settings.zone,
                snapshots: { verifySnapshot, encodeDelta, applyDelta },
            }),
            reader,
            client: this.control,
            random,
            logger: this.partLogger("configuration"),
            self: () => ({ node, controlAddress: this.controlAddress }),
        });
    }

    private createLeaseTask(): LeaseTask {
        const { clock, random, node, store, controlAddress } = this;
        const { zone } = this.options.settings;
        return new LeaseTask({
            lease: new Lease({ clock, random, zone, node, controlAddress }),
            store,
            zone,
            logger: this.partLogger("lease"),
            isZoneKnown: other => this.members.membership.nodesInZone(other).length > 0,
        });
    }

    private createCallTask(): CallTask {
        const { clock, random } = this;
        return new CallTask({
            clock,
            dispatcher: this.dispatcher,
            router: this.router,
            retries: new Retries({ clock, random }),
            quarantine: this.quarantine,
            claims: this.claims,
            targets: this.targetClient,
            histograms: this.histograms,
            maxRequestBytes: this.options.settings.maxRequestBytes,
            logger: this.partLogger("calls"),
        });
    }

    private createMembershipTask(): MembershipTask {
        const { settings } = this.options;
        const { clock, random } = this;
        return new MembershipTask({
            membership: new Membership({
                clock,
                random,
                identity: {
                    node: this.node,
                    host: settings.host,
                    zone: settings.zone,
                    region: settings.region,
                    controlAddress: this.controlAddress,
                    callAddress: this.callAddress,
                    incarnation: clock.wallTime(),
                },
                peers: settings.peers.map(createSettingsPeer),
            }),
            client: this.control,
            logger: this.partLogger("membership"),
            readRoster: () => this.readRoster(),
        });
    }

    private createDrainTask(): DrainTask {
        return new DrainTask({
            draining: new Draining({ clock: this.clock }),
            logger: this.partLogger("draining"),
            actions: {
                announceDraining: () => {
                    this.members.tell({ kind: MembershipInputKind.Drain });
                    this.callListener.announceStop();
                },
                handOverLease: () => this.lease.handOver(),
                // The announcement goes out at once; the wait lets the exchanges that carry it end.
                tellPeers: () => sleep(spreadMs),
                stopListening: () => {
                    this.calls.refuseNewCalls();
                    return this.callListener.stopAccepting();
                },
            },
        });
    }

    private async leave(): Promise<void> {
        this.members.tell({ kind: MembershipInputKind.Leave });
        await sleep(spreadMs);
    }

    private createHandlers(): ControlHandlers {
        return createControlHandlers(() => ({
            members: this.members,
            configuration: this.configuration,
            claims: this.claims,
            metrics: this.metrics,
            isStoreReachable: () => this.reader.storeReachable.value,
            drain: () => {
                void this.stop();
                return { node: this.node, state: this.draining.state };
            },
        }));
    }

    private async askNode(node: string, claim: { readonly key: string; readonly attempt: string }) {
        const entry = this.members.membership.entryOf(node);
        if (entry === undefined) {
            return undefined;
        }
        const outcome = await this.control.claimOutcome(entry.controlAddress, claim);
        return outcome.kind === ControlOutcomeKind.Done ? toOwnedOutcome(outcome.value) : undefined;
    }

    private createMetrics(): NodeMetrics {
        return createNodeMetrics({
            histograms: this.histograms,
            version: () => this.version(),
            callsInFlight: () => this.calls.callsInProgress,
            callsQueued: () => this.dispatcher.queuedCalls,
            controlBytesSent: () => this.bytesSent,
            controlBytesReceived: () => this.bytesReceived,
            controlCallsSent: () => this.callsSent,
            controlCallsReceived: () => this.callsReceived,
            knownNodes: () => this.members.membership.entries().length,
        });
    }

    private countCallSent(sent: number, received: number): void {
        this.callsSent++;
        this.bytesSent += sent;
        this.bytesReceived += received;
    }

    private countCallReceived(received: number): void {
        this.callsReceived++;
        this.bytesReceived += received;
    }

    private partLogger(part: string): Logger {
        return createLogger(part, this.options.settings.logLevel);
    }
}

function createSettingsPeer(controlAddress: string): KnownMember {
    return { controlAddress, zone: undefined };
}
