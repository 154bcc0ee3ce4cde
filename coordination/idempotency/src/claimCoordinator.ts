/**
 * State machine for the idempotency-key claims of one node. A call proceeds only after its claim is committed and only
 * before its deadline. Safety depends on the conditional write of the shard: clocks and caches can only cause a call to
 * be refused. The reply of the node that holds a claim can also cause a replay, or allow a new claim to replace one
 * whose attempt did not run.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import { assertInvariant, assertNever } from "@bilberrycroft/core.errors";
import type { Random } from "@bilberrycroft/core.random";
import { CallReason } from "@bilberrycroft/protocol.calls";
import { claimShardKey } from "@bilberrycroft/protocol.store";
import { type LocalAttempt, LocalAttempts } from "./attempts";
import { type ClaimResult, ClaimResultKind, type CommitterStep, ShardCommitter } from "./committer";
import { decideByOutcome, refuseAsNotRun, refuseAsUnknown, refuseUnavailable, replay } from "./decisions";
import { maxKeyAgeMs, maxKeyFutureMs, parseIdempotencyKey, shardOfKey } from "./keys";
import { recordResponse, replayResponse, type TargetResponse } from "./response";
import { type Claim, ClaimState, ShardOperationKind } from "./shard";
import {
    type ClaimedCall,
    type ClaimDecision,
    type ClaimedCallCompletion,
    ClaimedCallResultKind,
    type ClaimOutput,
    ClaimOutputKind,
    type AttemptOutcome,
    AttemptOutcomeKind,
    type OwnerReply,
    type ShardRead,
    type ShardWritten,
} from "./types";
import { CallPhase, type WaitingCall } from "./waitingCall";

export interface ClaimCoordinatorOptions {
    /** Identifier of this node, unique per process run. */
    readonly node: string;
    readonly clock: Clock;
    readonly random: Random;
}

/** Limit of queued claims per shard. A shard that commits every 50 ms includes all of them in one write. */
export const maxPendingClaimsPerShard = 1_000;

const fullShardRetryAfterMs: Milliseconds = 60_000;
const overloadedRetryAfterMs: Milliseconds = 1_000;
const unavailableRetryAfterMs: Milliseconds = 1_000;
// The owner replies immediately while its call is running; most calls end within this time.
const ownerPollIntervalMs: Milliseconds = 100;

/** Claims keys for calls of this node and decides whether each call is sent, replayed or refused. */
export class ClaimCoordinator {
    private readonly options: ClaimCoordinatorOptions;
    private readonly attempts: LocalAttempts;
    private readonly calls = new Map<string, WaitingCall>();
    private readonly committers = new Map<number, ShardCommitter>();
    private readonly committersByRequest = new Map<number, ShardCommitter>();
    private lastRequest = 0;

    constructor(options: ClaimCoordinatorOptions) {
        this.options = options;
        this.attempts = new LocalAttempts(options);
    }

    /** Starts the claim for a call that must not run more than once. */
    begin(call: ClaimedCall): readonly ClaimOutput[] {
        assertInvariant(!this.calls.has(call.callId), `call ${call.callId} began twice`);
        if (call.key === undefined) {
            return [refuseAsNotRun(call.callId, CallReason.IdempotencyKeyMissing)];
        }
        const key = parseIdempotencyKey(call.key);
        if (key === undefined) {
            return [refuseAsNotRun(call.callId, CallReason.BadRequest)];
        }
        const age = this.options.clock.wallTime() - key.createdAt;
        if (age > maxKeyAgeMs || age < -maxKeyFutureMs) {
            return [refuseAsUnknown(call.callId, CallReason.IdempotencyKeyExpired)];
        }
        if (this.options.clock.now() >= call.deadlineAt) {
            return [refuseAsNotRun(call.callId, CallReason.DeadlinePassed)];
        }
        const waiting: WaitingCall = { call, key, phase: { kind: CallPhase.New } };
        this.calls.set(call.callId, waiting);
        return [...this.claimKey(waiting, undefined), ...this.advance(this.getCommitter(key.text))];
    }

    /** Handles the completion of a call after the decision `Proceed`. */
    handleCallCompletion(completion: ClaimedCallCompletion): readonly ClaimOutput[] {
        const localAttempt = this.attempts.find(completion.attempt);
        assertInvariant(
            localAttempt?.outcome.kind === AttemptOutcomeKind.Running,
            `attempt ${completion.attempt} is not running`,
        );
        const outputs = completion.result.kind === ClaimedCallResultKind.NotRun
            ? this.releaseClaim(localAttempt)
            : this.recordOutcome(
                    localAttempt,
                    completion.result.kind === ClaimedCallResultKind.Responded ? completion.result.response : undefined,
                );
        return [...outputs, ...this.advance(this.getCommitter(localAttempt.key))];
    }

    /** Handles the completion of `ReadShard`. */
    handleReadCompletion(read: ShardRead): readonly ClaimOutput[] {
        return this.handleStoreCompletion(read.request, committer => committer.handleReadCompletion(read.outcome));
    }

    /** Handles the completion of `WriteShard`. */
    handleWriteCompletion(written: ShardWritten): readonly ClaimOutput[] {
        return this.handleStoreCompletion(written.request, committer =>
            committer.handleWriteCompletion(written.outcome));
    }

    /** Handles the reply to `AskOwner`. */
    handleOwnerReply(reply: OwnerReply): readonly ClaimOutput[] {
        const waiting = this.calls.get(reply.callId);
        // A late reply about an earlier holder does not apply to the current holder.
        if (waiting?.phase.kind !== CallPhase.AskingOwner || waiting.phase.holder.attempt !== reply.attempt) {
            return [];
        }
        switch (reply.outcome?.kind) {
            case undefined:
                return this.finishCall(waiting, refuseAsUnknown(reply.callId, CallReason.ClaimedElsewhere));
            case AttemptOutcomeKind.Running:
                waiting.phase = { ...waiting.phase, nextPollAt: this.options.clock.now() + ownerPollIntervalMs };
                return [];
            case AttemptOutcomeKind.Ran:
            case AttemptOutcomeKind.RanNotKept:
                return this.finishCall(waiting, decideByOutcome(reply.callId, reply.outcome));
            case AttemptOutcomeKind.NotRun:
                return [...this.claimKey(waiting, reply.attempt), ...this.advance(this.getCommitter(waiting.key.text))];
            case AttemptOutcomeKind.NotOwned:
                waiting.attemptUnknownToOwner = reply.attempt;
                return [...this.claimKey(waiting, undefined), ...this.advance(this.getCommitter(waiting.key.text))];
            default:
                return assertNever(reply.outcome as never);
        }
    }

    /** Discards a call whose caller disconnected before the decision `Proceed`. */
    abandonCall(callId: string): readonly ClaimOutput[] {
        const waiting = this.calls.get(callId);
        if (waiting === undefined) {
            return [];
        }
        return [...this.discardCall(waiting), ...this.advance(this.getCommitter(waiting.key.text))];
    }

    /** Refuses calls past their deadline, polls owners and starts store requests that are due. */
    tick(): readonly ClaimOutput[] {
        const now = this.options.clock.now();
        const outputs: ClaimOutput[] = [];
        for (const waiting of [...this.calls.values()]) {
            // An earlier iteration may have decided on the call.
            if (this.calls.get(waiting.call.callId) !== waiting) {
                continue;
            }
            if (now >= waiting.call.deadlineAt) {
                outputs.push(...this.refuseAtDeadline(waiting));
            }
            else if (waiting.phase.kind === CallPhase.AskingOwner && now >= (waiting.phase.nextPollAt ?? Infinity)) {
                outputs.push(...this.askOwner(waiting, waiting.phase.holder));
            }
        }
        for (const committer of this.committers.values()) {
            outputs.push(...this.advance(committer));
        }
        return outputs;
    }

    /** Returns the time at which `tick` must be called next, or `undefined` if no timer is pending. */
    nextTickAt(): Milliseconds | undefined {
        const times = [...this.committers.values()].map(committer => committer.nextStepAt);
        for (const { call, phase } of this.calls.values()) {
            times.push(call.deadlineAt, phase.kind === CallPhase.AskingOwner ? phase.nextPollAt : undefined);
        }
        const due = times.filter(time => time !== undefined);
        return due.length === 0 ? undefined : Math.min(...due);
    }

    /** Returns the outcome of an attempt of this node, for a query by another node. */
    getAttemptOutcome({ attempt }: { readonly key: string; readonly attempt: string }): AttemptOutcome {
        return this.attempts.getOutcome(attempt);
    }

    /** Returns the number of outcomes that are not in the store yet. A graceful shutdown waits for them. */
    countPendingOutcomes(): number {
        return [...this.committers.values()].reduce((sum, committer) => sum + committer.pendingOutcomeCount, 0);
    }

    /** Queues a claim, or waits for the attempt of this node that already holds the key. */
    private claimKey(waiting: WaitingCall, supersededAttempt: string | undefined): readonly ClaimOutput[] {
        const { callId, fingerprint } = waiting.call;
        const current = this.attempts.findByKey(waiting.key.text);
        if (current !== undefined) {
            return this.joinAttempt(waiting, current);
        }
        const committer = this.getCommitter(waiting.key.text);
        if (committer.storeRetryDelayMs > 0) {
            return this.finishCall(waiting, refuseUnavailable(callId, committer.storeRetryDelayMs));
        }
        if (committer.pendingClaimCount >= maxPendingClaimsPerShard) {
            return this.finishCall(waiting, refuseAsNotRun(callId, CallReason.Overloaded, overloadedRetryAfterMs));
        }
        const localAttempt = this.attempts.create({ key: waiting.key.text, fingerprint, callId });
        waiting.phase = { kind: CallPhase.Claiming, localAttempt };
        const claim: Claim = {
            key: localAttempt.key,
            fingerprint,
            node: this.options.node,
            attempt: localAttempt.attempt,
            claimedAt: this.options.clock.wallTime(),
            state: ClaimState.Claimed,
        };
        committer.addClaim({ kind: ShardOperationKind.Claim, claim, supersededAttempt });
        return [];
    }

    private joinAttempt(waiting: WaitingCall, localAttempt: LocalAttempt): readonly ClaimOutput[] {
        if (localAttempt.fingerprint !== waiting.call.fingerprint) {
            return this.finishCall(waiting, refuseAsNotRun(waiting.call.callId, CallReason.IdempotencyKeyMismatch));
        }
        if (localAttempt.outcome.kind !== AttemptOutcomeKind.Running) {
            return this.finishCall(waiting, decideByOutcome(waiting.call.callId, localAttempt.outcome));
        }
        waiting.phase = { kind: CallPhase.WaitingForLocalAttempt, localAttempt };
        localAttempt.joinedCallIds.push(waiting.call.callId);
        return [];
    }

    private handleStoreCompletion(
        request: number,
        handle: (committer: ShardCommitter) => CommitterStep | undefined,
    ): readonly ClaimOutput[] {
        const committer = this.committersByRequest.get(request);
        const step = committer === undefined ? undefined : handle(committer);
        if (committer === undefined || step === undefined) {
            return [];
        }
        this.committersByRequest.delete(request);
        return [...this.applyStep(step), ...this.advance(committer)];
    }

    /** Advances the committer until it has a store request in flight or nothing more is due. */
    private advance(committer: ShardCommitter): readonly ClaimOutput[] {
        const outputs: ClaimOutput[] = [];
        for (;;) {
            const step = committer.advance();
            outputs.push(...this.applyStep(step));
            if (step.request !== undefined) {
                this.committersByRequest.set(step.request.request, committer);
                outputs.push(step.request);
            }
            if (step.request !== undefined || step.results.length + step.storedOutcomes.length === 0) {
                return outputs;
            }
        }
    }

    private applyStep(step: CommitterStep): readonly ClaimOutput[] {
        for (const attempt of step.storedOutcomes) {
            const localAttempt = this.attempts.find(attempt);
            if (localAttempt !== undefined) {
                this.attempts.close(localAttempt);
            }
        }
        return step.results.flatMap(result => this.handleClaimResult(result));
    }

    private handleClaimResult(result: ClaimResult): readonly ClaimOutput[] {
        const localAttempt = this.attempts.find(result.attempt);
        const waiting = localAttempt === undefined ? undefined : this.calls.get(localAttempt.callId);
        if (localAttempt === undefined || waiting === undefined) {
            return [];
        }
        const { callId, deadlineAt } = waiting.call;
        switch (result.kind) {
            case ClaimResultKind.Committed:
                return this.options.clock.now() >= deadlineAt
                    ? this.refuseAtDeadline(waiting)
                    : this.proceed(waiting, localAttempt);
            case ClaimResultKind.Held:
                return [...this.decideByHolder(waiting, result.holder), ...this.closeUnsentAttempt(localAttempt)];
            case ClaimResultKind.Pruned:
                return this.refuseUnsent(
                    waiting,
                    localAttempt,
                    refuseAsUnknown(callId, CallReason.IdempotencyKeyExpired),
                );
            case ClaimResultKind.Full:
                return this.refuseUnsent(waiting, localAttempt, refuseUnavailable(callId, fullShardRetryAfterMs));
            case ClaimResultKind.StoreUnavailable:
                return this.refuseUnsent(waiting, localAttempt, refuseUnavailable(callId, unavailableRetryAfterMs));
            default:
                return assertNever(result);
        }
    }

    private proceed(waiting: WaitingCall, localAttempt: LocalAttempt): readonly ClaimOutput[] {
        const { callId } = waiting.call;
        return this.finishCall(waiting, { kind: ClaimOutputKind.Proceed, callId, attempt: localAttempt.attempt });
    }

    private decideByHolder(waiting: WaitingCall, holder: Claim): readonly ClaimOutput[] {
        const { callId, fingerprint } = waiting.call;
        if (holder.fingerprint !== fingerprint) {
            return this.finishCall(waiting, refuseAsNotRun(callId, CallReason.IdempotencyKeyMismatch));
        }
        switch (holder.state) {
            case ClaimState.Ran:
                return this.finishCall(waiting, holder.response === undefined
                    ? refuseAsUnknown(callId, CallReason.AnswerLost)
                    : replay(callId, replayResponse(holder.response)));
            case ClaimState.RanNotKept:
                return this.finishCall(waiting, refuseAsUnknown(callId, CallReason.AnswerLost));
            case ClaimState.Claimed:
                return holder.attempt === waiting.attemptUnknownToOwner || this.attempts.isLocal(holder)
                    ? this.finishCall(waiting, refuseAsUnknown(callId, CallReason.ClaimedElsewhere))
                    : this.askOwner(waiting, holder);
            default:
                return assertNever(holder.state);
        }
    }

    private askOwner(waiting: WaitingCall, holder: Claim): readonly ClaimOutput[] {
        waiting.phase = { kind: CallPhase.AskingOwner, holder, nextPollAt: undefined };
        const { node, key, attempt } = holder;
        return [{ kind: ClaimOutputKind.AskOwner, callId: waiting.call.callId, node, key, attempt }];
    }

    private refuseAtDeadline(waiting: WaitingCall): readonly ClaimOutput[] {
        const { callId } = waiting.call;
        return waiting.phase.kind === CallPhase.Claiming
            ? [refuseAsNotRun(callId, CallReason.DeadlinePassed), ...this.discardCall(waiting)]
            : this.finishCall(waiting, refuseAsUnknown(callId, CallReason.ClaimedElsewhere));
    }

    /** Discards a call that was not sent and releases its claim. */
    private discardCall(waiting: WaitingCall): readonly ClaimOutput[] {
        this.calls.delete(waiting.call.callId);
        return waiting.phase.kind === CallPhase.Claiming ? this.withdrawClaim(waiting.phase.localAttempt) : [];
    }

    /** Withdraws a claim. If its write is in flight, the claim is released once a read or write shows it. */
    private withdrawClaim(localAttempt: LocalAttempt): readonly ClaimOutput[] {
        this.getCommitter(localAttempt.key).withdrawClaim(localAttempt.attempt);
        return this.releaseClaim(localAttempt);
    }

    private releaseClaim(localAttempt: LocalAttempt): readonly ClaimOutput[] {
        const { key, attempt } = localAttempt;
        this.getCommitter(key).addOutcome({ kind: ShardOperationKind.Release, key, attempt });
        return this.closeUnsentAttempt(localAttempt);
    }

    private refuseUnsent(
        waiting: WaitingCall,
        localAttempt: LocalAttempt,
        decision: ClaimDecision,
    ): readonly ClaimOutput[] {
        return [...this.finishCall(waiting, decision), ...this.closeUnsentAttempt(localAttempt)];
    }

    /** Closes an attempt that was proved not run. Calls that waited for it claim the key themselves. */
    private closeUnsentAttempt(localAttempt: LocalAttempt): readonly ClaimOutput[] {
        localAttempt.outcome = { kind: AttemptOutcomeKind.NotRun };
        this.attempts.close(localAttempt);
        return this.findJoinedCalls(localAttempt).flatMap(waiting => this.claimKey(waiting, undefined));
    }

    private recordOutcome(
        localAttempt: LocalAttempt,
        targetResponse: TargetResponse | undefined,
    ): readonly ClaimOutput[] {
        const { key, attempt } = localAttempt;
        const response = targetResponse === undefined ? undefined : recordResponse(targetResponse);
        this.getCommitter(key).addOutcome({ kind: ShardOperationKind.Record, key, attempt, response });
        localAttempt.outcome = targetResponse === undefined || response === undefined
            ? { kind: AttemptOutcomeKind.RanNotKept }
            : { kind: AttemptOutcomeKind.Ran, response: targetResponse };
        return this.findJoinedCalls(localAttempt).flatMap(waiting =>
            this.finishCall(waiting, decideByOutcome(waiting.call.callId, localAttempt.outcome)));
    }

    private findJoinedCalls(localAttempt: LocalAttempt): readonly WaitingCall[] {
        const calls = localAttempt.joinedCallIds
            .map(callId => this.calls.get(callId))
            .filter(waiting => waiting !== undefined);
        return calls.filter(({ phase }) =>
            phase.kind === CallPhase.WaitingForLocalAttempt && phase.localAttempt === localAttempt);
    }

    private finishCall(waiting: WaitingCall, decision: ClaimDecision): readonly ClaimOutput[] {
        this.calls.delete(waiting.call.callId);
        return [decision];
    }

    private getCommitter(key: string): ShardCommitter {
        const shard = shardOfKey(key);
        const existing = this.committers.get(shard);
        if (existing !== undefined) {
            return existing;
        }
        const committer = new ShardCommitter({
            objectKey: claimShardKey(shard),
            clock: this.options.clock,
            random: this.options.random,
            nextRequest: () => ++this.lastRequest,
            isOrphan: claim => this.attempts.isOrphan(claim),
        });
        this.committers.set(shard, committer);
        return committer;
    }
}
