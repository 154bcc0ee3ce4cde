/**
 * Reads the accepted configuration from the platform store, once at the start and by watches while this node is the
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

const watchMs: Milliseconds = 25_000;
const firstBackoffMs: Milliseconds = 250;
// Convergence within 6 s of the store's return leaves no room for a longer wait.
const longestBackoffMs: Milliseconds = 2_000;

/** Kinds of `CurrentConfiguration`. */
export enum CurrentConfigurationKind {
    Found = "found",
    /** No version was ever accepted. */
    None = "none",
    Unavailable = "unavailable",
    /** The stored object is not a snapshot. */
    Malformed = "malformed",
}

/** What the store holds as the accepted configuration. */
export type CurrentConfiguration =
    | { readonly kind: CurrentConfigurationKind.Found; readonly snapshot: Snapshot; readonly revision: string }
    | { readonly kind: CurrentConfigurationKind.None }
    | { readonly kind: CurrentConfigurationKind.Unavailable }
    | { readonly kind: CurrentConfigurationKind.Malformed; readonly revision: string };

/** Options of a `ConfigurationReader`. */
export interface ConfigurationReaderOptions {
    readonly store: Store;
    readonly random: Random;
    readonly logger: Logger;
}

/** Owns the watch on the accepted configuration. */
export class ConfigurationReader {
    /** Snapshots as they are read; not verified. */
    readonly snapshots = new Subject<Snapshot>();
    /** Whether the last call to the store was answered. */
    readonly storeReachable = new BehaviorSubject<boolean>(true);
    private watching: AbortController | undefined;

    constructor(private readonly options: ConfigurationReaderOptions) {}

    /** Reads the accepted configuration once. */
    async readCurrent(): Promise<CurrentConfiguration> {
        const outcome = await this.options.store.read(currentConfigurationKey);
        this.storeReachable.next(outcome.kind !== StoreOutcomeKind.Unavailable);
        switch (outcome.kind) {
            case StoreOutcomeKind.Done:
                return this.parse(outcome.object);
            case StoreOutcomeKind.Absent:
                return { kind: CurrentConfigurationKind.None };
            case StoreOutcomeKind.Unavailable:
                return { kind: CurrentConfigurationKind.Unavailable };
            default:
                return assertNever(outcome);
        }
    }

    /** Watches until `stopWatching`. */
    startWatching(): void {
        if (this.watching === undefined) {
            this.watching = new AbortController();
            void this.watch(this.watching.signal);
        }
    }

    /** Ends the watch. */
    stopWatching(): void {
        this.watching?.abort();
        this.watching = undefined;
    }

    private async watch(signal: AbortSignal): Promise<void> {
        let revision: string | undefined;
        let backoffMs = firstBackoffMs;
        while (!signal.aborted) {
            const key = currentConfigurationKey;
            const outcome = await this.options.store.watch({ key, after: revision, waitMs: watchMs, signal });
            if (signal.aborted) {
                return;
            }
            this.storeReachable.next(outcome.kind !== StoreOutcomeKind.Unavailable);
            if (outcome.kind === StoreOutcomeKind.Unavailable) {
                await this.wait(backoffMs);
                backoffMs = Math.min(longestBackoffMs, backoffMs * 2);
                continue;
            }
            backoffMs = firstBackoffMs;
            if (outcome.kind === StoreOutcomeKind.Done) {
                revision = outcome.object.revision;
                this.publish(outcome.object);
            }
        }
    }

    private publish(object: StoredObject): void {
        const current = this.parse(object);
        if (current.kind === CurrentConfigurationKind.Found) {
            this.snapshots.next(current.snapshot);
        }
    }

    private parse(object: StoredObject): CurrentConfiguration {
        const { revision } = object;
        const checked = snapshotSchema.safeParse(parseJson(object.value));
        if (!checked.success) {
            this.options.logger.error("Stored configuration is malformed.", { revision });
            return { kind: CurrentConfigurationKind.Malformed, revision };
        }
        return { kind: CurrentConfigurationKind.Found, snapshot: checked.data, revision };
    }

    /** Half of the wait is random, so that the readers of all zones do not return together. */
    private wait(backoffMs: Milliseconds): Promise<void> {
        const waitMs = backoffMs / 2 + this.options.random.nextFraction() * backoffMs / 2;
        return new Promise(resolve => setTimeout(resolve, waitMs));
    }
}
