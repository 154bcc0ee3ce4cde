/**
 * Keeps a local copy of a collection of the store. A node that reads the store lists the whole collection and then
 * watches for changes; every node also applies changes relayed by other nodes.
 *
 * Watches are expensive. After a change, the task therefore waits before it watches again, so that one watch returns
 * a burst of changes.
 */
import { type ObjectChanges, ObjectTable } from "@bilberrycroft/coordination.relay";
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import { assertNever } from "@bilberrycroft/core.errors";
import type { EventLog, FaultBarrier } from "@bilberrycroft/core.eventLog";
import type { Random } from "@bilberrycroft/core.random";
import {
    type CollectionObject,
    CollectionOutcomeKind,
    describePosition,
    eraOf,
    type ObjectCollection,
    onlyEra,
    StoreOutcomeKind,
} from "@bilberrycroft/protocol.store";
import { Subject } from "rxjs";
import { setTimeout as sleep } from "node:timers/promises";

export interface CollectionTaskOptions {
    /** Collection name in the log. */
    readonly name: string;
    readonly collection: ObjectCollection;
    readonly clock: Clock;
    readonly random: Random;
    readonly log: EventLog;
    readonly faults: FaultBarrier;
    /** Delay between a change and the next watch. */
    readonly batchDelayMs: Milliseconds;
    /**
     * Decodes the value of each object, read or relayed. The task keeps and relays the result only, because a value of
     * another writer may be too large or too deeply nested to be encoded again.
     */
    readonly decode: (value: unknown) => unknown;
    /** Wait of an idle watch; `defaultWatchWaitMs` if not set. */
    readonly watchWaitMs?: Milliseconds;
    /**
     * Longest wait of a watch for a node that must itself confirm that its copy is current; such a node always reads
     * the store. `undefined` if the changes that other nodes relay are sufficient.
     */
    readonly confirmationMs?: Milliseconds | undefined;
}

/** Content of a collection at a store revision. */
export interface CollectionContent {
    readonly objects: ReadonlyMap<string, CollectionObject>;
    readonly revision: number;
}

/** Long enough that idle watches cause few calls; bounds the time to detect a store that stops responding. */
const defaultWatchWaitMs: Milliseconds = 5_000;
/**
 * First wait of a staggered reader after an event that makes all readers watch anew. If all open connections fall
 * silent, one of two staggered watches is at least this old, so that the node which holds it notices early.
 */
const staggeredWaitShare = 0.5;
/** The minimum wait that a store accepts. Such a watch returns immediately and confirms that the store responds. */
const firstWatchWaitMs: Milliseconds = 1;
/** Bounds of the exponential backoff after failed calls; jitter covers the upper half of each delay. */
const minRetryDelayMs: Milliseconds = 100;
const maxRetryDelayMs: Milliseconds = 1_000;
/** For a substitute reader: in an outage of the store, the regular readers retry and notify this node. */
const maxSubstituteRetryDelayMs: Milliseconds = 4_000;
/**
 * A node that stays behind its peers for this long treats its watch, or its sources, as failed. Readers that batch
 * changes are behind for less time, and a configuration change must apply within two seconds.
 */
const staleTimeoutMs: Milliseconds = 1_000;

export class CollectionTask {
    /** Emits all objects of the collection after each change. */
    readonly contents = new Subject<CollectionContent>();
    private readonly table = new ObjectTable();
    private isReading = true;
    private isSubstitute = false;
    private isStaggered = false;
    /** Whether the next watch is the first since an event that makes all readers watch anew. */
    private hasRestarted = true;
    /** Whether the next call lists the whole collection. */
    private needsRead = true;
    private isReachable = true;
    /** Whether the store has responded since this node started to read it. */
    private hasStoreResponded = false;
    private consecutiveFailures = 0;
    private watchController: AbortController | undefined;
    private behindSince: Milliseconds | undefined;
    private isStopped = false;
    private confirmed: Milliseconds = Number.NEGATIVE_INFINITY;
    private wake: () => void = () => undefined;

    constructor(private readonly options: CollectionTaskOptions) {}

    /** Whether the collection has been read from the store or received from another node. */
    get hasContent(): boolean {
        return this.table.revision > 0;
    }

    /** Whether this node reads the store and the store responds. */
    get isCurrent(): boolean {
        return this.isReading && this.hasStoreResponded && this.isReachable && !this.needsRead;
    }

    /** Store revision of the newest applied change. */
    get newestRevision(): number {
        return this.table.newestChange;
    }

    /** Store revision up to which all changes are applied. */
    get revision(): number {
        return this.table.revision;
    }

    /** Time up to which all changes that the store had acknowledged are applied, as confirmed by the store itself. */
    get confirmedAt(): Milliseconds {
        return this.confirmed;
    }

    start(): void {
        void this.run();
    }

    stop(): void {
        this.isStopped = true;
        this.watchController?.abort();
        this.wake();
    }

    /**
     * Sets whether this node reads the store, whether it does so only as a substitute for other readers, and whether it
     * staggers its watches. Until the collection has content, the node reads the store in any case.
     */
    setReading(mayRead: boolean, { isSubstitute = false, isStaggered = false } = {}): void {
        const isReading = mayRead || this.options.confirmationMs !== undefined;
        this.isSubstitute = isSubstitute;
        this.isStaggered = isStaggered;
        if (this.isReading === isReading) {
            return;
        }
        this.isReading = isReading;
        this.hasStoreResponded = false;
        this.hasRestarted = true;
        if (isReading) {
            this.wake();
        }
        else if (this.hasContent) {
            this.watchController?.abort();
        }
    }

    /** Returns all changes after `revision`, for a follower. */
    changesSince(revision: number): ObjectChanges {
        return this.table.changesSince(revision);
    }

    /** Applies changes relayed by another node. */
    applyRemote(changes: ObjectChanges): void {
        if (this.table.applyRemote({ ...changes, objects: changes.objects.map(object => this.decodeObject(object)) })) {
            this.publishContent();
        }
    }

    /** Marks all changes up to `revision` as applied, after another node has relayed their result. */
    advanceTo(revision: number): void {
        this.behindSince = undefined;
        this.table.advanceTo(revision);
        this.needsRead = false;
    }

    /**
     * Records that a peer has a newer change. If this node stays behind, its watch or the nodes that it follows have
     * failed silently, and it lists the collection again.
     */
    recordNewerPeer(): void {
        const now = this.options.clock.now();
        this.behindSince ??= now;
        // Between two watches, a reader is expected to be behind.
        const isExpectedBehind = this.needsRead || (this.isReading && this.watchController === undefined);
        if (now - this.behindSince >= staleTimeoutMs && !isExpectedBehind) {
            const revision = describePosition(this.table.revision);
            const event = this.isReading ? "watch-silent" : "sources-silent";
            this.options.log.warn(event, { collection: this.options.name, revision });
            this.behindSince = undefined;
            this.needsRead = true;
            this.watchController?.abort();
            this.wake();
        }
    }

    private async run(): Promise<void> {
        while (!this.isStopped) {
            if (!this.isReading && !this.needsRead) {
                await this.waitUntilWoken();
                continue;
            }
            const hasSucceeded = await this.readOrWatch();
            if (!hasSucceeded && !this.isStopped) {
                await sleep(this.computeRetryDelayMs());
            }
        }
    }

    /** Returns whether it has succeeded; an unexpected exception counts as a failure of the store. */
    private async readOrWatch(): Promise<boolean> {
        let hasSucceeded = false;
        await this.options.faults.runAsync("collection", { collection: this.options.name }, async () => {
            hasSucceeded = this.needsRead ? await this.read() : await this.watch();
        }, () => this.consecutiveFailures++);
        return hasSucceeded;
    }

    private waitUntilWoken(): Promise<void> {
        return new Promise(resolve => {
            this.wake = resolve;
        });
    }

    private async read(): Promise<boolean> {
        const startedAt = this.options.clock.now();
        const outcome = await this.options.collection.read();
        switch (outcome.kind) {
            case StoreOutcomeKind.Done:
                this.needsRead = false;
                this.hasRestarted = true;
                this.recordStoreResponse();
                if (this.table.replaceAll(outcome.objects.map(object => this.decodeObject(object)), outcome.revision)) {
                    this.publishContent();
                }
                this.confirmed = startedAt;
                await sleep(this.options.batchDelayMs);
                return true;
            case StoreOutcomeKind.Unavailable:
                // Relayed changes are sufficient for a node that does not read the store itself.
                this.needsRead = this.isReading || !this.hasContent;
                this.recordStoreFailure(outcome.reason);
                return false;
            default:
                return assertNever(outcome);
        }
    }

    private async watch(): Promise<boolean> {
        const controller = new AbortController();
        this.watchController = controller;
        this.behindSince = undefined;
        const after = this.table.revision;
        const startedAt = this.options.clock.now();
        const waitMs = this.hasStoreResponded && !this.mayHaveReturned ? this.chooseWaitMs() : firstWatchWaitMs;
        const outcome = await this.options.collection.watch({ after, waitMs, signal: controller.signal });
        this.watchController = undefined;
        if (controller.signal.aborted) {
            return true;
        }
        switch (outcome.kind) {
            case StoreOutcomeKind.Done:
                this.recordStoreResponse();
                this.table.apply(
                    outcome.changes.map(change => ({ ...change, object: this.decodeObject(change.object) })),
                    outcome.revision,
                );
                if (outcome.changes.length > 0) {
                    this.hasRestarted = true;
                    this.publishContent();
                }
                // The response may have been under way for most of this time, so only what preceded the request counts.
                this.confirmed = startedAt;
                if (outcome.changes.length > 0) {
                    await sleep(this.options.batchDelayMs);
                }
                return true;
            case CollectionOutcomeKind.HistoryGone:
                this.options.log.info("store-history-gone", { collection: this.options.name, revision: describePosition(after) });
                this.needsRead = true;
                return true;
            case CollectionOutcomeKind.TooManyChanges:
                this.options.log.warn("store-changes-too-large", { collection: this.options.name, revision: describePosition(after) });
                this.needsRead = true;
                return true;
            case StoreOutcomeKind.Unavailable:
                this.recordStoreFailure(outcome.reason);
                return false;
            default:
                return assertNever(outcome);
        }
    }

    /**
     * Whether the store, which was away, may have come back from a copy: a watch would wait there although its revision
     * is of an earlier era. One that returns immediately tells the era.
     */
    private get mayHaveReturned(): boolean {
        return !this.isReachable && eraOf(this.table.revision) !== onlyEra;
    }

    private chooseWaitMs(): Milliseconds {
        const isFirst = this.hasRestarted;
        this.hasRestarted = false;
        const { watchWaitMs = defaultWatchWaitMs, confirmationMs } = this.options;
        const waitMs = isFirst && this.isStaggered ? staggeredWaitShare * watchWaitMs : watchWaitMs;
        return Math.min(waitMs, confirmationMs ?? waitMs);
    }

    private decodeObject({ name, revision, value, status }: CollectionObject): CollectionObject {
        const { faults, decode } = this.options;
        let decoded: unknown;
        faults.run("entry", { name }, () => {
            decoded = decode(value);
        });
        return { name, revision, value: decoded, ...(status === undefined ? {} : { status }) };
    }

    private publishContent(): void {
        this.behindSince = undefined;
        this.contents.next({ objects: this.table.objects, revision: this.table.revision });
    }

    private recordStoreResponse(): void {
        this.consecutiveFailures = 0;
        this.hasStoreResponded = true;
        if (!this.isReachable) {
            this.isReachable = true;
            this.options.log.info("store-regained", { collection: this.options.name });
        }
    }

    private recordStoreFailure(reason: string): void {
        this.consecutiveFailures++;
        if (this.isReachable) {
            this.isReachable = false;
            this.options.log.warn("store-lost", { collection: this.options.name, reason });
        }
    }

    private computeRetryDelayMs(): Milliseconds {
        const limitMs = this.isSubstitute && this.hasContent ? maxSubstituteRetryDelayMs : maxRetryDelayMs;
        const maxDelayMs = Math.min(limitMs, minRetryDelayMs * 2 ** Math.min(this.consecutiveFailures, 10));
        return maxDelayMs * (1 + this.options.random.nextFraction()) / 2;
    }
}
