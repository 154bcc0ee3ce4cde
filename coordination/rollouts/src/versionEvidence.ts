/**
 * Counts what a target's version does while a plan is active, at the target's node.
 *
 * Answers the load of a rollout: the node sees every run of its target once, without the network, the queues and the
 * retries that callers see. The counts are cumulative, so that a lost report or a new acting node loses nothing.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { maxCountedRoutes, type RouteCounts, type VersionCounts } from "@bilberrycroft/protocol.forwarding";

export enum RunOutcome {
    Answered = "answered",
    /** The target responded with a failure. */
    Failed = "failed",
    /** No usable response: the connection broke, or the deadline passed. */
    Lost = "lost",
    /** The caller no longer waited; the run time is a lower bound. */
    Cancelled = "cancelled",
}

export interface TargetRun {
    readonly route: string;
    readonly outcome: RunOutcome;
    readonly runTimeMs: Milliseconds;
    /** Whether the target had announced that it was still starting. */
    readonly isCold: boolean;
    /** End of the run. */
    readonly at: Milliseconds;
}

export interface VersionEvidenceOptions {
    readonly version: string;
    readonly orderRevision: number;
    /** Distinguishes these counts from those of an earlier process of the node. */
    readonly since: number;
}

/** A target that restarts breaks all its connections at once; losses within this time of a counted one count once. */
const lossEventMs: Milliseconds = 1_000;
/** Such events that are not counted: a target that is restarted is not thereby bad. */
const uncountedLosses = 3;
/** Bounds the effect of run times too short to be told apart. */
const minRunTimeMs: Milliseconds = 0.5;
/** Counts the calls of routes beyond the limit. */
const otherRoutes = "other";

interface MutableCounts {
    runs: number;
    failures: number;
    timed: number;
    logSum: number;
    logSquareSum: number;
}

export class VersionEvidence {
    private readonly routes = new Map<string, MutableCounts>();
    private lastLossAt: Milliseconds = Number.NEGATIVE_INFINITY;
    private lossEvents = 0;

    constructor(private readonly options: VersionEvidenceOptions) {}

    get version(): string {
        return this.options.version;
    }

    get orderRevision(): number {
        return this.options.orderRevision;
    }

    record({ route, outcome, runTimeMs, isCold, at }: TargetRun): void {
        if (outcome === RunOutcome.Lost) {
            const isSameEvent = at - this.lastLossAt < lossEventMs;
            if (isSameEvent) {
                return;
            }
            this.lastLossAt = at;
            this.lossEvents++;
            if (this.lossEvents <= uncountedLosses) {
                return;
            }
        }
        const counts = this.countsOf(route);
        if (outcome !== RunOutcome.Cancelled) {
            counts.runs++;
        }
        if (outcome === RunOutcome.Failed || outcome === RunOutcome.Lost) {
            counts.failures++;
        }
        // A failure may be fast, and a target that starts is slow whatever its version.
        if (outcome !== RunOutcome.Failed && !isCold) {
            const log = Math.log(Math.max(minRunTimeMs, runTimeMs));
            counts.timed++;
            counts.logSum += log;
            counts.logSquareSum += log * log;
        }
    }

    /** Returns the counts since the start. */
    get counts(): VersionCounts {
        const routes: RouteCounts[] = [...this.routes].map(([route, counts]) => ({ route, ...counts }));
        return { ...this.options, routes };
    }

    private countsOf(route: string): MutableCounts {
        const name = this.routes.has(route) || this.routes.size < maxCountedRoutes - 1 ? route : otherRoutes;
        const existing = this.routes.get(name) ?? { runs: 0, failures: 0, timed: 0, logSum: 0, logSquareSum: 0 };
        this.routes.set(name, existing);
        return existing;
    }
}
