/**
 * The sidecar process that runs next to a target. It forwards calls from callers on its host to targets on any host,
 * and accepts calls from all hosts for its local target.
 */
import { randomInt } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import { RetryBudgets, TargetDirectory, TargetQueue } from "@bilberrycroft/coordination.forwarding";
import { Quarantine, QuarantineReportKind } from "@bilberrycroft/coordination.quarantine";
import { SourceSelection } from "@bilberrycroft/coordination.relay";
import { LocalTarget, type TargetDeparture, type TargetHeartbeat } from "@bilberrycroft/coordination.registration";
import { type Clock, type Milliseconds, SystemClock } from "@bilberrycroft/core.clock";
import type { EventLog } from "@bilberrycroft/core.eventLog";
import { createSeededRandom, type Random } from "@bilberrycroft/core.random";
import type { AnnouncedCrash, StateVersions } from "@bilberrycroft/protocol.forwarding";
import { type Listener, splitAddress, startListener, TargetClient } from "@bilberrycroft/transport.calls";
import { ResponsePacer, type OfferListener, PeerClient, startOfferListener } from "@bilberrycroft/transport.forwarding";
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
const maxConnections = 3_000;
const maxHeaderBytes = 65_536;
const requestTimeoutMs: Milliseconds = 60_000;
/** Configuration changes must apply within seconds, so this delay batches most changes of a series into one watch. */
const configurationBatchDelayMs: Milliseconds = 600;
/** A stale node table costs little: the target's node refuses the call and the call is retried elsewhere at once. */
const registryBatchDelayMs: Milliseconds = 1_000;
/** Callers move away after two failed readiness checks one second apart, plus time for the second check to finish. */
const readinessPropagationMs: Milliseconds = 2_300;
const stopPollIntervalMs: Milliseconds = 50;
/** Part of the grace period reserved so that the process exits before SIGKILL. */
const exitReserveMs: Milliseconds = 400;

export class Sidecar {
    readonly metrics = new CallMetrics();
    private readonly clock: Clock = new SystemClock();
    private readonly random: Random;
    private readonly peerClient = new PeerClient();
    private readonly pacer: ResponsePacer;
    private readonly targetClient = new TargetClient(this.clock);
    private readonly directory: TargetDirectory;
    private readonly quarantine: Quarantine;
    private readonly budgets: RetryBudgets;
    private readonly configurations: CollectionTask;
    private readonly registry: CollectionTask;
    private readonly configuration: ConfigurationTask;
    private readonly registration: RegistrationTask;
    private readonly callers: CallerTask;
    private readonly target: TargetTask;
    private readonly probes: ProbeTask;
    private readonly relay: RelayTask;
    private readonly nodeTable = new NodeTable();
    private callerListener: Listener | undefined;
    private offerListener: OfferListener | undefined;
    private stopping: Promise<void> | undefined;

    constructor(private readonly options: SidecarOptions) {
        const { settings, platform, log } = options;
        const { clock } = this;
        this.random = createSeededRandom(options.seed ?? randomInt(maxSeed));
        this.pacer = new ResponsePacer({ clock, linkBytesPerSecond: settings.linkBytesPerSecond });
        const directory = new TargetDirectory({ clock, random: this.random, zone: settings.zone });
        this.directory = directory;
        this.quarantine = new Quarantine({ node: settings.node, clock });
        this.budgets = new RetryBudgets({ clock, bound: settings.retryBudget, countNodes: () => directory.size });
        this.configurations = this.createCollectionTask("configuration", platform.configurations, configurationBatchDelayMs);
        this.registry = this.createCollectionTask("nodes", platform.nodes, registryBatchDelayMs);
        this.configuration = new ConfigurationTask({ platform, log });
        const localTarget = new LocalTarget({
            clock,
            service: settings.service,
            address: settings.targetAddress,
            heartbeatIntervalMs: settings.heartbeatIntervalMs,
        });
        this.registration = new RegistrationTask({
            node: settings.node,
            zone: settings.zone,
            offerAddress: settings.offerAddress,
            processors: settings.processors,
            target: localTarget,
            collection: platform.nodes,
            clock,
            log,
        });
        this.target = this.createTargetTask(localTarget);
        this.callers = this.createCallerTask();
        this.probes = new ProbeTask({
            directory,
            client: this.peerClient,
            log,
            handlePeerVersions: versions => this.handlePeerVersions(versions),
        });
        this.relay = new RelayTask({
            clock,
            log,
            selection: new SourceSelection({ clock, node: settings.node, zone: settings.zone }),
            configurations: this.configurations,
            configuration: this.configuration,
            nodes: this.registry,
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
            handle: (request, response) => this.callers.handle(request, response),
        });
        this.offerListener = await startOfferListener({
            ...splitAddress(settings.offerAddress),
            maxConnections,
            pacer: this.pacer,
            handle: offer => this.target.handleOffer(offer),
            report: () => this.target.createReport(""),
            followerConnected: follower => this.relay.addFollower(follower),
            followerDisconnected: follower => this.relay.removeFollower(follower),
            content: request => this.relay.getContent(request),
        });
        this.target.start();
        this.relay.start();
        this.probes.start();
        this.configurations.start();
        this.registry.start();
    }

    /** Whether the node accepts callers: it has a configuration and the node table, and is not stopping. */
    get isReady(): boolean {
        return this.stopping === undefined && this.configuration.current !== undefined && this.registry.hasContent;
    }

    /** Resolves with `false` if the heartbeat is not from the local target. */
    handleHeartbeat(heartbeat: TargetHeartbeat): Promise<boolean> {
        return this.registration.handleHeartbeat(heartbeat);
    }

    /** Resolves when the departure may be acknowledged. */
    handleDeparture(departure: TargetDeparture): Promise<void> {
        return this.registration.handleDeparture(departure);
    }

    /** Returns the metrics in the Prometheus text format. */
    renderMetrics(): string {
        return this.metrics.render([
            { name: "configuration_version", help: "Version in force.", read: () => this.configuration.current?.version ?? 0 },
            { name: "nodes_known", help: "Nodes in the table.", read: () => this.directory.size },
            { name: "calls_in_progress", help: "Calls of callers in progress.", read: () => this.callers.inProgress },
            { name: "target_calls", help: "Calls in the target or waiting for it.", read: () => this.target.inProgress },
            { name: "log_lines_dropped", help: "Log lines dropped.", read: () => this.options.log.dropped },
        ]);
    }

    /** Stops gracefully; resolves when no call is in progress or the grace period has ended. */
    stop(): Promise<void> {
        this.stopping ??= this.stopGracefully();
        return this.stopping;
    }

    /** Closes all connections at once, as a crash would; for tests. */
    kill(): Promise<void> {
        return this.close();
    }

    private createCollectionTask(
        name: string,
        collection: MeshPlatform["nodes"],
        batchDelayMs: Milliseconds,
    ): CollectionTask {
        const { clock, random } = this;
        return new CollectionTask({ name, collection, clock, random, log: this.options.log, batchDelayMs });
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
            targetAddress: settings.targetAddress,
            getLocalVersions: () => this.getLocalVersions(),
            handlePeerVersions: versions => this.handlePeerVersions(versions),
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
            log,
            quarantine,
            metrics,
            budgets: this.budgets,
            findRunningCall: callId => this.target.findRunningCall(callId),
            service: settings.service,
            getLocalVersions: () => this.getLocalVersions(),
            handlePeerVersions: versions => this.handlePeerVersions(versions),
        });
    }

    private connectTasks(): void {
        this.configurations.contents.subscribe(content => this.configuration.handleContent(content));
        this.configuration.activations.subscribe(table => {
            this.callers.activate(table);
            this.callerListener?.setIdleTimeout(table.configuration.callerLimits.idleTimeoutMs);
            this.relay.handleVersionChange();
        });
        this.registry.contents.subscribe(content => {
            this.registration.handleContent(content);
            this.applyNodeEntries(content);
        });
        this.registration.changes.subscribe(() => this.target.updateAvailability());
    }

    private applyNodeEntries({ objects }: CollectionContent): void {
        const { entries, crashes, malformed } = this.nodeTable.update(objects);
        malformed.forEach(name => this.options.log.warn("entry-malformed", { name }));
        crashes.forEach(({ node, crashes: added }) => this.mergeCrashes(node, added));
        this.directory.setEntries(entries);
        this.relay.setNodes(entries);
        this.relay.handleVersionChange();
        this.peerClient.retain(new Set(entries.map(({ address }) => address)));
        this.options.log.info("nodes-changed", { nodes: entries.length, revision: this.registry.newestRevision });
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
            this.quarantine.targetCrashed({ target, at, inFlight: [{ fingerprint, ageMs }] });
        }
        this.registration.addCrashes(crashes);
    }

    private getLocalVersions(): StateVersions {
        return {
            configurationVersion: this.configuration.current?.version ?? 0,
            registryRevision: this.registry.newestRevision,
        };
    }

    private handlePeerVersions(versions: StateVersions): void {
        const local = this.getLocalVersions();
        if (versions.configurationVersion > local.configurationVersion) {
            this.configurations.recordNewerPeer();
        }
        if (versions.registryRevision > local.registryRevision) {
            this.registry.recordNewerPeer();
        }
    }

    private async stopGracefully(): Promise<void> {
        const startedAt = this.clock.now();
        const endsAt = startedAt + this.options.settings.graceMs - exitReserveMs;
        this.callerListener?.announceStop();
        this.target.startDraining();
        this.relay.announceStop();
        await sleep(Math.min(readinessPropagationMs, endsAt - startedAt));
        const closed = this.callerListener?.stopAccepting();
        while (this.clock.now() < endsAt && (this.callers.inProgress > 0 || this.target.inProgress > 0)) {
            await sleep(stopPollIntervalMs);
        }
        await Promise.race([closed, sleep(Math.max(0, Math.min(stopPollIntervalMs, endsAt - this.clock.now())))]);
        await Promise.race([this.registration.deregister(), sleep(Math.max(0, endsAt - this.clock.now()))]);
        await this.close();
    }

    private async close(): Promise<void> {
        this.configurations.stop();
        this.registry.stop();
        this.relay.stop();
        this.target.stop();
        this.probes.stop();
        this.peerClient.close();
        this.pacer.close();
        this.targetClient.close();
        await Promise.all([this.callerListener?.close(), this.offerListener?.close()]);
    }
}
