/**
 * Reads the accepted configuration from the platform store: once at startup, and by long polling while this node is the
 * reader of its zone.
 */
import { parseJson } from "@bilberrycroft/core.json";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { assertNever } from "@bilberrycroft/core.errors";
import type { Logger } from "@bilberrycroft/core.logger";
import type { Random } from "@bilberrycroft/core.random";
import { snapshotSchema } from "@bilberrycroft/protocol.control";
import { currentConfigurationKey, type Store, type StoredObject, StoreOutcomeKind } from "@bilberrycroft/protocol.store";
import type { Snapshot } from "@bilberrycroft/state.snapshots";
import { BehaviorSubject, Subject } from "rxjs";

const watchTimeoutMs: Milliseconds = 25_000;
const initialBackoffMs: Milliseconds = 250;
// Nodes have to converge within 6 s after the store becomes available again, which rules out a longer wait.
const maxBackoffMs: Milliseconds = 2_000;

export enum StoredConfigurationKind {
    Found = "found",
    /** No version has been accepted yet. */
    None = "none",
    Unavailable = "unavailable",
    /** The stored object is not a valid snapshot. */
    Malformed = "malformed",
}

/** Result of reading the accepted configuration from the store. */
export type StoredConfiguration =
    | { readonly kind: StoredConfigurationKind.Found; readonly snapshot: Snapshot; readonly revision: string }
    | { readonly kind: StoredConfigurationKind.None }
    | { readonly kind: StoredConfigurationKind.Unavailable }
    | { readonly kind: StoredConfigurationKind.Malformed; readonly revision: string };

export interface ConfigurationReaderOptions {
    readonly store: Store;
    readonly random: Random;
    readonly logger: Logger;
}

export class ConfigurationReader {
    /** Snapshots read by the watch; not verified. */
    readonly snapshots = new Subject<Snapshot>();
    /** Whether the store responded to the most recent call. */
    readonly storeReachable = new BehaviorSubject<boolean>(true);
    private watchController: AbortController | undefined;

    constructor(private readonly options: ConfigurationReaderOptions) {}

    async readStored(): Promise<StoredConfiguration> {
        const outcome = await this.options.store.read(currentConfigurationKey);
        this.storeReachable.next(outcome.kind !== StoreOutcomeKind.Unavailable);
        switch (outcome.kind) {
            case StoreOutcomeKind.Done:
                return this.parse(outcome.object);
            case StoreOutcomeKind.Absent:
                return { kind: StoredConfigurationKind.None };
            case StoreOutcomeKind.Unavailable:
                return { kind: StoredConfigurationKind.Unavailable };
            default:
                return assertNever(outcome);
        }
    }

    /** Watches until `stopWatching` is called; does nothing if a watch is running. */
    startWatching(): void {
        if (this.watchController === undefined) {
            this.watchController = new AbortController();
            void this.watch(this.watchController.signal);
        }
    }

    stopWatching(): void {
        this.watchController?.abort();
        this.watchController = undefined;
    }

    private async watch(signal: AbortSignal): Promise<void> {
        let revision: string | undefined;
        let backoffMs = initialBackoffMs;
        while (!signal.aborted) {
            const key = currentConfigurationKey;
            const outcome = await this.options.store.watch({ key, after: revision, waitMs: watchTimeoutMs, signal });
            if (signal.aborted) {
                return;
            }
            this.storeReachable.next(outcome.kind !== StoreOutcomeKind.Unavailable);
            if (outcome.kind === StoreOutcomeKind.Unavailable) {
                await this.backOff(backoffMs);
                backoffMs = Math.min(maxBackoffMs, backoffMs * 2);
                continue;
            }
            backoffMs = initialBackoffMs;
            if (outcome.kind === StoreOutcomeKind.Done) {
                revision = outcome.object.revision;
                this.publishSnapshot(outcome.object);
            }
        }
    }

    private publishSnapshot(object: StoredObject): void {
        const stored = this.parse(object);
        if (stored.kind === StoredConfigurationKind.Found) {
            this.snapshots.next(stored.snapshot);
        }
    }

    private parse(object: StoredObject): StoredConfiguration {
        const { revision } = object;
        const checked = snapshotSchema.safeParse(parseJson(object.value));
        if (!checked.success) {
            this.options.logger.error("Stored configuration is malformed.", { revision });
            return { kind: StoredConfigurationKind.Malformed, revision };
        }
        return { kind: StoredConfigurationKind.Found, snapshot: checked.data, revision };
    }

    /** Sleeps with jitter: half of the delay is random, so that the readers of all zones do not retry together. */
    private backOff(backoffMs: Milliseconds): Promise<void> {
        const waitMs = backoffMs / 2 + this.options.random.nextFraction() * backoffMs / 2;
        return new Promise(resolve => setTimeout(resolve, waitMs));
    }
}
