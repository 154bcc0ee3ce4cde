import { ManualClock } from "@bilberrycroft/core.clock";
import { EventLog, FaultBarrier } from "@bilberrycroft/core.eventLog";
import { createSeededRandom } from "@bilberrycroft/core.random";
import {
    type CollectionChange,
    type CollectionRead,
    type CollectionWatch,
    type CollectionWatchRequest,
    type CollectionWrite,
    createPosition,
    createUnavailableOutcome,
    type ObjectCollection,
    StoreOutcomeKind,
} from "@bilberrycroft/protocol.store";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { CollectionTask } from "../src/tasks/collectionTask";

/** A collection whose watches end only when they are aborted, except that a watch of 1 ms returns immediately. */
class SilentCollection implements ObjectCollection {
    readCount = 0;
    watchCount = 0;
    revision = 1;
    isUnavailable = false;
    /** Wait times of the watches that did not return immediately. */
    readonly waits: number[] = [];
    readonly allWaits: number[] = [];
    failWatch: () => void = () => undefined;
    /** Ends the watch in progress. */
    endWatch: (changes: readonly CollectionChange[]) => void = () => undefined;

    read(): Promise<CollectionRead> {
        this.readCount++;
        return Promise.resolve(this.isUnavailable
            ? createUnavailableOutcome("store unavailable")
            : {
                    kind: StoreOutcomeKind.Done,
                    objects: [{ name: "a", revision: this.revision, value: {} }],
                    revision: this.revision,
                });
    }

    watch({ waitMs, signal, after }: CollectionWatchRequest): Promise<CollectionWatch> {
        this.watchCount++;
        this.allWaits.push(waitMs);
        if (waitMs === 1) {
            return Promise.resolve({ kind: StoreOutcomeKind.Done, changes: [], revision: after });
        }
        this.waits.push(waitMs);
        return new Promise(resolve => {
            signal?.addEventListener("abort", () => resolve(createUnavailableOutcome("aborted")));
            this.failWatch = () => resolve(createUnavailableOutcome("reset"));
            this.endWatch = changes =>
                resolve({ kind: StoreOutcomeKind.Done, changes, revision: after + changes.length });
        });
    }

    create = (): Promise<CollectionWrite> => Promise.reject(new Error("not used"));
    replace = (): Promise<CollectionWrite> => Promise.reject(new Error("not used"));
    replaceStatus = (): Promise<CollectionWrite> => Promise.reject(new Error("not used"));
    remove = (): Promise<CollectionWrite> => Promise.reject(new Error("not used"));
}

async function waitForCondition(condition: () => boolean): Promise<void> {
    for (let turn = 0; turn < 10_000 && !condition(); turn++) {
        await new Promise(resolve => setImmediate(resolve));
    }
    expect(condition()).toBe(true);
}

describe("CollectionTask", () => {
    let clock: ManualClock;
    let collection: SilentCollection;
    let task: CollectionTask;
    let events: string[];

    beforeEach(() => {
        clock = new ManualClock();
        collection = new SilentCollection();
        events = [];
        const sink = {
            write: (line: string): boolean => {
                events.push((JSON.parse(line) as { event: string }).event);
                return true;
            },
        };
        const log = new EventLog({ clock, common: {}, sink });
        const random = createSeededRandom(1);
        const faults = new FaultBarrier(log);
        const decode = (value: unknown): unknown => value;
        task = new CollectionTask({ name: "nodes", collection, clock, random, log, faults, batchDelayMs: 0, decode });
        task.start();
    });
    afterEach(() => task.stop());

    describe("on a node that reads the store", () => {
        it("treats its watch as failed and reads the collection when peers stay ahead", async () => {
            await waitForCondition(() => collection.watchCount === 1);
            collection.revision = 5;
            task.recordNewerPeer();
            clock.advance(900);
            task.recordNewerPeer();
            expect(collection.readCount).toBe(1);
            clock.advance(200);
            task.recordNewerPeer();
            await waitForCondition(() => task.newestRevision === 5);
            expect(collection.readCount).toBe(2);
            expect(events).toContain("watch-silent");
        });

        // Guards against a watch that waits at a revision which a store that came back from a copy has given out again.
        it.each([{ era: 1, waitMs: 1 }, { era: 0, waitMs: 5_000 }])(
            "watches for $waitMs ms after the store of era $era was away",
            async ({ era, waitMs }) => {
                const revision = createPosition(era, 9) ?? Number.NaN;
                task.applyRemote({ base: 0, revision, newestChange: revision, objects: [], removed: [] });
                await waitForCondition(() => collection.waits.length === 1);
                const { watchCount } = collection;
                collection.failWatch();
                await vi.waitFor(() => expect(collection.watchCount).toBeGreaterThan(watchCount), { timeout: 10_000 });
                expect(collection.allWaits[watchCount]).toBe(waitMs);
            },
        );

        // Guards against watches of both readers that began together and fall silent together.
        it.each([
            { isStaggered: true, waits: [2_500, 5_000, 2_500, 5_000] },
            { isStaggered: false, waits: [5_000, 5_000, 5_000, 5_000] },
        ])("shortens its first watch after each change if it is staggered: $isStaggered", async ({ isStaggered, waits }) => {
            task.setReading(false);
            task.setReading(true, { isStaggered });
            const change = { object: { name: "b", revision: 2, value: {} }, isRemoved: false };
            const previous = collection.waits.length;
            for (const [index, changes] of [[], [change], [], []].entries()) {
                await waitForCondition(() => collection.waits.length === previous + index + 1);
                collection.endWatch(changes);
            }
            expect(collection.waits.slice(previous, previous + waits.length)).toEqual(waits);
        });

        // Guards against a response that was under way for long and counts as a fresh confirmation.
        it("confirms its copy up to the beginning of the watch, not to its end", async () => {
            await waitForCondition(() => collection.waits.length === 1);
            expect(task.confirmedAt).toBe(0);
            clock.advance(4_000);
            collection.endWatch([]);
            await waitForCondition(() => collection.waits.length === 2);
            expect(task.confirmedAt).toBe(0);
            clock.advance(1_000);
            collection.endWatch([]);
            await waitForCondition(() => collection.waits.length === 3);
            expect(task.confirmedAt).toBe(4_000);
        });

        it("is not current before the store has responded", async () => {
            await waitForCondition(() => collection.watchCount === 1);
            task.setReading(false);
            expect(task.isCurrent).toBe(false);
            task.setReading(true);
            expect(task.isCurrent).toBe(false);
            await waitForCondition(() => task.isCurrent);
        });
    });

    describe("on a node that follows others", () => {
        beforeEach(async () => {
            await waitForCondition(() => collection.watchCount === 1);
            task.setReading(false);
        });

        it("stops calling the store", async () => {
            task.applyRemote({ base: 1, revision: 9, newestChange: 9, objects: [{ name: "b", revision: 9, value: {} }], removed: ["a"] });
            expect(task.newestRevision).toBe(9);
            expect([collection.readCount, collection.watchCount]).toEqual([1, 1]);
        });

        it("reads the collection itself when peers stay ahead", async () => {
            collection.revision = 9;
            task.recordNewerPeer();
            clock.advance(1_100);
            task.recordNewerPeer();
            await waitForCondition(() => task.newestRevision === 9);
            expect(events).toContain("sources-silent");
            expect(collection.watchCount).toBe(1);
        });

        it("continues from its current content when it has to read the store again", async () => {
            task.applyRemote({ base: 1, revision: 9, newestChange: 9, objects: [], removed: [] });
            task.setReading(true);
            await waitForCondition(() => task.isCurrent);
            expect(collection.readCount).toBe(1);
            expect(task.revision).toBe(9);
        });
    });
});
