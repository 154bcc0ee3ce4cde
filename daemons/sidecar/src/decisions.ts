/**
 * Creates the decisions of a sidecar, which do no input or output, from its settings.
 */
import { RetryBudgets, TargetDirectory, TargetQueue } from "@bilberrycroft/coordination.forwarding";
import { Quarantine } from "@bilberrycroft/coordination.quarantine";
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import type { Random } from "@bilberrycroft/core.random";
import type { SidecarSettings } from "./settings";

export interface DecisionsOptions {
    readonly settings: SidecarSettings;
    readonly clock: Clock;
    readonly random: Random;
    /** Called when a node becomes unhealthy and has to be probed. */
    readonly onUnhealthy: () => void;
    /** Time until all responses that are queued for this host's link are sent. */
    readonly linkBacklogMs: () => Milliseconds;
}

export interface Decisions {
    readonly directory: TargetDirectory;
    readonly quarantine: Quarantine;
    readonly retryBudgets: RetryBudgets;
    readonly targetQueue: TargetQueue;
}

export function createDecisions({ settings, clock, random, onUnhealthy, linkBacklogMs }: DecisionsOptions): Decisions {
    const { node, zone, retryBudget, learnsCapacity, recognizesUnqueuedCalls } = settings;
    const usesVersions = settings.rollout !== undefined;
    const directory = new TargetDirectory({ clock, random, node, zone, onUnhealthy, usesVersions, learnsCapacity });
    return {
        directory,
        quarantine: new Quarantine({ node, clock }),
        retryBudgets: new RetryBudgets({ clock, bound: retryBudget, countNodes: () => directory.size }),
        targetQueue: new TargetQueue({ clock, random, learnsCapacity, recognizesUnqueuedCalls, linkBacklogMs }),
    };
}
