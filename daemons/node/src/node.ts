/**
 * Creates the state machines and tasks of a node, connects them and binds the listeners.
 */
import { randomInt, randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import { Dispatcher } from "@bilberrycroft/coordination.admission";
import { Dissemination } from "@bilberrycroft/coordination.dissemination";
import { Draining } from "@bilberrycroft/coordination.draining";
import { BufferBudget } from "@bilberrycroft/coordination.forwarding";
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
import {
    type ClientLimit,
    limitConnections,
    type Listener,
    readDescriptorLimit,
    startListener,
    TargetClient,
} from "@bilberrycroft/transport.calls";
import { ControlClient, ControlOutcomeKind, startControlListener } from "@bilberrycroft/transport.control";
import { HttpStore } from "@bilberrycroft/transport.store";
import { CallTask } from "./calls/callTask";
import { Claims, toAttemptOutcome } from "./calls/claims";
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

const maxSeed = 0x7fffffff;
const callRequestTimeoutMs: Milliseconds = 60_000;
const propagationDelayMs: Milliseconds = 500;
const claimRecordTimeoutMs: Milliseconds = 5_000;
/** Share of the memory held for clients; the program itself takes about 90 MB, and garbage as much again. */
const clientMemoryShare = 0.25;
const bytesPerMegabyte = 1_048_576;
const claimRecordPollMs: Milliseconds = 20;

export interface NodeOptions {
    readonly settings: NodeSettings;
    /** Seed of the random number generator; random by default. */
    readonly seed?: number;
    /** Used instead of the store in the settings. */
    readonly store?: Store;
}

export interface RunningNode {
    readonly node: string;
    /** `host:port` of the control listener. */
    readonly controlAddress: string;
    /** `host:port` of the call listener. */
    readonly callAddress: string;
    /** Version in force; 0 if there is none. */
    version(): number;
    /** Shuts down gracefully; resolves when no calls remain and the listeners are closed. */
    stop(): Promise<void>;
    /** Resolves after a graceful shutdown, requested by a signal, an operator or a newer process of the host. */
    readonly stopped: Promise<void>;
    /** Closes everything without a graceful shutdown, to simulate a crash in tests. */
    kill(): Promise<void>;
}

/** Rejects when a listener cannot be bound. */
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
    private readonly budgetBytes: number;
    private readonly bufferBudget: BufferBudget;
    private readonly limitCounts = new Map<ClientLimit, number>();
    private readonly quarantine: Quarantine;
    private readonly claims: Claims;
    private readonly callTask: CallTask;
    private readonly reader: ConfigurationReader;
    private readonly configurationTask: ConfigurationTask;
    private readonly drainTask: DrainTask;
    private readonly metrics: NodeMetrics;
    private membershipTask!: MembershipTask;
    private targetTask!: TargetTask;
    private leaseTask!: LeaseTask;
    private callListener!: Listener;
    private controlListener!: Listener;
    readonly stopped: Promise<void>;
    private resolveStopped: () => void = () => undefined;
    private stopping: Promise<void> | undefined;
    private controlBytesSent = 0;
    private controlBytesReceived = 0;
    private controlCallsSent = 0;
    private controlCallsReceived = 0;

    constructor(private readonly options: NodeOptions) {
        const { settings } = options;
        const { clock } = this;
        this.stopped = new Promise(resolve => {
            this.resolveStopped = resolve;
        });
        this.node = `${settings.host}-${randomUUID().slice(0, 8)}`;
        this.random = createSeededRandom(options.seed ?? randomInt(maxSeed));
        const { random } = this;
        this.logger = createLogger("node", settings.logLevel);
        this.store = options.store ?? new HttpStore({ address: settings.store });
        this.budgetBytes = clientMemoryShare * settings.memoryMb * bytesPerMegabyte;
        this.bufferBudget = new BufferBudget(this.budgetBytes, clock);
        this.control = new ControlClient({ countBytes: (sent, received) => this.countControlCallSent(sent, received) });
        this.router = new Router({ clock, random, zone: settings.zone });
        this.dispatcher = new Dispatcher({ clock, random, router: this.router });
        this.quarantine = new Quarantine({ node: this.node, clock });
        this.claims = new Claims({
            coordinator: new ClaimCoordinator({ node: this.node, clock, random }),
            clock,
            store: this.store,
            requestAttemptOutcome: (node, claim) => this.requestAttemptOutcome(node, claim),
        });
        this.callTask = this.createCallTask();
        this.reader = new ConfigurationReader({ store: this.store, random, logger: this.createComponentLogger("store") });
        this.configurationTask = this.createConfigurationTask();
        this.drainTask = this.createDrainTask();
        this.metrics = this.createMetrics();
    }

    get controlAddress(): string {
        return this.controlListener.address;
    }

    get callAddress(): string {
        return this.callListener.address;
    }

    version(): number {
        return this.configurationTask.current?.snapshot.version ?? 0;
    }

    async start(): Promise<void> {
        const { settings } = this.options;
        const { connectionsPerAddress, pipelinedRequests, reservedDescriptors } = settings.clients;
        this.callListener = await startListener({
            ...settings.calls,
            maxConnections: settings.maxConnections.calls,
            requestTimeoutMs: callRequestTimeoutMs,
            clients: {
                ...limitConnections(
                    {
                        connections: settings.maxConnections.calls,
                        connectionsPerAddress,
                        pipelinedRequests,
                        reservedDescriptors: reservedDescriptors + settings.maxConnections.control,
                    },
                    { budgetBytes: this.budgetBytes, descriptors: readDescriptorLimit() },
                ),
                accounts: this.bufferBudget,
                refuse: (_request, response) => this.callTask.refuseEvicted(response),
                onLimit: limit => this.limitCounts.set(limit, this.countLimit(limit) + 1),
            },
            handle: (request, response) => this.callTask.handle(request, response),
        });
        this.controlListener = await startControlListener({
            ...settings.control,
            maxConnections: settings.maxConnections.control,
            handlers: this.createHandlers(),
            onAnnouncement: announcement =>
                this.membershipTask.handle({ kind: MembershipInputKind.TargetAnnounced, announcement }),
            renderMetrics: () => this.metrics.render(),
            countBytes: received => this.countControlCallReceived(received),
        });
        this.membershipTask = this.createMembershipTask();
        this.targetTask = new TargetTask({
            membership: this.membershipTask.membership,
            tableChanges: this.membershipTask.tableChanges,
            dispatcher: this.dispatcher,
            router: this.router,
            client: this.targetClient,
            clock: this.clock,
            node: this.node,
        });
        this.leaseTask = this.createLeaseTask();
        this.connectTasks();
        this.membershipTask.start();
        this.configurationTask.start();
        this.leaseTask.start();
    }

    stop(): Promise<void> {
        this.stopping ??= this.stopGracefully();
        return this.stopping;
    }

    async kill(): Promise<void> {
        await this.close();
    }

    private async stopGracefully(): Promise<void> {
        await this.drainTask.stop();
        await this.waitForClaimRecords();
        await this.announceLeave();
        await this.close();
        this.resolveStopped();
    }

    /**
     * Waits until all call outcomes are recorded. Without a record, a resend gets the outcome "unknown". The wait is
     * bounded because the store may be unavailable.
     */
    private async waitForClaimRecords(): Promise<void> {
        const deadlineAt = this.clock.now() + claimRecordTimeoutMs;
        while (this.claims.pendingOutcomes > 0 && this.clock.now() < deadlineAt) {
            await sleep(claimRecordPollMs);
        }
    }

    private async close(): Promise<void> {
        this.configurationTask.stop();
        this.leaseTask.stop();
        this.membershipTask.stop();
        this.targetTask.stop();
        this.claims.stop();
        this.callTask.stop();
        this.control.close();
        await Promise.all([this.callListener.close(), this.controlListener.close()]);
    }

    private connectTasks(): void {
        const { membershipTask, configurationTask, callTask, quarantine } = this;
        configurationTask.activations.subscribe(verified => {
            const { version, digest } = verified.snapshot;
            callTask.activate(verified);
            membershipTask.handle({ kind: MembershipInputKind.VersionActivated, head: { version, digest } });
        });
        configurationTask.refusals.subscribe(refusal =>
            membershipTask.handle({ kind: MembershipInputKind.VersionRefused, refusal }));
        membershipTask.heads.subscribe(received => configurationTask.handleHead(received));
        membershipTask.tableChanges.subscribe(() => {
            configurationTask.handlePeersChanged(membershipTask.membership.entries());
            this.leaseTask.handleMembersChanged(membershipTask.membership.nodesInZone(this.options.settings.zone));
        });
        this.leaseTask.readerChanges.subscribe(isReader => configurationTask.setIsReader(isReader));
        membershipTask.superseded.subscribe(() => void this.stop());
        this.leaseTask.discoveries.subscribe(discovered =>
            membershipTask.handle({ kind: MembershipInputKind.ZonesDiscovered, members: discovered }));
        callTask.inFlight.subscribe(count => this.drainTask.handleCallsInFlight(count));
        callTask.quarantineReports.subscribe(reports =>
            membershipTask.handle({ kind: MembershipInputKind.CrashReported, reports }));
        membershipTask.crashReports.subscribe(reports => quarantine.mergeReports(reports));
    }

    /** Reads the other members of the zone from the store; `undefined` if the store is unavailable. */
    private async readRoster(): Promise<readonly KnownMember[] | undefined> {
        const { zone } = this.options.settings;
        const outcome = await this.store.read(zoneKey(zone));
        if (outcome.kind === StoreOutcomeKind.Unavailable) {
            return undefined;
        }
        const record = outcome.kind === StoreOutcomeKind.Done ? parseLeaseRecord(outcome.object.value) : undefined;
        const members = record === undefined ? [] : listRosterMembers(record, zone);
        const others = members.filter(member => member.controlAddress !== this.controlAddress);
        this.configurationTask.handleRosterSize(others.length);
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
            logger: this.createComponentLogger("configuration"),
            localPeer: () => ({ node, controlAddress: this.controlAddress }),
        });
    }

    private createLeaseTask(): LeaseTask {
        const { clock, random, node, store, controlAddress } = this;
        const { zone } = this.options.settings;
        return new LeaseTask({
            lease: new Lease({ clock, random, zone, node, controlAddress }),
            store,
            zone,
            logger: this.createComponentLogger("lease"),
            hasNodeInZone: other => this.membershipTask.membership.nodesInZone(other).length > 0,
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
            targetClient: this.targetClient,
            histograms: this.histograms,
            maxRequestBytes: this.options.settings.maxRequestBytes,
            bufferBudget: this.bufferBudget,
            logger: this.createComponentLogger("calls"),
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
            logger: this.createComponentLogger("membership"),
            readRoster: () => this.readRoster(),
        });
    }

    private createDrainTask(): DrainTask {
        return new DrainTask({
            draining: new Draining({ clock: this.clock }),
            logger: this.createComponentLogger("draining"),
            actions: {
                announceDraining: () => {
                    this.membershipTask.handle({ kind: MembershipInputKind.Drain });
                    this.callListener.announceStop();
                },
                handOverLease: () => this.leaseTask.handOver(),
                // `announceDraining` has sent the announcement; the delay lets the exchanges that carry it complete.
                waitForPropagation: () => sleep(propagationDelayMs),
                stopListening: () => {
                    this.callTask.refuseNewCalls();
                    return this.callListener.stopAccepting();
                },
            },
        });
    }

    private async announceLeave(): Promise<void> {
        this.membershipTask.handle({ kind: MembershipInputKind.Leave });
        await sleep(propagationDelayMs);
    }

    private createHandlers(): ControlHandlers {
        return createControlHandlers(() => ({
            membershipTask: this.membershipTask,
            configurationTask: this.configurationTask,
            claims: this.claims,
            metrics: this.metrics,
            isStoreReachable: () => this.reader.storeReachable.value,
            drain: () => {
                void this.stop();
                return { node: this.node, state: this.drainTask.state };
            },
        }));
    }

    private async requestAttemptOutcome(node: string, claim: { readonly key: string; readonly attempt: string }) {
        const entry = this.membershipTask.membership.entryOf(node);
        if (entry === undefined) {
            return undefined;
        }
        const outcome = await this.control.claimOutcome(entry.controlAddress, claim);
        return outcome.kind === ControlOutcomeKind.Done ? toAttemptOutcome(outcome.value) : undefined;
    }

    private createMetrics(): NodeMetrics {
        return createNodeMetrics({
            histograms: this.histograms,
            version: () => this.version(),
            callsInFlight: () => this.callTask.callsInFlight,
            callsQueued: () => this.dispatcher.queuedCalls,
            controlBytesSent: () => this.controlBytesSent,
            controlBytesReceived: () => this.controlBytesReceived,
            controlCallsSent: () => this.controlCallsSent,
            controlCallsReceived: () => this.controlCallsReceived,
            clientsConnected: () => this.callListener.clientConnections,
            bufferedBytes: () => this.bufferBudget.used,
            clientsEvicted: () => this.bufferBudget.evictions,
            clientLimits: limit => this.countLimit(limit),
            nodeCount: () => this.membershipTask.membership.entries().length,
        });
    }

    private countLimit(limit: ClientLimit): number {
        return this.limitCounts.get(limit) ?? 0;
    }

    private countControlCallSent(sent: number, received: number): void {
        this.controlCallsSent++;
        this.controlBytesSent += sent;
        this.controlBytesReceived += received;
    }

    private countControlCallReceived(received: number): void {
        this.controlCallsReceived++;
        this.controlBytesReceived += received;
    }

    private createComponentLogger(component: string): Logger {
        return createLogger(component, this.options.settings.logLevel);
    }
}

function createSettingsPeer(controlAddress: string): KnownMember {
    return { controlAddress, zone: undefined };
}
