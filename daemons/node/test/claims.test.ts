import { createSeededRandom } from "@bilberrycroft/core.random";
import {
    type MemoryStore,
    type Store,
    StoreFaultKind,
    type WriteCondition,
    type WriteOutcome,
} from "@bilberrycroft/protocol.store";
import { v7 as createKey } from "uuid";
import { afterAll, beforeAll, beforeEach, describe, expect, it } from "vitest";
import type { RunningNode } from "../src";
import {
    Cleanup,
    createTestStore,
    echo,
    type FakeTarget,
    type ReceivedResponse,
    send,
    startFakeTarget,
    startTestNode,
    waitUntil,
} from "./support";

const minuteMs = 60_000;

/** Store of one node that can stall claim writes, either before they take effect or only their responses. */
class StallingStore implements Store {
    stalledWrites = 0;
    /** Number of claim writes that still complete; later ones stall. */
    remainingClaimWrites = Infinity;
    /** Whether a stalled write takes effect. */
    appliesStalledWrites = true;

    constructor(private readonly store: Store) {}

    read(key: string) {
        return this.store.read(key);
    }

    list(prefix: string) {
        return this.store.list(prefix);
    }

    remove(key: string, revision: string) {
        return this.store.remove(key, revision);
    }

    watch(request: Parameters<Store["watch"]>[0]) {
        return this.store.watch(request);
    }

    async write(key: string, value: string, condition: WriteCondition): Promise<WriteOutcome> {
        const isStalled = key.startsWith("claims/") && this.remainingClaimWrites-- <= 0;
        const outcome = isStalled && !this.appliesStalledWrites
            ? undefined
            : await this.store.write(key, value, condition);
        if (outcome === undefined || isStalled) {
            this.stalledWrites++;
            return new Promise(() => undefined);
        }
        return outcome;
    }
}

describe("non-repeatable calls over sockets", () => {
    let cleanup: Cleanup;
    let store: MemoryStore;
    let firstNodeStore: StallingStore;
    let first: RunningNode;
    let second: RunningNode;
    let target: FakeTarget;

    const startNodes = async (): Promise<void> => {
        cleanup = new Cleanup();
        store = await createTestStore();
        firstNodeStore = new StallingStore(store);
        first = await startTestNode(cleanup, firstNodeStore);
        target = await startFakeTarget(cleanup, first);
        second = await startTestNode(cleanup, store, { host: "h2", peers: [first.controlAddress] });
        await waitUntil(async () => (await send(second.callAddress, "/ready")).outcome === "done");
    };
    beforeAll(startNodes);
    beforeEach(() => {
        target.receivedCalls.length = 0;
        target.behaviour = echo;
        store.inject({ kind: StoreFaultKind.Clear });
    });
    afterAll(() => cleanup.run());

    const write = (node: RunningNode, key: string, body = "book"): Promise<ReceivedResponse> =>
        send(node.callAddress, "/write", { method: "POST", body, headers: { "idempotency-key": key } });

    describe.each(["the same node", "another node"])("a resend through %s", entryNode => {
        const other = (): RunningNode => (entryNode === "another node" ? second : first);

        it("gets the recorded response and does not run again", async () => {
            const key = createKey();
            const sent = await write(first, key);
            const resent = await write(other(), key);
            expect(sent).toMatchObject({ outcome: "done", body: "done /write book" });
            expect(resent).toMatchObject({ outcome: "done", body: sent.body, headers: { "x-mesh-replayed": "1" } });
            expect(target.receivedCalls).toHaveLength(1);
        });

        it("waits for the run in progress", async () => {
            const key = createKey();
            let finish = (): unknown => undefined;
            target.behaviour = response => {
                finish = () => response.end("booked");
            };
            const sent = write(first, key);
            await waitUntil(() => target.receivedCalls.length === 1);
            const resent = write(other(), key);
            finish();
            expect((await sent).body).toBe("booked");
            expect((await resent).body).toBe("booked");
            expect(target.receivedCalls).toHaveLength(1);
        });

        it("with another body is refused and does not run", async () => {
            const key = createKey();
            await write(first, key);
            expect(await write(other(), key, "other")).toMatchObject({
                status: 422,
                outcome: "not-run",
                reason: "idempotency-key-mismatch",
            });
            expect(target.receivedCalls).toHaveLength(1);
        });

        it("after a lost response gets the outcome unknown", async () => {
            const key = createKey();
            target.behaviour = response => response.destroy();
            expect((await write(first, key)).outcome).toBe("unknown");
            expect((await write(other(), key)).outcome).toBe("unknown");
            expect(target.receivedCalls).toHaveLength(1);
        });

        it("after a response too large to record gets the outcome unknown", async () => {
            const key = createKey();
            target.behaviour = response => response.end("x".repeat(5_000));
            expect((await write(first, key)).outcome).toBe("done");
            expect((await write(other(), key)).outcome).toBe("unknown");
            expect(target.receivedCalls).toHaveLength(1);
        });

        it("after the outcome not-run runs once", async () => {
            const key = createKey();
            target.behaviour = (response, _call, receivedCalls) => (receivedCalls.length === 1
                ? response.writeHead(503, { "x-mesh-outcome": "not-run" }).end()
                : response.end("booked"));
            expect((await write(first, key)).outcome).toBe("not-run");
            expect((await write(other(), key)).body).toBe("booked");
            expect(target.receivedCalls).toHaveLength(2);
        });
    });

    describe("a resend after its owner was killed", () => {
        const killCases = [
            {
                name: "before the call was sent",
                remainingClaimWrites: 0,
                appliesStalledWrites: true,
                runs: 0,
                outcome: "unknown",
            },
            {
                name: "after the run, before its record",
                remainingClaimWrites: 1,
                appliesStalledWrites: false,
                runs: 1,
                outcome: "unknown",
            },
            {
                name: "after the record",
                remainingClaimWrites: 1,
                appliesStalledWrites: true,
                runs: 1,
                outcome: "done",
            },
        ];
        // New nodes for each test: a write still pending from an earlier test would stall instead of this test's write.
        const restartNodes = async (): Promise<void> => {
            await cleanup.run();
            await startNodes();
        };
        beforeEach(restartNodes);
        afterAll(restartNodes);

        it.each(killCases)("$name gets the outcome $outcome and does not run again", async row => {
            const { remainingClaimWrites, appliesStalledWrites, runs, outcome } = row;
            const key = createKey();
            firstNodeStore.remainingClaimWrites = remainingClaimWrites;
            firstNodeStore.appliesStalledWrites = appliesStalledWrites;
            void write(first, key).catch(() => undefined);
            await waitUntil(() => firstNodeStore.stalledWrites === 1);
            await first.kill();
            expect((await write(second, key)).outcome).toBe(outcome);
            expect(target.receivedCalls).toHaveLength(runs);
        });

        it("while the call was running gets the outcome unknown and does not run again", async () => {
            const key = createKey();
            target.behaviour = () => undefined;
            void write(first, key).catch(() => undefined);
            await waitUntil(() => target.receivedCalls.length === 1);
            await first.kill();
            expect((await write(second, key)).outcome).toBe("unknown");
            expect(target.receivedCalls).toHaveLength(1);
        });
    });

    describe("faults of the store", () => {
        it.each([StoreFaultKind.LoseResponses, StoreFaultKind.LoseRequests] as const)(
            "%s of the claim: the call runs once",
            async kind => {
                const key = createKey();
                store.inject({ kind, count: 1 });
                expect((await write(first, key)).outcome).toBe("done");
                expect((await write(second, key)).body).toBe("done /write book");
                expect(target.receivedCalls).toHaveLength(1);
            },
        );

        it("down after the claim: the owner still has the outcome and records it later", async () => {
            const key = createKey();
            target.behaviour = response => {
                store.inject({ kind: StoreFaultKind.Down });
                response.end("booked");
            };
            expect((await write(first, key)).body).toBe("booked");
            expect((await write(first, key)).body).toBe("booked");
            expect((await write(second, key)).outcome).not.toBe("done");
            store.inject({ kind: StoreFaultKind.Up });
            let resent: ReceivedResponse | undefined;
            await waitUntil(async () => (resent = await write(second, key)).outcome !== "not-run");
            expect(resent).toMatchObject({ outcome: "done", body: "booked" });
            expect(target.receivedCalls).toHaveLength(1);
        });
    });

    const ages = [
        { name: "11 minutes old", ageMs: 11 * minuteMs },
        { name: "6 minutes ahead", ageMs: -6 * minuteMs },
    ];
    it.each(ages)("refuses a key $name with outcome unknown and does not run the call", async ({ ageMs }) => {
        const key = createKey({ msecs: Date.now() - ageMs });
        expect(await write(first, key)).toMatchObject({
            status: 409,
            outcome: "unknown",
            reason: "idempotency-key-expired",
        });
        expect(target.receivedCalls).toEqual([]);
    });

    it("runs each key at most once while callers resend through both nodes and the store loses messages", async () => {
        const random = createSeededRandom(11);
        const faults = [
            { kind: StoreFaultKind.LoseResponses, count: 2 } as const,
            { kind: StoreFaultKind.LoseRequests, count: 2 } as const,
            { kind: StoreFaultKind.Slow, delayMs: 20 } as const,
            { kind: StoreFaultKind.Clear } as const,
        ];
        target.behaviour = response => {
            const choice = random.nextInteger(4);
            if (choice === 0) {
                response.destroy();
            }
            else {
                setTimeout(() => response.end("booked"), choice);
            }
        };
        const keys = Array.from({ length: 24 }, () => createKey());
        const outcomes = new Map<string, string[]>(keys.map(key => [key, []]));
        await Promise.all(keys.map(async key => {
            for (let attempt = 0; attempt < 4; attempt++) {
                store.inject(faults[random.nextInteger(faults.length)] ?? { kind: StoreFaultKind.Clear });
                const nodes = [[first], [second], [first, second]][random.nextInteger(3)] ?? [];
                for (const response of await Promise.all(nodes.map(node => write(node, key, key)))) {
                    outcomes.get(key)?.push(response.outcome ?? "");
                }
            }
        }));
        for (const key of keys) {
            const runs = target.receivedCalls.filter(call => call.body === key).length;
            expect(runs).toBeLessThanOrEqual(1);
            expect(runs === 1 || !outcomes.get(key)?.includes("done")).toBe(true);
            expect(runs === 0 || outcomes.get(key)?.some(outcome => outcome !== "not-run")).toBe(true);
        }
    });
});
