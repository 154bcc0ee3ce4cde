import { describe, expect, it } from "vitest";
import { ManualClock } from "@bilberrycroft/core.clock";
import { createSeededRandom } from "@bilberrycroft/core.random";
import { CallOutcome, CallReason } from "@bilberrycroft/protocol.calls";
import { StoreOutcomeKind as Store } from "@bilberrycroft/protocol.store";
import {
    type ClaimedCallResult,
    ClaimedCallResultKind as Result,
    ClaimKeeper,
    type ClaimOutput,
    ClaimOutputKind as Out,
    ClaimShard,
    maxKeptBodyBytes,
    maxWaitingClaimsOfShard,
    type OwnedOutcome,
    OwnedOutcomeKind as Owned,
    type ShardRequest,
} from "@bilberrycroft/coordination.idempotency";
import { createKey, MemoryStore } from "./fleet";

const epoch = 1_700_000_000_000;
const key = createKey(epoch, 1);
const otherKey = createKey(epoch, 1, 1_000);
const shardObject = "claims/1";
const unavailable = { kind: Store.Unavailable, reason: "down" } as const;
const lostWrite = { kind: Store.Unknown, reason: "lost" } as const;
const responded = (bytes = 5): ClaimedCallResult => ({
    kind: Result.Responded,
    response: { status: 201, headers: [{ name: "etag", value: "1" }], body: Buffer.alloc(bytes, "b") },
});

/** One keeper whose requests to the store are answered when a test says so. */
class Host {
    readonly requests: ShardRequest[] = [];
    readonly decisions: ClaimOutput[] = [];
    readonly keeper: ClaimKeeper;

    constructor(readonly clock = new ManualClock(epoch), readonly store = new MemoryStore(), node = "one") {
        this.keeper = new ClaimKeeper({ node, clock, random: createSeededRandom(node.length) });
    }

    take(outputs: readonly ClaimOutput[]): this {
        for (const output of outputs) {
            const request = output.kind === Out.ReadShard || output.kind === Out.WriteShard;
            (request ? this.requests : this.decisions).push(output as never);
        }
        return this;
    }

    begin(callId: string, callKey: string | undefined = key, fingerprint = "f", timeout = 1_000): this {
        const deadlineAt = this.clock.now() + timeout;
        return this.take(this.keeper.begin({ callId, key: callKey, fingerprint, deadlineAt }));
    }

    /** Answers the oldest request; `outcome` replaces the store's. */
    answer(outcome?: typeof unavailable | typeof lostWrite, applied = outcome === undefined): this {
        const request = this.requests.shift() as ShardRequest;
        if (request.kind === Out.ReadShard) {
            const read = outcome === undefined ? this.store.read(request.key) : unavailable;
            return this.take(this.keeper.readCompleted({ request: request.request, outcome: read }));
        }
        const written = applied ? this.store.write(request) : unavailable;
        return this.take(this.keeper.writeCompleted({ request: request.request, outcome: outcome ?? written }));
    }

    wait(ms: number): this {
        this.clock.advance(ms);
        return this.take(this.keeper.tick());
    }

    /** Answers everything until the node is idle. */
    settle(): this {
        for (let round = 0; round < 8; round++) {
            while (this.requests.length > 0) {
                this.answer();
            }
            this.wait(50);
        }
        return this;
    }

    /** Ends the call that was told to proceed last. */
    finish(result: ClaimedCallResult = responded()): this {
        const proceed = this.decisions.findLast(decision => decision.kind === Out.Proceed);
        return this.take(this.keeper.finished({ attempt: (proceed as { attempt: string }).attempt, result }));
    }

    kinds(): readonly string[] {
        return this.requests.map(request => request.kind);
    }

    last(): ClaimOutput | undefined {
        return this.decisions.at(-1);
    }

    stored(): ClaimShard {
        const value = this.store.objects.get(shardObject)?.value;
        return value === undefined ? ClaimShard.empty : ClaimShard.parse(value) as ClaimShard;
    }
}

const refused = (reason: CallReason, outcome: CallOutcome) => ({ kind: Out.Refuse, reason, outcome });
const notRun = (reason: CallReason) => refused(reason, CallOutcome.NotRun);
const unknown = (reason: CallReason) => refused(reason, CallOutcome.Unknown);

describe("claim keeper", () => {
    describe("keys", () => {
        it.each([
            ["absent", undefined, notRun(CallReason.IdempotencyKeyMissing)],
            ["not a UUID", "7", notRun(CallReason.BadRequest)],
            ["another version", "9f1b2c3d-0000-4000-8000-000000000000", notRun(CallReason.BadRequest)],
            ["too old", createKey(epoch - 600_001, 1), unknown(CallReason.IdempotencyKeyExpired)],
            ["too new", createKey(epoch + 300_001, 1), unknown(CallReason.IdempotencyKeyExpired)],
        ])("%s: is refused without a request to the store", (_name, header, expected) => {
            const host = new Host();
            host.take(host.keeper.begin({ callId: "a", key: header, fingerprint: "f", deadlineAt: 1_000 }));
            expect([host.last(), host.requests]).toMatchObject([expected, []]);
        });

        it("is the same key in upper case, which would otherwise run twice", () => {
            const host = new Host().begin("a").settle().finish().settle().begin("b", key.toUpperCase()).settle();
            expect(host.last()?.kind).toBe(Out.Replay);
        });
    });

    describe("group commit", () => {
        it("has one request in flight, however long it takes", () => {
            const host = new Host().begin("a").answer().begin("b", otherKey);
            expect(host.wait(500).kinds()).toEqual([Out.WriteShard]);
        });

        it("puts what arrives meanwhile into one write, and rests when idle", () => {
            const host = new Host().begin("a").answer().begin("b", otherKey).begin("c", createKey(epoch, 1, 2_000));
            expect(host.kinds()).toEqual([Out.WriteShard]);
            host.answer();
            expect([host.kinds(), host.decisions.length]).toEqual([[], 1]);
            expect(host.wait(49).kinds()).toEqual([]);
            expect(host.wait(1).kinds()).toEqual([Out.WriteShard]);
            host.answer();
            expect(host.decisions.length).toBe(3);
            expect([host.wait(60_000).kinds(), host.keeper.nextTickAt()]).toEqual([[], undefined]);
        });

        it("writes an idle shard without reading it, at once", () => {
            const host = new Host().begin("a").settle().begin("b", otherKey);
            expect(host.kinds()).toEqual([Out.WriteShard]);
            expect(host.answer().last()?.kind).toBe(Out.Proceed);
        });

        it("reads and merges after a conflict, and waits before it does", () => {
            const one = new Host();
            const two = new Host(one.clock, one.store, "second");
            one.begin("a").answer();
            two.begin("b", otherKey).settle();
            expect(one.answer().kinds()).toEqual([]);
            one.settle();
            expect(one.last()?.kind).toBe(Out.Proceed);
            expect(one.stored().claims().map(claim => claim.key)).toEqual([otherKey, key]);
        });

        it("refuses calls at once when too many wait for a shard, which bounds its memory", () => {
            const host = new Host();
            for (let call = 0; call <= maxWaitingClaimsOfShard; call++) {
                host.begin(`${call}`, createKey(epoch, 1, call * 1_000));
            }
            expect(host.decisions).toMatchObject([notRun(CallReason.Overloaded)]);
        });

        it("ignores a completion that belongs to no request in flight", () => {
            const host = new Host().begin("a").answer();
            host.take(host.keeper.writeCompleted({ request: 77, outcome: { kind: Store.Done, revision: "x" } }));
            host.take(host.keeper.readCompleted({ request: host.requests[0]?.request ?? 0, outcome: unavailable }));
            expect(host.decisions).toEqual([]);
            expect(host.answer().last()?.kind).toBe(Out.Proceed);
        });
    });

    describe("lost answers of the store", () => {
        it("finds its own attempt by reading back, and proceeds without a second write", () => {
            const host = new Host().begin("a").answer().answer(lostWrite, true).wait(50);
            expect(host.kinds()).toEqual([Out.ReadShard]);
            expect([host.answer().last()?.kind, host.kinds()]).toEqual([Out.Proceed, []]);
        });

        it("writes again if it does not find its attempt", () => {
            const host = new Host().begin("a").answer().answer(lostWrite, false).wait(50).answer();
            expect([host.kinds(), host.decisions]).toEqual([[Out.WriteShard], []]);
            expect(host.answer().last()?.kind).toBe(Out.Proceed);
        });

        it("refuses when it cannot read back, and releases the claim that the lost write left", () => {
            const host = new Host().begin("a").answer().answer(lostWrite, true).wait(50).answer(unavailable);
            expect(host.last()).toMatchObject(notRun(CallReason.ClaimUnavailable));
            expect(host.stored().claims()).toHaveLength(1);
            expect(host.wait(100).settle().stored().claims()).toEqual([]);
        });
    });

    describe("store down", () => {
        it("refuses at once when a read failed, and does not ask again for each call", () => {
            const host = new Host().begin("a").answer(unavailable).begin("b");
            expect(host.decisions).toMatchObject([1, 2].map(() => notRun(CallReason.ClaimUnavailable)));
            expect(host.kinds()).toEqual([]);
            expect(host.wait(50).begin("c").answer().answer().last()?.kind).toBe(Out.Proceed);
        });

        it("retries a refused write until the deadline of the call and then refuses it", () => {
            const host = new Host().begin("a", key, "f", 120).answer().answer(unavailable);
            expect(host.decisions).toEqual([]);
            host.wait(60).answer().answer(unavailable).wait(60);
            expect(host.last()).toMatchObject(notRun(CallReason.DeadlinePassed));
        });

        it("never overwrites an object that is not a shard, whose claims would be lost", () => {
            const host = new Host();
            host.store.objects.set(shardObject, { revision: "r0", value: "{}" });
            expect(host.begin("a").settle().last()).toMatchObject(notRun(CallReason.ClaimUnavailable));
            expect(host.store.objects.get(shardObject)?.value).toBe("{}");
        });

        it("keeps the outcome of a call until the store takes it", () => {
            const host = new Host().begin("a").settle().finish().answer(unavailable).wait(50).answer(unavailable);
            expect(host.keeper.unsettledOutcomes()).toBe(1);
            host.settle();
            expect(host.keeper.unsettledOutcomes()).toBe(0);
            expect(host.begin("b").settle().last()?.kind).toBe(Out.Replay);
        });
    });

    describe("deadline", () => {
        it.each([["a tick comes first", true], ["the completion comes first", false]])(
            "passed while the claim was in flight, %s: does not send the call and releases the claim",
            (_name, tick) => {
                const host = new Host().begin("a").answer();
                host.clock.advance(1_000);
                host.take(tick ? host.keeper.tick() : []).answer();
                expect(host.decisions).toMatchObject([notRun(CallReason.DeadlinePassed)]);
                expect(host.stored().claims()).toHaveLength(1);
                expect(host.settle().stored().claims()).toEqual([]);
            },
        );

        it("withdraws the claim of a caller that left", () => {
            const host = new Host().begin("a").answer();
            host.take(host.keeper.callAbandoned("a")).settle();
            expect([host.decisions, host.stored().claims()]).toEqual([[], []]);
        });

        it("does not write a claim that has been given up", () => {
            const host = new Host().begin("a").settle().begin("b", otherKey, "f", 20).answer(lostWrite, false);
            expect(host.wait(20).settle().last()).toMatchObject(notRun(CallReason.DeadlinePassed));
            expect(host.stored().find(otherKey)).toBeUndefined();
        });
    });

    describe("resend", () => {
        it.each([
            ["kept response", responded(), "f", { kind: Out.Replay, response: { status: 201 } }],
            ["large response", responded(maxKeptBodyBytes + 1), "f", unknown(CallReason.AnswerLost)],
            ["lost response", { kind: Result.ResponseLost }, "f", unknown(CallReason.AnswerLost)],
            ["proved not run", { kind: Result.NotRun }, "f", { kind: Out.Proceed }],
            ["another call", responded(), "g", notRun(CallReason.IdempotencyKeyMismatch)],
        ] as const)("%s: is decided alike before and after the record is stored, here and elsewhere", (...table) => {
            const [, result, fingerprint, expected] = table;
            const host = new Host().begin("a").settle().finish(result);
            expect(host.begin("early", key, fingerprint).settle().last()).toMatchObject(expected);
            const { clock, store } = host;
            const later = new Host(clock, store).begin("a", otherKey).settle().finish(result).settle();
            expect(later.begin("late", otherKey, fingerprint).settle().last()).toMatchObject(expected);
            const second = new Host(clock, store, "second").begin("else", key, fingerprint).settle();
            const claimed = result.kind === Result.NotRun;
            expect(second.last()).toMatchObject(claimed ? { kind: Out.AskOwner } : expected);
        });

        it("waits for a call of the same node under the same key and gets its response", () => {
            const host = new Host().begin("a").begin("b").begin("c", key, "other").settle();
            expect(host.decisions.map(decision => decision.kind)).toEqual([Out.Refuse, Out.Proceed]);
            expect(host.finish().last()).toMatchObject({ kind: Out.Replay, callId: "b" });
        });

        it("claims in its turn when the call it waited for was proved not run or refused", () => {
            const host = new Host().begin("a", key, "f", 30).begin("b").wait(30).settle();
            expect(host.last()).toMatchObject({ kind: Out.Proceed, callId: "b" });
            expect(host.begin("c").finish({ kind: Result.NotRun }).settle().last()).toMatchObject({ callId: "c" });
        });

        it("is not turned away by a claim that another node has released since the shard was seen", () => {
            const one = new Host();
            const two = new Host(one.clock, one.store, "second");
            one.begin("a").settle();
            two.begin("x", otherKey).settle();
            one.finish({ kind: Result.NotRun }).settle();
            expect(two.begin("b").settle().last()).toMatchObject({ kind: Out.Proceed, callId: "b" });
        });
    });

    describe("claim of another node", () => {
        const ask = () => {
            const one = new Host().begin("a").settle();
            const two = new Host(one.clock, one.store, "second").begin("b").settle();
            const { attempt } = two.last() as Extract<ClaimOutput, { kind: Out.AskOwner }>;
            const reply = (outcome: OwnedOutcome | undefined, about = attempt) =>
                two.take(two.keeper.ownerReplied({ callId: "b", attempt: about, outcome }));
            return { one, two, attempt, reply };
        };

        it.each([
            ["dead", undefined, unknown(CallReason.ClaimedElsewhere)],
            ["a stranger at its address", { kind: Owned.NotOwned }, unknown(CallReason.ClaimedElsewhere)],
            ["response lost", { kind: Owned.RanNotKept }, unknown(CallReason.AnswerLost)],
            ["proved not run", { kind: Owned.NotRun }, { kind: Out.Proceed }],
        ] as const)("%s: decides by the reply of the owner", (_name, outcome, expected) => {
            const { two, reply } = ask();
            reply(outcome);
            expect(two.settle().last()).toMatchObject(expected);
        });

        it("asks again while the call runs, and replays the owner's response", () => {
            const { one, two, attempt, reply } = ask();
            reply(one.keeper.ownedOutcome({ key, attempt }));
            expect([two.wait(99).decisions.length, two.wait(1).decisions.length]).toEqual([1, 2]);
            one.finish();
            reply(one.keeper.ownedOutcome({ key, attempt }));
            expect(two.last()).toMatchObject({ kind: Out.Replay, response: { status: 201 } });
        });

        it("ignores a reply on another attempt, which would refuse a call whose owner can still respond", () => {
            const { two, reply } = ask();
            reply(undefined, "earlier");
            expect(two.settle().last()?.kind).toBe(Out.AskOwner);
        });

        it("is unknown at the deadline, as the owner may have run it", () => {
            const { two } = ask();
            expect(two.wait(1_000).last()).toMatchObject(unknown(CallReason.ClaimedElsewhere));
        });
    });
});
