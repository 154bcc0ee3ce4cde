/**
 * Task of the configuration in force: takes snapshots from the store, checks them and activates newer ones.
 */
import type { Logger } from "@bilberrycroft/core.logger";
import { type Snapshot, VerificationKind, type VerifiedSnapshot, verifySnapshot } from "@bilberrycroft/state.snapshots";
import { Subject, type Subscription } from "rxjs";
import type { ConfigurationReader } from "./configurationReader";

/** Options of a `ConfigurationTask`. */
export interface ConfigurationTaskOptions {
    readonly reader: ConfigurationReader;
    readonly logger: Logger;
}

/** Owns the configuration in force on a node. */
export class ConfigurationTask {
    /** Configurations as they come into force. */
    readonly activations = new Subject<VerifiedSnapshot>();
    private inForce: VerifiedSnapshot | undefined;
    private readonly subscription: Subscription;

    constructor(private readonly options: ConfigurationTaskOptions) {
        this.subscription = options.reader.snapshots.subscribe(snapshot => this.take(snapshot));
    }

    /** Starts to watch the store. */
    start(): void {
        this.options.reader.startWatching();
    }

    /** The configuration in force. */
    get current(): VerifiedSnapshot | undefined {
        return this.inForce;
    }

    /** Ends the task. */
    stop(): void {
        this.options.reader.stopWatching();
        this.subscription.unsubscribe();
    }

    private take(snapshot: Snapshot): void {
        if (snapshot.version <= (this.inForce?.snapshot.version ?? 0)) {
            return;
        }
        const verification = verifySnapshot(snapshot);
        if (verification.kind === VerificationKind.Refused) {
            this.options.logger.error("Configuration refused.", {
                version: snapshot.version,
                reason: verification.reason,
            });
            return;
        }
        this.inForce = verification.verified;
        this.options.logger.info("Configuration in force.", { version: snapshot.version, digest: snapshot.digest });
        this.activations.next(verification.verified);
    }
}
