import { describe, expect, it } from "vitest";
import { ManualClock } from "@bilberrycroft/core.clock";
import { createSeededRandom } from "@bilberrycroft/core.random";
import { CallOutcome, CallReason } from "@bilberrycroft/protocol.calls";
import { StoreOutcomeKind as Store } from "@bilberrycroft/protocol.store";
import {
    type ClaimedCallResult,
    ClaimedCallResultKind as Result,
    ClaimCoordinator,
    type ClaimOutput,
    ClaimOutputKind as Out,
    ClaimShard,
    maxRecordedBodyBytes,
    maxPendingClaimsPerShard,
    type AttemptOutcome,
    AttemptOutcomeKind as OutcomeKind,
    type ShardRequest,
} from "@bilberrycroft/coordination.idempotency";
import { createKey, MemoryStore } from "./fleet";

const epoch = 1_700_000_000_000;
const key = createKey(epoch, 1);
const otherKey = createKey(epoch, 1, 1_000);
const shardObjectKey = "claims/1";
const unavailable = { kind: Store.Unavailable, reason: "down" } as const;
const lostWrite = { kind: Store.Unknown, reason: "lost" } as const;
const responded = (bytes = 5): ClaimedCallResult => ({
    kind: Result.Responded,
    response: { status: 201, headers: [{ name: "etag", value: "1" }], body: Buffer.alloc(bytes, "b") },
});

/** Runs one claim state machine. Its store requests complete only when the test calls `respond`. */
class Harness {
    readonly requests: ShardRequest[] = [];
    readonly decisions: ClaimOutput[] = [];
    readonly coordinator: ClaimCoordinator;

    constructor(readonly clock = new ManualClock(epoch), readonly store = new MemoryStore(), node = "one") {
        this.coordinator = new ClaimCoordinator({ node, clock, random: createSeededRandom(node.length) });
    }

    collect(outputs: readonly ClaimOutput[]): this {
        for (const output of outputs) {
            const isStoreRequest = output.kind === Out.ReadShard || output.kind === Out.WriteShard;
            (isStoreRequest ? this.requests : this.decisions).push(output as never);
        }
        return this;
    }

    begin(callId: string, callKey: string | undefined = key, fingerprint = "f", timeoutMs = 1_000): this {
        const deadlineAt = this.clock.now() + timeoutMs;
        return this.collect(this.coordinator.begin({ callId, key: callKey, fingerprint, deadlineAt }));
    }

    /** Completes the oldest request, with `outcome` in place of the store's own outcome if it is given. */
    respond(outcome?: typeof unavailable | typeof lostWrite, isApplied = outcome === undefined): this {
        const request = this.requests.shift() as ShardRequest;
        if (request.kind === Out.ReadShard) {
            const read = outcome === undefined ? this.store.read(request.key) : unavailable;
            return this.collect(this.coordinator.handleReadCompletion({ request: request.request, outcome: read }));
        }
        const written = isApplied ? this.store.write(request) : unavailable;
        return this.collect(
            this.coordinator.handleWriteCompletion({ request: request.request, outcome: outcome ?? written }),
        );
    }

    wait(ms: number): this {
        this.clock.advance(ms);
        return this.collect(this.coordinator.tick());
    }

    /** Completes all requests until the node is idle. */
    settle(): this {
        for (let round = 0; round < 8; round++) {
            while (this.requests.length > 0) {
                this.respond();
            }
            this.wait(50);
        }
        return this;
    }

    /** Completes the call that received the latest decision `Proceed`. */
    finish(result: ClaimedCallResult = responded()): this {
        const proceed = this.decisions.findLast(decision => decision.kind === Out.Proceed);
        return this.collect(
            this.coordinator.handleCallCompletion({ attempt: (proceed as { attempt: string }).attempt, result }),
        );
    }

    requestKinds(): readonly string[] {
        return this.requests.map(request => request.kind);
    }

    lastDecision(): ClaimOutput | undefined {
        return this.decisions.at(-1);
    }

    storedShard(): ClaimShard {
        const value = this.store.objects.get(shardObjectKey)?.value;
        return value === undefined ? ClaimShard.empty : ClaimShard.parse(value) as ClaimShard;
    }
}

const refused = (reason: CallReason, outcome: CallOutcome) => ({ kind: Out.Refuse, reason, outcome });
const refusedAsNotRun = (reason: CallReason) => refused(reason, CallOutcome.NotRun);
const refusedAsUnknown = (reason: CallReason) => refused(reason, CallOutcome.Unknown);

describe("claim coordinator", () => {
    describe("keys", () => {
        it.each([
            ["absent", undefined, refusedAsNotRun(CallReason.IdempotencyKeyMissing)],
            ["not a UUID", "7", refusedAsNotRun(CallReason.BadRequest)],
            ["another version", "9f1b2c3d-0000-4000-8000-000000000000", refusedAsNotRun(CallReason.BadRequest)],
            ["too old", createKey(epoch - 600_001, 1), refusedAsUnknown(CallReason.IdempotencyKeyExpired)],
            ["too new", createKey(epoch + 300_001, 1), refusedAsUnknown(CallReason.IdempotencyKeyExpired)],
        ])("%s: is refused without a request to the store", (_name, header, expected) => {
            const node = new Harness();
            node.collect(node.coordinator.begin({ callId: "a", key: header, fingerprint: "f", deadlineAt: 1_000 }));
            expect([node.lastDecision(), node.requests]).toMatchObject([expected, []]);
        });

        it("treats a key in upper case as the same key, so that its call does not run twice", () => {
            const node = new Harness().begin("a").settle().finish().settle().begin("b", key.toUpperCase()).settle();
            expect(node.lastDecision()?.kind).toBe(Out.Replay);
        });
    });

    describe("group commit", () => {
        it("has at most one request in flight, however long it takes", () => {
            const node = new Harness().begin("a").respond().begin("b", otherKey);
            expect(node.wait(500).requestKinds()).toEqual([Out.WriteShard]);
        });

        it("batches claims that arrive during a write into the next write, and is inactive when idle", () => {
            const node = new Harness().begin("a").respond().begin("b", otherKey).begin("c", createKey(epoch, 1, 2_000));
            expect(node.requestKinds()).toEqual([Out.WriteShard]);
            node.respond();
            expect([node.requestKinds(), node.decisions.length]).toEqual([[], 1]);
            expect(node.wait(49).requestKinds()).toEqual([]);
            expect(node.wait(1).requestKinds()).toEqual([Out.WriteShard]);
            node.respond();
            expect(node.decisions.length).toBe(3);
            expect([node.wait(60_000).requestKinds(), node.coordinator.nextTickAt()]).toEqual([[], undefined]);
        });

        it("writes an idle shard immediately, without reading it first", () => {
            const node = new Harness().begin("a").settle().begin("b", otherKey);
            expect(node.requestKinds()).toEqual([Out.WriteShard]);
            expect(node.respond().lastDecision()?.kind).toBe(Out.Proceed);
        });

        it("backs off after a conflict, then reads and merges", () => {
            const one = new Harness();
            const two = new Harness(one.clock, one.store, "second");
            one.begin("a").respond();
            two.begin("b", otherKey).settle();
            expect(one.respond().requestKinds()).toEqual([]);
            one.settle();
            expect(one.lastDecision()?.kind).toBe(Out.Proceed);
            expect(one.storedShard().claims().map(claim => claim.key)).toEqual([otherKey, key]);
        });

        it("refuses calls immediately when too many wait for a shard, which bounds memory use", () => {
            const node = new Harness();
            for (let call = 0; call <= maxPendingClaimsPerShard; call++) {
                node.begin(`${call}`, createKey(epoch, 1, call * 1_000));
            }
            expect(node.decisions).toMatchObject([refusedAsNotRun(CallReason.Overloaded)]);
        });

        it("ignores a completion that belongs to no request in flight", () => {
            const node = new Harness().begin("a").respond();
            node.collect(
                node.coordinator.handleWriteCompletion({ request: 77, outcome: { kind: Store.Done, revision: "x" } }),
            );
            node.collect(
                node.coordinator.handleReadCompletion({
                    request: node.requests[0]?.request ?? 0,
                    outcome: unavailable,
                }),
            );
            expect(node.decisions).toEqual([]);
            expect(node.respond().lastDecision()?.kind).toBe(Out.Proceed);
        });
    });

    describe("lost store responses", () => {
        it("finds its own attempt by reading the shard again, and proceeds without a second write", () => {
            const node = new Harness().begin("a").respond().respond(lostWrite, true).wait(50);
            expect(node.requestKinds()).toEqual([Out.ReadShard]);
            expect([node.respond().lastDecision()?.kind, node.requestKinds()]).toEqual([Out.Proceed, []]);
        });

        it("writes again if it does not find its attempt", () => {
            const node = new Harness().begin("a").respond().respond(lostWrite, false).wait(50).respond();
            expect([node.requestKinds(), node.decisions]).toEqual([[Out.WriteShard], []]);
            expect(node.respond().lastDecision()?.kind).toBe(Out.Proceed);
        });

        it("refuses when it cannot read the shard again, and releases the claim that the lost write committed", () => {
            const node = new Harness().begin("a").respond().respond(lostWrite, true).wait(50).respond(unavailable);
            expect(node.lastDecision()).toMatchObject(refusedAsNotRun(CallReason.ClaimUnavailable));
            expect(node.storedShard().claims()).toHaveLength(1);
            expect(node.wait(100).settle().storedShard().claims()).toEqual([]);
        });
    });

    describe("store down", () => {
        it("refuses immediately after a failed read, and does not read again for each call", () => {
            const node = new Harness().begin("a").respond(unavailable).begin("b");
            expect(node.decisions).toMatchObject([1, 2].map(() => refusedAsNotRun(CallReason.ClaimUnavailable)));
            expect(node.requestKinds()).toEqual([]);
            expect(node.wait(50).begin("c").respond().respond().lastDecision()?.kind).toBe(Out.Proceed);
        });

        it("retries a failed write until the deadline of the call and then refuses the call", () => {
            const node = new Harness().begin("a", key, "f", 120).respond().respond(unavailable);
            expect(node.decisions).toEqual([]);
            node.wait(60).respond().respond(unavailable).wait(60);
            expect(node.lastDecision()).toMatchObject(refusedAsNotRun(CallReason.DeadlinePassed));
        });

        it("never overwrites an object that is not a shard, whose claims would be lost", () => {
            const node = new Harness();
            node.store.objects.set(shardObjectKey, { revision: "r0", value: "{}" });
            expect(node.begin("a").settle().lastDecision()).toMatchObject(refusedAsNotRun(CallReason.ClaimUnavailable));
            expect(node.store.objects.get(shardObjectKey)?.value).toBe("{}");
        });

        it("keeps the outcome of a call until the store has accepted it", () => {
            const node = new Harness().begin("a").settle().finish().respond(unavailable).wait(50).respond(unavailable);
            expect(node.coordinator.countPendingOutcomes()).toBe(1);
            node.settle();
            expect(node.coordinator.countPendingOutcomes()).toBe(0);
            expect(node.begin("b").settle().lastDecision()?.kind).toBe(Out.Replay);
        });
    });

    describe("deadline", () => {
        it.each([["a tick comes first", true], ["the completion comes first", false]])(
            "passed while the claim was in flight, %s: does not send the call and releases the claim",
            (_name, tick) => {
                const node = new Harness().begin("a").respond();
                node.clock.advance(1_000);
                node.collect(tick ? node.coordinator.tick() : []).respond();
                expect(node.decisions).toMatchObject([refusedAsNotRun(CallReason.DeadlinePassed)]);
                expect(node.storedShard().claims()).toHaveLength(1);
                expect(node.settle().storedShard().claims()).toEqual([]);
            },
        );

        it("withdraws the claim when the caller disconnects", () => {
            const node = new Harness().begin("a").respond();
            node.collect(node.coordinator.abandonCall("a")).settle();
            expect([node.decisions, node.storedShard().claims()]).toEqual([[], []]);
        });

        it("does not write a claim whose call has been discarded", () => {
            const node = new Harness().begin("a").settle().begin("b", otherKey, "f", 20).respond(lostWrite, false);
            expect(node.wait(20).settle().lastDecision()).toMatchObject(refusedAsNotRun(CallReason.DeadlinePassed));
            expect(node.storedShard().find(otherKey)).toBeUndefined();
        });
    });

    describe("resend", () => {
        it.each([
            ["recorded response", responded(), "f", { kind: Out.Replay, response: { status: 201 } }],
            ["large response", responded(maxRecordedBodyBytes + 1), "f", refusedAsUnknown(CallReason.AnswerLost)],
            ["lost response", { kind: Result.ResponseLost }, "f", refusedAsUnknown(CallReason.AnswerLost)],
            ["proved not run", { kind: Result.NotRun }, "f", { kind: Out.Proceed }],
            ["another call", responded(), "g", refusedAsNotRun(CallReason.IdempotencyKeyMismatch)],
        ] as const)("%s: gets the same decision before and after the record is stored, on any node", (...table) => {
            const [, result, fingerprint, expected] = table;
            const node = new Harness().begin("a").settle().finish(result);
            expect(node.begin("early", key, fingerprint).settle().lastDecision()).toMatchObject(expected);
            const { clock, store } = node;
            const later = new Harness(clock, store).begin("a", otherKey).settle().finish(result).settle();
            expect(later.begin("late", otherKey, fingerprint).settle().lastDecision()).toMatchObject(expected);
            const second = new Harness(clock, store, "second").begin("else", key, fingerprint).settle();
            const claimed = result.kind === Result.NotRun;
            expect(second.lastDecision()).toMatchObject(claimed ? { kind: Out.AskOwner } : expected);
        });

        it("waits for a call of the same node under the same key and gets its response", () => {
            const node = new Harness().begin("a").begin("b").begin("c", key, "other").settle();
            expect(node.decisions.map(decision => decision.kind)).toEqual([Out.Refuse, Out.Proceed]);
            expect(node.finish().lastDecision()).toMatchObject({ kind: Out.Replay, callId: "b" });
        });

        it("claims the key itself when the call it waited for was proved not run or refused", () => {
            const node = new Harness().begin("a", key, "f", 30).begin("b").wait(30).settle();
            expect(node.lastDecision()).toMatchObject({ kind: Out.Proceed, callId: "b" });
            expect(node.begin("c").finish({ kind: Result.NotRun }).settle().lastDecision()).toMatchObject({ callId: "c" });
        });

        it("is not refused because of a claim that another node has released since the shard was read", () => {
            const one = new Harness();
            const two = new Harness(one.clock, one.store, "second");
            one.begin("a").settle();
            two.begin("x", otherKey).settle();
            one.finish({ kind: Result.NotRun }).settle();
            expect(two.begin("b").settle().lastDecision()).toMatchObject({ kind: Out.Proceed, callId: "b" });
        });
    });

    describe("claim of another node", () => {
        const createOwnerQuery = () => {
            const one = new Harness().begin("a").settle();
            const two = new Harness(one.clock, one.store, "second").begin("b").settle();
            const { attempt } = two.lastDecision() as Extract<ClaimOutput, { kind: Out.AskOwner }>;
            const reply = (outcome: AttemptOutcome | undefined, about = attempt) =>
                two.collect(two.coordinator.handleOwnerReply({ callId: "b", attempt: about, outcome }));
            return { one, two, attempt, reply };
        };

        it.each([
            ["dead", undefined, refusedAsUnknown(CallReason.ClaimedElsewhere)],
            ["another process at its address", { kind: OutcomeKind.NotOwned }, refusedAsUnknown(CallReason.ClaimedElsewhere)],
            ["response lost", { kind: OutcomeKind.RanNotKept }, refusedAsUnknown(CallReason.AnswerLost)],
            ["proved not run", { kind: OutcomeKind.NotRun }, { kind: Out.Proceed }],
        ] as const)("%s: decides by the reply of the owner", (_name, outcome, expected) => {
            const { two, reply } = createOwnerQuery();
            reply(outcome);
            expect(two.settle().lastDecision()).toMatchObject(expected);
        });

        it("polls the owner while its call runs, and replays the owner's response", () => {
            const { one, two, attempt, reply } = createOwnerQuery();
            reply(one.coordinator.getAttemptOutcome({ key, attempt }));
            expect([two.wait(99).decisions.length, two.wait(1).decisions.length]).toEqual([1, 2]);
            one.finish();
            reply(one.coordinator.getAttemptOutcome({ key, attempt }));
            expect(two.lastDecision()).toMatchObject({ kind: Out.Replay, response: { status: 201 } });
        });

        it("ignores a reply about another attempt, which would refuse a call whose owner can still respond", () => {
            const { two, reply } = createOwnerQuery();
            reply(undefined, "earlier");
            expect(two.settle().lastDecision()?.kind).toBe(Out.AskOwner);
        });

        it("refuses with an unknown outcome at the deadline, as the owner may have run the call", () => {
            const { two } = createOwnerQuery();
            expect(two.wait(1_000).lastDecision()).toMatchObject(refusedAsUnknown(CallReason.ClaimedElsewhere));
        });
    });
});
