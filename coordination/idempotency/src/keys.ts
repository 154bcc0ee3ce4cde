/**
 * Idempotency keys: UUIDs version 7, whose timestamp bounds the age of a key.
 */
import { createHash } from "node:crypto";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { parse, validate, version } from "uuid";

/** Number of shards that claims are spread over. */
export const claimShards = 64;
/** Older keys are refused: their entry may have been pruned. */
export const maxKeyAgeMs: Milliseconds = 10 * 60_000;
/** Entries are kept longer than keys are accepted, so that a small clock difference does not lose a record. */
export const keptKeyAgeMs: Milliseconds = 12 * 60_000;
/** Keys further in the future are refused: their entry would stay in the store for as long. */
export const maxKeyAheadMs: Milliseconds = 5 * 60_000;

const timestampBytes = 6;
const keyVersion = 7;

/** A valid idempotency key. */
export interface IdempotencyKey {
    /** Lower case: a UUID is the same key in either case. */
    readonly text: string;
    /** Milliseconds since the epoch at which the caller created the key, by its own clock. */
    readonly createdAt: Milliseconds;
    /** Shard that holds the key's claim. */
    readonly shard: number;
}

/** Parses the `idempotency-key` header; `undefined` if it is not a UUID version 7. */
export function parseIdempotencyKey(header: string): IdempotencyKey | undefined {
    const text = header.trim().toLowerCase();
    if (!validate(text) || version(text) !== keyVersion) {
        return undefined;
    }
    return { text, createdAt: timestampOfKey(text), shard: shardOfKey(text) };
}

/** Reads the timestamp of a valid key. */
export function timestampOfKey(key: string): Milliseconds {
    return Buffer.from(parse(key)).readUIntBE(0, timestampBytes);
}

/** Chooses the shard by a hash: the random bits of a key come from the caller and need not be spread evenly. */
export function shardOfKey(key: string): number {
    return createHash("sha256").update(key).digest().readUInt32BE(0) % claimShards;
}
