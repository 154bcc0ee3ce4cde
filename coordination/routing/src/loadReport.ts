/**
 * Estimates the calls of other nodes in a target from its load reports.
 *
 * Reports may be late or wrong. Their weight decreases with age, and with each report that contradicts the local
 * observations: it counts fewer calls than this node has in the target, or it reports an overloaded target that
 * responds at its normal latency.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import type { ReportedLoad } from "@bilberrycroft/protocol.calls";

/** The weight of a report falls to zero in this time, in which calls of a few milliseconds have ended. */
const reportLifetimeMs = 20;
/** Long calls change the load more slowly, so their capacity check may use an older report. */
const undiscountedLifetimeMs = 50;
const trustEwmaWeight = 0.1;
/** A target with more than this multiple of its slots in calls cannot respond at its normal latency. */
const overloadFactor = 1.5;
const minOverloadSlowdown = 1.2;
/** Uncertainty of the number of local calls at the time of the report. */
const countTolerance = 2;

/** A load report with the local observations at its arrival. */
export interface ReportObservation {
    readonly load: ReportedLoad;
    readonly localCalls: number;
    readonly slots: number;
    readonly slowdown: number;
}

export class LoadEstimate {
    private otherCalls = 0;
    private reportedAt = Number.NEGATIVE_INFINITY;
    private trust = 1;

    add(observation: ReportObservation, now: Milliseconds): void {
        const { load, localCalls, slots, slowdown } = observation;
        const isUnderReported = load.calls + countTolerance < localCalls;
        const isOverReported = load.calls > overloadFactor * slots && slowdown < minOverloadSlowdown;
        this.trust += trustEwmaWeight * ((isUnderReported || isOverReported ? 0 : 1) - this.trust);
        this.otherCalls = Math.min(slots, Math.max(0, load.calls - localCalls));
        this.reportedAt = now;
    }

    /** Estimated calls of other nodes in the target, discounted by the age of the report and by trust. */
    otherCallsAt(now: Milliseconds): number {
        const weight = 1 - (now - this.reportedAt) / reportLifetimeMs;
        return weight <= 0 ? 0 : this.otherCalls * this.trust * weight;
    }

    /** Calls of other nodes according to a recent report, without discount; `undefined` if there is none. */
    reportedOtherCallsAt(now: Milliseconds): number | undefined {
        return now - this.reportedAt < undiscountedLifetimeMs ? this.otherCalls : undefined;
    }
}
