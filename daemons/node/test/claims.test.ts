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
    type SeenResponse,
    send,
    startFakeTarget,
    startTestNode,
    until,
} from "./support";

const minuteMs = 60_000;

/** Store of one node that can hold back the writes of claims, or only the responses to them. */
class HeldStore implements Store {
    held = 0;
    /** Number of claim writes that still pass. */
    passing = Infinity;
    /** Whether a write that is held back took effect. */
    takesEffect = true;

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
        const isHeld = key.startsWith("claims/") && this.passing-- <= 0;
        const outcome = isHeld && !this.takesEffect
            ? undefined
            : await this.store.write(key, value, condition);
        if (outcome === undefined || isHeld) {
            this.held++;
            return new Promise(() => undefined);
        }
        return outcome;
    }
}

describe("calls that may not be repeated, over sockets", () => {
    let cleanup: Cleanup;
    let store: MemoryStore;
    let ownStore: HeldStore;
    let first: RunningNode;
    let second: RunningNode;
    let target: FakeTarget;

    const startNodes = async (): Promise<void> => {
        cleanup = new Cleanup();
        store = await createTestStore();
        ownStore = new HeldStore(store);
        first = await startTestNode(cleanup, ownStore);
        target = await startFakeTarget(cleanup, first);
        second = await startTestNode(cleanup, store, { host: "h2", peers: [first.controlAddress] });
        await until(async () => (await send(second.callAddress, "/ready")).outcome === "done");
    };
    beforeAll(startNodes);
    beforeEach(() => {
        target.seen.length = 0;
        target.behaviour = echo;
        store.inject({ kind: StoreFaultKind.Clear });
    });
    afterAll(() => cleanup.run());

    const write = (node: RunningNode, key: string, body = "book"): Promise<SeenResponse> =>
        send(node.callAddress, "/write", { method: "POST", body, headers: { "idempotency-key": key } });

    describe.each(["the same node", "another node"])("a resend through %s", where => {
        const other = (): RunningNode => (where === "another node" ? second : first);

        it("gets the recorded response and does not run again", async () => {
            const key = createKey();
            const sent = await write(first, key);
            const again = await write(other(), key);
            expect(sent).toMatchObject({ outcome: "done", body: "done /write book" });
            expect(again).toMatchObject({ outcome: "done", body: sent.body, headers: { "x-mesh-replayed": "1" } });
            expect(target.seen).toHaveLength(1);
        });

        it("waits for the run in progress", async () => {
            const key = createKey();
            let finish = (): unknown => undefined;
            target.behaviour = response => {
                finish = () => response.end("booked");
            };
            const sent = write(first, key);
            await until(() => target.seen.length === 1);
            const again = write(other(), key);
            finish();
            expect((await sent).body).toBe("booked");
            expect((await again).body).toBe("booked");
            expect(target.seen).toHaveLength(1);
        });

        it("with another body is refused and does not run", async () => {
            const key = createKey();
            await write(first, key);
            expect(await write(other(), key, "other")).toMatchObject({
                status: 422,
                outcome: "not-run",
                reason: "idempotency-key-mismatch",
            });
            expect(target.seen).toHaveLength(1);
        });

        it("after a lost answer gets unknown", async () => {
            const key = createKey();
            target.behaviour = response => response.destroy();
            expect((await write(first, key)).outcome).toBe("unknown");
            expect((await write(other(), key)).outcome).toBe("unknown");
            expect(target.seen).toHaveLength(1);
        });

        it("after an answer too large to record gets unknown", async () => {
            const key = createKey();
            target.behaviour = response => response.end("x".repeat(5_000));
            expect((await write(first, key)).outcome).toBe("done");
            expect((await write(other(), key)).outcome).toBe("unknown");
            expect(target.seen).toHaveLength(1);
        });

        it("after not-run runs once", async () => {
            const key = createKey();
            target.behaviour = (response, _call, seen) => (seen.length === 1
                ? response.writeHead(503, { "x-mesh-outcome": "not-run" }).end()
                : response.end("booked"));
            expect((await write(first, key)).outcome).toBe("not-run");
            expect((await write(other(), key)).body).toBe("booked");
            expect(target.seen).toHaveLength(2);
        });
    });

    describe("a resend after its owner was killed", () => {
        const moments = [
            { name: "before the call was sent", passing: 0, takesEffect: true, runs: 0, outcome: "unknown" },
            { name: "after the run, before its record", passing: 1, takesEffect: false, runs: 1, outcome: "unknown" },
            { name: "after the record", passing: 1, takesEffect: true, runs: 1, outcome: "done" },
        ];
        // Fresh nodes: a record that an earlier test left to be written would be held back in place of this call's.
        const restartNodes = async (): Promise<void> => {
            await cleanup.run();
            await startNodes();
        };
        beforeEach(restartNodes);
        afterAll(restartNodes);

        it.each(moments)("$name gets $outcome and does not run again", async row => {
            const { passing, takesEffect, runs, outcome } = row;
            const key = createKey();
            ownStore.passing = passing;
            ownStore.takesEffect = takesEffect;
            void write(first, key).catch(() => undefined);
            await until(() => ownStore.held === 1);
            await first.kill();
            expect((await write(second, key)).outcome).toBe(outcome);
            expect(target.seen).toHaveLength(runs);
        });

        it("while the call ran gets unknown and does not run", async () => {
            const key = createKey();
            target.behaviour = () => undefined;
            void write(first, key).catch(() => undefined);
            await until(() => target.seen.length === 1);
            await first.kill();
            expect((await write(second, key)).outcome).toBe("unknown");
            expect(target.seen).toHaveLength(1);
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
                expect(target.seen).toHaveLength(1);
            },
        );

        it("down after the claim: the outcome is known to the owner and recorded later", async () => {
            const key = createKey();
            target.behaviour = response => {
                store.inject({ kind: StoreFaultKind.Down });
                response.end("booked");
            };
            expect((await write(first, key)).body).toBe("booked");
            expect((await write(first, key)).body).toBe("booked");
            expect((await write(second, key)).outcome).not.toBe("done");
            store.inject({ kind: StoreFaultKind.Up });
            let again: SeenResponse | undefined;
            await until(async () => (again = await write(second, key)).outcome !== "not-run");
            expect(again).toMatchObject({ outcome: "done", body: "booked" });
            expect(target.seen).toHaveLength(1);
        });
    });

    const ages = [
        { name: "11 minutes old", ageMs: 11 * minuteMs },
        { name: "6 minutes ahead", ageMs: -6 * minuteMs },
    ];
    it.each(ages)("refuses a key $name as unknown without a run", async ({ ageMs }) => {
        const key = createKey({ msecs: Date.now() - ageMs });
        expect(await write(first, key)).toMatchObject({
            status: 409,
            outcome: "unknown",
            reason: "idempotency-key-expired",
        });
        expect(target.seen).toEqual([]);
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
                for (const seen of await Promise.all(nodes.map(node => write(node, key, key)))) {
                    outcomes.get(key)?.push(seen.outcome ?? "");
                }
            }
        }));
        for (const key of keys) {
            const runs = target.seen.filter(call => call.body === key).length;
            expect(runs).toBeLessThanOrEqual(1);
            expect(runs === 1 || !outcomes.get(key)?.includes("done")).toBe(true);
            expect(runs === 0 || outcomes.get(key)?.some(outcome => outcome !== "not-run")).toBe(true);
        }
    });
});
