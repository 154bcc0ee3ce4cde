/**
 * One node: creates the decisions and tasks, connects them and binds the listeners.
 */
import { randomInt, randomUUID } from "node:crypto";
import { Dispatcher } from "@bilberrycroft/coordination.admission";
import { Draining } from "@bilberrycroft/coordination.draining";
import { ClaimKeeper } from "@bilberrycroft/coordination.idempotency";
import { type KnownMember, Membership, MembershipInputKind } from "@bilberrycroft/coordination.membership";
import { Quarantine } from "@bilberrycroft/coordination.quarantine";
import { Retries } from "@bilberrycroft/coordination.retries";
import { Router } from "@bilberrycroft/coordination.routing";
import { type Clock, type Milliseconds, SystemClock } from "@bilberrycroft/core.clock";
import { createLogger, type Logger } from "@bilberrycroft/core.logger";
import { createSeededRandom, type Random } from "@bilberrycroft/core.random";
import { type ControlHandlers, ConfigurationUpdateKind } from "@bilberrycroft/protocol.control";
import type { Store } from "@bilberrycroft/protocol.store";
import { CallHistograms } from "@bilberrycroft/state.histograms";
import { type Listener, startListener, TargetClient } from "@bilberrycroft/transport.calls";
import { ControlClient, ControlOutcomeKind, startControlListener } from "@bilberrycroft/transport.control";
import { HttpStore } from "@bilberrycroft/transport.store";
import { CallTask } from "./calls/callTask";
import { Claims, toOwnedOutcome } from "./calls/claims";
import { createNodeMetrics, type NodeMetrics } from "./metrics";
import type { NodeSettings } from "./settings";
import { createStatusReport } from "./status";
import { ConfigurationReader } from "./tasks/configurationReader";
import { ConfigurationTask } from "./tasks/configurationTask";
import { DrainTask } from "./tasks/drainTask";
import { MembershipTask } from "./tasks/membershipTask";
import { TargetTask } from "./tasks/targetTask";

const largestSeed = 0x7fffffff;
const callRequestTimeoutMs: Milliseconds = 60_000;
const leaveSpreadMs: Milliseconds = 500;

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
    private readonly targetClient = new TargetClient();
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
    private callListener!: Listener;
    private controlListener!: Listener;
    private bytesSent = 0;
    private bytesReceived = 0;

    constructor(private readonly options: NodeOptions) {
        const { settings } = options;
        const { clock } = this;
        this.node = `${settings.host}-${randomUUID().slice(0, 8)}`;
        this.random = createSeededRandom(options.seed ?? randomInt(largestSeed));
        const { random } = this;
        this.logger = createLogger("node", settings.logLevel);
        this.store = options.store ?? new HttpStore({ address: settings.store });
        this.control = new ControlClient({ countBytes: (sent, received) => this.countBytes(sent, received) });
        this.router = new Router({ clock, random, zone: settings.zone });
        this.dispatcher = new Dispatcher({ clock, random, router: this.router });
        this.quarantine = new Quarantine({ clock });
        this.claims = new Claims({
            keeper: new ClaimKeeper({ node: this.node, clock, random }),
            store: this.store,
            askNode: (node, claim) => this.askNode(node, claim),
        });
        this.calls = this.createCallTask();
        this.reader = new ConfigurationReader({ store: this.store, random, logger: this.partLogger("store") });
        this.configuration = new ConfigurationTask({ reader: this.reader, logger: this.partLogger("configuration") });
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
            countBytes: received => this.countBytes(0, received),
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
        this.connectTasks();
        this.members.start();
        this.configuration.start();
    }

    async stop(): Promise<void> {
        await this.draining.stop();
        await this.close();
    }

    async kill(): Promise<void> {
        await this.close();
    }

    private async close(): Promise<void> {
        this.configuration.stop();
        this.members.stop();
        this.targets.stop();
        this.claims.stop();
        this.calls.stop();
        this.control.close();
        await Promise.all([this.callListener.close(), this.controlListener.close()]);
    }

    private connectTasks(): void {
        this.configuration.activations.subscribe(verified => {
            const { version, digest } = verified.snapshot;
            this.calls.activate(verified);
            this.members.tell({ kind: MembershipInputKind.VersionActivated, head: { version, digest } });
        });
        this.calls.inFlight.subscribe(calls => this.draining.callsInFlight(calls));
        this.calls.crashes.subscribe(({ target, fingerprints }) => {
            const at = this.clock.wallTime();
            this.quarantine.targetCrashed({ target, inFlight: fingerprints, at });
            const reports = fingerprints.map(fingerprint => ({ fingerprint, target, at, node: this.node }));
            this.members.tell({ kind: MembershipInputKind.CrashReported, reports });
        });
        this.members.crashReports.subscribe(reports => this.quarantine.mergeReports(reports));
    }

    private createCallTask(): CallTask {
        const { clock, random } = this;
        return new CallTask({
            clock,
            dispatcher: this.dispatcher,
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
            readRoster: async () => [],
        });
    }

    private createDrainTask(): DrainTask {
        return new DrainTask({
            draining: new Draining({ clock: this.clock }),
            logger: this.partLogger("draining"),
            actions: {
                announceDraining: () => this.members.tell({ kind: MembershipInputKind.Drain }),
                handOverLease: async () => undefined,
                tellPeers: () => this.leave(),
                stopListening: async () => {
                    this.calls.refuseNewCalls();
                    this.callListener.stopAccepting();
                },
            },
        });
    }

    /** Peers learn in the exchange that follows; the wait lets it leave before the process ends. */
    private async leave(): Promise<void> {
        this.members.tell({ kind: MembershipInputKind.Leave });
        await new Promise(resolve => setTimeout(resolve, leaveSpreadMs));
    }

    private createHandlers(): ControlHandlers {
        return {
            exchange: exchange => this.members.exchange(exchange),
            join: entry => this.members.join(entry),
            zoneTable: zone => this.members.zoneTable(zone),
            fetchConfiguration: async () => ({ kind: ConfigurationUpdateKind.Nothing }),
            pushConfiguration: async () => undefined,
            claimOutcome: async claim => this.claims.ownedOutcome(claim),
            status: async () => createStatusReport({
                membership: this.members.membership,
                inForce: this.configuration.current,
                heardHead: undefined,
                notServing: this.calls.refusalCause,
                storeReachable: this.reader.storeReachable.value,
            }),
            metrics: () => this.metrics.render(),
            drain: async () => {
                void this.draining.stop();
                return { node: this.node, state: this.draining.state };
            },
        };
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
            knownNodes: () => this.members.membership.entries().length,
        });
    }

    private countBytes(sent: number, received: number): void {
        this.bytesSent += sent;
        this.bytesReceived += received;
    }

    private partLogger(part: string): Logger {
        return createLogger(part, this.options.settings.logLevel);
    }
}

function createSettingsPeer(controlAddress: string): KnownMember {
    return { controlAddress, zone: undefined };
}
