import { describe, expect, it } from "vitest";
import { maxObjectBytes } from "@bilberrycroft/protocol.store";
import {
    type Claim,
    ClaimMergeKind,
    ClaimShard,
    ClaimState,
    entryRetentionMs,
    maxShardBytesForClaims,
    type ShardOperation,
    ShardOperationKind as Kind,
    shardOfKey,
} from "@bilberrycroft/coordination.idempotency";
import { createKey } from "./fleet";
import { v7 } from "uuid";

const epoch = 1_700_000_000_000;
const createClaim = (key: string, fingerprint = "f"): ShardOperation => {
    const claim: Claim = { key, fingerprint, node: "n", attempt: `a-${key}`, claimedAt: epoch, state: ClaimState.Claimed };
    return { kind: Kind.Claim, claim, supersededAttempt: undefined };
};
const createRecord = (key: string, body = "", attempt = `a-${key}`): ShardOperation =>
    ({ kind: Kind.Record, key, attempt, response: { status: 200, headers: [], body } });
const merge = (shard: ClaimShard, operations: readonly ShardOperation[], age = 0) =>
    shard.merge(operations, epoch + age);

describe("claim shard", () => {
    it("parses its own serialization and rejects any other text, which would otherwise lose claims", () => {
        const key = createKey(epoch, 1);
        const { shard } = merge(ClaimShard.empty, [createClaim(key), createRecord(key, "YQ=="), createClaim(createKey(epoch, 1, 999))]);
        expect(ClaimShard.parse(shard.serialize())?.serialize()).toBe(shard.serialize());
        expect(["", "{}", "[]", "{\"prunedThrough\":0,\"claims\":[{}]}"].map(text => ClaimShard.parse(text)))
            .toEqual([undefined, undefined, undefined, undefined]);
    });

    it("prunes by key age, records the newest pruned timestamp and rejects keys that are not newer", () => {
        const [old, kept] = [createKey(epoch, 1), createKey(epoch + 60_000, 1)];
        const full = merge(ClaimShard.empty, [createClaim(old), createClaim(kept)]).shard;
        const pruned = merge(full, [createClaim(createKey(epoch - 1, 1)), createClaim(old)], entryRetentionMs + 1);
        expect(pruned.shard.claims().map(claim => claim.key)).toEqual([kept]);
        expect(pruned.shard.prunedThrough).toBe(epoch);
        expect(pruned.claims.map(claim => claim.kind)).toEqual([ClaimMergeKind.Pruned, ClaimMergeKind.Pruned]);
        expect(pruned.changed).toBe(false);
    });

    it("records an outcome only for the attempt that holds the key, and never changes a recorded outcome", () => {
        const key = createKey(epoch, 1);
        const { shard } = merge(ClaimShard.empty, [createClaim(key)]);
        expect(merge(shard, [createRecord(key, "", "other")]).changed).toBe(false);
        const recorded = merge(shard, [createRecord(key, "YQ==")]).shard;
        expect(merge(recorded, [createRecord(key), { kind: Kind.Release, key, attempt: `a-${key}` }]).changed).toBe(false);
    });

    it("refuses claims when full and discards responses before it exceeds the store's object size limit", () => {
        const keys = Array.from({ length: 4_500 }, (_unused, seq) => v7({ msecs: epoch, seq }));
        const claimed = merge(ClaimShard.empty, keys.map(key => createClaim(key, "f".repeat(64))));
        expect(claimed.shard.serialize().length).toBeLessThanOrEqual(maxShardBytesForClaims + 100);
        expect(claimed.claims.at(-1)?.kind).toBe(ClaimMergeKind.Full);
        const { shard } = merge(claimed.shard, keys.map(key => createRecord(key, "b".repeat(5_000))));
        const states = shard.claims().map(claim => claim.state);
        expect(new Set(states)).toEqual(new Set([ClaimState.Ran, ClaimState.RanNotKept]));
        expect(shard.serialize().length).toBeLessThanOrEqual(maxObjectBytes);
    });

    it("distributes the keys of one caller over all shards, so that they do not wait for one object", () => {
        const shards = Array.from({ length: 2_000 }, (_unused, seq) => shardOfKey(v7({ msecs: epoch, seq })));
        expect(new Set(shards).size).toBe(64);
    });
});
