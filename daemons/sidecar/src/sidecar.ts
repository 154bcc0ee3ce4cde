/**
 * The sidecar process that runs next to a target. It forwards calls from callers on its host to targets on any host,
 * and accepts calls from all hosts for its local target.
 */
import { randomInt } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import { BufferBudget, RetryBudgets, TargetDirectory, TargetQueue } from "@bilberrycroft/coordination.forwarding";
import { Quarantine, QuarantineReportKind } from "@bilberrycroft/coordination.quarantine";
import { SourceSelection } from "@bilberrycroft/coordination.relay";
import { LocalTarget, type TargetDeparture, type TargetHeartbeat } from "@bilberrycroft/coordination.registration";
import { type Clock, type Milliseconds, SystemClock } from "@bilberrycroft/core.clock";
import { type EventLog, FaultBarrier } from "@bilberrycroft/core.eventLog";
import { createSeededRandom, type Random } from "@bilberrycroft/core.random";
import { type AnnouncedCrash, parseNodeEntry, type StateVersions } from "@bilberrycroft/protocol.forwarding";
import { type Listener, splitAddress, startListener, TargetClient } from "@bilberrycroft/transport.calls";
import {
    type FrameFaultHandler,
    type OfferListener,
    PeerClient,
    ResponsePacer,
    startOfferListener,
} from "@bilberrycroft/transport.forwarding";
import { CallMetrics } from "./metrics";
import { NodeTable } from "./nodeTable";
import type { MeshPlatform } from "./ports";
import type { SidecarSettings } from "./settings";
import { CallerTask } from "./tasks/callerTask";
import { type CollectionContent, CollectionTask } from "./tasks/collectionTask";
import { ConfigurationTask } from "./tasks/configurationTask";
import { ProbeTask } from "./tasks/probeTask";
import { RegistrationTask } from "./tasks/registrationTask";
import { RelayTask } from "./tasks/relayTask";
import { TargetTask } from "./tasks/targetTask";

export interface SidecarOptions {
    readonly settings: SidecarSettings;
    readonly platform: MeshPlatform;
    readonly log: EventLog;
    /** Seed of the random number generator; random by default. */
    readonly seed?: number;
}

const maxSeed = 0x7fffffff;
/** Shares of the memory of the process for the bodies of calls of callers, and for responses of the target. */
const bufferedMemoryShare = 0.125;
const defaultMemoryBytes = 268_435_456;
const maxConnections = 3_000;
const maxHeaderBytes = 65_536;
const requestTimeoutMs: Milliseconds = 60_000;
/** Batches most changes of a series into one watch, while changes still apply within seconds. */
const configurationBatchDelayMs: Milliseconds = 600;
/** A stale node table costs little: the target's node refuses the call, which is immediately retried elsewhere. */
const nodeBatchDelayMs: Milliseconds = 1_000;
/** Callers stop using the node after two failed readiness checks one second apart; includes time for the second one. */
const readinessPropagationMs: Milliseconds = 2_300;
const stopPollIntervalMs: Milliseconds = 50;
/** Time reserved for sending the response to a call that ends at its deadline. */
const responseReserveMs: Milliseconds = 100;
/** Part of the grace period reserved so that the process exits before SIGKILL. */
const exitReserveMs: Milliseconds = 400;

export class Sidecar {
    readonly metrics = new CallMetrics();
    private readonly clock: Clock = new SystemClock();
    private readonly random: Random;
    private readonly faults: FaultBarrier;
    private readonly handleFrameFault: FrameFaultHandler;
    private readonly peerClient: PeerClient;
    private readonly bufferBudget: BufferBudget;
    private readonly pacer: ResponsePacer;
    private readonly targetClient = new TargetClient(this.clock);
    private readonly directory: TargetDirectory;
    private readonly quarantine: Quarantine;
    private readonly retryBudgets: RetryBudgets;
    private readonly configurationCollection: CollectionTask;
    private readonly nodeCollection: CollectionTask;
    private readonly configurationTask: ConfigurationTask;
    private readonly registrationTask: RegistrationTask;
    private readonly callerTask: CallerTask;
    private readonly targetTask: TargetTask;
    private readonly probeTask: ProbeTask;
    private readonly relayTask: RelayTask;
    private readonly nodeTable = new NodeTable();
    private callerListener: Listener | undefined;
    private offerListener: OfferListener | undefined;
    private stopping: Promise<void> | undefined;

    constructor(private readonly options: SidecarOptions) {
        const { settings, platform, log } = options;
        const { clock } = this;
        this.random = createSeededRandom(options.seed ?? randomInt(maxSeed));
        this.faults = new FaultBarrier(log);
        this.handleFrameFault = ({ kind, offerId }, error) => this.faults.record("frame", { kind, offerId }, error);
        this.peerClient = new PeerClient(this.handleFrameFault);
        const bufferBytes = bufferedMemoryShare * (settings.memoryBytes ?? defaultMemoryBytes);
        this.bufferBudget = new BufferBudget(bufferBytes);
        this.pacer = new ResponsePacer({
            clock,
            linkBytesPerSecond: settings.linkBytesPerSecond,
            maxQueuedBytes: bufferBytes,
        });
        const directory = new TargetDirectory({
            clock,
            random: this.random,
            node: settings.node,
            zone: settings.zone,
            onUnhealthy: () => this.probeTask.schedule(),
        });
        this.directory = directory;
        this.quarantine = new Quarantine({ node: settings.node, clock });
        this.retryBudgets = new RetryBudgets({ clock, bound: settings.retryBudget, countNodes: () => directory.size });
        this.configurationCollection
            = this.createCollectionTask("configuration", platform.configurations, configurationBatchDelayMs, value => value);
        this.nodeCollection = this.createCollectionTask("nodes", platform.nodes, nodeBatchDelayMs, parseNodeEntry);
        this.configurationTask = new ConfigurationTask({ platform, log });
        const localTarget = new LocalTarget({
            clock,
            service: settings.service,
            address: settings.targetAddress,
            heartbeatIntervalMs: settings.heartbeatIntervalMs,
        });
        this.registrationTask = new RegistrationTask({
            node: settings.node,
            zone: settings.zone,
            offerAddress: settings.offerAddress,
            processors: settings.processors,
            target: localTarget,
            collection: platform.nodes,
            clock,
            log,
        });
        this.targetTask = this.createTargetTask(localTarget);
        this.callerTask = this.createCallerTask();
        this.probeTask = new ProbeTask({
            directory,
            client: this.peerClient,
            log,
            faults: this.faults,
            handlePeerVersions: versions => this.handlePeerVersions(versions),
        });
        this.relayTask = new RelayTask({
            clock,
            log,
            faults: this.faults,
            selection: new SourceSelection({ clock, node: settings.node, zone: settings.zone }),
            configurationCollection: this.configurationCollection,
            configurationTask: this.configurationTask,
            nodeCollection: this.nodeCollection,
            getLocalVersions: () => this.getLocalVersions(),
        });
        this.connectTasks();
    }

    /** Binds the listeners and starts all tasks; rejects if an address cannot be bound. */
    async start(): Promise<void> {
        const { settings } = this.options;
        this.callerListener = await startListener({
            ...splitAddress(settings.callerAddress),
            maxConnections,
            maxHeaderBytes,
            requestTimeoutMs,
            handle: (request, response) => this.callerTask.handle(request, response),
        });
        this.offerListener = await startOfferListener({
            ...splitAddress(settings.offerAddress),
            maxConnections,
            pacer: this.pacer,
            handleOffer: offer => this.targetTask.handleOffer(offer),
            handleFault: this.handleFrameFault,
            createReport: () => this.targetTask.createReport(""),
            onFollowerConnected: follower => this.relayTask.addFollower(follower),
            onFollowerDisconnected: follower => this.relayTask.removeFollower(follower),
            getContent: request => this.relayTask.getContent(request),
        });
        this.targetTask.start();
        this.relayTask.start();
        this.configurationCollection.start();
        this.nodeCollection.start();
    }

    /** Whether the node accepts callers: it has a configuration and the node table, and is not stopping. */
    get isReady(): boolean {
        return this.stopping === undefined
            && this.configurationTask.current !== undefined && this.nodeCollection.hasContent;
    }

    /** Resolves with `false` if the heartbeat is not from the local target. */
    handleHeartbeat(heartbeat: TargetHeartbeat): Promise<boolean> {
        return this.registrationTask.handleHeartbeat(heartbeat);
    }

    /** Resolves when the departure may be acknowledged. */
    handleDeparture(departure: TargetDeparture): Promise<void> {
        return this.registrationTask.handleDeparture(departure);
    }

    /** Returns the metrics in the Prometheus text format. */
    renderMetrics(): string {
        return this.metrics.render([
            { name: "configuration_version", help: "Version in force.", read: () => this.configurationTask.current?.version ?? 0 },
            { name: "nodes_known", help: "Nodes in the table.", read: () => this.directory.size },
            { name: "calls_in_progress", help: "Calls of callers in progress.", read: () => this.callerTask.inProgress },
            { name: "target_calls", help: "Calls in the target or waiting for it.", read: () => this.targetTask.inProgress },
            { name: "target_calls_sent", help: "Calls sent to the target since the start.", read: () => this.targetTask.sentCalls },
            { name: "target_request_limit", help: "Calls per second that the target accepts; 0 without a limit.", read: () => this.targetTask.requestLimit },
            { name: "target_slots", help: "Slots that the target announces.", read: () => this.targetTask.slots.announced },
            { name: "target_usable_slots", help: "Calls at once that the target is found to handle well.", read: () => this.targetTask.slots.learned },
            { name: "buffered_bytes", help: "Bytes of requests and responses held for callers.", read: () => this.bufferBudget.used },
            { name: "faults_confined", help: "Exceptions confined to what caused them.", read: () => this.faults.count },
            { name: "log_lines_dropped", help: "Log lines dropped.", read: () => this.options.log.dropped },
        ]);
    }

    /** Stops gracefully; resolves when no call is in progress or the grace period has ended. */
    stop(): Promise<void> {
        this.stopping ??= this.stopGracefully();
        return this.stopping;
    }

    /** Closes all connections immediately, as a crash would; for tests. */
    kill(): Promise<void> {
        return this.close();
    }

    private createCollectionTask(
        name: string,
        collection: MeshPlatform["nodes"],
        batchDelayMs: Milliseconds,
        decode: (value: unknown) => unknown,
    ): CollectionTask {
        const { clock, random, faults } = this;
        const { log } = this.options;
        return new CollectionTask({ name, collection, clock, random, log, faults, batchDelayMs, decode });
    }

    private createTargetTask(target: LocalTarget): TargetTask {
        const { settings, platform, log } = this.options;
        const { clock, random, quarantine } = this;
        return new TargetTask({
            clock,
            queue: new TargetQueue({ clock, random, linkBacklogMs: () => this.pacer.backlogMs }),
            pacer: this.pacer,
            target,
            quarantine,
            client: this.targetClient,
            codec: platform.headers,
            log,
            faults: this.faults,
            targetAddress: settings.targetAddress,
            getLocalVersions: () => this.getLocalVersions(),
            handlePeerVersions: versions => this.handlePeerVersions(versions),
            handleTargetLeaving: departure => void this.registrationTask.handleDeparture(departure),
            handleTargetCrash: crashes => this.handleTargetCrash(crashes),
        });
    }

    private createCallerTask(): CallerTask {
        const { settings, platform, log } = this.options;
        const { clock, random, directory, quarantine, metrics } = this;
        return new CallerTask({
            clock,
            random,
            client: this.peerClient,
            codec: platform.headers,
            directory,
            bufferBudget: this.bufferBudget,
            log,
            faults: this.faults,
            quarantine,
            metrics,
            budgets: this.retryBudgets,
            findRunningCall: callId => this.targetTask.findRunningCall(callId),
            recordInnerCall: (route, isRefused) => this.targetTask.recordInnerCall(route, isRefused),
            service: settings.service,
            getLocalVersions: () => this.getLocalVersions(),
            handlePeerVersions: versions => this.handlePeerVersions(versions),
        });
    }

    private connectTasks(): void {
        // rxjs reports an exception of a subscriber later, outside any barrier around the emission.
        const guard = <Value>(scope: string, handle: (value: Value) => void) =>
            (value: Value): void => this.faults.run(scope, {}, () => handle(value));
        this.configurationCollection.contents.subscribe(guard("configuration", content =>
            this.configurationTask.handleContent(content)));
        this.configurationTask.activations.subscribe(guard("activation", table => {
            this.callerTask.activate(table);
            this.callerListener?.setIdleTimeout(table.configuration.callerLimits.idleTimeoutMs);
            this.relayTask.handleVersionChange();
        }));
        this.nodeCollection.contents.subscribe(guard("own-entry", content => this.registrationTask.handleContent(content)));
        this.nodeCollection.contents.subscribe(guard("entries", content => this.applyNodeEntries(content)));
        this.registrationTask.changes.subscribe(guard("availability", () => this.targetTask.updateAvailability()));
    }

    private applyNodeEntries({ objects }: CollectionContent): void {
        const { entries, crashes, malformed } = this.nodeTable.update(objects);
        malformed.forEach(name => this.options.log.warn("entry-malformed", { name }));
        crashes.forEach(({ node, crashes: added }) => this.mergeCrashes(node, added));
        this.directory.setEntries(entries);
        this.relayTask.setNodes(entries);
        this.relayTask.handleVersionChange();
        this.peerClient.retainNodes(new Set(entries.map(({ address }) => address)));
        this.options.log.info("nodes-changed", { nodes: entries.length, revision: this.nodeCollection.newestRevision });
    }

    private mergeCrashes(node: string, crashes: readonly AnnouncedCrash[]): void {
        if (node === this.options.settings.node) {
            return;
        }
        this.quarantine.mergeReports(crashes.map(crash => ({ kind: QuarantineReportKind.Crash, node, ...crash })));
        for (const { fingerprint, target, at } of crashes) {
            this.options.log.info("crashes-learned", { from: node, fingerprint, target, at });
        }
    }

    private handleTargetCrash(crashes: readonly AnnouncedCrash[]): void {
        for (const { target, at, fingerprint, startedAt } of crashes) {
            const ageMs = Math.max(0, at - startedAt);
            this.quarantine.recordTargetCrash({ target, at, inFlight: [{ fingerprint, ageMs }] });
        }
        this.registrationTask.addCrashes(crashes);
    }

    private getLocalVersions(): StateVersions {
        return {
            configurationVersion: this.configurationTask.current?.version ?? 0,
            registryRevision: this.nodeCollection.newestRevision,
        };
    }

    private handlePeerVersions(versions: StateVersions): void {
        const local = this.getLocalVersions();
        if (versions.configurationVersion > local.configurationVersion) {
            this.configurationCollection.recordNewerPeer();
        }
        if (versions.registryRevision > local.registryRevision) {
            this.nodeCollection.recordNewerPeer();
        }
    }

    private async stopGracefully(): Promise<void> {
        const startedAt = this.clock.now();
        const endsAt = startedAt + this.options.settings.graceMs - exitReserveMs;
        this.callerListener?.announceStop();
        this.targetTask.startDraining();
        this.relayTask.announceStop();
        await sleep(Math.min(readinessPropagationMs, endsAt - startedAt));
        const closed = this.callerListener?.stopAccepting();
        // Requests still arrive on connections that are open and have not been used yet.
        this.callerTask.announceEnd(endsAt - responseReserveMs);
        while (this.clock.now() < endsAt && (this.callerTask.inProgress > 0 || this.targetTask.inProgress > 0)) {
            await sleep(stopPollIntervalMs);
        }
        this.callerTask.announceEnd(this.clock.now());
        await Promise.race([closed, sleep(Math.max(0, Math.min(stopPollIntervalMs, endsAt - this.clock.now())))]);
        await Promise.race([this.registrationTask.deregister(), sleep(Math.max(0, endsAt - this.clock.now()))]);
        await this.close();
    }

    private async close(): Promise<void> {
        this.configurationCollection.stop();
        this.nodeCollection.stop();
        this.relayTask.stop();
        this.targetTask.stop();
        this.probeTask.stop();
        this.peerClient.close();
        this.pacer.close();
        this.targetClient.close();
        await Promise.all([this.callerListener?.close(), this.offerListener?.close()]);
    }
}
