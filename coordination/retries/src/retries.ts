/**
 * Decides after each attempt whether a call is responded to, retried or left to another attempt in flight, and whether
 * a slow call is hedged. Budgets and latencies are shared by all calls of a node.
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
    type CallPlan,
    type CallStart,
    type HedgeDecision,
    HedgeDecisionKind,
} from "./types";

/** What `Retries` is created from. */
export interface RetriesOptions {
    readonly clock: Clock;
    readonly random: Random;
}

/** Attempts of one call, hedges included. Bounds the work of a call that every target refuses. */
export const maxAttempts = 3;
/** Additional attempts of failed calls for each call. */
export const retryShare = 0.1;
/** Retries per second that are allowed at any number of calls. */
export const minimumRetriesPerSecond = 1;
/** Hedges for each call. */
export const hedgeShare = 0.05;

// The next attempt goes to another target, so the first wait only has to separate the retries of calls that failed
// together.
const firstBackoffMs: Milliseconds = 5;
const backoffFactor = 2;
// A hedge earlier than a new connection takes would cost more than it saves.
const minimumHedgeDelayMs: Milliseconds = 1;

const wait: AttemptDecision = { kind: AttemptDecisionKind.Wait };
const ignored: AttemptDecision = { kind: AttemptDecisionKind.Ignored };
const noHedge: HedgeDecision = { kind: HedgeDecisionKind.NoHedge };

/** Retry and hedge decisions of one node. */
export class Retries {
    private readonly clock: Clock;
    private readonly random: Random;
    private readonly calls = new Map<string, CallInFlight>();
    private readonly latencies = new Map<string, RouteLatencies>();
    private readonly retryBudget = new Budget({ share: retryShare, minimumPerSecond: minimumRetriesPerSecond });
    private readonly hedgeBudget = new Budget({ share: hedgeShare, minimumPerSecond: 0 });

    constructor(options: RetriesOptions) {
        this.clock = options.clock;
        this.random = options.random;
    }

    /** Takes in a call before its first attempt. */
    callStarted(start: CallStart): CallPlan {
        assertInvariant(!this.calls.has(start.callId), `call ${start.callId} started twice`);
        const now = this.clock.now();
        this.calls.set(start.callId, new CallInFlight(start));
        if (mayRetry(start)) {
            // Calls that may not be retried earn nothing: each level of a chain then adds a share of the chain's first
            // attempts, and the shares of the levels do not multiply.
            this.retryBudget.callStarted(now);
            this.hedgeBudget.callStarted(now);
        }
        return { hedgeAt: this.chooseHedgeTime(start, now) };
    }

    /** Takes in an attempt before its first byte is sent; returns the number for its `x-mesh-attempt` header. */
    attemptStarted(start: AttemptStart): number {
        const call = this.calls.get(start.callId);
        assertInvariant(call !== undefined, `attempt of unknown call ${start.callId}`);
        call.attemptStarted(start.target, this.clock.now());
        return call.start.attempt + call.tried.length - 1;
    }

    /** Decides what follows the end of an attempt. */
    attemptEnded(end: AttemptEnd): AttemptDecision {
        const call = this.calls.get(end.callId);
        const startedAt = call?.inFlight.get(end.target);
        if (call === undefined || startedAt === undefined) {
            return ignored;
        }
        call.inFlight.delete(end.target);
        this.recordLatency(call, end, startedAt);
        if (end.result.kind === AttemptResultKind.Done) {
            return this.finish(call, call.respondWithResponseOf(end.target));
        }
        call.attemptFailed(end.result);
        if (call.inFlight.size > 0 || call.attemptPending) {
            return wait;
        }
        return this.retryOrRespond(call, end.result.kind);
    }

    /** Takes in that no attempt follows a `RetryAt` or `Hedge`: there was no target left, or no time. */
    attemptNotStarted(callId: string): AttemptDecision {
        const call = this.calls.get(callId);
        if (call === undefined) {
            return ignored;
        }
        call.attemptPending = false;
        return call.inFlight.size > 0 ? wait : this.finish(call, call.respondWithoutResponse());
    }

    /** Decides whether a call that is not answered at its hedge time is sent to a second target. */
    hedgeDue(callId: string): HedgeDecision {
        const call = this.calls.get(callId);
        const now = this.clock.now();
        if (call === undefined || call.hedged || call.attemptPending || call.inFlight.size === 0) {
            return noHedge;
        }
        if (!mayHedge(call.start) || call.tried.length >= maxAttempts || now >= call.start.deadlineAt) {
            return noHedge;
        }
        if (!this.hedgeBudget.trySpend(now)) {
            return noHedge;
        }
        call.hedged = true;
        call.attemptPending = true;
        return { kind: HedgeDecisionKind.Hedge, exclude: [...call.tried] };
    }

    /** Forgets a call whose caller left; returns the targets of attempts to cancel. */
    callAbandoned(callId: string): readonly string[] {
        const call = this.calls.get(callId);
        this.calls.delete(callId);
        return call === undefined ? [] : [...call.inFlight.keys()];
    }

    /** Forgets the latencies of routes that the rules no longer have. */
    keepRoutes(routes: ReadonlySet<string>): void {
        for (const route of this.latencies.keys()) {
            if (!routes.has(route)) {
                this.latencies.delete(route);
            }
        }
    }

    private retryOrRespond(call: CallInFlight, result: AttemptResultKind): AttemptDecision {
        const now = this.clock.now();
        const at = now + this.chooseBackoff(call.tried.length);
        const allowed = result !== AttemptResultKind.Cancelled
            && call.mayRepeat()
            && mayRetry(call.start)
            && call.tried.length < maxAttempts
            && at < call.start.deadlineAt;
        if (!allowed || !this.retryBudget.trySpend(now)) {
            return this.finish(call, call.respondWithoutResponse());
        }
        call.attemptPending = true;
        return { kind: AttemptDecisionKind.RetryAt, at, exclude: [...call.tried] };
    }

    private finish(call: CallInFlight, decision: AttemptDecision): AttemptDecision {
        const now = this.clock.now();
        // A slow attempt that a hedge overtook counts with its time so far. Without it the percentile would sink with
        // each hedge and cause more of them.
        for (const startedAt of call.inFlight.values()) {
            this.latenciesOf(call).record(now - startedAt);
        }
        this.calls.delete(call.start.callId);
        return decision;
    }

    private chooseBackoff(attempts: number): Milliseconds {
        const longest = firstBackoffMs * backoffFactor ** (attempts - 1);
        return longest * (1 + this.random.nextFraction()) / 2;
    }

    private chooseHedgeTime(start: CallStart, now: Milliseconds): Milliseconds | undefined {
        const delay = mayHedge(start) ? this.latencies.get(start.route.name)?.percentile95() : undefined;
        const hedgeAt = delay === undefined ? undefined : now + Math.max(delay, minimumHedgeDelayMs);
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

/** One level of a call chain retries: an inner call of an attempt that is already a retry is not repeated again. */
function mayRetry(start: CallStart): boolean {
    return start.depth === 0 || start.attempt <= 1;
}

function mayHedge(start: CallStart): boolean {
    return start.route.repeatable && start.route.runTimeClass === RunTimeClass.Short && mayRetry(start);
}
