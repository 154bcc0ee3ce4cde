/**
 * Calls of other nodes in a target, estimated from its load reports.
 *
 * Reports may be late or wrong. Their weight falls with age, and with each report that contradicts what the sender
 * observed itself: fewer calls than it has in the target, or an overfull target that responds as fast as usual.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import type { ReportedLoad } from "@bilberrycroft/protocol.calls";

/** The weight of a report falls to nothing in this time: calls of a few milliseconds have then left the target. */
const reportLifetimeMs = 20;
/** Long calls change the load more slowly, so a report says for longer whether a target is free of them. */
const undiscountedLifetimeMs = 50;
const trustGain = 0.1;
/** A target with this many times its slots in calls cannot respond at its usual latency. */
const overfull = 1.5;
const slowdownOfOverfull = 1.2;
/** The sender's own calls at the time of the report are known only to within this many. */
const countTolerance = 2;

/** A report with what the sender observed when it arrived. */
export interface ReportObservation {
    readonly load: ReportedLoad;
    readonly ownCalls: number;
    readonly slots: number;
    readonly slowdown: number;
}

/** Latest report of a target and the trust in its reports. */
export class LoadEstimate {
    private others = 0;
    private reportedAt = Number.NEGATIVE_INFINITY;
    private trust = 1;

    /** Takes a report. */
    add(observation: ReportObservation, now: Milliseconds): void {
        const { load, ownCalls, slots, slowdown } = observation;
        const underReported = load.calls + countTolerance < ownCalls;
        const overReported = load.calls > overfull * slots && slowdown < slowdownOfOverfull;
        this.trust += trustGain * ((underReported || overReported ? 0 : 1) - this.trust);
        this.others = Math.min(slots, Math.max(0, load.calls - ownCalls));
        this.reportedAt = now;
    }

    /** Calls of other nodes that are probably in the target. */
    othersAt(now: Milliseconds): number {
        const weight = 1 - (now - this.reportedAt) / reportLifetimeMs;
        return weight <= 0 ? 0 : this.others * this.trust * weight;
    }

    /** Calls of other nodes by a recent report, without discount; `undefined` if there is none. */
    reportedOthersAt(now: Milliseconds): number | undefined {
        return now - this.reportedAt < undiscountedLifetimeMs ? this.others : undefined;
    }
}
