import type { SharedRetryBudget } from "@bilberrycroft/coordination.forwarding";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import type { ClientSettings } from "@bilberrycroft/transport.calls";

/** Accuracy that a deployment requires of quotas over all nodes. */
export interface QuotaSettings {
    /** Length of the windows in which calls are counted. */
    readonly windowMs: Milliseconds;
    /** Share by which the calls of a window may exceed the quota. */
    readonly overage: number;
    /** Calls by which a window may exceed the quota in addition. */
    readonly slack: number;
}

/** Settings of a sidecar, read by an adapter from its platform. */
export interface SidecarSettings {
    readonly node: string;
    readonly zone: string;
    /** `host:port` of the listener for callers on this host. */
    readonly callerAddress: string;
    /** `host:port` of the listener for offers that other nodes send for the local target. */
    readonly offerAddress: string;
    /** `host:port` of the local target. */
    readonly targetAddress: string;
    /** Service of the local target. */
    readonly service: string;
    /** Processor cores available to this process; may be fractional. */
    readonly processors: number;
    /** Bandwidth of this host's link in one direction; `undefined` if unknown. */
    readonly linkBytesPerSecond: number | undefined;
    /** Memory that the platform grants to the process; `undefined` if unknown. */
    readonly memoryBytes: number | undefined;
    readonly heartbeatIntervalMs: Milliseconds;
    /** Time from SIGTERM to SIGKILL. */
    readonly graceMs: Milliseconds;
    readonly retryBudget: SharedRetryBudget;
    /** `undefined` if the deployment has no quotas. */
    readonly quota: QuotaSettings | undefined;
    /** Whether a removed key must lose its effect within `revocationMs` also while the store is disrupted. */
    readonly strictRevocation: boolean;
    readonly revocationMs: Milliseconds;
    /** Bounds of rollouts; `undefined` if versions are ignored. */
    readonly rollout?: RolloutBounds | undefined;
    readonly clients: ClientSettings;
    /** Whether nodes learn how many calls targets handle well, and place and refuse calls by it. */
    readonly learnsCapacity: boolean;
    /** Whether calls without a response for long are taken for calls that their target has not queued. */
    readonly recognizesUnqueuedCalls: boolean;
    /** Descriptors that the platform grants to the process; those of the system apply if `undefined`. */
    readonly descriptors: number | undefined;
}

/** What a bad version may get of its service's calls. */
export interface RolloutBounds {
    /** Share of the calls between the order and its deadline. */
    readonly exposureShare: number;
    /** Calls in addition to the share. */
    readonly exposureSlack: number;
    /** Time after the 50th bad response from which it gets no calls. */
    readonly rollbackMs: Milliseconds;
}
