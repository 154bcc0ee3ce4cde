/**
 * Contract tests that every implementation of `Store` runs.
 */
import {
    maxObjectBytes,
    type ReadOutcome,
    type Store,
    type StoreFault,
    type StoreFaultControl,
    StoreFaultKind,
    StoreOutcomeKind,
    WriteConditionKind,
    type WriteOutcome,
} from "@bilberrycroft/protocol.store";
import { VirtualTimeScheduler } from "rxjs";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { advance, waitUntil } from "./virtualTime";

/** An implementation under test. Its delays and watches run on the scheduler passed to `createFixture`. */
export interface StoreFixture {
    readonly store: Store;
    readonly faults: StoreFaultControl;
    close(): Promise<void>;
}

const absent = { kind: WriteConditionKind.Absent } as const;
const unavailable = expect.objectContaining({ kind: StoreOutcomeKind.Unavailable });
const unknown = expect.objectContaining({ kind: StoreOutcomeKind.Unknown });

function expectDone(outcome: WriteOutcome): string {
    if (outcome.kind !== StoreOutcomeKind.Done) {
        throw new Error(`unexpected write outcome: ${outcome.kind}`);
    }
    return outcome.revision;
}

/** Declares the contract tests for one implementation. */
export function describeStoreContract(
    name: string,
    createFixture: (scheduler: VirtualTimeScheduler) => Promise<StoreFixture>,
): void {
    describe(`store contract of ${name}`, () => {
        let scheduler: VirtualTimeScheduler;
        let fixture: StoreFixture;
        let store: Store;

        beforeEach(async () => {
            scheduler = new VirtualTimeScheduler();
            fixture = await createFixture(scheduler);
            store = fixture.store;
        });
        afterEach(() => fixture.close());

        const create = async (key: string, value = "1"): Promise<string> =>
            expectDone(await store.write(key, value, absent));
        const readValue = async (key: string): Promise<string | undefined> => {
            const outcome: ReadOutcome = await store.read(key);
            return outcome.kind === StoreOutcomeKind.Done ? outcome.object.value : undefined;
        };

        describe("conditional writes", () => {
            it("returns the written value with the revision of the write, so that the next update can refer to it", async () => {
                const revision = await create("a/b", "{\"text\":\"é\"}");
                expect(await store.read("a/b")).toEqual({
                    kind: StoreOutcomeKind.Done,
                    object: { key: "a/b", revision, value: "{\"text\":\"é\"}" },
                });
            });

            it("accepts only one of two concurrent writes of the same revision, so that no update is lost", async () => {
                const condition = { kind: WriteConditionKind.Revision, revision: await create("a") } as const;
                const outcomes = await Promise.all([store.write("a", "2", condition), store.write("a", "3", condition)]);
                expect(outcomes.map(outcome => outcome.kind).sort())
                    .toEqual([StoreOutcomeKind.Conflict, StoreOutcomeKind.Done]);
            });

            it("never reuses a revision after a removal, so that a delayed writer cannot overwrite a recreated object", async () => {
                const first = await create("a");
                const removal = expectDone(await store.remove("a", first));
                const second = await create("a");
                expect(new Set([first, removal, second]).size).toBe(3);
                expect(await store.write("a", "9", { kind: WriteConditionKind.Revision, revision: first }))
                    .toEqual({ kind: StoreOutcomeKind.Conflict });
            });

            const refusedWrites = [
                { name: "the creation of an existing object", key: "a", condition: absent },
                {
                    name: "an update of a missing object",
                    key: "b",
                    condition: { kind: WriteConditionKind.Revision, revision: "r0" } as const,
                },
            ];
            it.each(refusedWrites)("reports a conflict for $name and changes nothing", async ({ key, condition }) => {
                await create("a");
                expect(await store.write(key, "2", condition)).toEqual({ kind: StoreOutcomeKind.Conflict });
                expect(fixture.faults.counts().committed).toBe(1);
            });

            it("reports a conflict for a removal with a different revision, so that a newer object is kept", async () => {
                await create("a");
                expect(await store.remove("a", "r0")).toEqual({ kind: StoreOutcomeKind.Conflict });
                expect(await readValue("a")).toBe("1");
            });
        });

        describe("limits", () => {
            const fullValue = `"${"x".repeat(maxObjectBytes - 2)}"`;
            const writes = [
                { name: "a value of the maximum size", value: fullValue, kind: StoreOutcomeKind.Done },
                { name: "a value one byte over the maximum size", value: ` ${fullValue}`, kind: StoreOutcomeKind.Unavailable },
                { name: "a value that is not JSON", value: "{", kind: StoreOutcomeKind.Unavailable },
            ];
            it.each(writes)("returns $kind for $name", async ({ value, kind }) => {
                expect((await store.write("a", value, absent)).kind).toBe(kind);
                expect(await readValue("a")).toBe(kind === StoreOutcomeKind.Done ? value : undefined);
            });

            it.each(["", "/a", "a//b", "a/../b", "a?b", "a b", "x".repeat(300)])(
                "refuses the key %j, which could address another object in a URL",
                async key => {
                    expect(await store.read(key)).toEqual(unavailable);
                    expect(await store.write(key, "1", absent)).toEqual(unavailable);
                },
            );

            it("refuses a revision that would corrupt the header that carries it", async () => {
                expect(await store.remove("a", "x\"\r\ny")).toEqual(unavailable);
            });
        });

        it("lists the keys with a prefix in order, so that the history is read in version order", async () => {
            const second = await create("h/2");
            const first = await create("h/1");
            await create("other");
            expect(await store.list("h/")).toEqual({
                kind: StoreOutcomeKind.Done,
                objects: [{ key: "h/1", revision: first }, { key: "h/2", revision: second }],
            });
        });

        describe("watches", () => {
            const waitForWatch = (): Promise<void> => waitUntil(() => fixture.faults.counts().waitingWatches === 1);

            it("ends immediately if the object is already newer, so that no change is missed between two watches", async () => {
                const revision = await create("a", "7");
                expect(await store.watch({ key: "a", after: "r0", waitMs: 1_000 })).toEqual({
                    kind: StoreOutcomeKind.Done,
                    object: { key: "a", revision, value: "7" },
                });
            });

            it("ignores a removal and waits until the object exists again", async () => {
                const revision = await create("a");
                const watch = store.watch({ key: "a", after: revision, waitMs: 1_000 });
                await waitForWatch();
                await store.remove("a", revision);
                await create("a", "8");
                expect(await watch).toMatchObject({ kind: StoreOutcomeKind.Done, object: { value: "8" } });
            });

            const unchangedEnds = [
                { name: "when the wait time has elapsed", end: (): void => advance(scheduler, 1_000) },
                { name: "when the watcher aborts", end: (abort: AbortController): void => abort.abort() },
            ];
            it.each(unchangedEnds)("ends unchanged $name and is removed from the store", async ({ end }) => {
                const abort = new AbortController();
                const watch = store.watch({ key: "a", after: undefined, waitMs: 1_000, signal: abort.signal });
                await waitForWatch();
                await create("b");
                end(abort);
                expect(await watch).toEqual({ kind: StoreOutcomeKind.Unchanged });
                await waitUntil(() => fixture.faults.counts().waitingWatches === 0);
            });

            it("ends when the store goes down, so that the watcher detects the outage", async () => {
                const watch = store.watch({ key: "a", after: undefined, waitMs: 1_000 });
                await waitForWatch();
                fixture.faults.inject({ kind: StoreFaultKind.Down });
                expect(await watch).toEqual(unavailable);
            });
        });

        describe("faults", () => {
            const lostWrites: readonly { name: string; fault: StoreFault; expected: string | undefined }[] = [
                { name: "response", fault: { kind: StoreFaultKind.LoseResponses, count: 1 }, expected: "1" },
                { name: "request", fault: { kind: StoreFaultKind.LoseRequests, count: 1 }, expected: undefined },
            ];
            it.each(lostWrites)("reports Unknown for one write whose $name is lost", async ({ fault, expected }) => {
                fixture.faults.inject(fault);
                expect(await store.write("a", "1", absent)).toEqual(unknown);
                expect(await readValue("a")).toBe(expected);
                await create("b");
            });

            it("reports Unknown for a removal whose response is lost, although the object was removed", async () => {
                const revision = await create("a");
                fixture.faults.inject({ kind: StoreFaultKind.LoseResponses, count: 1 });
                expect(await store.remove("a", revision)).toEqual(unknown);
                expect(await readValue("a")).toBeUndefined();
            });

            it("refuses all calls while it is down and keeps its objects", async () => {
                const revision = await create("a");
                fixture.faults.inject({ kind: StoreFaultKind.Down });
                const outcomes = await Promise.all([
                    store.read("a"),
                    store.list(""),
                    store.write("a", "2", { kind: WriteConditionKind.Revision, revision }),
                    store.remove("a", revision),
                    store.watch({ key: "a", after: undefined, waitMs: 0 }),
                ]);
                expect(outcomes).toEqual(Array.from(outcomes, () => unavailable));
                fixture.faults.inject({ kind: StoreFaultKind.Up });
                expect(await readValue("a")).toBe("1");
            });

            it("applies a call to a slow store only after the delay", async () => {
                fixture.faults.inject({ kind: StoreFaultKind.Slow, delayMs: 500 });
                const write = store.write("a", "1", absent);
                await waitUntil(() => fixture.faults.counts().delayed === 1);
                advance(scheduler, 499);
                expect(fixture.faults.counts().committed).toBe(0);
                advance(scheduler, 1);
                expectDone(await write);
                fixture.faults.inject({ kind: StoreFaultKind.Clear });
                expect(await readValue("a")).toBe("1");
            });

            it("counts each call once by kind, so that tests can verify the call rate of the fleet", async () => {
                const revision = await create("a");
                await store.read("a");
                await store.list("");
                await store.watch({ key: "a", after: undefined, waitMs: 1_000 });
                await store.remove("a", revision);
                expect(fixture.faults.counts().calls).toEqual({ read: 1, list: 1, write: 1, remove: 1, watch: 1 });
            });
        });
    });
}
