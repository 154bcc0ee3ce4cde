/**
 * One shard of claims in the form in which it is stored. Shards are immutable: operations produce a new shard, and take
 * effect only when the conditional write of that shard succeeds.
 */
import { parseJson } from "@bilberrycroft/core.json";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { assertNever } from "@bilberrycroft/core.errors";
import { z } from "zod";
import { entryRetentionMs, getKeyTimestamp } from "./keys";
import type { RecordedResponse } from "./response";

/** New claims are refused above this size. The rest of the store's limit of 1 MB is reserved for outcomes of claims. */
export const maxShardBytesForClaims = 900_000;
/** Responses are not recorded above this size; their calls are recorded as having run. */
export const maxShardBytesForResponses = 960_000;

export enum ClaimState {
    /** The call may be sent at any time, or has been sent. */
    Claimed = "claimed",
    /** The call ran and its response is recorded. */
    Ran = "ran",
    /** The call ran or may have run, and no response is recorded. */
    RanNotKept = "ran-not-kept",
}

/** A claim on an idempotency key. */
export interface Claim {
    readonly key: string;
    /** Digest of the call. A different call with the same key has a different fingerprint. */
    readonly fingerprint: string;
    /** Node that claimed the key. */
    readonly node: string;
    /** Identifier that is unique among all claims of all nodes. */
    readonly attempt: string;
    /** Wall-clock time of the claiming node, for operators only. */
    readonly claimedAt: Milliseconds;
    readonly state: ClaimState;
    /** Present only in state `Ran`. */
    readonly response?: RecordedResponse | undefined;
}

export enum ShardOperationKind {
    Claim = "claim",
    Record = "record",
    Release = "release",
}

/** Adds a claim. */
export interface ClaimOperation {
    readonly kind: ShardOperationKind.Claim;
    readonly claim: Claim;
    /** Attempt to replace: its node has confirmed that it did not run and never will. */
    readonly supersededAttempt: string | undefined;
}

export type ShardOperation =
    | ClaimOperation
    | {
        readonly kind: ShardOperationKind.Record;
        readonly key: string;
        readonly attempt: string;
        /** `undefined` if the response is not recorded. */
        readonly response: RecordedResponse | undefined;
    }
    | { readonly kind: ShardOperationKind.Release; readonly key: string; readonly attempt: string };

export enum ClaimMergeKind {
    /** Added; takes effect when the shard is written. */
    Added = "added",
    /** The shard already contains this attempt because an earlier write took effect. */
    Present = "present",
    /** Another attempt holds the key. */
    Held = "held",
    /** An earlier entry of the key may have been pruned. */
    Pruned = "pruned",
    /** The shard has reached its size limit for claims. */
    Full = "full",
}

/** Result of merging one claim operation. */
export type ClaimMerge =
    | { readonly kind: ClaimMergeKind.Added; readonly attempt: string }
    | { readonly kind: ClaimMergeKind.Present; readonly attempt: string }
    | { readonly kind: ClaimMergeKind.Held; readonly attempt: string; readonly holder: Claim }
    | { readonly kind: ClaimMergeKind.Pruned; readonly attempt: string }
    | { readonly kind: ClaimMergeKind.Full; readonly attempt: string };

export interface ShardMerge {
    readonly shard: ClaimShard;
    /** Whether an operation changed the shard. Pruning alone does not justify a write. */
    readonly changed: boolean;
    readonly claims: readonly ClaimMerge[];
}

const responseSchema = z.object({
    status: z.int(),
    headers: z.array(z.object({ name: z.string(), value: z.string() })),
    body: z.string(),
});
const claimSchema = z.object({
    key: z.uuid({ version: "v7" }),
    fingerprint: z.string(),
    node: z.string(),
    attempt: z.string(),
    claimedAt: z.number(),
    state: z.enum(ClaimState),
    response: responseSchema.optional(),
});
const shardSchema = z.object({ prunedThrough: z.number(), claims: z.array(claimSchema) });

/** A claim and the size of its JSON text. */
interface SizedClaim {
    readonly claim: Claim;
    readonly bytes: number;
}

/** All claims of one shard. Immutable. */
export class ClaimShard {
    /** Timestamp of the newest pruned key. A call whose key is not newer may have run. */
    readonly prunedThrough: Milliseconds;
    private readonly entries: ReadonlyMap<string, SizedClaim>;

    private constructor(prunedThrough: Milliseconds, entries: ReadonlyMap<string, SizedClaim>) {
        this.prunedThrough = prunedThrough;
        this.entries = entries;
    }

    /** The value of a shard that has never been written. */
    static readonly empty = new ClaimShard(0, new Map());

    /** Parses a stored shard. Returns `undefined` if the text is not a shard; it must not be overwritten then. */
    static parse(text: string): ClaimShard | undefined {
        const parsed = shardSchema.safeParse(parseJson(text));
        if (!parsed.success) {
            return undefined;
        }
        const { prunedThrough, claims } = parsed.data;
        return new ClaimShard(prunedThrough, new Map(claims.map(claim => [claim.key, measureClaim(claim)])));
    }

    serialize(): string {
        return JSON.stringify({ prunedThrough: this.prunedThrough, claims: this.claims() });
    }

    /** Returns all claims in insertion order. */
    claims(): readonly Claim[] {
        return [...this.entries.values()].map(entry => entry.claim);
    }

    find(key: string): Claim | undefined {
        return this.entries.get(key)?.claim;
    }

    /** Whether an entry for the key may have been pruned, according to the key's timestamp. */
    isPossiblyPruned(key: string): boolean {
        return getKeyTimestamp(key) <= this.prunedThrough;
    }

    /**
     * Prunes old entries and applies the operations. Releases are applied first, so that a released key can be claimed
     * in the same write. Claims are applied last, so that the size limit accounts for the recorded outcomes.
     */
    merge(operations: readonly ShardOperation[], wallTime: Milliseconds): ShardMerge {
        const draft = new ShardDraft(this.prunedThrough, this.entries);
        draft.prune(wallTime - entryRetentionMs);
        const claims: ClaimMerge[] = [];
        for (const kind of [ShardOperationKind.Release, ShardOperationKind.Record, ShardOperationKind.Claim]) {
            for (const operation of operations.filter(candidate => candidate.kind === kind)) {
                const claim = draft.apply(operation);
                if (claim !== undefined) {
                    claims.push(claim);
                }
            }
        }
        const shard = new ClaimShard(draft.prunedThrough, draft.entries);
        return { shard, changed: draft.changed, claims };
    }
}

/** Mutable copy of a shard to which operations are applied. */
class ShardDraft {
    prunedThrough: Milliseconds;
    readonly entries: Map<string, SizedClaim>;
    changed = false;
    private bytes = 0;

    constructor(prunedThrough: Milliseconds, entries: ReadonlyMap<string, SizedClaim>) {
        this.prunedThrough = prunedThrough;
        this.entries = new Map(entries);
        for (const entry of entries.values()) {
            this.bytes += entry.bytes;
        }
    }

    /** Removes entries by the timestamp of their key, so that the remaining ones are newer than `prunedThrough`. */
    prune(oldestRetained: Milliseconds): void {
        for (const key of this.entries.keys()) {
            const createdAt = getKeyTimestamp(key);
            if (createdAt < oldestRetained) {
                this.remove(key);
                this.prunedThrough = Math.max(this.prunedThrough, createdAt);
            }
        }
    }

    apply(operation: ShardOperation): ClaimMerge | undefined {
        switch (operation.kind) {
            case ShardOperationKind.Claim:
                return this.addClaim(operation);
            case ShardOperationKind.Record:
                return this.record(operation.key, operation.attempt, operation.response);
            case ShardOperationKind.Release:
                return this.release(operation.key, operation.attempt);
            default:
                return assertNever(operation);
        }
    }

    private addClaim({ claim, supersededAttempt }: ClaimOperation): ClaimMerge {
        const attempt = claim.attempt;
        const holder = this.entries.get(claim.key)?.claim;
        if (holder?.attempt === attempt) {
            return { kind: ClaimMergeKind.Present, attempt };
        }
        const isSuperseded = holder?.state === ClaimState.Claimed && holder.attempt === supersededAttempt;
        if (holder !== undefined && !isSuperseded) {
            return { kind: ClaimMergeKind.Held, attempt, holder };
        }
        if (getKeyTimestamp(claim.key) <= this.prunedThrough) {
            return { kind: ClaimMergeKind.Pruned, attempt };
        }
        const entry = measureClaim(claim);
        if (this.bytes + entry.bytes > maxShardBytesForClaims) {
            return { kind: ClaimMergeKind.Full, attempt };
        }
        this.replace(entry);
        return { kind: ClaimMergeKind.Added, attempt };
    }

    private record(key: string, attempt: string, response: RecordedResponse | undefined): undefined {
        const claim = this.entries.get(key)?.claim;
        if (claim?.attempt !== attempt || claim.state !== ClaimState.Claimed) {
            return;
        }
        const recorded = measureClaim({ ...claim, state: ClaimState.Ran, response });
        const fits = response !== undefined && this.bytes + recorded.bytes <= maxShardBytesForResponses;
        this.replace(fits ? recorded : measureClaim({ ...claim, state: ClaimState.RanNotKept }));
    }

    private release(key: string, attempt: string): undefined {
        const claim = this.entries.get(key)?.claim;
        if (claim?.attempt === attempt && claim.state === ClaimState.Claimed) {
            this.remove(key);
            this.changed = true;
        }
    }

    private replace(entry: SizedClaim): void {
        this.remove(entry.claim.key);
        this.entries.set(entry.claim.key, entry);
        this.bytes += entry.bytes;
        this.changed = true;
    }

    private remove(key: string): void {
        this.bytes -= this.entries.get(key)?.bytes ?? 0;
        this.entries.delete(key);
    }
}

function measureClaim(claim: Claim): SizedClaim {
    const separatorBytes = 1;
    return { claim, bytes: Buffer.byteLength(JSON.stringify(claim)) + separatorBytes };
}
