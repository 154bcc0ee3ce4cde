/**
 * Keeps a copy of a collection of the store. A node that reads the store reads the collection whole and then watches
 * its changes; any node takes changes from others.
 *
 * Watches are expensive, so changes that follow each other closely are taken together: after a change the task waits
 * before it watches again.
 */
import { type ObjectChanges, ObjectTable } from "@bilberrycroft/coordination.relay";
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import { assertNever } from "@bilberrycroft/core.errors";
import type { EventLog } from "@bilberrycroft/core.eventLog";
import type { Random } from "@bilberrycroft/core.random";
import {
    type CollectionObject,
    CollectionOutcomeKind,
    type ObjectCollection,
    StoreOutcomeKind,
} from "@bilberrycroft/protocol.store";
import { Subject } from "rxjs";
import { setTimeout as sleep } from "node:timers/promises";

/** Options of a `CollectionTask`. */
export interface CollectionTaskOptions {
    /** Name in log lines. */
    readonly name: string;
    readonly collection: ObjectCollection;
    readonly clock: Clock;
    readonly random: Random;
    readonly log: EventLog;
    /** Wait after a change until the next watch. */
    readonly gatherMs: Milliseconds;
}

/** Content of a collection at a revision of the store. */
export interface CollectionContent {
    readonly objects: ReadonlyMap<string, CollectionObject>;
    readonly revision: number;
}

/** Long enough that an idle watch costs few calls; bounds the time for which a silent store goes unnoticed. */
const watchMs: Milliseconds = 5_000;
/** The shortest wait that a store takes. */
const confirmingWatchMs: Milliseconds = 1;
/** Wait after a call that failed; doubled up to the longest and spread over its upper half. */
const firstRetryMs: Milliseconds = 100;
const longestRetryMs: Milliseconds = 1_000;
/** For a node that reads for want of others: in an outage of the store those wait for it, and tell this one. */
const longestSubstituteRetryMs: Milliseconds = 4_000;
/**
 * A node that others have overtaken for this long takes its watch, or what it follows, for dead. Readers that gather
 * changes are behind for less; a change of the configuration is due within two seconds.
 */
const overtakenMs: Milliseconds = 1_000;

/** The newest known content of a collection. */
export class CollectionTask {
    /** Emits all objects after each change. */
    readonly contents = new Subject<CollectionContent>();
    private readonly table = new ObjectTable();
    private isReading = true;
    private isSubstitute = false;
    /** The next call reads the whole collection. */
    private mustRead = true;
    private isReachable = true;
    /** The store has answered since this node began to read it. */
    private isAnswered = false;
    private failures = 0;
    private watching: AbortController | undefined;
    private overtakenSince: Milliseconds | undefined;
    private isStopped = false;
    private wake: () => void = () => undefined;

    constructor(private readonly options: CollectionTaskOptions) {}

    /** Whether the collection is known, by a read of this node or from another one. */
    get hasContent(): boolean {
        return this.table.revision > 0;
    }

    /** Whether this node reads the store, and the store answers. */
    get isCurrent(): boolean {
        return this.isReading && this.isAnswered && this.isReachable && !this.mustRead;
    }

    /** Store revision of the newest change that is known. */
    get newestRevision(): number {
        return this.table.newestChange;
    }

    /** Store revision up to which all changes are known. */
    get revision(): number {
        return this.table.revision;
    }

    start(): void {
        void this.run();
    }

    stop(): void {
        this.isStopped = true;
        this.watching?.abort();
        this.wake();
    }

    /**
     * Sets whether this node reads the store, and whether only for want of others that do. Until the collection is
     * known it reads in any case.
     */
    setReading(isReading: boolean, isSubstitute = false): void {
        this.isSubstitute = isSubstitute;
        if (this.isReading === isReading) {
            return;
        }
        this.isReading = isReading;
        this.isAnswered = false;
        if (isReading) {
            this.wake();
        }
        else if (this.hasContent) {
            this.watching?.abort();
        }
    }

    /** What a node that knows all changes up to a store revision has to be told. */
    changesSince(revision: number): ObjectChanges {
        return this.table.changesSince(revision);
    }

    /** Takes what another node passes on. */
    take(changes: ObjectChanges): void {
        if (this.table.applyRemote(changes)) {
            this.changed();
        }
    }

    /** Another node has told all that follows from the collection up to a store revision. */
    knownUpTo(revision: number): void {
        this.overtakenSince = undefined;
        this.table.advanceTo(revision);
        this.mustRead = false;
    }

    /**
     * Another node knows a newer change. If this one learns of none meanwhile, its watch or the nodes that it follows
     * have gone silent, and it reads the collection.
     */
    overtaken(): void {
        const now = this.options.clock.now();
        this.overtakenSince ??= now;
        // Between two watches a reader is behind as a rule.
        const mayBeBehind = this.mustRead || (this.isReading && this.watching === undefined);
        if (now - this.overtakenSince >= overtakenMs && !mayBeBehind) {
            const { revision } = this.table;
            const event = this.isReading ? "watch-silent" : "sources-silent";
            this.options.log.warn(event, { collection: this.options.name, revision });
            this.overtakenSince = undefined;
            this.mustRead = true;
            this.watching?.abort();
            this.wake();
        }
    }

    private async run(): Promise<void> {
        while (!this.isStopped) {
            if (!this.isReading && !this.mustRead) {
                await this.untilWoken();
                continue;
            }
            const isDone = this.mustRead ? await this.read() : await this.watch();
            if (!isDone && !this.isStopped) {
                await sleep(this.retryWaitMs());
            }
        }
    }

    private untilWoken(): Promise<void> {
        return new Promise(resolve => {
            this.wake = resolve;
        });
    }

    private async read(): Promise<boolean> {
        const outcome = await this.options.collection.read();
        switch (outcome.kind) {
            case StoreOutcomeKind.Done:
                this.mustRead = false;
                this.responded();
                if (this.table.replaceAll(outcome.objects, outcome.revision)) {
                    this.changed();
                }
                await sleep(this.options.gatherMs);
                return true;
            case StoreOutcomeKind.Unavailable:
                // What other nodes pass on is enough for a node that does not read the store itself.
                this.mustRead = this.isReading || !this.hasContent;
                this.unavailable(outcome.reason);
                return false;
            default:
                return assertNever(outcome);
        }
    }

    private async watch(): Promise<boolean> {
        const controller = new AbortController();
        this.watching = controller;
        this.overtakenSince = undefined;
        const after = this.table.revision;
        // The first watch returns at once and shows that the store answers.
        const waitMs = this.isAnswered ? watchMs : confirmingWatchMs;
        const outcome = await this.options.collection.watch({ after, waitMs, signal: controller.signal });
        this.watching = undefined;
        if (controller.signal.aborted) {
            return true;
        }
        switch (outcome.kind) {
            case StoreOutcomeKind.Done:
                this.responded();
                this.table.apply(outcome.changes, outcome.revision);
                if (outcome.changes.length > 0) {
                    this.changed();
                    await sleep(this.options.gatherMs);
                }
                return true;
            case CollectionOutcomeKind.HistoryGone:
                this.options.log.info("store-history-gone", { collection: this.options.name, revision: after });
                this.mustRead = true;
                return true;
            case StoreOutcomeKind.Unavailable:
                this.unavailable(outcome.reason);
                return false;
            default:
                return assertNever(outcome);
        }
    }

    private changed(): void {
        this.overtakenSince = undefined;
        this.contents.next({ objects: this.table.objects, revision: this.table.revision });
    }

    private responded(): void {
        this.failures = 0;
        this.isAnswered = true;
        if (!this.isReachable) {
            this.isReachable = true;
            this.options.log.info("store-regained", { collection: this.options.name });
        }
    }

    private unavailable(reason: string): void {
        this.failures++;
        if (this.isReachable) {
            this.isReachable = false;
            this.options.log.warn("store-lost", { collection: this.options.name, reason });
        }
    }

    private retryWaitMs(): Milliseconds {
        const bound = this.isSubstitute && this.hasContent ? longestSubstituteRetryMs : longestRetryMs;
        const longest = Math.min(bound, firstRetryMs * 2 ** Math.min(this.failures, 10));
        return longest * (1 + this.options.random.nextFraction()) / 2;
    }
}
