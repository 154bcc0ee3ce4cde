/**
 * What is known of one fingerprint. All of it follows from reports, so that nodes with the same reports agree.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import type { CrashReport } from "./types";

/** First hold of a fingerprint. */
export const firstHoldMs: Milliseconds = 60_000;
/** Longest hold. */
export const maxHoldMs: Milliseconds = 15 * 60_000;
/** Reports are forgotten when no newer one arrived for this time; the longest hold and its trial are over by then. */
export const reportLifetimeMs: Milliseconds = 2 * maxHoldMs;

// Six crashes in a row reach the longest hold. Two more leave room for crashes that do not follow from one another.
const keptReports = 8;

/** A crash that followed from the one before, or the first. */
interface ChainedCrash {
    readonly report: CrashReport;
    /** Monotonic time at which this node learned of it. */
    readonly learnedAt: Milliseconds;
    /** Age of the crash when this node learned of it. */
    readonly ageMs: Milliseconds;
}

/** Crashes of one fingerprint since it last completed. */
export class Suspect {
    private crashes: ChainedCrash[] = [];
    private completedAt: Milliseconds = -Infinity;
    /** Time of the trial call in flight. */
    trialStartedAt: Milliseconds | undefined;
    /** The fingerprint had completed shortly before the first of these crashes. */
    completedBefore = false;

    /** Adds a crash; `false` if it is known or the fingerprint completed after it. */
    addCrash(report: CrashReport, learnedAt: Milliseconds, wallTime: Milliseconds): boolean {
        if (report.at <= this.completedAt || this.crashes.some(crash => isSameCrash(crash.report, report))) {
            return false;
        }
        this.crashes.push({ report, learnedAt, ageMs: Math.max(0, wallTime - report.at) });
        this.crashes.sort((left, right) => left.report.at - right.report.at);
        // The first one stays, so that later crashes of one restarted target do not hide that there were two targets.
        this.crashes = [...this.crashes.slice(0, 1), ...this.crashes.slice(1).slice(1 - keptReports)];
        return true;
    }

    /** Drops the crashes before a completion; `false` if a later completion is known. */
    complete(at: Milliseconds): boolean {
        if (at <= this.completedAt) {
            return false;
        }
        this.completedAt = at;
        this.crashes = this.crashes.filter(crash => crash.report.at > this.completedAt);
        if (this.crashes.length === 0) {
            this.trialStartedAt = undefined;
        }
        return true;
    }

    /** Forgets everything once the newest report is older than the report lifetime; `true` if it did. */
    expire(wallTime: Milliseconds): boolean {
        if (this.newestAt > wallTime - reportLifetimeMs) {
            return false;
        }
        this.crashes = [];
        return true;
    }

    /** Newest time of any report. */
    get newestAt(): Milliseconds {
        return Math.max(this.completedAt, this.crashes.at(-1)?.report.at ?? -Infinity);
    }

    get hasCrashes(): boolean {
        return this.crashes.length > 0;
    }

    /** Number of crashes in a row if they quarantine the fingerprint, otherwise 0. */
    get crashesInARow(): number {
        const chain = this.chain();
        return new Set(chain.map(crash => crash.report.target)).size >= 2 ? chain.length : 0;
    }

    /** Monotonic time until which a hold of this length lasts. */
    heldUntil(holdMs: Milliseconds): Milliseconds {
        const last = this.chain().at(-1);
        return last === undefined ? -Infinity : last.learnedAt + Math.max(0, holdMs - last.ageMs);
    }

    /** Whether this node itself had a call in flight at one of the crashes. */
    wasSeenBy(node: string): boolean {
        return this.crashes.some(crash => crash.report.node === node);
    }

    /**
     * Crashes of which each was met by a call that started after the one before. Targets that die together, for
     * example with their rack, count once: none of their calls was sent again after the first crash.
     */
    private chain(): readonly ChainedCrash[] {
        const chain: ChainedCrash[] = [];
        for (const crash of this.crashes) {
            const last = chain.at(-1);
            if (last === undefined || crash.report.startedAt >= last.report.at) {
                chain.push(crash);
            }
        }
        return chain;
    }
}

/** Whether two reports are of one crash: the calls were on the same target at the same time. */
function isSameCrash(one: CrashReport, other: CrashReport): boolean {
    return one.target === other.target && one.startedAt <= other.at && other.startedAt <= one.at;
}
