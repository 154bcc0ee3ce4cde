/**
 * Finds the running calls that a target has probably never queued.
 *
 * The targets of some services never respond to a call that they cannot queue. Such a call outlasts by far what its
 * route usually takes, while other calls of the target end. A target of which no call ends is unresponsive, not full,
 * and none of its calls is found here.
 *
 * A route may have rare runs that are much longer than usual, and a call that is ended early does not show how long
 * it would have taken. Therefore one such call at a time, the check, goes on for half of its time. If its response
 * arrives, its run time raises the limit of its route.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import { evictOldestIfFull } from "./boundedMap";
import type { RunTimeEstimates } from "./runTimes";

/** Run times of ordinary calls vary by a factor of 3.4 (log-normal, deviation 0.4, one of a thousand). */
const overdueFactor = 4;
/** Margin over the longest recent run of the route. */
const longestRunFactor = 1.5;
/** Shorter delays also come from pauses of a process on a busy processor. */
const minOverdueMs: Milliseconds = 200;
/** Ends of a route before its calls are judged. */
const minEndsOfRoute = 8;
/** Ends after which the longest run time of a route is forgotten, in one to two periods of this length. */
const longestRunPeriodEnds = 256;
/** Other calls that have ended since the call was sent, so that a single fast call is no evidence. */
const minEndsSince = 2;
/** A running call of this many usual run times, during which no other call has ended, shows an unresponsive target. */
const unresponsiveFactor = 1.5;
/** Weight of the latest call in the present slowness; follows a noisy period of a target within a few calls. */
const slownessEwmaWeight = 0.3;
/** Share of its time for which the check goes on. */
const checkTimeShare = 0.5;
/** One of this many calls is a check even after silence was confirmed. */
const callsPerCheck = 16;
/** Bounds memory use when routes are added and removed. */
const maxRoutes = 1_024;

interface TrackedCall {
    readonly route: string;
    readonly deadlineAt: Milliseconds;
    readonly startedAt: Milliseconds;
    /** Calls that ran when this one started, itself included. */
    readonly place: number;
    endsSince: number;
    hasProgress: boolean;
}

interface RouteRuns {
    ends: number;
    longestMs: Milliseconds;
    previousLongestMs: Milliseconds;
}

export class UnansweredCalls {
    private readonly calls = new Map<string, TrackedCall>();
    private readonly routes = new Map<string, RouteRuns>();
    /** Run times of the calls that end at present, as a multiple of the usual ones of their routes. */
    private slowness = 1;
    private check: string | undefined;
    /** Calls that may still be ended without a check. */
    private callsUntilCheck = 0;

    constructor(private readonly clock: Clock, private readonly runTimes: RunTimeEstimates) {}

    recordStart(callId: string, call: Pick<TrackedCall, "route" | "deadlineAt" | "place">): void {
        this.calls.set(callId, { ...call, startedAt: this.clock.now(), endsSince: 0, hasProgress: false });
    }

    /** The target has shown that it runs the call. */
    recordProgress(callId: string): void {
        const call = this.calls.get(callId);
        if (call !== undefined) {
            call.hasProgress = true;
        }
    }

    /** Records the end of a call; to be called before its run time enters the estimates. */
    recordEnd(callId: string, hasResponse: boolean): void {
        const ended = this.calls.get(callId);
        this.calls.delete(callId);
        if (this.check === callId) {
            this.check = undefined;
        }
        if (ended === undefined || !hasResponse) {
            return;
        }
        const runMs = this.clock.now() - ended.startedAt;
        const ratio = runMs / Math.max(1, this.runTimes.expectedMs(ended.route));
        this.slowness += slownessEwmaWeight * (ratio - this.slowness);
        this.recordRunTime(ended.route, runMs);
        for (const call of this.calls.values()) {
            call.endsSince++;
        }
    }

    /** Records a response of the route to a call that had been ended here as unanswered. */
    recordLateResponse(route: string, runMs: Milliseconds): void {
        this.callsUntilCheck = 0;
        this.recordRunTime(route, runMs);
    }

    /**
     * Running calls that were probably never queued, without the one that is the check. `hasProgress` tells whether any
     * part of a response has arrived.
     */
    findOverdue(hasProgress: (callId: string) => boolean): string[] {
        const now = this.clock.now();
        const overdue: string[] = [];
        for (const [callId, call] of this.calls) {
            const usualMs = Math.max(1, this.slowness) * this.runTimes.expectedMs(call.route);
            if (call.endsSince === 0 && !call.hasProgress && now - call.startedAt > unresponsiveFactor * usualMs) {
                return [];
            }
            // A target accepts at least one call, so the only one in it has another reason to be late.
            const hasEvidence = call.place > 1 && call.endsSince >= Math.min(minEndsSince, call.place - 1);
            const isOverdue = hasEvidence && now - call.startedAt > this.limitMs(call.route, usualMs);
            if (isOverdue && !call.hasProgress) {
                call.hasProgress = hasProgress(callId);
                if (!call.hasProgress) {
                    overdue.push(callId);
                }
            }
        }
        return overdue.filter(callId => !this.isCheck(callId, now));
    }

    private isCheck(callId: string, now: Milliseconds): boolean {
        if (this.check === undefined && this.callsUntilCheck === 0) {
            this.check = callId;
        }
        if (this.check !== callId) {
            this.callsUntilCheck = Math.max(0, this.callsUntilCheck - 1);
            return false;
        }
        const { startedAt, deadlineAt } = this.calls.get(callId) as TrackedCall;
        if (now < startedAt + checkTimeShare * (deadlineAt - startedAt)) {
            return true;
        }
        this.check = undefined;
        this.callsUntilCheck = callsPerCheck;
        return false;
    }

    private limitMs(route: string, usualMs: Milliseconds): Milliseconds {
        const runs = this.routes.get(route);
        if (runs === undefined || runs.ends < minEndsOfRoute) {
            return Number.POSITIVE_INFINITY;
        }
        const longestMs = Math.max(runs.longestMs, runs.previousLongestMs);
        return Math.max(minOverdueMs, overdueFactor * usualMs, longestRunFactor * longestMs);
    }

    private recordRunTime(route: string, runMs: Milliseconds): void {
        evictOldestIfFull(this.routes, route, maxRoutes);
        const runs = this.routes.get(route) ?? { ends: 0, longestMs: 0, previousLongestMs: 0 };
        this.routes.set(route, runs);
        runs.ends++;
        runs.longestMs = Math.max(runs.longestMs, runMs);
        if (runs.ends % longestRunPeriodEnds === 0) {
            runs.previousLongestMs = runs.longestMs;
            runs.longestMs = 0;
        }
    }
}
