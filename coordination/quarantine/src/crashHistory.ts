/**
 * Crash history of one fingerprint. Consecutive crashes are derived from reports only, so that nodes with the same
 * reports agree on them.
 *
 * A crash before a completion is no evidence against the fingerprint. Completions that other nodes report, and those
 * that a crash report names, are known to all nodes; a completion on this node is not, until this node reports it.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import type { CrashReport } from "./types";

/** Duration of the first hold; each failed trial doubles it. */
export const initialHoldMs: Milliseconds = 60_000;
export const maxHoldMs: Milliseconds = 15 * 60_000;
/** Reports expire this long after the newest one. The longest hold and its trial have ended by then. */
export const reportLifetimeMs: Milliseconds = 2 * maxHoldMs;

/**
 * Consecutive crashes of one target that start a hold. A target may fail twice by itself while the same frequent call
 * is in flight; a service with a single target needs a hold all the same.
 */
const minCrashesOfOneTarget = 3;

// Seven consecutive crashes reach the longest hold. The other one is for a crash that is not consecutive.
const maxCrashReports = 8;

/** A crash report with the time at which this node received it. */
interface ReceivedCrash {
    readonly report: CrashReport;
    /** Monotonic time. */
    readonly receivedAt: Milliseconds;
    /** Age of the crash when this node received the report. */
    readonly ageMs: Milliseconds;
}

/** Crashes of a fingerprint since its last reported completion. */
export class CrashHistory {
    private crashes: ReceivedCrash[] = [];
    /** Wall time of the last completion that this node knows. */
    private completedAt: Milliseconds = -Infinity;
    /** Wall time of the last completion that all nodes know. */
    private reportedCompletionAt: Milliseconds = -Infinity;
    /** Monotonic start time of the last trial call. */
    trialStartedAt: Milliseconds | undefined;
    /** Whether the fingerprint had completed recently when the first of these crashes was reported. */
    hadRecentCompletion = false;

    /** Adds a crash. Returns `false` if it is known or the fingerprint completed after it. */
    addCrash(report: CrashReport, receivedAt: Milliseconds, wallTime: Milliseconds): boolean {
        this.recordReportedCompletion(report.completedAt ?? -Infinity);
        const isKnown = this.crashes.some(crash => isSameCrash(crash.report, report));
        if (isKnown || report.at <= this.reportedCompletionAt) {
            return false;
        }
        this.crashes.push({ report, receivedAt, ageMs: Math.max(0, wallTime - report.at) });
        this.crashes.sort((left, right) => left.report.at - right.report.at);
        this.dropExcess();
        return report.at > this.completedAt;
    }

    /**
     * Drops the oldest crashes beyond the maximum, except the first one and the first that follows it on another
     * target. Otherwise repeated crashes of one restarted target push out those of the other, and the hold with them.
     */
    private dropExcess(): void {
        if (this.crashes.length > maxCrashReports && !this.isOpen(this.crashes[0] as ReceivedCrash)) {
            this.crashes.shift();
        }
        const [first] = this.crashes;
        while (first !== undefined && this.crashes.length > maxCrashReports) {
            const onOtherTarget = this.crashes.find(({ report }) =>
                report.target !== first.report.target && report.startedAt >= first.report.at);
            const index = this.crashes.findIndex(crash => crash !== first && crash !== onOtherTarget);
            this.crashes.splice(index, 1);
        }
    }

    /** Records a completion on this node. Returns `false` if this or a later completion is known. */
    recordCompletion(at: Milliseconds): boolean {
        if (at <= this.completedAt) {
            return false;
        }
        this.completedAt = at;
        if (!this.hasCrashes) {
            this.trialStartedAt = undefined;
        }
        return true;
    }

    /** Records a completion that all nodes know. Returns `false` if this or a later completion is known. */
    recordReportedCompletion(at: Milliseconds): boolean {
        this.reportedCompletionAt = Math.max(this.reportedCompletionAt, at);
        this.crashes = this.crashes.filter(crash => crash.report.at > this.reportedCompletionAt);
        return this.recordCompletion(at);
    }

    /** Drops all crashes if the newest report has expired. Returns whether it has. */
    expire(wallTime: Milliseconds): boolean {
        if (this.lastReportAt > wallTime - reportLifetimeMs) {
            return false;
        }
        this.crashes = [];
        return true;
    }

    /** Wall time of the newest crash or completion. */
    get lastReportAt(): Milliseconds {
        return Math.max(this.completedAt, this.crashes.at(-1)?.report.at ?? -Infinity);
    }

    /** Whether there are crashes after the last completion. */
    get hasCrashes(): boolean {
        return this.crashes.some(crash => this.isOpen(crash));
    }

    /** Whether the consecutive crashes start a hold. */
    get isHeld(): boolean {
        return this.findHoldStart(this.findConsecutiveCrashes()) !== undefined;
    }

    /**
     * Wall time of a completion without which the crashes start a hold, and which is known to this node only;
     * `undefined` if there is none.
     */
    get unreportedCompletionAt(): Milliseconds | undefined {
        const isHeldElsewhere = this.findHoldStart(findConsecutiveCrashes(this.crashes)) !== undefined;
        return isHeldElsewhere && !this.isHeld ? this.completedAt : undefined;
    }

    /** Number of consecutive crashes after the one that started the hold. */
    get failedTrials(): number {
        const chain = this.findConsecutiveCrashes();
        const holdStart = this.findHoldStart(chain);
        return holdStart === undefined ? 0 : chain.length - 1 - holdStart;
    }

    /** Monotonic time at which a hold of this length ends. It starts with the last consecutive crash. */
    computeHoldEnd(holdMs: Milliseconds): Milliseconds {
        const last = this.findConsecutiveCrashes().at(-1);
        return last === undefined ? -Infinity : last.receivedAt + Math.max(0, holdMs - last.ageMs);
    }

    /** Whether the node had a call in flight at one of the crashes. */
    wasObservedBy(node: string): boolean {
        return this.crashes.some(crash => this.isOpen(crash) && crash.report.node === node);
    }

    /** Index of the consecutive crash that starts the hold. */
    private findHoldStart(chain: readonly ReceivedCrash[]): number | undefined {
        const index = chain.findIndex(({ report }, position) =>
            report.target !== chain[0]?.report.target || position + 1 >= minCrashesOfOneTarget);
        return index < 0 ? undefined : index;
    }

    private findConsecutiveCrashes(): readonly ReceivedCrash[] {
        return findConsecutiveCrashes(this.crashes.filter(crash => this.isOpen(crash)));
    }

    private isOpen({ report }: ReceivedCrash): boolean {
        return report.at > this.completedAt;
    }
}

/**
 * Consecutive crashes: the call of each one started after the previous crash. Targets that fail together, for example
 * with their rack, count once, because none of their calls was sent again after the first crash.
 */
function findConsecutiveCrashes(crashes: readonly ReceivedCrash[]): readonly ReceivedCrash[] {
    const chain: ReceivedCrash[] = [];
    for (const crash of crashes) {
        const last = chain.at(-1);
        if (last === undefined || crash.report.startedAt >= last.report.at) {
            chain.push(crash);
        }
    }
    return chain;
}

/** Whether two reports describe one crash: their calls were in flight on the same target at the same time. */
function isSameCrash(one: CrashReport, other: CrashReport): boolean {
    return one.target === other.target && one.startedAt <= other.at && other.startedAt <= one.at;
}
