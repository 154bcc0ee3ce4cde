/**
 * Follows a collection of the store: reads it whole, then watches its changes, for as long as the node runs.
 *
 * Watches are expensive, so changes that follow each other closely are taken together: after a change the task waits
 * before it watches again.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import { assertNever } from "@bilberrycroft/core.errors";
import type { EventLog } from "@bilberrycroft/core.eventLog";
import type { Random } from "@bilberrycroft/core.random";
import {
    type CollectionChange,
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

/** Well below the history that a store keeps, and long enough that an idle watch costs few calls. */
const watchMs: Milliseconds = 10_000;
/** Wait after a call that failed; doubled up to the longest and spread over its upper half. */
const firstRetryMs: Milliseconds = 100;
const longestRetryMs: Milliseconds = 1_000;
/** A node that others have overtaken for this long takes its watch for dead. */
const overtakenMs: Milliseconds = 500;

/** The newest known content of a collection. */
export class CollectionTask {
    /** Emits all objects after each change. */
    readonly contents = new Subject<CollectionContent>();
    private objects = new Map<string, CollectionObject>();
    private revision: number | undefined;
    private newestChange = 0;
    private isReachable = true;
    private failures = 0;
    private watching: AbortController | undefined;
    private overtakenSince: Milliseconds | undefined;
    private isStopped = false;

    constructor(private readonly options: CollectionTaskOptions) {}

    /** Whether the collection has been read since the start. */
    get hasContent(): boolean {
        return this.revision !== undefined;
    }

    /** Store revision of the newest change that is known. */
    get newestRevision(): number {
        return this.newestChange;
    }

    start(): void {
        void this.run();
    }

    stop(): void {
        this.isStopped = true;
        this.watching?.abort();
    }

    /**
     * Another node knows a newer change. If this one learns of none meanwhile, its watch has gone silent and is begun
     * again.
     */
    overtaken(): void {
        const now = this.options.clock.now();
        this.overtakenSince ??= now;
        if (now - this.overtakenSince >= overtakenMs && this.watching !== undefined) {
            this.options.log.warn("watch-silent", { collection: this.options.name, revision: this.revision });
            this.overtakenSince = undefined;
            this.revision = undefined;
            this.watching.abort();
        }
    }

    private async run(): Promise<void> {
        while (!this.isStopped) {
            const isDone = this.revision === undefined ? await this.read() : await this.watch(this.revision);
            if (!isDone && !this.isStopped) {
                await sleep(this.retryWaitMs());
            }
        }
    }

    private async read(): Promise<boolean> {
        const outcome = await this.options.collection.read();
        switch (outcome.kind) {
            case StoreOutcomeKind.Done:
                this.objects = new Map(outcome.objects.map(object => [object.name, object]));
                this.revision = outcome.revision;
                this.noteRevisions(outcome.objects);
                this.responded();
                this.contents.next({ objects: this.objects, revision: outcome.revision });
                await sleep(this.options.gatherMs);
                return true;
            case StoreOutcomeKind.Unavailable:
                this.unavailable(outcome.reason);
                return false;
            default:
                return assertNever(outcome);
        }
    }

    private async watch(after: number): Promise<boolean> {
        const controller = new AbortController();
        this.watching = controller;
        this.overtakenSince = undefined;
        const outcome = await this.options.collection.watch({ after, waitMs: watchMs, signal: controller.signal });
        this.watching = undefined;
        if (controller.signal.aborted) {
            return true;
        }
        switch (outcome.kind) {
            case StoreOutcomeKind.Done:
                this.responded();
                this.revision = outcome.revision;
                if (outcome.changes.length > 0) {
                    this.apply(outcome.changes, outcome.revision);
                    await sleep(this.options.gatherMs);
                }
                return true;
            case CollectionOutcomeKind.HistoryGone:
                this.options.log.info("store-history-gone", { collection: this.options.name, revision: after });
                this.revision = undefined;
                return true;
            case StoreOutcomeKind.Unavailable:
                this.unavailable(outcome.reason);
                return false;
            default:
                return assertNever(outcome);
        }
    }

    private apply(changes: readonly CollectionChange[], revision: number): void {
        const objects = new Map(this.objects);
        for (const { object, isRemoved } of changes) {
            if (isRemoved) {
                objects.delete(object.name);
            }
            else {
                objects.set(object.name, object);
            }
        }
        this.objects = objects;
        this.noteRevisions(changes.map(({ object }) => object));
        this.contents.next({ objects, revision });
    }

    private noteRevisions(objects: readonly CollectionObject[]): void {
        this.overtakenSince = undefined;
        this.newestChange = objects.reduce((newest, { revision }) => Math.max(newest, revision), this.newestChange);
    }

    private responded(): void {
        this.failures = 0;
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
        const longest = Math.min(longestRetryMs, firstRetryMs * 2 ** Math.min(this.failures, 10));
        return longest * (1 + this.options.random.nextFraction()) / 2;
    }
}
