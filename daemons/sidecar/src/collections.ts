/**
 * Creates the tasks that keep copies of the store's collections: how long their watches wait, and for how long changes
 * are gathered before they are read.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import type { MeshPlatform } from "./ports";
import type { SidecarSettings } from "./settings";
import { CollectionTask, type CollectionTaskOptions } from "./tasks/collectionTask";
import { decodeNodeObject } from "./nodeTable";

export interface CollectionsOptions extends Pick<CollectionTaskOptions, "clock" | "random" | "log" | "faults"> {
    readonly settings: SidecarSettings;
    readonly platform: MeshPlatform;
}

/** Batches most changes of a series into one watch, while changes still apply within seconds. */
const configurationBatchDelayMs: Milliseconds = 600;
/** A stale node table costs little: the target's node refuses the call, which is immediately retried elsewhere. */
const nodeBatchDelayMs: Milliseconds = 1_000;
/** The duration of an order runs while it waits, and orders are rare. */
const orderBatchDelayMs: Milliseconds = 0;
/** Long, because each watch costs and orders are rare. Two nodes watch, so that a silent connection hides no order. */
const orderWatchWaitMs: Milliseconds = 25_000;
/**
 * Longest wait of a watch, as a share of the time within which a removed key must lose its effect. Two watches, a batch
 * delay and the round trips fit into that time.
 */
const confirmationShare = 0.25;

export class Collections {
    constructor(private readonly options: CollectionsOptions) {}

    createConfigurations(): CollectionTask {
        const { settings: { strictRevocation, revocationMs }, platform } = this.options;
        const confirmationMs = strictRevocation ? revocationMs * confirmationShare : undefined;
        return this.create({
            name: "configuration",
            collection: platform.configurations,
            batchDelayMs: Math.min(configurationBatchDelayMs, confirmationMs ?? configurationBatchDelayMs),
            decode: value => value,
            confirmationMs,
        });
    }

    createNodes(): CollectionTask {
        const { settings, platform } = this.options;
        return this.create({
            name: "nodes",
            collection: platform.nodes,
            batchDelayMs: nodeBatchDelayMs,
            decode: value => decodeNodeObject(value, settings.rollout !== undefined),
        });
    }

    createOrders(): CollectionTask {
        const { collection, decodeOrder } = this.options.platform.rollouts;
        return this.create({
            name: "rollouts",
            collection,
            batchDelayMs: orderBatchDelayMs,
            decode: decodeOrder,
            watchWaitMs: orderWatchWaitMs,
        });
    }

    private create(task: Omit<CollectionTaskOptions, "clock" | "random" | "log" | "faults">): CollectionTask {
        const { clock, random, log, faults } = this.options;
        return new CollectionTask({ ...task, clock, random, log, faults });
    }
}
