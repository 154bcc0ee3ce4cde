/**
 * Group commit of one shard. At most one request to the store is in flight; claims and outcomes that arrive in the
 * meantime are batched into the next write. A claim is committed only by a confirmed conditional write
 * (compare-and-set) or by a read that returns it.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import { assertNever } from "@bilberrycroft/core.errors";
import type { Random } from "@bilberrycroft/core.random";
import {
    type ReadOutcome,
    StoreOutcomeKind,
    type WriteCondition,
    WriteConditionKind,
    type WriteOutcome,
} from "@bilberrycroft/protocol.store";
import {
    type Claim,
    type ClaimMerge,
    ClaimMergeKind,
    type ClaimOperation,
    ClaimShard,
    ClaimState,
    type ShardOperation,
    ShardOperationKind,
} from "./shard";
import { ClaimOutputKind, type ShardRequest } from "./types";

/** Minimum interval between two writes of a shard. Batches claims under load; an idle shard is written immediately. */
export const minWriteIntervalMs: Milliseconds = 50;

// Upper bound of the first backoff after a conflict. A write and the preceding read take a few milliseconds each.
const firstBackoffMs: Milliseconds = 20;
const maxBackoffMs: Milliseconds = 2_000;

export interface ShardCommitterOptions {
    /** Key of the shard's object. */
    readonly objectKey: string;
    readonly clock: Clock;
    readonly random: Random;
    /** Returns the next number for a request to the store. */
    readonly nextRequest: () => number;
    /** Whether the claim was made by this node and has no call: it was not sent and will not be sent. */
    readonly isOrphan: (claim: Claim) => boolean;
}

export enum ClaimResultKind {
    Committed = "committed",
    Held = "held",
    Pruned = "pruned",
    Full = "full",
    StoreUnavailable = "store-unavailable",
}

/** Result of one claim. */
export type ClaimResult =
    | { readonly kind: ClaimResultKind.Held; readonly attempt: string; readonly holder: Claim }
    | { readonly kind: Exclude<ClaimResultKind, ClaimResultKind.Held>; readonly attempt: string };

export interface CommitterStep {
    readonly results: readonly ClaimResult[];
    /** Attempts whose outcome is now in the store. */
    readonly storedOutcomes: readonly string[];
    readonly request: ShardRequest | undefined;
}

type OutcomeOperation = Exclude<ShardOperation, ClaimOperation>;

interface PendingClaim {
    readonly operation: ClaimOperation;
    /** Number of the most recent store request when the claim was queued. */
    readonly lastRequestWhenQueued: number;
}

/** Last known content of the shard. */
interface KnownShard {
    readonly revision: string | undefined;
    readonly shard: ClaimShard;
    /** Store request that returned or wrote the content. */
    readonly request: number;
}

interface InFlightRequest {
    readonly request: number;
    /** The shard being written; `undefined` for a read. */
    readonly written: ClaimShard | undefined;
    readonly claims: readonly string[];
    readonly outcomes: readonly OutcomeOperation[];
}

/** Queues claims and outcomes of one shard and writes them to the store. */
export class ShardCommitter {
    private readonly options: ShardCommitterOptions;
    private readonly claims = new Map<string, PendingClaim>();
    private readonly outcomes = new Map<string, OutcomeOperation>();
    private knownShard: KnownShard | undefined;
    private inFlight: InFlightRequest | undefined;
    private isReadBackDue = false;
    private lastRequest = 0;
    private nextActionAt: Milliseconds = 0;
    private failedReads = 0;
    private failedWrites = 0;

    constructor(options: ShardCommitterOptions) {
        this.options = options;
    }

    /** Number of claims without a result. */
    get pendingClaimCount(): number {
        return this.claims.size;
    }

    /** Number of outcomes that are not in the store yet. */
    get pendingOutcomeCount(): number {
        return this.outcomes.size;
    }

    /** Time until the next attempt after a failed read; 0 if the last read did not fail. */
    get storeRetryDelayMs(): Milliseconds {
        return this.failedReads === 0 ? 0 : Math.max(0, this.nextActionAt - this.options.clock.now());
    }

    /** Time at which `advance` must be called next; `undefined` during a store request or if nothing is queued. */
    get nextStepAt(): Milliseconds | undefined {
        return this.inFlight !== undefined || this.isIdle() ? undefined : this.nextActionAt;
    }

    addClaim(operation: ClaimOperation): void {
        this.claims.set(operation.claim.attempt, { operation, lastRequestWhenQueued: this.lastRequest });
    }

    /** Removes a queued claim. If a write in flight still commits it, the claim is an orphan and is released later. */
    withdrawClaim(attempt: string): void {
        this.claims.delete(attempt);
    }

    addOutcome(operation: OutcomeOperation): void {
        this.outcomes.set(operation.attempt, operation);
    }

    /** Handles the completion of the read in flight. Returns `undefined` if there is none. */
    handleReadCompletion(outcome: ReadOutcome): CommitterStep | undefined {
        const inFlight = this.inFlight;
        if (inFlight === undefined || inFlight.written !== undefined) {
            return undefined;
        }
        this.inFlight = undefined;
        switch (outcome.kind) {
            case StoreOutcomeKind.Done: {
                const shard = ClaimShard.parse(outcome.object.value);
                return shard === undefined
                    ? this.handleReadFailure()
                    : this.handleReadSuccess({ revision: outcome.object.revision, shard, request: inFlight.request });
            }
            case StoreOutcomeKind.Absent:
                return this.handleReadSuccess({
                    revision: undefined,
                    shard: ClaimShard.empty,
                    request: inFlight.request,
                });
            case StoreOutcomeKind.Unavailable:
                return this.handleReadFailure();
            default:
                return assertNever(outcome);
        }
    }

    /** Handles the completion of the write in flight. Returns `undefined` if there is none. */
    handleWriteCompletion(outcome: WriteOutcome): CommitterStep | undefined {
        const inFlight = this.inFlight;
        if (inFlight?.written === undefined) {
            return undefined;
        }
        this.inFlight = undefined;
        switch (outcome.kind) {
            case StoreOutcomeKind.Done:
                this.failedWrites = 0;
                this.updateKnownShard({
                    revision: outcome.revision,
                    shard: inFlight.written,
                    request: inFlight.request,
                });
                return this.completeWrite(inFlight);
            case StoreOutcomeKind.Unknown:
                // The write may still take effect. The next read shows it, and finds claims of discarded calls.
                this.isReadBackDue = true;
                return this.handleWriteFailure();
            case StoreOutcomeKind.Conflict:
            case StoreOutcomeKind.Unavailable:
                return this.handleWriteFailure();
            default:
                return assertNever(outcome);
        }
    }

    /** Starts the next store request if one is due. */
    advance(): CommitterStep {
        if (this.inFlight !== undefined || this.isIdle() || this.options.clock.now() < this.nextActionAt) {
            return emptyStep;
        }
        return this.knownShard === undefined
            ? { ...emptyStep, request: this.read() }
            : this.mergeAndWrite(this.knownShard);
    }

    private mergeAndWrite(known: KnownShard): CommitterStep {
        const outcomes = [...this.outcomes.values()];
        const operations = [...outcomes, ...[...this.claims.values()].map(pending => pending.operation)];
        const merge = known.shard.merge(operations, this.options.clock.wallTime());
        const results: ClaimResult[] = [];
        let isStale = false;
        for (const claim of merge.claims) {
            const result = toClaimResult(claim);
            if (result !== undefined && this.isPossiblyStale(result, known)) {
                isStale = true;
            }
            else if (result !== undefined) {
                results.push(result);
                this.claims.delete(claim.attempt);
            }
        }
        if (isStale) {
            return { results, storedOutcomes: [], request: this.read() };
        }
        if (!merge.changed) {
            return { results, storedOutcomes: this.removeStoredOutcomes(outcomes), request: undefined };
        }
        return { results, storedOutcomes: [], request: this.write(merge.shard, known.revision, outcomes) };
    }

    /**
     * Whether another node may have invalidated the result since the shard was read. A claim is not refused on stale
     * data.
     */
    private isPossiblyStale(result: ClaimResult, known: KnownShard): boolean {
        const isChangeable = result.kind === ClaimResultKind.Full
            || (result.kind === ClaimResultKind.Held && result.holder.state === ClaimState.Claimed);
        const pending = this.claims.get(result.attempt);
        return isChangeable && pending !== undefined && known.request <= pending.lastRequestWhenQueued;
    }

    private read(): ShardRequest {
        const request = this.options.nextRequest();
        this.lastRequest = request;
        this.inFlight = { request, written: undefined, claims: [], outcomes: [] };
        return { kind: ClaimOutputKind.ReadShard, request, key: this.options.objectKey };
    }

    private write(
        shard: ClaimShard,
        revision: string | undefined,
        outcomes: readonly OutcomeOperation[],
    ): ShardRequest {
        const request = this.options.nextRequest();
        this.lastRequest = request;
        this.inFlight = { request, written: shard, claims: [...this.claims.keys()], outcomes };
        this.nextActionAt = this.options.clock.now() + minWriteIntervalMs;
        const condition: WriteCondition = revision === undefined
            ? { kind: WriteConditionKind.Absent }
            : { kind: WriteConditionKind.Revision, revision };
        const value = shard.serialize();
        return { kind: ClaimOutputKind.WriteShard, request, key: this.options.objectKey, value, condition };
    }

    private handleReadSuccess(known: KnownShard): CommitterStep {
        this.failedReads = 0;
        this.isReadBackDue = false;
        this.updateKnownShard(known);
        return emptyStep;
    }

    /** Refuses all queued claims. None has been sent, and the caller can use a node that can reach the store. */
    private handleReadFailure(): CommitterStep {
        this.failedReads++;
        this.scheduleBackoff(this.failedReads);
        const kind = ClaimResultKind.StoreUnavailable;
        const results = [...this.claims.keys()].map(attempt => ({ kind, attempt }) as const);
        this.claims.clear();
        return { results, storedOutcomes: [], request: undefined };
    }

    private handleWriteFailure(): CommitterStep {
        this.knownShard = undefined;
        this.failedWrites++;
        this.scheduleBackoff(this.failedWrites);
        return emptyStep;
    }

    /** Applies exponential backoff with random jitter, so that nodes whose writes conflicted do not retry together. */
    private scheduleBackoff(failures: number): void {
        const maxWaitMs = Math.min(maxBackoffMs, firstBackoffMs * 2 ** Math.min(failures - 1, 10));
        const waitMs = maxWaitMs * (1 + this.options.random.nextFraction()) / 2;
        this.nextActionAt = Math.max(this.nextActionAt, this.options.clock.now() + waitMs);
    }

    private updateKnownShard(known: KnownShard): void {
        this.knownShard = known;
        for (const claim of known.shard.claims()) {
            if (claim.state === ClaimState.Claimed && this.options.isOrphan(claim)) {
                this.addOutcome({ kind: ShardOperationKind.Release, key: claim.key, attempt: claim.attempt });
            }
        }
    }

    private completeWrite(written: InFlightRequest): CommitterStep {
        const committed = written.claims.filter(attempt => this.claims.delete(attempt));
        return {
            results: committed.map(attempt => ({ kind: ClaimResultKind.Committed, attempt })),
            storedOutcomes: this.removeStoredOutcomes(written.outcomes),
            request: undefined,
        };
    }

    /** Removes outcomes that are in the store, except those that were replaced in the meantime. */
    private removeStoredOutcomes(outcomes: readonly OutcomeOperation[]): readonly string[] {
        const stored = outcomes.filter(outcome => this.outcomes.get(outcome.attempt) === outcome);
        stored.forEach(outcome => this.outcomes.delete(outcome.attempt));
        return stored.map(outcome => outcome.attempt);
    }

    private isIdle(): boolean {
        return this.claims.size === 0 && this.outcomes.size === 0 && !this.isReadBackDue;
    }
}

const emptyStep: CommitterStep = { results: [], storedOutcomes: [], request: undefined };

/** Returns the result of a merge that needs no write, or `undefined` if the claim must be written first. */
function toClaimResult(merge: ClaimMerge): ClaimResult | undefined {
    switch (merge.kind) {
        case ClaimMergeKind.Added:
            return undefined;
        case ClaimMergeKind.Present:
            return { kind: ClaimResultKind.Committed, attempt: merge.attempt };
        case ClaimMergeKind.Held:
            return { kind: ClaimResultKind.Held, attempt: merge.attempt, holder: merge.holder };
        case ClaimMergeKind.Pruned:
            return { kind: ClaimResultKind.Pruned, attempt: merge.attempt };
        case ClaimMergeKind.Full:
            return { kind: ClaimResultKind.Full, attempt: merge.attempt };
        default:
            return assertNever(merge);
    }
}
