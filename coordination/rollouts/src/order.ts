/**
 * The operator's order of a rollout, and the plan that begins it.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { isActivePhase, RolloutPhase, type RolloutPlan } from "@bilberrycroft/protocol.forwarding";

export interface RolloutOrder {
    readonly service: string;
    readonly version: string;
    readonly durationMs: Milliseconds;
}

/** How a rollout stands, as told to the operator. */
export enum RolloutState {
    Running = "running",
    Completed = "completed",
    RolledBack = "rolled-back",
}

/** Status of an order; `undefined` fields were not written or are not known. */
export interface RolloutStatus {
    readonly state: RolloutState;
    readonly version: string;
}

export interface NewPlan {
    readonly order: RolloutOrder;
    /** Store revision of the order. */
    readonly revision: number;
    /** Plan of an earlier order for the service. */
    readonly previous: RolloutPlan | undefined;
    /** Versions that may be used without a plan. */
    readonly knownVersions: readonly string[];
    /** Versions of the targets in the table. */
    readonly presentVersions: readonly string[];
    readonly exposureShare: number;
    readonly writer: string;
}

/** Part of the allowed exposure that is used: the draws are random, and a call may be offered twice. */
const usedExposureShare = 0.8;

/** Share of the calls that a version under test gets. */
export function testShare(exposureShare: number): number {
    return roundShare(usedExposureShare * exposureShare);
}

/** Rounds down to four decimals, which keeps the plan readable. */
export function roundShare(share: number): number {
    return Math.floor(share * 10_000 + Number.EPSILON) / 10_000;
}

/** Whether the plan carries out the order. */
export function isPlanOf(plan: RolloutPlan, order: RolloutOrder): boolean {
    return !plan.isWithdrawn && plan.version === order.version && plan.durationMs === order.durationMs;
}

/** Versions whose targets get the calls now, apart from those under test. */
function listVersionsInUse({ order, previous, knownVersions, presentVersions }: NewPlan): readonly string[] {
    const planned = previous?.phase === RolloutPhase.Completed ? [previous.version] : previous?.versionsBefore;
    const usable = planned ?? knownVersions;
    // Targets of another version were used if there were no others.
    const inUse = usable.some(version => presentVersions.includes(version)) ? usable : presentVersions;
    // A node that started after the first target of the new version takes that one for known too.
    const others = planned === undefined ? inUse.filter(version => version !== order.version) : [];
    return others.length > 0 ? others : inUse;
}

/**
 * Creates the first plan of an order. A version in use needs no test: all calls go to it, and those on other versions
 * end. A plan that replaces an unfinished one begins at the versions before that one.
 */
export function createPlan(options: NewPlan): RolloutPlan {
    const { order, revision, previous, exposureShare, writer } = options;
    const inUse = listVersionsInUse(options);
    const unfinished = previous !== undefined && isActivePhase(previous.phase) ? [previous.version] : [];
    const isInUse = inUse.includes(order.version);
    const versionsBefore = isInUse
        ? [...new Set([...inUse, ...unfinished])].filter(version => version !== order.version)
        : inUse;
    const isUntested = isInUse || versionsBefore.length === 0;
    return {
        service: order.service,
        version: order.version,
        versionsBefore,
        orderRevision: revision,
        durationMs: order.durationMs,
        isWithdrawn: false,
        phase: isUntested ? RolloutPhase.Drained : RolloutPhase.Testing,
        share: isUntested ? 1 : testShare(exposureShare),
        routeShares: [],
        elapsedMs: 0,
        writer,
    };
}

/** Returns what the operator is told of the plan. */
export function stateOf({ phase }: RolloutPlan): RolloutState {
    switch (phase) {
        case RolloutPhase.Testing:
        case RolloutPhase.Shifting:
        case RolloutPhase.Drained:
            return RolloutState.Running;
        case RolloutPhase.Completed:
            return RolloutState.Completed;
        case RolloutPhase.RolledBack:
            return RolloutState.RolledBack;
    }
}
