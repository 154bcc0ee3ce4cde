/**
 * Keeps the newest correct configuration in force, as it was read from the store or as another node passed it on.
 */
import type { EventLog } from "@bilberrycroft/core.eventLog";
import { isNumber, isRecord } from "@bilberrycroft/core.json";
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

/** Options of a `ConfigurationTask`. */
export interface ConfigurationTaskOptions {
    readonly platform: MeshPlatform;
    readonly log: EventLog;
}

/** A configuration as one node passes it on. */
export interface RelayedConfiguration {
    /** Store revision at which it was the newest. */
    readonly revision: number;
    /** Store revision of its object. */
    readonly objectRevision: number;
    readonly patch: ConfigurationPatch;
}

/** Versions from which a patch can be made; nodes that are further behind get the whole configuration. */
const keptVersions = 8;

/** Decodes, checks and activates configurations. */
export class ConfigurationTask {
    /** Emits each table when it comes into force. */
    readonly activations = new Subject<RouteTable>();
    private table: RouteTable | undefined;
    private readonly recent = new Map<number, MeshConfiguration>();
    private checkedRevision = 0;

    constructor(private readonly options: ConfigurationTaskOptions) {}

    /** Routes in force; `undefined` before the first configuration. */
    get current(): RouteTable | undefined {
        return this.table;
    }

    /** Takes the content of the configuration's collection. */
    take({ objects }: CollectionContent): void {
        const { platform, log } = this.options;
        const object = objects.get(platform.configurationName);
        if (object === undefined || object.revision <= this.checkedRevision) {
            return;
        }
        this.checkedRevision = object.revision;
        const outcome = platform.decodeConfiguration(object.value);
        if (outcome.kind === ConfigurationOutcomeKind.Malformed) {
            log.warn("configuration-refused", { revision: object.revision, reason: outcome.reason });
            return;
        }
        this.activate(outcome.configuration, "store");
    }

    /** The newest configuration for a node that has an earlier version, or none (0). */
    createRelayed(version: number, revision: number): RelayedConfiguration | undefined {
        if (this.table === undefined) {
            return undefined;
        }
        const patch = createConfigurationPatch(this.recent.get(version), this.table.configuration);
        return { revision, objectRevision: this.checkedRevision, patch };
    }

    /**
     * Takes a configuration that another node passes on. Returns the store revision at which it was the newest;
     * `undefined` if it is malformed or does not fit.
     */
    takeRelayed(value: unknown, from: string): number | undefined {
        const relayed = parseRelayedConfiguration(value);
        if (relayed === undefined) {
            this.options.log.warn("configuration-refused", { from, reason: "malformed" });
            return undefined;
        }
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
        this.checkedRevision = Math.max(this.checkedRevision, relayed.objectRevision);
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
        this.table = new RouteTable(configuration);
        this.recent.set(version, configuration);
        if (this.recent.size > keptVersions) {
            this.recent.delete(this.recent.keys().next().value as number);
        }
        log.info("configuration-activated", { version, from, routes: configuration.routes.length });
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
