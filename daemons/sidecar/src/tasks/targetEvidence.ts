/**
 * Counts the runs of the local target while a rollout of its service is active.
 */
import { RunResult } from "@bilberrycroft/coordination.forwarding";
import { RunOutcome, VersionEvidence } from "@bilberrycroft/coordination.rollouts";
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import {
    type AnnouncedTarget,
    isActivePhase,
    type RolloutPlan,
    unnamedVersion,
    type VersionCounts,
} from "@bilberrycroft/protocol.forwarding";

export interface CompletedRun {
    /** Target that ran the call; `undefined` if it is not known. */
    readonly target: AnnouncedTarget | undefined;
    readonly route: string;
    readonly result: RunResult;
    readonly startedAt: Milliseconds;
}

/** A run that the target refused is no evidence. */
const outcomes: Readonly<Partial<Record<RunResult, RunOutcome>>> = {
    [RunResult.Answered]: RunOutcome.Answered,
    [RunResult.Failed]: RunOutcome.Failed,
    [RunResult.Broken]: RunOutcome.Lost,
    // A version that hangs in some of its calls looks like one that does not queue them.
    [RunResult.Unqueued]: RunOutcome.Lost,
    [RunResult.Cancelled]: RunOutcome.Cancelled,
};

export class TargetEvidence {
    private plan: RolloutPlan | undefined;
    private evidence: VersionEvidence | undefined;

    constructor(private readonly clock: Clock) {}

    /** Sets the plan of the target's service. */
    setPlan(plan: RolloutPlan | undefined): void {
        this.plan = plan !== undefined && isActivePhase(plan.phase) ? plan : undefined;
        this.evidence = this.plan === undefined ? undefined : this.evidence;
    }

    record({ target, route, result, startedAt }: CompletedRun): void {
        const outcome = outcomes[result];
        if (outcome !== undefined && target !== undefined) {
            const at = this.clock.now();
            const isCold = this.clock.wallTime() - (at - startedAt) < target.coldUntil;
            this.evidenceOf(target)?.record({ route, outcome, runTimeMs: at - startedAt, isCold, at });
        }
    }

    /** Returns the counts of the target's version; `undefined` without an active plan. */
    countsOf(target: AnnouncedTarget | undefined): VersionCounts | undefined {
        return target === undefined ? undefined : this.evidenceOf(target)?.counts;
    }

    private evidenceOf({ version = unnamedVersion }: AnnouncedTarget): VersionEvidence | undefined {
        if (this.plan === undefined) {
            return undefined;
        }
        const { orderRevision } = this.plan;
        if (this.evidence?.version !== version || this.evidence.orderRevision !== orderRevision) {
            this.evidence = new VersionEvidence({ version, orderRevision, since: this.clock.wallTime() });
        }
        return this.evidence;
    }
}
