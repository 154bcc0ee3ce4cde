/**
 * Which targets of a service a call may go to while its versions change.
 *
 * Answers a rollout: each call is drawn to one version by the plan's share, so that the exposure of a new version is
 * bounded over all nodes without counting. Without a plan, a version that appears is not used beside the known ones,
 * because the order that names it may be on its way.
 */
import { createHash } from "node:crypto";
import type { Random } from "@bilberrycroft/core.random";
import { type NodeEntry, RolloutPhase, type RolloutPlan, unnamedVersion } from "@bilberrycroft/protocol.forwarding";

/** Version that a call was drawn to. */
export enum VersionSide {
    Before = "before",
    After = "after",
}

/** A target as the caller's node sees it. */
export interface VersionedTarget {
    readonly entry: NodeEntry;
    readonly isHealthy: boolean;
}

export interface VersionChoice<Target extends VersionedTarget> {
    readonly service: string;
    readonly side: VersionSide | undefined;
    /** All targets of the service. */
    readonly targets: readonly Target[];
    /** Whether the target accepts calls at all. */
    accepts(target: Target): boolean;
    /** Whether this call has tried the target. */
    isTried(target: Target): boolean;
}

/** Bounds memory use when services come and go. */
const maxServices = 4_096;

export class VersionSplit {
    private plans: ReadonlyMap<string, RolloutPlan> = new Map();
    /** Versions that may be used without a plan, by service. */
    private readonly knownVersions = new Map<string, ReadonlySet<string>>();
    private readonly ranks = new Map<string, string>();

    constructor(private readonly random: Random) {}

    /** Replaces the table; the versions of a service that appears for the first time are the known ones. */
    setEntries(entries: readonly NodeEntry[]): void {
        const versions = new Map<string, Set<string>>();
        for (const { target } of entries) {
            if (target !== undefined && !this.knownVersions.has(target.service)) {
                const ofService = versions.get(target.service) ?? new Set();
                versions.set(target.service, ofService.add(target.version ?? unnamedVersion));
            }
        }
        for (const [service, ofService] of versions) {
            if (this.knownVersions.size < maxServices) {
                this.knownVersions.set(service, ofService);
            }
        }
        const present = new Set(entries.map(({ node }) => node));
        [...this.ranks.keys()].filter(node => !present.has(node)).forEach(node => this.ranks.delete(node));
    }

    /** Replaces the plans; they name the known versions from then on. */
    setPlans(plans: readonly RolloutPlan[]): void {
        this.plans = new Map(plans.map(plan => [plan.service, plan]));
        for (const { service, phase, version, versionsBefore } of plans) {
            const known = phase === RolloutPhase.Completed || versionsBefore.length === 0 ? [version] : versionsBefore;
            this.knownVersions.set(service, new Set(known));
        }
    }

    /** Versions that may be used without a plan; those before the rollout while there is one. */
    knownVersionsOf(service: string): readonly string[] {
        return [...this.knownVersions.get(service) ?? []];
    }

    /** Draws the version of a call; `undefined` if there is no choice. */
    draw(service: string, route: string): VersionSide | undefined {
        const plan = this.plans.get(service);
        if (plan === undefined || plan.share === 0 || plan.share === 1) {
            return undefined;
        }
        const routeShare = plan.routeShares.find(entry => entry.route === route)?.share ?? 0;
        return this.random.nextFraction() < Math.max(plan.share, routeShare) ? VersionSide.After : VersionSide.Before;
    }

    /** Returns the targets that the call may be offered to, in the given order. */
    select<Target extends VersionedTarget>(choice: VersionChoice<Target>): readonly Target[] {
        const plan = this.plans.get(choice.service);
        switch (plan?.phase) {
            case RolloutPhase.Testing:
            case RolloutPhase.Shifting:
                return this.selectInRollout(plan, choice);
            case RolloutPhase.Drained:
            case RolloutPhase.Completed:
            case RolloutPhase.RolledBack:
            case undefined: {
                const known = this.knownVersions.get(choice.service);
                return preferVersions(choice, plan?.phase === RolloutPhase.Drained ? new Set([plan.version]) : known);
            }
        }
    }

    private selectInRollout<Target extends VersionedTarget>(
        plan: RolloutPlan,
        choice: VersionChoice<Target>,
    ): readonly Target[] {
        const { side, targets, accepts, isTried } = choice;
        const versionsBefore = new Set(plan.versionsBefore);
        const before = targets.filter(target => versionsBefore.has(versionOf(target)));
        const countBefore = before.filter(accepts).length;
        if (side === VersionSide.After || countBefore === 0) {
            const tested = this.selectTested(plan, countBefore, choice);
            const after = targets.filter(target => tested.has(target.entry.node));
            if (countBefore === 0 || after.some(target => !isTried(target))) {
                return after;
            }
        }
        return before;
    }

    /**
     * Names of the nodes whose targets of the new version get calls: as many as make the load of each equal to that of
     * the old ones. All nodes choose the same ones, except for targets that do not respond to them.
     */
    private selectTested<Target extends VersionedTarget>(
        { version, share }: RolloutPlan,
        countBefore: number,
        { targets, accepts }: VersionChoice<Target>,
    ): ReadonlySet<string> {
        const usable = targets.filter(target => versionOf(target) === version && target.isHealthy && accepts(target))
            .map(({ entry }) => entry.node)
            .sort((left, right) => this.rankOf(left) < this.rankOf(right) ? -1 : 1);
        const count = countBefore === 0 ? usable.length : Math.max(1, Math.round(countBefore * share / (1 - share)));
        return new Set(usable.slice(0, count));
    }

    private rankOf(node: string): string {
        const existing = this.ranks.get(node);
        if (existing !== undefined) {
            return existing;
        }
        const rank = createHash("sha256").update(node).digest("hex");
        this.ranks.set(node, rank);
        return rank;
    }
}

/** Targets of the versions; all targets if none of these accepts calls. */
function preferVersions<Target extends VersionedTarget>(
    { targets, accepts }: VersionChoice<Target>,
    versions: ReadonlySet<string> | undefined,
): readonly Target[] {
    const isPreferred = (target: Target): boolean => versions?.has(versionOf(target)) === true;
    if (targets.every(isPreferred)) {
        return targets;
    }
    const preferred = targets.filter(isPreferred);
    return preferred.some(accepts) ? preferred : targets;
}

function versionOf({ entry }: VersionedTarget): string {
    return entry.target?.version ?? unnamedVersion;
}
