import { describe, expect, it } from "vitest";
import { maxObjectBytes } from "@bilberrycroft/protocol.store";
import {
    type Claim,
    ClaimMergeKind,
    ClaimShard,
    ClaimState,
    keptKeyAgeMs,
    maxBytesWithClaims,
    type ShardOperation,
    ShardOperationKind as Kind,
    shardOfKey,
} from "@bilberrycroft/coordination.idempotency";
import { createKey } from "./fleet";
import { v7 } from "uuid";

const epoch = 1_700_000_000_000;
const claimOf = (key: string, fingerprint = "f"): ShardOperation => {
    const claim: Claim = { key, fingerprint, node: "n", attempt: `a-${key}`, claimedAt: epoch, state: ClaimState.Claimed };
    return { kind: Kind.Claim, claim, supersedes: undefined };
};
const record = (key: string, body = "", attempt = `a-${key}`): ShardOperation =>
    ({ kind: Kind.Record, key, attempt, response: { status: 200, headers: [], body } });
const merge = (shard: ClaimShard, operations: readonly ShardOperation[], age = 0) =>
    shard.merge(operations, epoch + age);

describe("claim shard", () => {
    it("reads what it wrote and refuses any other text, which would lose claims", () => {
        const key = createKey(epoch, 1);
        const { shard } = merge(ClaimShard.empty, [claimOf(key), record(key, "YQ=="), claimOf(createKey(epoch, 1, 999))]);
        expect(ClaimShard.parse(shard.serialize())?.serialize()).toBe(shard.serialize());
        expect(["", "{}", "[]", "{\"prunedThrough\":0,\"claims\":[{}]}"].map(text => ClaimShard.parse(text)))
            .toEqual([undefined, undefined, undefined, undefined]);
    });

    it("prunes by the age of keys, notes the newest one, and then accepts no key that is not newer", () => {
        const [old, kept] = [createKey(epoch, 1), createKey(epoch + 60_000, 1)];
        const full = merge(ClaimShard.empty, [claimOf(old), claimOf(kept)]).shard;
        const pruned = merge(full, [claimOf(createKey(epoch - 1, 1)), claimOf(old)], keptKeyAgeMs + 1);
        expect(pruned.shard.claims().map(claim => claim.key)).toEqual([kept]);
        expect(pruned.shard.prunedThrough).toBe(epoch);
        expect(pruned.claims.map(claim => claim.kind)).toEqual([ClaimMergeKind.Pruned, ClaimMergeKind.Pruned]);
        expect(pruned.changed).toBe(false);
    });

    it("records only for the attempt that holds the key, and never changes a record", () => {
        const key = createKey(epoch, 1);
        const { shard } = merge(ClaimShard.empty, [claimOf(key)]);
        expect(merge(shard, [record(key, "", "other")]).changed).toBe(false);
        const recorded = merge(shard, [record(key, "YQ==")]).shard;
        expect(merge(recorded, [record(key), { kind: Kind.Release, key, attempt: `a-${key}` }]).changed).toBe(false);
    });

    it("refuses claims when full and drops responses before it exceeds what the store takes", () => {
        const keys = Array.from({ length: 4_500 }, (_unused, seq) => v7({ msecs: epoch, seq }));
        const claimed = merge(ClaimShard.empty, keys.map(key => claimOf(key, "f".repeat(64))));
        expect(claimed.shard.serialize().length).toBeLessThanOrEqual(maxBytesWithClaims + 100);
        expect(claimed.claims.at(-1)?.kind).toBe(ClaimMergeKind.Full);
        const { shard } = merge(claimed.shard, keys.map(key => record(key, "b".repeat(5_000))));
        const states = shard.claims().map(claim => claim.state);
        expect(new Set(states)).toEqual(new Set([ClaimState.Ran, ClaimState.RanNotKept]));
        expect(shard.serialize().length).toBeLessThanOrEqual(maxObjectBytes);
    });

    it("spreads keys of one caller over all shards, which would otherwise wait for one object", () => {
        const shards = Array.from({ length: 2_000 }, (_unused, seq) => shardOfKey(v7({ msecs: epoch, seq })));
        expect(new Set(shards).size).toBe(64);
    });
});
