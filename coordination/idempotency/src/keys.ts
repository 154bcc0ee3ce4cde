/**
 * Idempotency keys. A key is a UUID version 7; its timestamp gives the age of the key.
 */
import { createHash } from "node:crypto";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { parse, validate, version } from "uuid";

export const claimShardCount = 64;
/** Older keys are refused because their entry may have been pruned. */
export const maxKeyAgeMs: Milliseconds = 10 * 60_000;
/** Entries are kept longer than keys are accepted, so that a small clock difference does not lose a record. */
export const entryRetentionMs: Milliseconds = 12 * 60_000;
/** Keys further in the future are refused because their entry would stay in the store for that much longer. */
export const maxKeyFutureMs: Milliseconds = 5 * 60_000;

const timestampBytes = 6;
const keyVersion = 7;

export interface IdempotencyKey {
    /** In lower case, because UUIDs are case-insensitive. */
    readonly text: string;
    /** Creation time by the caller's clock, in milliseconds since the epoch. */
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
    return { text, createdAt: getKeyTimestamp(text), shard: shardOfKey(text) };
}

/** Returns the creation time in a valid key, in milliseconds since the epoch. */
export function getKeyTimestamp(key: string): Milliseconds {
    return Buffer.from(parse(key)).readUIntBE(0, timestampBytes);
}

/** Hashes the key, because its random bits come from the caller and may not be uniformly distributed. */
export function shardOfKey(key: string): number {
    return createHash("sha256").update(key).digest().readUInt32BE(0) % claimShardCount;
}
