/**
 * What a node knows of the rollout of one service: the newest plan, the time since the order, and what reports showed.
 */
import {
    decideStep,
    EvidenceHistory,
    type Judgement,
    judgeHistory,
    type Step,
    StepReason,
} from "@bilberrycroft/coordination.rollouts";
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import {
    type NodeEntry,
    type NodeReport,
    RolloutPhase,
    TargetPhase,
    unnamedVersion,
} from "@bilberrycroft/protocol.forwarding";
import type { StoredPlan } from "../nodeTable";
import type { RolloutBounds } from "../settings";

/** A node that was asked for its report; `undefined` if it did not respond in time. */
export interface PolledNode {
    readonly entry: NodeEntry;
    readonly report: NodeReport | undefined;
}

export interface RolloutSurroundings {
    /** Name of this node. */
    readonly node: string;
    readonly bounds: RolloutBounds;
    readonly entries: readonly NodeEntry[];
    /** Longest time that a call to the service may take. */
    readonly maxCallMs: Milliseconds;
}

export interface PollStart {
    readonly startedAt: Milliseconds;
    readonly revision: number;
}

export interface RolloutDecision {
    readonly step: Step | undefined;
    readonly judgement: Judgement;
}

/** Time until a plan is in force on all nodes; earlier reports are no evidence for its share. */
const planApplyMs: Milliseconds = 1_000;
/** Polls in a row in which nothing must run on the old version, so that offers on their way have arrived. */
const minIdlePolls = 2;
/**
 * Two nodes that both believe that they act would take the plan from each other in every poll, and no step would
 * follow. Whoever lost the plan leaves it to the other for this time, which is enough for one step.
 */
const supersededMs: Milliseconds = 2_500;
/** A node that misses more reports is not in contact. */
const maxMissedReports = 2;

export class ServiceRollout {
    private startedAt: Milliseconds;
    private planSeenAt: Milliseconds;
    private hasReports = false;
    private hasEvidence = false;
    private idlePolls = 0;
    private supersededAt: Milliseconds = Number.NEGATIVE_INFINITY;
    private readonly history: EvidenceHistory;
    /** Reports missed in a row, by node. */
    private readonly missedReports = new Map<string, number>();
    /** Nodes that are known to have the present plan. */
    private readonly informedNodes = new Set<string>();

    constructor(private latest: StoredPlan, private readonly clock: Clock) {
        const { version, orderRevision, elapsedMs } = latest.plan;
        this.planSeenAt = clock.now();
        this.startedAt = this.planSeenAt - elapsedMs;
        this.history = new EvidenceHistory({ clock, version, orderRevision });
    }

    /** The newest plan that this node has read or written. */
    get stored(): StoredPlan {
        return this.latest;
    }

    /** Time since the order, by this node's clock and the elapsed times of the plans. */
    get elapsedMs(): Milliseconds {
        return Math.round(Math.max(0, this.clock.now() - this.startedAt));
    }

    /** Whether the plan is of the same order, so that the evidence stays valid. */
    continuesWith({ plan }: StoredPlan): boolean {
        const { orderRevision, version } = this.latest.plan;
        return plan.orderRevision === orderRevision && plan.version === version;
    }

    /** Replaces the plan by a newer one of the same order. */
    adopt(stored: StoredPlan, node: string): void {
        if (this.latest.plan.writer === node && stored.plan.writer !== node) {
            this.supersededAt = this.clock.now();
        }
        if (this.latest.plan.share !== stored.plan.share) {
            this.history.startPeriod();
        }
        this.latest = stored;
        this.planSeenAt = this.clock.now();
        this.startedAt = Math.min(this.startedAt, this.planSeenAt - stored.plan.elapsedMs);
        this.hasEvidence = false;
        this.idlePolls = 0;
        this.informedNodes.clear();
    }

    /** Returns the nodes to ask: those of the service, and in `Drained` all that are not known to have the plan. */
    selectPolledNodes(entries: readonly NodeEntry[]): readonly NodeEntry[] {
        const { phase, service } = this.latest.plan;
        return entries.filter(({ node, target }) => target?.service === service
            || (phase === RolloutPhase.Drained && !this.informedNodes.has(node)));
    }

    /** The order was seen at this time. */
    noteOrder(seenAt: Milliseconds): void {
        this.startedAt = Math.min(this.startedAt, seenAt);
    }

    /** Adds the reports of a poll that began at `startedAt` for this revision of the plan. */
    addReports(polled: readonly PolledNode[], { startedAt, revision }: PollStart): void {
        let hasCounts = false;
        const isCurrent = this.latest.revision === revision;
        for (const { entry: { node }, report } of polled) {
            this.hasReports ||= report !== undefined;
            if (isCurrent && report !== undefined && report.state.registryRevision >= revision) {
                this.informedNodes.add(node);
            }
            this.missedReports.set(node, report === undefined ? (this.missedReports.get(node) ?? 0) + 1 : 0);
            if (report?.counts !== undefined) {
                this.history.add(node, report.counts);
                hasCounts = true;
            }
        }
        if (isCurrent) {
            this.hasEvidence ||= hasCounts && startedAt - this.planSeenAt >= planApplyMs;
            const isIdle = this.latest.plan.phase === RolloutPhase.Drained && this.isOldIdle(polled);
            this.idlePolls = isIdle ? this.idlePolls + 1 : 0;
        }
    }

    /** Returns the next step, `undefined` if the plan stays, and the judgement that it is based on. */
    decide({ node, bounds, entries, maxCallMs }: RolloutSurroundings): RolloutDecision {
        const { plan } = this.latest;
        const judgement = judgeHistory(this.history);
        const targets = entries.filter(({ target }) =>
            target?.service === plan.service && target.phase === TargetPhase.Ready);
        const versionsBefore = new Set(plan.versionsBefore);
        const step = decideStep({
            plan,
            elapsedMs: this.elapsedMs,
            planAgeMs: this.clock.now() - this.planSeenAt,
            writer: node,
            judgement,
            totals: this.history.totals,
            hasReports: this.hasReports,
            hasEvidence: this.hasEvidence,
            newTargets: targets.filter(({ target }) => target?.version === plan.version).length,
            oldTargets: targets.filter(({ target }) => versionsBefore.has(target?.version ?? unnamedVersion)).length,
            isOldIdle: this.idlePolls >= minIdlePolls,
            drainMs: maxCallMs,
            exposure: { share: bounds.exposureShare, slack: bounds.exposureSlack },
        });
        const isSuperseded = step?.reason === StepReason.TakenOver
            && this.clock.now() - this.supersededAt < supersededMs;
        return { step: isSuperseded ? undefined : step, judgement };
    }

    /** Whether all nodes in contact have the plan, and their targets of other versions have nothing to run. */
    private isOldIdle(polled: readonly PolledNode[]): boolean {
        const { plan, revision } = this.latest;
        return polled.some(({ report }) => report !== undefined)
            && polled.every(({ entry: { node, target }, report }) => {
                if (report === undefined) {
                    return (this.missedReports.get(node) ?? 0) > maxMissedReports;
                }
                const isOld = target?.service === plan.service && (target.version ?? unnamedVersion) !== plan.version;
                const isIdle = report.load.running + report.load.queued === 0;
                return report.state.registryRevision >= revision && (!isOld || isIdle);
            });
    }
}
