/**
 * One sidecar: the process beside a target that carries the calls of its host to targets anywhere, and the calls of all
 * hosts to its target.
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

/** Options of a `Sidecar`. */
export interface SidecarOptions {
    readonly settings: SidecarSettings;
    readonly platform: MeshPlatform;
    readonly log: EventLog;
    /** Seed of all random choices; chosen at random by default. */
    readonly seed?: number;
}

const largestSeed = 0x7fffffff;
const maxConnections = 3_000;
const maxHeaderBytes = 65_536;
const requestTimeoutMs: Milliseconds = 60_000;
/** Changes of the configuration are due within seconds; gathering them for this long saves most watches of a series. */
const configurationGatherMs: Milliseconds = 600;
/** A call that meets an outdated table is refused by the target's node and goes elsewhere at once. */
const registryGatherMs: Milliseconds = 1_000;
/** Callers are told by readiness to go elsewhere; two checks a second apart, and some time for the second. */
const callersLeaveMs: Milliseconds = 2_300;
const stopPollMs: Milliseconds = 50;
/** Part of the grace that is left unused, for the process to end by itself. */
const unusedGraceMs: Milliseconds = 400;

/** A running sidecar. */
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
        this.random = createSeededRandom(options.seed ?? randomInt(largestSeed));
        this.pacer = new ResponsePacer({ clock, linkBytesPerSecond: settings.linkBytesPerSecond });
        const directory = new TargetDirectory({ clock, random: this.random, zone: settings.zone });
        this.directory = directory;
        this.quarantine = new Quarantine({ node: settings.node, clock });
        this.budgets = new RetryBudgets({ clock, bound: settings.retryBudget, countNodes: () => directory.size });
        this.configurations = this.createCollectionTask("configuration", platform.configurations, configurationGatherMs);
        this.registry = this.createCollectionTask("nodes", platform.nodes, registryGatherMs);
        this.configuration = new ConfigurationTask({ platform, log });
        const ownTarget = new LocalTarget({
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
            target: ownTarget,
            collection: platform.nodes,
            clock,
            log,
        });
        this.target = this.createTargetTask(ownTarget);
        this.callers = this.createCallerTask();
        this.probes = new ProbeTask({
            directory,
            client: this.peerClient,
            log,
            stateHeard: mark => this.stateHeard(mark),
        });
        this.relay = new RelayTask({
            clock,
            log,
            selection: new SourceSelection({ clock, node: settings.node, zone: settings.zone }),
            configurations: this.configurations,
            configuration: this.configuration,
            nodes: this.registry,
            stateMark: () => this.stateMark(),
        });
        this.connectTasks();
    }

    /** Binds the listeners; rejects when an address cannot be bound. */
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
            report: () => this.target.report(""),
            followerConnected: follower => this.relay.addFollower(follower),
            followerDisconnected: follower => this.relay.removeFollower(follower),
            content: request => this.relay.content(request),
        });
        this.target.start();
        this.relay.start();
        this.probes.start();
        this.configurations.start();
        this.registry.start();
    }

    /** Whether callers may be sent here: the node knows what it needs to serve them, and it does not stop. */
    get isReady(): boolean {
        return this.stopping === undefined && this.configuration.current !== undefined && this.registry.hasContent;
    }

    /** Takes a heartbeat of the target; `false` if it is not from the target beside this node. */
    heartbeat(heartbeat: TargetHeartbeat): Promise<boolean> {
        return this.registration.heartbeat(heartbeat);
    }

    /** Takes a departure of the target. */
    departed(departure: TargetDeparture): Promise<void> {
        return this.registration.departed(departure);
    }

    /** Metrics in the Prometheus text format. */
    renderMetrics(): string {
        return this.metrics.render([
            { name: "configuration_version", help: "Version in force.", read: () => this.configuration.current?.version ?? 0 },
            { name: "nodes_known", help: "Nodes in the table.", read: () => this.directory.size },
            { name: "calls_in_progress", help: "Calls of callers in progress.", read: () => this.callers.inProgress },
            { name: "target_calls", help: "Calls in the target or waiting for it.", read: () => this.target.inProgress },
            { name: "log_lines_dropped", help: "Log lines dropped.", read: () => this.options.log.dropped },
        ]);
    }

    /** Planned stop: resolves when nothing is in progress or the time for it is over. */
    stop(): Promise<void> {
        this.stopping ??= this.stopGracefully();
        return this.stopping;
    }

    /** Ends at once, as a crash would, for tests. */
    kill(): Promise<void> {
        return this.close();
    }

    private createCollectionTask(
        name: string,
        collection: MeshPlatform["nodes"],
        gatherMs: Milliseconds,
    ): CollectionTask {
        const { clock, random } = this;
        return new CollectionTask({ name, collection, clock, random, log: this.options.log, gatherMs });
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
            stateMark: () => this.stateMark(),
            stateHeard: mark => this.stateHeard(mark),
            targetCrashed: crashes => this.targetCrashed(crashes),
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
            runningCall: callId => this.target.runningCall(callId),
            service: settings.service,
            stateMark: () => this.stateMark(),
            stateHeard: mark => this.stateHeard(mark),
        });
    }

    private connectTasks(): void {
        this.configurations.contents.subscribe(content => this.configuration.take(content));
        this.configuration.activations.subscribe(table => {
            this.callers.activate(table);
            this.callerListener?.setIdleTimeout(table.configuration.callerLimits.idleTimeoutMs);
            this.relay.changed();
        });
        this.registry.contents.subscribe(content => {
            this.registration.take(content);
            this.takeEntries(content);
        });
        this.registration.changes.subscribe(() => this.target.believe());
    }

    private takeEntries({ objects }: CollectionContent): void {
        const { entries, crashes, malformed } = this.nodeTable.take(objects);
        malformed.forEach(name => this.options.log.warn("entry-malformed", { name }));
        crashes.forEach(({ node, crashes: added }) => this.mergeCrashes(node, added));
        this.directory.setEntries(entries);
        this.relay.setNodes(entries);
        this.relay.changed();
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

    private targetCrashed(crashes: readonly AnnouncedCrash[]): void {
        for (const { target, at, fingerprint, startedAt } of crashes) {
            const ageMs = Math.max(0, at - startedAt);
            this.quarantine.targetCrashed({ target, at, inFlight: [{ fingerprint, ageMs }] });
        }
        this.registration.addCrashes(crashes);
    }

    private stateMark(): StateVersions {
        return {
            configurationVersion: this.configuration.current?.version ?? 0,
            registryRevision: this.registry.newestRevision,
        };
    }

    private stateHeard(mark: StateVersions): void {
        const own = this.stateMark();
        if (mark.configurationVersion > own.configurationVersion) {
            this.configurations.overtaken();
        }
        if (mark.registryRevision > own.registryRevision) {
            this.registry.overtaken();
        }
    }

    private async stopGracefully(): Promise<void> {
        const startedAt = this.clock.now();
        const endsAt = startedAt + this.options.settings.graceMs - unusedGraceMs;
        this.callerListener?.announceStop();
        this.target.leave();
        this.relay.leave();
        await sleep(Math.min(callersLeaveMs, endsAt - startedAt));
        const closed = this.callerListener?.stopAccepting();
        while (this.clock.now() < endsAt && (this.callers.inProgress > 0 || this.target.inProgress > 0)) {
            await sleep(stopPollMs);
        }
        await Promise.race([closed, sleep(Math.max(0, Math.min(stopPollMs, endsAt - this.clock.now())))]);
        await Promise.race([this.registration.leave(), sleep(Math.max(0, endsAt - this.clock.now()))]);
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
