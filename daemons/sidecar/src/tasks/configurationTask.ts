/**
 * Keeps the newest correct configuration in force.
 */
import type { EventLog } from "@bilberrycroft/core.eventLog";
import { findConfigurationProblems, RouteTable } from "@bilberrycroft/state.routes";
import { Subject } from "rxjs";
import type { CollectionContent } from "./collectionTask";
import { ConfigurationOutcomeKind, type MeshPlatform } from "../ports";

/** Options of a `ConfigurationTask`. */
export interface ConfigurationTaskOptions {
    readonly platform: MeshPlatform;
    readonly log: EventLog;
}

/** Decodes, checks and activates configurations. */
export class ConfigurationTask {
    /** Emits each table when it comes into force. */
    readonly activations = new Subject<RouteTable>();
    private table: RouteTable | undefined;
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
        const { configuration } = outcome;
        const [problem] = findConfigurationProblems(configuration);
        if (problem !== undefined) {
            const { part, reason } = problem;
            log.warn("configuration-refused", { version: configuration.version, revision: object.revision, part, reason });
            return;
        }
        if (configuration.version <= (this.table?.version ?? 0)) {
            log.warn("configuration-outdated", { version: configuration.version, inForce: this.table?.version });
            return;
        }
        this.table = new RouteTable(configuration);
        log.info("configuration-activated", {
            version: configuration.version,
            revision: object.revision,
            routes: configuration.routes.length,
        });
        this.activations.next(this.table);
    }
}
