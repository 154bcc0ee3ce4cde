/**
 * One shard of claims as the store holds it. Pure: operations give a new shard, and only the conditional write of that
 * shard makes them count.
 */
import { parseJson } from "@bilberrycroft/core.json";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { assertNever } from "@bilberrycroft/core.errors";
import { z } from "zod";
import { keptKeyAgeMs, timestampOfKey } from "./keys";
import type { RecordedResponse } from "./response";

/** New claims are refused beyond this size. The rest of the store's 1 MB is left to the outcomes of claims. */
export const maxBytesWithClaims = 900_000;
/** Responses are no longer kept beyond this size; their calls are recorded as having run. */
export const maxBytesWithResponses = 960_000;

/** States of a claim. */
export enum ClaimState {
    /** The call may be sent at any time, or has been sent. */
    Claimed = "claimed",
    /** The call ran and its response is recorded. */
    Ran = "ran",
    /** The call ran or may have run, and no response is kept. */
    RanNotKept = "ran-not-kept",
}

/** The claim of one key. */
export interface Claim {
    readonly key: string;
    /** Digest of the call, by which a second call under the same key is told apart. */
    readonly fingerprint: string;
    /** Node that claimed the key. */
    readonly node: string;
    /** Unique for each claim that any node ever makes. */
    readonly attempt: string;
    /** Wall time of the claiming node; for operators only. */
    readonly claimedAt: Milliseconds;
    readonly state: ClaimState;
    /** Present in state `Ran`. */
    readonly response?: RecordedResponse | undefined;
}

/** Kinds of `ShardOperation`. */
export enum ShardOperationKind {
    Claim = "claim",
    Record = "record",
    Release = "release",
}

/** A claim to be added. */
export interface ClaimOperation {
    readonly kind: ShardOperationKind.Claim;
    readonly claim: Claim;
    /** Attempt whose node has confirmed that it did not run and never will; its claim is replaced. */
    readonly supersedes: string | undefined;
}

/** One change of a shard. */
export type ShardOperation =
    | ClaimOperation
    | {
        readonly kind: ShardOperationKind.Record;
        readonly key: string;
        readonly attempt: string;
        /** `undefined` if the response is not kept. */
        readonly response: RecordedResponse | undefined;
    }
    | { readonly kind: ShardOperationKind.Release; readonly key: string; readonly attempt: string };

/** Kinds of `ClaimMerge`. */
export enum ClaimMergeKind {
    /** Added; counts once the shard is written. */
    Added = "added",
    /** The shard already holds this very attempt: an earlier write took effect. */
    Present = "present",
    /** Another attempt holds the key. */
    Held = "held",
    /** An entry of the key may have been pruned. */
    Pruned = "pruned",
    /** The shard has no room. */
    Full = "full",
}

/** What became of one claim operation. */
export type ClaimMerge =
    | { readonly kind: ClaimMergeKind.Added; readonly attempt: string }
    | { readonly kind: ClaimMergeKind.Present; readonly attempt: string }
    | { readonly kind: ClaimMergeKind.Held; readonly attempt: string; readonly holder: Claim }
    | { readonly kind: ClaimMergeKind.Pruned; readonly attempt: string }
    | { readonly kind: ClaimMergeKind.Full; readonly attempt: string };

/** Result of merging operations. */
export interface ShardMerge {
    readonly shard: ClaimShard;
    /** An operation changed the shard; pruning alone is not worth a write. */
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

/** A claim and the size of its JSON. */
interface SizedClaim {
    readonly claim: Claim;
    readonly bytes: number;
}

/** All claims of one shard. Never changes. */
export class ClaimShard {
    /** Newest key timestamp that has been pruned. A key that is not newer may have run. */
    readonly prunedThrough: Milliseconds;
    private readonly entries: ReadonlyMap<string, SizedClaim>;

    private constructor(prunedThrough: Milliseconds, entries: ReadonlyMap<string, SizedClaim>) {
        this.prunedThrough = prunedThrough;
        this.entries = entries;
    }

    /** A shard that was never written. */
    static readonly empty = new ClaimShard(0, new Map());

    /** Reads a stored shard; `undefined` if the text is not one, which must never be overwritten. */
    static parse(text: string): ClaimShard | undefined {
        const parsed = shardSchema.safeParse(parseJson(text));
        if (!parsed.success) {
            return undefined;
        }
        const { prunedThrough, claims } = parsed.data;
        return new ClaimShard(prunedThrough, new Map(claims.map(claim => [claim.key, measureClaim(claim)])));
    }

    /** Text for the store. */
    serialize(): string {
        return JSON.stringify({ prunedThrough: this.prunedThrough, claims: this.claims() });
    }

    /** All claims, in the order in which they were added. */
    claims(): readonly Claim[] {
        return [...this.entries.values()].map(entry => entry.claim);
    }

    /** Claim of a key. */
    find(key: string): Claim | undefined {
        return this.entries.get(key)?.claim;
    }

    /** Whether an entry of a key of this age may have been pruned. */
    mayHavePruned(key: string): boolean {
        return timestampOfKey(key) <= this.prunedThrough;
    }

    /**
     * Prunes old entries and applies operations: releases first, so that a released key can be claimed in the same
     * write, and claims last, so that they see the room that the outcomes leave.
     */
    merge(operations: readonly ShardOperation[], wallTime: Milliseconds): ShardMerge {
        const draft = new ShardDraft(this.prunedThrough, this.entries);
        draft.prune(wallTime - keptKeyAgeMs);
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

/** A shard while operations are applied to it. */
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

    /** Removes entries by the timestamp of their key, so that what remains is newer than `prunedThrough`. */
    prune(oldestKept: Milliseconds): void {
        for (const key of this.entries.keys()) {
            const createdAt = timestampOfKey(key);
            if (createdAt < oldestKept) {
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

    private addClaim({ claim, supersedes }: ClaimOperation): ClaimMerge {
        const attempt = claim.attempt;
        const holder = this.entries.get(claim.key)?.claim;
        if (holder?.attempt === attempt) {
            return { kind: ClaimMergeKind.Present, attempt };
        }
        const superseded = holder?.state === ClaimState.Claimed && holder.attempt === supersedes;
        if (holder !== undefined && !superseded) {
            return { kind: ClaimMergeKind.Held, attempt, holder };
        }
        if (timestampOfKey(claim.key) <= this.prunedThrough) {
            return { kind: ClaimMergeKind.Pruned, attempt };
        }
        const entry = measureClaim(claim);
        if (this.bytes + entry.bytes > maxBytesWithClaims) {
            return { kind: ClaimMergeKind.Full, attempt };
        }
        this.put(entry);
        return { kind: ClaimMergeKind.Added, attempt };
    }

    private record(key: string, attempt: string, response: RecordedResponse | undefined): undefined {
        const claim = this.entries.get(key)?.claim;
        if (claim?.attempt !== attempt || claim.state !== ClaimState.Claimed) {
            return;
        }
        const kept = measureClaim({ ...claim, state: ClaimState.Ran, response });
        const fits = response !== undefined && this.bytes + kept.bytes <= maxBytesWithResponses;
        this.put(fits ? kept : measureClaim({ ...claim, state: ClaimState.RanNotKept }));
    }

    private release(key: string, attempt: string): undefined {
        const claim = this.entries.get(key)?.claim;
        if (claim?.attempt === attempt && claim.state === ClaimState.Claimed) {
            this.remove(key);
            this.changed = true;
        }
    }

    private put(entry: SizedClaim): void {
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
