/**
 * The sidecar process that runs next to a target. It forwards calls from callers on its host to targets on any host,
 * and accepts calls from all hosts for its local target.
 */
import { randomInt } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import { BufferBudget } from "@bilberrycroft/coordination.forwarding";
import { SourceSelection } from "@bilberrycroft/coordination.relay";
import { LocalTarget, type TargetDeparture, type TargetHeartbeat } from "@bilberrycroft/coordination.registration";
import { type Clock, type Milliseconds, SystemClock } from "@bilberrycroft/core.clock";
import { type EventLog, FaultBarrier } from "@bilberrycroft/core.eventLog";
import { createSeededRandom, type Random } from "@bilberrycroft/core.random";
import type { CallExplanation, StateVersions } from "@bilberrycroft/protocol.forwarding";
import { describePosition } from "@bilberrycroft/protocol.store";
import {
    limitConnections,
    type Listener,
    readDescriptorLimit,
    splitAddress,
    startListener,
    TargetClient,
} from "@bilberrycroft/transport.calls";
import {
    type FrameFaultHandler,
    type OfferListener,
    PeerClient,
    ResponsePacer,
    startOfferListener,
} from "@bilberrycroft/transport.forwarding";
import type { CallQuestion } from "./callExplanation";
import { ClientLimitCounts, type ClientLoad } from "./clientLimitCounts";
import { Collections } from "./collections";
import { createDecisions, type Decisions } from "./decisions";
import { createGauges } from "./gauges";
import { divideMemory } from "./memoryShares";
import { CallMetrics } from "./metrics";
import { NodeTable, type StoredPlan } from "./nodeTable";
import type { MeshPlatform } from "./ports";
import type { SidecarSettings } from "./settings";
import { CallerTask } from "./tasks/callerTask";
import type { CollectionContent, CollectionTask } from "./tasks/collectionTask";
import { ConfigurationTask } from "./tasks/configurationTask";
import { ProbeTask } from "./tasks/probeTask";
import { QuarantineTask } from "./tasks/quarantineTask";
import { declineAllowances, QuotaTask } from "./tasks/quotaTask";
import { RegistrationTask } from "./tasks/registrationTask";
import { RelayTask } from "./tasks/relayTask";
import { RolloutTask } from "./tasks/rolloutTask";
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
    private readonly budgetBytes: number;
    private readonly clientLimits: ClientLimitCounts;
    private readonly pacer: ResponsePacer;
    private readonly targetClient = new TargetClient(this.clock);
    private readonly decisions: Decisions;
    private readonly configurationCollection: CollectionTask;
    private readonly nodeCollection: CollectionTask;
    private readonly configurationTask: ConfigurationTask;
    private readonly registrationTask: RegistrationTask;
    private readonly callerTask: CallerTask;
    private readonly quarantineTask: QuarantineTask;
    private readonly targetTask: TargetTask;
    private readonly probeTask: ProbeTask;
    private readonly relayTask: RelayTask;
    /** `undefined` if versions are ignored. */
    private readonly rolloutTask: RolloutTask | undefined;
    private plans: readonly StoredPlan[] = [];
    /** `undefined` if the deployment has no quotas. */
    private readonly quotaTask: QuotaTask | undefined;
    private readonly nodeTable = new NodeTable();
    private callerListener: Listener | undefined;
    private offerListener: OfferListener | undefined;
    private stopping: Promise<void> | undefined;

    constructor(private readonly options: SidecarOptions) {
        const { settings, platform, log } = options;
        this.random = createSeededRandom(options.seed ?? randomInt(maxSeed));
        this.faults = new FaultBarrier(log);
        const { clock, random, faults } = this;
        this.handleFrameFault = ({ kind, offerId }, error) => this.faults.record("frame", { kind, offerId }, error);
        this.peerClient = new PeerClient(this.handleFrameFault);
        const { clientBytes, pacedBytes } = divideMemory(settings.memoryBytes);
        this.budgetBytes = clientBytes;
        this.bufferBudget = new BufferBudget(clientBytes, clock);
        this.clientLimits = new ClientLimitCounts(log, () => this.clientLoad);
        this.pacer = new ResponsePacer({
            clock,
            linkBytesPerSecond: settings.linkBytesPerSecond,
            maxQueuedBytes: pacedBytes,
        });
        this.decisions = createDecisions({
            settings,
            clock,
            random,
            onUnhealthy: () => this.probeTask.schedule(),
            linkBacklogMs: () => this.pacer.backlogMs,
        });
        const collections = new Collections({ settings, platform, clock, random, log, faults });
        this.configurationCollection = collections.createConfigurations();
        this.nodeCollection = collections.createNodes();
        this.configurationTask = new ConfigurationTask({ platform, log });
        const { service, targetAddress: address, heartbeatIntervalMs } = settings;
        const localTarget = new LocalTarget({ clock, service, address, heartbeatIntervalMs });
        this.registrationTask = new RegistrationTask({
            node: settings.node,
            zone: settings.zone,
            offerAddress: settings.offerAddress,
            targetAddress: settings.targetAddress,
            processors: settings.processors,
            target: localTarget,
            collection: platform.nodes,
            clock,
            log,
            handleRestoredReports: reports => this.quarantineTask.learn({ node: settings.node, ...reports }),
        });
        this.quarantineTask = this.createQuarantineTask();
        this.targetTask = this.createTargetTask(localTarget);
        this.quotaTask = this.createQuotaTask();
        this.callerTask = this.createCallerTask();
        this.probeTask = new ProbeTask({
            directory: this.decisions.directory,
            client: this.peerClient,
            log,
            faults: this.faults,
            handlePeerVersions: versions => this.handlePeerVersions(versions),
        });
        const selection = new SourceSelection({ clock, node: settings.node, zone: settings.zone });
        this.rolloutTask = this.createRolloutTask(selection, collections);
        this.relayTask = new RelayTask({
            clock,
            log,
            faults: this.faults,
            selection,
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
            clients: {
                ...limitConnections(settings.clients, {
                    budgetBytes: this.budgetBytes,
                    descriptors: settings.descriptors ?? readDescriptorLimit(),
                }),
                accounts: this.bufferBudget,
                onLimit: (limit, address) => this.clientLimits.record(limit, address),
                refuse: (request, response) => this.callerTask.refuse(request, response),
            },
            handle: (request, response) => this.callerTask.handle(request, response),
        });
        this.offerListener = await startOfferListener({
            ...splitAddress(settings.offerAddress),
            maxConnections,
            pacer: this.pacer,
            openAccount: () => this.bufferBudget.open(),
            handleOffer: offer => this.targetTask.handleOffer(offer),
            handleFault: this.handleFrameFault,
            createReport: () => this.targetTask.createProbeReport(),
            handleAllowanceRequest: request => this.quotaTask?.handleRequest(request) ?? declineAllowances(request),
            onFollowerConnected: follower => this.relayTask.addFollower(follower),
            onFollowerDisconnected: follower => this.relayTask.removeFollower(follower),
            getContent: request => this.relayTask.getContent(request),
        });
        this.targetTask.start();
        this.quarantineTask.start();
        this.relayTask.start();
        this.configurationCollection.start();
        this.nodeCollection.start();
        this.rolloutTask?.start();
    }

    private get clientLoad(): ClientLoad {
        return { connections: this.callerListener?.clientConnections ?? 0, buffered: this.bufferBudget.used };
    }

    /** Whether the node accepts callers: it has a configuration and the node table, and is not stopping. */
    get isReady(): boolean {
        return this.stopping === undefined
            && this.configurationTask.current !== undefined && this.nodeCollection.hasContent;
    }

    /** Resolves with `false` if the heartbeat is not from the local target. */
    handleHeartbeat(heartbeat: TargetHeartbeat): Promise<boolean> {
        const usesVersions = this.options.settings.rollout !== undefined;
        return this.registrationTask.handleHeartbeat(usesVersions ? heartbeat : { ...heartbeat, version: undefined });
    }

    /** Resolves when the departure may be acknowledged. */
    handleDeparture(departure: TargetDeparture): Promise<void> {
        return this.registrationTask.handleDeparture(departure);
    }

    /** Returns the metrics in the Prometheus text format. */
    renderMetrics(): string {
        return this.metrics.render(createGauges({
            configurationTask: this.configurationTask,
            directory: this.decisions.directory,
            callerTask: this.callerTask,
            targetTask: this.targetTask,
            bufferBudget: this.bufferBudget,
            clientLimits: this.clientLimits,
            quotaTask: this.quotaTask,
            plans: this.plans,
            faults: this.faults,
            log: this.options.log,
            clientConnections: this.clientLoad.connections,
        }));
    }

    /** Explains where a call that arrives here would be sent now, without sending it. */
    explainCall(question: CallQuestion): CallExplanation {
        return this.callerTask.explain(question);
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

    private createRolloutTask(selection: SourceSelection, collections: Collections): RolloutTask | undefined {
        const { settings: { rollout: bounds, node }, platform, log } = this.options;
        if (bounds === undefined) {
            return undefined;
        }
        return new RolloutTask({
            clock: this.clock,
            log,
            faults: this.faults,
            node,
            bounds,
            platform: platform.rollouts,
            orders: collections.createOrders(),
            plans: platform.nodes,
            requestReport: (address, timeoutMs) => this.peerClient.requestReport(address, timeoutMs),
            // What other nodes hear from this one; otherwise two of them would act after an outage of the store.
            isReading: () => this.relayTask.isAnnouncedReader,
            countReadersBefore: () => selection.countReadersBefore(),
            knownVersionsOf: service => this.decisions.directory.knownVersionsOf(service),
            maxCallMs: service => this.configurationTask.maxTimeoutMs(service),
        });
    }

    private createTargetTask(target: LocalTarget): TargetTask {
        const { settings, platform, log } = this.options;
        const { clock, decisions: { quarantine, targetQueue } } = this;
        return new TargetTask({
            clock,
            queue: targetQueue,
            pacer: this.pacer,
            target,
            quarantine,
            client: this.targetClient,
            codec: platform.headers,
            log,
            faults: this.faults,
            bufferBudget: this.bufferBudget,
            targetAddress: settings.targetAddress,
            getLocalVersions: () => this.getLocalVersions(),
            handlePeerVersions: versions => this.handlePeerVersions(versions),
            handleTargetLeaving: departure => void this.registrationTask.handleDeparture(departure),
            handleTargetCrash: crashes => this.quarantineTask.handleTargetCrash(crashes),
        });
    }

    private createQuarantineTask(): QuarantineTask {
        const { faults, decisions: { quarantine, directory }, options: { log } } = this;
        return new QuarantineTask({
            quarantine,
            log,
            faults,
            countNodes: () => directory.size,
            publish: reports => this.registrationTask.addReports(reports),
        });
    }

    private createQuotaTask(): QuotaTask | undefined {
        const { settings: { node, quota }, log } = this.options;
        const { clock, random, peerClient: client, faults } = this;
        return quota === undefined
            ? undefined
            : new QuotaTask({ clock, random, node, settings: quota, client, log, faults });
    }

    private createCallerTask(): CallerTask {
        const { settings, platform, log } = this.options;
        const { clock, random, metrics, decisions: { directory, quarantine, retryBudgets } } = this;
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
            budgets: retryBudgets,
            quotas: this.quotaTask,
            findRunningCall: callId => this.targetTask.findRunningCall(callId),
            recordInnerCall: (route, isRefused) => this.targetTask.recordInnerCall(route, isRefused),
            // A change that the store acknowledged after the last confirmation may be as old as that confirmation.
            isRevocationDue: () => settings.strictRevocation
                && clock.now() - this.configurationCollection.confirmedAt >= settings.revocationMs,
            knowsNewerVersion: version => this.configurationTask.knowsNewerVersion(version),
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
            this.quotaTask?.setConfiguration(table.configuration);
            this.callerListener?.setIdleTimeout(table.configuration.callerLimits.idleTimeoutMs);
            this.relayTask.handleVersionChange();
        }));
        this.nodeCollection.contents.subscribe(guard("own-entry", content => this.registrationTask.handleContent(content)));
        this.nodeCollection.contents.subscribe(guard("entries", content => this.applyNodeEntries(content)));
        this.registrationTask.changes.subscribe(guard("availability", () => this.targetTask.updateAvailability()));
    }

    private applyNodeEntries({ objects }: CollectionContent): void {
        const { entries, reports, malformed, plans } = this.nodeTable.update(objects);
        malformed.forEach(name => this.options.log.warn("entry-malformed", { name }));
        reports.filter(({ node }) => node !== this.options.settings.node)
            .forEach(report => this.quarantineTask.learn(report));
        if (this.rolloutTask !== undefined) {
            this.plans = plans;
            const { service } = this.options.settings;
            this.decisions.directory.setRollouts(plans.map(({ plan }) => plan));
            this.targetTask.evidence.setPlan(plans.find(({ plan }) => plan.service === service)?.plan);
            this.rolloutTask.setNodes(entries, plans);
        }
        this.decisions.directory.setEntries(entries);
        this.relayTask.setNodes(entries);
        this.quotaTask?.setNodes(entries);
        this.relayTask.handleVersionChange();
        this.peerClient.retainNodes(new Set(entries.map(({ address }) => address)));
        const revision = describePosition(this.nodeCollection.newestRevision);
        this.options.log.info("nodes-changed", { nodes: entries.length, revision });
    }

    private getLocalVersions(): StateVersions {
        return {
            configurationVersion: this.configurationTask.current?.version ?? 0,
            registryRevision: this.nodeCollection.newestRevision,
        };
    }

    private handlePeerVersions(versions: StateVersions): void {
        const local = this.getLocalVersions();
        this.configurationTask.recordPeerVersion(versions.configurationVersion);
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
        this.registrationTask.stop();
        this.configurationCollection.stop();
        this.nodeCollection.stop();
        this.relayTask.stop();
        this.rolloutTask?.stop();
        this.targetTask.stop();
        this.quarantineTask.stop();
        this.probeTask.stop();
        this.quotaTask?.stop();
        this.peerClient.close();
        this.pacer.close();
        this.targetClient.close();
        await Promise.all([this.callerListener?.close(), this.offerListener?.close()]);
    }
}
