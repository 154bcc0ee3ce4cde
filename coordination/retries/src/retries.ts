/**
 * Retry and hedge policy of a node. Decides after each attempt whether to respond to the caller, retry the call or wait
 * for another attempt in flight, and whether to hedge a slow call. All calls of a node share the budgets and latencies.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import { assertInvariant } from "@bilberrycroft/core.errors";
import type { Random } from "@bilberrycroft/core.random";
import { RunTimeClass } from "@bilberrycroft/state.rules";
import { Budget } from "./budget";
import { CallInFlight } from "./call";
import { RouteLatencies } from "./latencies";
import {
    type AttemptDecision,
    AttemptDecisionKind,
    type AttemptEnd,
    AttemptResultKind,
    type AttemptStart,
    type HedgeSchedule,
    type CallStart,
    type HedgeDecision,
    HedgeDecisionKind,
} from "./types";

export interface RetriesOptions {
    readonly clock: Clock;
    readonly random: Random;
}

/** Maximum attempts per call, hedges included. Bounds the work on a call that every target refuses. */
export const maxAttempts = 3;
/** Retries allowed per call that may be retried. */
export const retryBudgetRatio = 0.1;
/** Retries per second allowed regardless of the number of calls. */
export const minRetriesPerSecond = 1;
/** Hedges allowed per call that may be retried. */
export const hedgeBudgetRatio = 0.05;

// The next attempt goes to another target, so the first backoff only has to spread the retries of calls that failed at
// the same time.
const initialBackoffMs: Milliseconds = 5;
const backoffFactor = 2;
// A hedge sent sooner than a new connection can be set up costs more than it saves.
const minHedgeDelayMs: Milliseconds = 1;

const waitDecision: AttemptDecision = { kind: AttemptDecisionKind.Wait };
const ignoredDecision: AttemptDecision = { kind: AttemptDecisionKind.Ignored };
const noHedgeDecision: HedgeDecision = { kind: HedgeDecisionKind.NoHedge };

export class Retries {
    private readonly clock: Clock;
    private readonly random: Random;
    private readonly calls = new Map<string, CallInFlight>();
    private readonly latencies = new Map<string, RouteLatencies>();
    private readonly retryBudget = new Budget({ share: retryBudgetRatio, minimumPerSecond: minRetriesPerSecond });
    private readonly hedgeBudget = new Budget({ share: hedgeBudgetRatio, minimumPerSecond: 0 });

    constructor(options: RetriesOptions) {
        this.clock = options.clock;
        this.random = options.random;
    }

    /** Registers a call. Must be called before its first attempt. */
    handleCallStart(start: CallStart): HedgeSchedule {
        assertInvariant(!this.calls.has(start.callId), `call ${start.callId} was already started`);
        const now = this.clock.now();
        this.calls.set(start.callId, new CallInFlight(start));
        if (canRetry(start)) {
            // Calls that cannot be retried add nothing to the budgets. Each level of a call chain then adds retries in
            // proportion to the chain's first attempts, and the ratios of the levels do not multiply.
            this.retryBudget.recordCall(now);
            this.hedgeBudget.recordCall(now);
        }
        return { hedgeAt: this.computeHedgeTime(start, now) };
    }

    /** Registers an attempt before its first byte is sent. Returns the value for its `x-mesh-attempt` header. */
    handleAttemptStart(start: AttemptStart): number {
        const call = this.calls.get(start.callId);
        assertInvariant(call !== undefined, `attempt started for unknown call ${start.callId}`);
        call.addAttempt(start.target, this.clock.now());
        return call.start.attempt + call.triedTargets.length - 1;
    }

    /** Decides what to do after an attempt ended. Ignores attempts that are not in flight. */
    handleAttemptEnd(end: AttemptEnd): AttemptDecision {
        const call = this.calls.get(end.callId);
        const startedAt = call?.inFlight.get(end.target);
        if (call === undefined || startedAt === undefined) {
            return ignoredDecision;
        }
        call.inFlight.delete(end.target);
        this.recordLatency(call, end, startedAt);
        if (end.result.kind === AttemptResultKind.Done) {
            return this.finishCall(call, call.respondWithSuccess(end.target));
        }
        call.recordFailure(end.result);
        if (call.inFlight.size > 0 || call.isAttemptPending) {
            return waitDecision;
        }
        return this.retryOrRespond(call, end.result.kind);
    }

    /** Handles a `RetryAt` or `Hedge` that led to no attempt, because no target or no time remained. */
    handleAttemptNotStarted(callId: string): AttemptDecision {
        const call = this.calls.get(callId);
        if (call === undefined) {
            return ignoredDecision;
        }
        call.isAttemptPending = false;
        return call.inFlight.size > 0 ? waitDecision : this.finishCall(call, call.respondWithFailure());
    }

    /** Decides at a call's hedge time whether to send the call to a second target. */
    handleHedgeTime(callId: string): HedgeDecision {
        const call = this.calls.get(callId);
        const now = this.clock.now();
        if (call === undefined || call.isHedged || call.isAttemptPending || call.inFlight.size === 0) {
            return noHedgeDecision;
        }
        if (!canHedge(call.start) || call.triedTargets.length >= maxAttempts || now >= call.start.deadlineAt) {
            return noHedgeDecision;
        }
        if (!this.hedgeBudget.trySpend(now)) {
            return noHedgeDecision;
        }
        call.isHedged = true;
        call.isAttemptPending = true;
        return { kind: HedgeDecisionKind.Hedge, exclude: [...call.triedTargets] };
    }

    /** Removes a call whose caller disconnected. Returns the targets whose attempts have to be cancelled. */
    handleCallerDisconnect(callId: string): readonly string[] {
        const call = this.calls.get(callId);
        this.calls.delete(callId);
        return call === undefined ? [] : [...call.inFlight.keys()];
    }

    /** Drops the latencies of routes that are no longer in the rules. */
    retainRoutes(routes: ReadonlySet<string>): void {
        for (const route of this.latencies.keys()) {
            if (!routes.has(route)) {
                this.latencies.delete(route);
            }
        }
    }

    private retryOrRespond(call: CallInFlight, result: AttemptResultKind): AttemptDecision {
        const now = this.clock.now();
        const at = now + this.computeBackoff(call.triedTargets.length);
        const isAllowed = result !== AttemptResultKind.Cancelled
            && call.canRepeat()
            && canRetry(call.start)
            && call.triedTargets.length < maxAttempts
            && at < call.start.deadlineAt;
        if (!isAllowed || !this.retryBudget.trySpend(now)) {
            return this.finishCall(call, call.respondWithFailure());
        }
        call.isAttemptPending = true;
        return { kind: AttemptDecisionKind.RetryAt, at, exclude: [...call.triedTargets] };
    }

    private finishCall(call: CallInFlight, decision: AttemptDecision): AttemptDecision {
        const now = this.clock.now();
        // A slow attempt that lost to its hedge counts with its elapsed time. Otherwise each hedge would lower the
        // percentile and cause more hedges.
        for (const startedAt of call.inFlight.values()) {
            this.latenciesOf(call).record(now - startedAt);
        }
        this.calls.delete(call.start.callId);
        return decision;
    }

    private computeBackoff(attempts: number): Milliseconds {
        const maxBackoffMs = initialBackoffMs * backoffFactor ** (attempts - 1);
        return maxBackoffMs * (1 + this.random.nextFraction()) / 2;
    }

    private computeHedgeTime(start: CallStart, now: Milliseconds): Milliseconds | undefined {
        const delayMs = canHedge(start) ? this.latencies.get(start.route.name)?.percentile95() : undefined;
        const hedgeAt = delayMs === undefined ? undefined : now + Math.max(delayMs, minHedgeDelayMs);
        return hedgeAt !== undefined && hedgeAt < start.deadlineAt ? hedgeAt : undefined;
    }

    private recordLatency(call: CallInFlight, end: AttemptEnd, startedAt: Milliseconds): void {
        if (end.result.kind === AttemptResultKind.Done || end.result.kind === AttemptResultKind.TimedOut) {
            this.latenciesOf(call).record(this.clock.now() - startedAt);
        }
    }

    private latenciesOf(call: CallInFlight): RouteLatencies {
        const route = call.start.route.name;
        const latencies = this.latencies.get(route) ?? new RouteLatencies();
        this.latencies.set(route, latencies);
        return latencies;
    }
}

/** Only one level of a call chain retries: an inner call made by a retried attempt is not retried itself. */
function canRetry(start: CallStart): boolean {
    return start.depth === 0 || start.attempt <= 1;
}

function canHedge(start: CallStart): boolean {
    return start.route.repeatable && start.route.runTimeClass === RunTimeClass.Short && canRetry(start);
}
