/**
 * Claims of one node. A call proceeds only after its claim is committed, and only while its deadline has not passed.
 * Safety rests on the conditional write of the shard alone; clocks, caches and other nodes' replies can only turn a
 * call away.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import { assertInvariant, assertNever } from "@bilberrycroft/core.errors";
import type { Random } from "@bilberrycroft/core.random";
import { CallReason } from "@bilberrycroft/protocol.calls";
import { claimShardKey } from "@bilberrycroft/protocol.store";
import { type OwnAttempt, OwnAttempts } from "./attempts";
import { type ClaimResult, ClaimResultKind, type CommitterStep, ShardCommitter } from "./committer";
import { decideByOutcome, refuseAsNotRun, refuseAsUnknown, refuseUnavailable, replay } from "./decisions";
import { maxKeyAgeMs, maxKeyAheadMs, parseIdempotencyKey, shardOfKey } from "./keys";
import { recordResponse, replayResponse, type TargetResponse } from "./response";
import { type Claim, ClaimState, ShardOperationKind } from "./shard";
import {
    type ClaimedCall,
    type ClaimDecision,
    type ClaimedCallEnd,
    ClaimedCallResultKind,
    type ClaimOutput,
    ClaimOutputKind,
    type OwnedOutcome,
    OwnedOutcomeKind,
    type OwnerReply,
    type ShardRead,
    type ShardWritten,
} from "./types";
import { CallPhase, type WaitingCall } from "./waiting-call";

/** What a `ClaimKeeper` is created from. */
export interface ClaimKeeperOptions {
    /** Identifier of this node; unique for one run of one process. */
    readonly node: string;
    readonly clock: Clock;
    readonly random: Random;
}

/** Calls that may wait for one shard. A shard that commits once in 50 ms clears them within one write. */
export const maxWaitingClaimsOfShard = 1_000;

const fullShardRetryAfterMs: Milliseconds = 60_000;
const overloadedRetryAfterMs: Milliseconds = 1_000;
const unavailableRetryAfterMs: Milliseconds = 1_000;
// The owner replies at once while its call runs; most calls end within this time.
const askAgainMs: Milliseconds = 100;

/** Claims, records and waiting calls of one node. */
export class ClaimKeeper {
    private readonly options: ClaimKeeperOptions;
    private readonly attempts: OwnAttempts;
    private readonly calls = new Map<string, WaitingCall>();
    private readonly committers = new Map<number, ShardCommitter>();
    private readonly committerOfRequest = new Map<number, ShardCommitter>();
    private requests = 0;

    constructor(options: ClaimKeeperOptions) {
        this.options = options;
        this.attempts = new OwnAttempts(options);
    }

    /** Takes in a call that may not be repeated. */
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
        if (age > maxKeyAgeMs || age < -maxKeyAheadMs) {
            return [refuseAsUnknown(call.callId, CallReason.IdempotencyKeyExpired)];
        }
        if (this.options.clock.now() >= call.deadlineAt) {
            return [refuseAsNotRun(call.callId, CallReason.DeadlinePassed)];
        }
        const waiting: WaitingCall = { call, key, phase: { kind: CallPhase.New } };
        this.calls.set(call.callId, waiting);
        return [...this.claim(waiting, undefined), ...this.advance(this.committerOf(key.text))];
    }

    /** Takes in the end of a call that had been told to proceed. */
    finished(end: ClaimedCallEnd): readonly ClaimOutput[] {
        const own = this.attempts.find(end.attempt);
        assertInvariant(own?.outcome.kind === OwnedOutcomeKind.Running, `attempt ${end.attempt} is not running`);
        const outputs = end.result.kind === ClaimedCallResultKind.NotRun
            ? this.release(own)
            : this.record(own, end.result.kind === ClaimedCallResultKind.Responded ? end.result.response : undefined);
        return [...outputs, ...this.advance(this.committerOf(own.key))];
    }

    /** Takes in the completion of `ReadShard`. */
    readCompleted(read: ShardRead): readonly ClaimOutput[] {
        return this.completed(read.request, committer => committer.readCompleted(read.outcome));
    }

    /** Takes in the completion of `WriteShard`. */
    writeCompleted(written: ShardWritten): readonly ClaimOutput[] {
        return this.completed(written.request, committer => committer.writeCompleted(written.outcome));
    }

    /** Takes in the reply to `AskOwner`. */
    ownerReplied(reply: OwnerReply): readonly ClaimOutput[] {
        const waiting = this.calls.get(reply.callId);
        // A late reply on an earlier holder says nothing of the present one.
        if (waiting?.phase.kind !== CallPhase.AskingOwner || waiting.phase.holder.attempt !== reply.attempt) {
            return [];
        }
        switch (reply.outcome?.kind) {
            case undefined:
                return this.end(waiting, refuseAsUnknown(reply.callId, CallReason.ClaimedElsewhere));
            case OwnedOutcomeKind.Running:
                waiting.phase = { ...waiting.phase, askAgainAt: this.options.clock.now() + askAgainMs };
                return [];
            case OwnedOutcomeKind.Ran:
            case OwnedOutcomeKind.RanNotKept:
                return this.end(waiting, decideByOutcome(reply.callId, reply.outcome));
            case OwnedOutcomeKind.NotRun:
                return [...this.claim(waiting, reply.attempt), ...this.advance(this.committerOf(waiting.key.text))];
            case OwnedOutcomeKind.NotOwned:
                waiting.disowned = reply.attempt;
                return [...this.claim(waiting, undefined), ...this.advance(this.committerOf(waiting.key.text))];
            default:
                return assertNever(reply.outcome as never);
        }
    }

    /** Forgets a call whose caller left before it was told to proceed. */
    callAbandoned(callId: string): readonly ClaimOutput[] {
        const waiting = this.calls.get(callId);
        if (waiting === undefined) {
            return [];
        }
        return [...this.giveUp(waiting), ...this.advance(this.committerOf(waiting.key.text))];
    }

    /** Takes in that time has passed: refuses calls whose deadline passed and continues shards that waited. */
    tick(): readonly ClaimOutput[] {
        const now = this.options.clock.now();
        const outputs: ClaimOutput[] = [];
        for (const waiting of [...this.calls.values()]) {
            // An earlier step of this loop may have decided on the call.
            if (this.calls.get(waiting.call.callId) !== waiting) {
                continue;
            }
            if (now >= waiting.call.deadlineAt) {
                outputs.push(...this.refuseLate(waiting));
            }
            else if (waiting.phase.kind === CallPhase.AskingOwner && now >= (waiting.phase.askAgainAt ?? Infinity)) {
                outputs.push(...this.askOwner(waiting, waiting.phase.holder));
            }
        }
        for (const committer of this.committers.values()) {
            outputs.push(...this.advance(committer));
        }
        return outputs;
    }

    /** Time at which `tick` has something to do next; `undefined` if nothing waits for time. */
    nextTickAt(): Milliseconds | undefined {
        const times = [...this.committers.values()].map(committer => committer.nextStepAt);
        for (const { call, phase } of this.calls.values()) {
            times.push(call.deadlineAt, phase.kind === CallPhase.AskingOwner ? phase.askAgainAt : undefined);
        }
        const due = times.filter(time => time !== undefined);
        return due.length === 0 ? undefined : Math.min(...due);
    }

    /** What this node knows of its own attempt, for another node that asks. */
    ownedOutcome({ attempt }: { readonly key: string; readonly attempt: string }): OwnedOutcome {
        return this.attempts.outcomeOf(attempt);
    }

    /** Outcomes that the store does not hold yet; a planned stop waits for them. */
    unsettledOutcomes(): number {
        return [...this.committers.values()].reduce((sum, committer) => sum + committer.waitingOutcomes, 0);
    }

    /** Queues a claim, or joins the attempt of this node that holds the key. */
    private claim(waiting: WaitingCall, supersedes: string | undefined): readonly ClaimOutput[] {
        const { callId, fingerprint } = waiting.call;
        const current = this.attempts.findByKey(waiting.key.text);
        if (current !== undefined) {
            return this.join(waiting, current);
        }
        const committer = this.committerOf(waiting.key.text);
        if (committer.unavailableForMs > 0) {
            return this.end(waiting, refuseUnavailable(callId, committer.unavailableForMs));
        }
        if (committer.waitingClaims >= maxWaitingClaimsOfShard) {
            return this.end(waiting, refuseAsNotRun(callId, CallReason.Overloaded, overloadedRetryAfterMs));
        }
        const own = this.attempts.create({ key: waiting.key.text, fingerprint, callId });
        waiting.phase = { kind: CallPhase.Claiming, own };
        const claim: Claim = {
            key: own.key,
            fingerprint,
            node: this.options.node,
            attempt: own.attempt,
            claimedAt: this.options.clock.wallTime(),
            state: ClaimState.Claimed,
        };
        committer.addClaim({ kind: ShardOperationKind.Claim, claim, supersedes });
        return [];
    }

    private join(waiting: WaitingCall, own: OwnAttempt): readonly ClaimOutput[] {
        if (own.fingerprint !== waiting.call.fingerprint) {
            return this.end(waiting, refuseAsNotRun(waiting.call.callId, CallReason.IdempotencyKeyMismatch));
        }
        if (own.outcome.kind !== OwnedOutcomeKind.Running) {
            return this.end(waiting, decideByOutcome(waiting.call.callId, own.outcome));
        }
        waiting.phase = { kind: CallPhase.WaitingForOwn, own };
        own.joined.push(waiting.call.callId);
        return [];
    }

    private completed(
        request: number,
        take: (committer: ShardCommitter) => CommitterStep | undefined,
    ): readonly ClaimOutput[] {
        const committer = this.committerOfRequest.get(request);
        const step = committer === undefined ? undefined : take(committer);
        if (committer === undefined || step === undefined) {
            return [];
        }
        this.committerOfRequest.delete(request);
        return [...this.apply(step), ...this.advance(committer)];
    }

    /** Lets a shard continue until it waits for the store or for time. */
    private advance(committer: ShardCommitter): readonly ClaimOutput[] {
        const outputs: ClaimOutput[] = [];
        for (;;) {
            const step = committer.advance();
            outputs.push(...this.apply(step));
            if (step.request !== undefined) {
                this.committerOfRequest.set(step.request.request, committer);
                outputs.push(step.request);
            }
            if (step.request !== undefined || step.results.length + step.settled.length === 0) {
                return outputs;
            }
        }
    }

    private apply(step: CommitterStep): readonly ClaimOutput[] {
        for (const attempt of step.settled) {
            const own = this.attempts.find(attempt);
            if (own !== undefined) {
                this.attempts.close(own);
            }
        }
        return step.results.flatMap(result => this.claimDecided(result));
    }

    private claimDecided(result: ClaimResult): readonly ClaimOutput[] {
        const own = this.attempts.find(result.attempt);
        const waiting = own === undefined ? undefined : this.calls.get(own.callId);
        if (own === undefined || waiting === undefined) {
            return [];
        }
        const { callId, deadlineAt } = waiting.call;
        switch (result.kind) {
            case ClaimResultKind.Committed:
                return this.options.clock.now() >= deadlineAt ? this.refuseLate(waiting) : this.proceed(waiting, own);
            case ClaimResultKind.Held:
                return [...this.decideByHolder(waiting, result.holder), ...this.closeUnsent(own)];
            case ClaimResultKind.Pruned:
                return this.refuseUnsent(waiting, own, refuseAsUnknown(callId, CallReason.IdempotencyKeyExpired));
            case ClaimResultKind.Full:
                return this.refuseUnsent(waiting, own, refuseUnavailable(callId, fullShardRetryAfterMs));
            case ClaimResultKind.StoreUnavailable:
                return this.refuseUnsent(waiting, own, refuseUnavailable(callId, unavailableRetryAfterMs));
            default:
                return assertNever(result);
        }
    }

    private proceed(waiting: WaitingCall, own: OwnAttempt): readonly ClaimOutput[] {
        const { callId } = waiting.call;
        return this.end(waiting, { kind: ClaimOutputKind.Proceed, callId, attempt: own.attempt });
    }

    private decideByHolder(waiting: WaitingCall, holder: Claim): readonly ClaimOutput[] {
        const { callId, fingerprint } = waiting.call;
        if (holder.fingerprint !== fingerprint) {
            return this.end(waiting, refuseAsNotRun(callId, CallReason.IdempotencyKeyMismatch));
        }
        switch (holder.state) {
            case ClaimState.Ran:
                return this.end(waiting, holder.response === undefined
                    ? refuseAsUnknown(callId, CallReason.AnswerLost)
                    : replay(callId, replayResponse(holder.response)));
            case ClaimState.RanNotKept:
                return this.end(waiting, refuseAsUnknown(callId, CallReason.AnswerLost));
            case ClaimState.Claimed:
                return holder.attempt === waiting.disowned || this.attempts.isOwn(holder)
                    ? this.end(waiting, refuseAsUnknown(callId, CallReason.ClaimedElsewhere))
                    : this.askOwner(waiting, holder);
            default:
                return assertNever(holder.state);
        }
    }

    private askOwner(waiting: WaitingCall, holder: Claim): readonly ClaimOutput[] {
        waiting.phase = { kind: CallPhase.AskingOwner, holder, askAgainAt: undefined };
        const { node, key, attempt } = holder;
        return [{ kind: ClaimOutputKind.AskOwner, callId: waiting.call.callId, node, key, attempt }];
    }

    private refuseLate(waiting: WaitingCall): readonly ClaimOutput[] {
        const { callId } = waiting.call;
        return waiting.phase.kind === CallPhase.Claiming
            ? [refuseAsNotRun(callId, CallReason.DeadlinePassed), ...this.giveUp(waiting)]
            : this.end(waiting, refuseAsUnknown(callId, CallReason.ClaimedElsewhere));
    }

    /** Forgets a call that was not sent, and sees to the release of its claim. */
    private giveUp(waiting: WaitingCall): readonly ClaimOutput[] {
        this.calls.delete(waiting.call.callId);
        return waiting.phase.kind === CallPhase.Claiming ? this.withdraw(waiting.phase.own) : [];
    }

    /** Releases a claim that may be on its way. An unsent attempt is released by whichever read or write shows it. */
    private withdraw(own: OwnAttempt): readonly ClaimOutput[] {
        this.committerOf(own.key).withdrawClaim(own.attempt);
        return this.release(own);
    }

    private release(own: OwnAttempt): readonly ClaimOutput[] {
        const { key, attempt } = own;
        this.committerOf(key).addOutcome({ kind: ShardOperationKind.Release, key, attempt });
        return this.closeUnsent(own);
    }

    private refuseUnsent(waiting: WaitingCall, own: OwnAttempt, decision: ClaimDecision): readonly ClaimOutput[] {
        return [...this.end(waiting, decision), ...this.closeUnsent(own)];
    }

    /** Ends an attempt that was proved not run; calls that waited for it claim the key in their turn. */
    private closeUnsent(own: OwnAttempt): readonly ClaimOutput[] {
        own.outcome = { kind: OwnedOutcomeKind.NotRun };
        this.attempts.close(own);
        return this.joinedCalls(own).flatMap(waiting => this.claim(waiting, undefined));
    }

    private record(own: OwnAttempt, targetResponse: TargetResponse | undefined): readonly ClaimOutput[] {
        const { key, attempt } = own;
        const response = targetResponse === undefined ? undefined : recordResponse(targetResponse);
        this.committerOf(key).addOutcome({ kind: ShardOperationKind.Record, key, attempt, response });
        own.outcome = targetResponse === undefined || response === undefined
            ? { kind: OwnedOutcomeKind.RanNotKept }
            : { kind: OwnedOutcomeKind.Ran, response: targetResponse };
        return this.joinedCalls(own).flatMap(waiting =>
            this.end(waiting, decideByOutcome(waiting.call.callId, own.outcome)));
    }

    private joinedCalls(own: OwnAttempt): readonly WaitingCall[] {
        const calls = own.joined.map(callId => this.calls.get(callId)).filter(waiting => waiting !== undefined);
        return calls.filter(({ phase }) => phase.kind === CallPhase.WaitingForOwn && phase.own === own);
    }

    private end(waiting: WaitingCall, decision: ClaimDecision): readonly ClaimOutput[] {
        this.calls.delete(waiting.call.callId);
        return [decision];
    }

    private committerOf(key: string): ShardCommitter {
        const shard = shardOfKey(key);
        const existing = this.committers.get(shard);
        if (existing !== undefined) {
            return existing;
        }
        const committer = new ShardCommitter({
            key: claimShardKey(shard),
            clock: this.options.clock,
            random: this.options.random,
            nextRequest: () => ++this.requests,
            isOrphan: claim => this.attempts.isOrphan(claim),
        });
        this.committers.set(shard, committer);
        return committer;
    }
}
