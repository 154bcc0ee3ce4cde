/**
 * Group commit of one shard. At most one request to the store is in flight; what arrives meanwhile goes into the next
 * write. Only a confirmed conditional write, or a read that shows it, commits a claim.
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

/** Time between two writes of a shard. Under load it collects claims; the first write after it is not delayed. */
export const minWriteIntervalMs: Milliseconds = 50;

// The range of the first random wait after a conflict; a write and the read before it take a few milliseconds each.
const firstBackoffMs: Milliseconds = 20;
const maxBackoffMs: Milliseconds = 2_000;

/** What a `ShardCommitter` is created from. */
export interface ShardCommitterOptions {
    /** Key of the shard's object. */
    readonly key: string;
    readonly clock: Clock;
    readonly random: Random;
    /** Numbers requests to the store. */
    readonly nextRequest: () => number;
    /** Whether a claim in the shard is this node's own and belongs to no call: it was never sent and never will be. */
    readonly isOrphan: (claim: Claim) => boolean;
}

/** Kinds of `ClaimResult`. */
export enum ClaimResultKind {
    Committed = "committed",
    Held = "held",
    Pruned = "pruned",
    Full = "full",
    StoreUnavailable = "store-unavailable",
}

/** What became of one claim. */
export type ClaimResult =
    | { readonly kind: ClaimResultKind.Held; readonly attempt: string; readonly holder: Claim }
    | { readonly kind: Exclude<ClaimResultKind, ClaimResultKind.Held>; readonly attempt: string };

/** What one step gives. */
export interface CommitterStep {
    readonly results: readonly ClaimResult[];
    /** Attempts whose outcome the store holds now. */
    readonly settled: readonly string[];
    readonly request: ShardRequest | undefined;
}

type OutcomeOperation = Exclude<ShardOperation, ClaimOperation>;

/** A claim and the number of the newest request when it was made. */
interface PendingClaim {
    readonly operation: ClaimOperation;
    readonly after: number;
}

/** The shard as last seen, and the request that showed it. */
interface SeenShard {
    readonly revision: string | undefined;
    readonly shard: ClaimShard;
    readonly request: number;
}

interface InFlightRequest {
    readonly request: number;
    /** The shard being written; `undefined` for a read. */
    readonly written: ClaimShard | undefined;
    readonly claims: readonly string[];
    readonly outcomes: readonly OutcomeOperation[];
}

/** Claims and outcomes of one shard on their way to the store. */
export class ShardCommitter {
    private readonly options: ShardCommitterOptions;
    private readonly claims = new Map<string, PendingClaim>();
    private readonly outcomes = new Map<string, OutcomeOperation>();
    private seen: SeenShard | undefined;
    private inFlight: InFlightRequest | undefined;
    private readBackDue = false;
    private lastRequest = 0;
    private nextActionAt: Milliseconds = 0;
    private failedReads = 0;
    private failedWrites = 0;

    constructor(options: ShardCommitterOptions) {
        this.options = options;
    }

    /** Claims that are not decided. */
    get waitingClaims(): number {
        return this.claims.size;
    }

    /** Outcomes that the store does not hold yet. */
    get waitingOutcomes(): number {
        return this.outcomes.size;
    }

    /** Time until the store is tried again after a failed read; 0 if the last read did not fail. */
    get unavailableForMs(): Milliseconds {
        return this.failedReads === 0 ? 0 : Math.max(0, this.nextActionAt - this.options.clock.now());
    }

    /** Time at which `advance` has something to do; `undefined` if it waits for the store or is idle. */
    get nextStepAt(): Milliseconds | undefined {
        return this.inFlight !== undefined || this.isIdle() ? undefined : this.nextActionAt;
    }

    addClaim(operation: ClaimOperation): void {
        this.claims.set(operation.claim.attempt, { operation, after: this.lastRequest });
    }

    /** Drops a claim. A write in flight may still commit it; it is then an orphan and released. */
    withdrawClaim(attempt: string): void {
        this.claims.delete(attempt);
    }

    addOutcome(operation: OutcomeOperation): void {
        this.outcomes.set(operation.attempt, operation);
    }

    /** Takes in the completion of the read in flight; `undefined` if none is. */
    readCompleted(outcome: ReadOutcome): CommitterStep | undefined {
        const inFlight = this.inFlight;
        if (inFlight === undefined || inFlight.written !== undefined) {
            return undefined;
        }
        this.inFlight = undefined;
        switch (outcome.kind) {
            case StoreOutcomeKind.Done: {
                const shard = ClaimShard.parse(outcome.object.value);
                return shard === undefined
                    ? this.readFailed()
                    : this.readSucceeded({ revision: outcome.object.revision, shard, request: inFlight.request });
            }
            case StoreOutcomeKind.Absent:
                return this.readSucceeded({ revision: undefined, shard: ClaimShard.empty, request: inFlight.request });
            case StoreOutcomeKind.Unavailable:
                return this.readFailed();
            default:
                return assertNever(outcome);
        }
    }

    /** Takes in the completion of the write in flight; `undefined` if none is. */
    writeCompleted(outcome: WriteOutcome): CommitterStep | undefined {
        const inFlight = this.inFlight;
        if (inFlight?.written === undefined) {
            return undefined;
        }
        this.inFlight = undefined;
        switch (outcome.kind) {
            case StoreOutcomeKind.Done:
                this.failedWrites = 0;
                this.see({ revision: outcome.revision, shard: inFlight.written, request: inFlight.request });
                return this.settle(inFlight);
            case StoreOutcomeKind.Unknown:
                // The write may still take effect. A read decides, and finds claims whose calls have been given up.
                this.readBackDue = true;
                return this.writeFailed();
            case StoreOutcomeKind.Conflict:
            case StoreOutcomeKind.Unavailable:
                return this.writeFailed();
            default:
                return assertNever(outcome);
        }
    }

    /** Starts the next request to the store if one is due. */
    advance(): CommitterStep {
        if (this.inFlight !== undefined || this.isIdle() || this.options.clock.now() < this.nextActionAt) {
            return emptyStep;
        }
        return this.seen === undefined ? { ...emptyStep, request: this.read() } : this.mergeAndWrite(this.seen);
    }

    private mergeAndWrite(seen: SeenShard): CommitterStep {
        const outcomes = [...this.outcomes.values()];
        const operations = [...outcomes, ...[...this.claims.values()].map(pending => pending.operation)];
        const merge = seen.shard.merge(operations, this.options.clock.wallTime());
        const results: ClaimResult[] = [];
        let stale = false;
        for (const claim of merge.claims) {
            const result = claimResult(claim);
            if (result !== undefined && this.mayBeStale(result, seen)) {
                stale = true;
            }
            else if (result !== undefined) {
                results.push(result);
                this.claims.delete(claim.attempt);
            }
        }
        if (stale) {
            return { results, settled: [], request: this.read() };
        }
        if (!merge.changed) {
            return { results, settled: this.forgetOutcomes(outcomes), request: undefined };
        }
        return { results, settled: [], request: this.write(merge.shard, seen.revision, outcomes) };
    }

    /** A claim is not turned away by what another node may have changed since the shard was seen. */
    private mayBeStale(result: ClaimResult, seen: SeenShard): boolean {
        const changeable = result.kind === ClaimResultKind.Full
            || (result.kind === ClaimResultKind.Held && result.holder.state === ClaimState.Claimed);
        const pending = this.claims.get(result.attempt);
        return changeable && pending !== undefined && seen.request <= pending.after;
    }

    private read(): ShardRequest {
        const request = this.options.nextRequest();
        this.lastRequest = request;
        this.inFlight = { request, written: undefined, claims: [], outcomes: [] };
        return { kind: ClaimOutputKind.ReadShard, request, key: this.options.key };
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
        return { kind: ClaimOutputKind.WriteShard, request, key: this.options.key, value, condition };
    }

    private readSucceeded(seen: SeenShard): CommitterStep {
        this.failedReads = 0;
        this.readBackDue = false;
        this.see(seen);
        return emptyStep;
    }

    /** Refuses what waits: the caller can go to a node that reaches the store, and nothing has been sent. */
    private readFailed(): CommitterStep {
        this.failedReads++;
        this.backOff(this.failedReads);
        const kind = ClaimResultKind.StoreUnavailable;
        const results = [...this.claims.keys()].map(attempt => ({ kind, attempt }) as const);
        this.claims.clear();
        return { results, settled: [], request: undefined };
    }

    private writeFailed(): CommitterStep {
        this.seen = undefined;
        this.failedWrites++;
        this.backOff(this.failedWrites);
        return emptyStep;
    }

    /** Waits a random time, longer after each failure in a row, so that nodes that met a conflict part. */
    private backOff(failures: number): void {
        const range = Math.min(maxBackoffMs, firstBackoffMs * 2 ** Math.min(failures - 1, 10));
        const wait = range * (1 + this.options.random.nextFraction()) / 2;
        this.nextActionAt = Math.max(this.nextActionAt, this.options.clock.now() + wait);
    }

    private see(seen: SeenShard): void {
        this.seen = seen;
        for (const claim of seen.shard.claims()) {
            if (claim.state === ClaimState.Claimed && this.options.isOrphan(claim)) {
                this.addOutcome({ kind: ShardOperationKind.Release, key: claim.key, attempt: claim.attempt });
            }
        }
    }

    private settle(written: InFlightRequest): CommitterStep {
        const committed = written.claims.filter(attempt => this.claims.delete(attempt));
        return {
            results: committed.map(attempt => ({ kind: ClaimResultKind.Committed, attempt })),
            settled: this.forgetOutcomes(written.outcomes),
            request: undefined,
        };
    }

    /** Forgets outcomes that the store holds, except those that were replaced meanwhile. */
    private forgetOutcomes(outcomes: readonly OutcomeOperation[]): readonly string[] {
        const settled = outcomes.filter(outcome => this.outcomes.get(outcome.attempt) === outcome);
        settled.forEach(outcome => this.outcomes.delete(outcome.attempt));
        return settled.map(outcome => outcome.attempt);
    }

    private isIdle(): boolean {
        return this.claims.size === 0 && this.outcomes.size === 0 && !this.readBackDue;
    }
}

const emptyStep: CommitterStep = { results: [], settled: [], request: undefined };

/** Result of a merge that needs no write; `undefined` if the claim waits for the write. */
function claimResult(merge: ClaimMerge): ClaimResult | undefined {
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
