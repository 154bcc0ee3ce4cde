/**
 * Validates and activates configurations that are read from the store or relayed by another node. Only a newer valid
 * version replaces the active one.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import type { EventLog } from "@bilberrycroft/core.eventLog";
import { isNumber, isRecord } from "@bilberrycroft/core.json";
import { describePosition } from "@bilberrycroft/protocol.store";
import {
    applyConfigurationPatch,
    type ConfigurationPatch,
    createConfigurationPatch,
    findConfigurationProblems,
    type MeshConfiguration,
    parseConfigurationPatch,
    RouteTable,
} from "@bilberrycroft/state.routes";
import { Subject } from "rxjs";
import type { CollectionContent } from "./collectionTask";
import { ConfigurationOutcomeKind, type MeshPlatform } from "../ports";

export interface ConfigurationTaskOptions {
    readonly platform: MeshPlatform;
    readonly log: EventLog;
}

/** A configuration that one node relays to another. */
export interface RelayedConfiguration {
    /** Store revision at which this configuration was the newest. */
    readonly revision: number;
    /** Store revision of the configuration object. */
    readonly objectRevision: number;
    readonly patch: ConfigurationPatch;
}

/** Versions that can be the base of a patch. Nodes that are further behind receive the full configuration. */
const maxRecentVersions = 8;

export class ConfigurationTask {
    /** Emits each route table when it becomes active. */
    readonly activations = new Subject<RouteTable>();
    private table: RouteTable | undefined;
    private readonly recentVersions = new Map<number, MeshConfiguration>();
    private lastCheckedRevision = 0;
    /** Newest version that a peer has reported to be in force there. */
    private newestPeerVersion = 0;

    constructor(private readonly options: ConfigurationTaskOptions) {}

    /** Active route table; `undefined` before the first configuration. */
    get current(): RouteTable | undefined {
        return this.table;
    }

    /** Longest timeout of the routes to the service. */
    maxTimeoutMs(service: string): Milliseconds {
        const routes = this.table?.configuration.routes ?? [];
        return routes.filter(({ services }) => services.some(weighted => weighted.service === service))
            .reduce((longest, { timeoutMs }) => Math.max(longest, timeoutMs), 0);
    }

    /** Records the version in force at a peer. */
    recordPeerVersion(version: number): void {
        this.newestPeerVersion = Math.max(this.newestPeerVersion, version);
    }

    /** Whether a peer has reported a version newer than the given one. */
    knowsNewerVersion(version: number): boolean {
        return this.newestPeerVersion > version;
    }

    handleContent({ objects }: CollectionContent): void {
        const { platform, log } = this.options;
        const object = objects.get(platform.configurationName);
        if (object === undefined || object.revision <= this.lastCheckedRevision) {
            return;
        }
        this.lastCheckedRevision = object.revision;
        const outcome = platform.decodeConfiguration(object.value);
        if (outcome.kind === ConfigurationOutcomeKind.Malformed) {
            const revision = describePosition(object.revision);
            log.warn("configuration-refused", { revision, reason: outcome.reason });
            return;
        }
        this.activate(outcome.configuration, "store");
    }

    /**
     * Returns the active configuration as a patch for a node whose version is `baseVersion`, 0 if it has none.
     * `revision` is the store revision at which the configuration was the newest.
     */
    createRelayedConfiguration(baseVersion: number, revision: number): RelayedConfiguration | undefined {
        if (this.table === undefined) {
            return undefined;
        }
        const patch = createConfigurationPatch(this.recentVersions.get(baseVersion), this.table.configuration);
        return { revision, objectRevision: this.lastCheckedRevision, patch };
    }

    /**
     * Applies a configuration relayed by another node. Returns the store revision at which it was the newest;
     * `undefined` if it is malformed, invalid or its patch does not apply to the active version.
     */
    applyRelayedConfiguration(value: unknown, from: string): number | undefined {
        const relayed = parseRelayedConfiguration(value);
        if (relayed === undefined) {
            this.options.log.warn("configuration-refused", { from, reason: "malformed" });
            return undefined;
        }
        this.recordPeerVersion(relayed.patch.version);
        const configuration = applyConfigurationPatch(this.table?.configuration, relayed.patch);
        if (configuration === undefined) {
            const { base, version } = relayed.patch;
            this.options.log.info("configuration-patch-unfit", { from, base, version, inForce: this.table?.version });
            return undefined;
        }
        this.activate(configuration, from);
        if ((this.table?.version ?? 0) < configuration.version) {
            return undefined;
        }
        this.lastCheckedRevision = Math.max(this.lastCheckedRevision, relayed.objectRevision);
        return relayed.revision;
    }

    private activate(configuration: MeshConfiguration, from: string): void {
        const { log } = this.options;
        const { version } = configuration;
        const [problem] = findConfigurationProblems(configuration);
        if (problem !== undefined) {
            const { part, reason } = problem;
            log.warn("configuration-refused", { version, from, part, reason });
            return;
        }
        if (version <= (this.table?.version ?? 0)) {
            if (version !== this.table?.version) {
                log.warn("configuration-outdated", { version, from, inForce: this.table?.version });
            }
            return;
        }
        this.table = new RouteTable(configuration, this.table);
        this.recentVersions.set(version, configuration);
        if (this.recentVersions.size > maxRecentVersions) {
            this.recentVersions.delete(this.recentVersions.keys().next().value as number);
        }
        const { routes, organisations } = configuration;
        const organisationCount = organisations.length === 0 ? undefined : organisations.length;
        log.info("configuration-activated", { version, from, routes: routes.length, organisations: organisationCount });
        this.activations.next(this.table);
    }
}

function parseRelayedConfiguration(value: unknown): RelayedConfiguration | undefined {
    if (!isRecord(value) || !isNumber(value.revision) || !isNumber(value.objectRevision)) {
        return undefined;
    }
    const patch = parseConfigurationPatch(value.patch);
    return patch === undefined ? undefined : { revision: value.revision, objectRevision: value.objectRevision, patch };
}
