/**
 * Settings of a sidecar.
 */
import type { SharedRetryBudget } from "@bilberrycroft/coordination.forwarding";
import type { Milliseconds } from "@bilberrycroft/core.clock";

/** Settings that an adapter reads from its platform. */
export interface SidecarSettings {
    readonly node: string;
    readonly zone: string;
    /** `host:port` at which callers on this host call. */
    readonly callerAddress: string;
    /** `host:port` at which other nodes offer calls for the target. */
    readonly offerAddress: string;
    /** `host:port` of the target beside this node. */
    readonly targetAddress: string;
    /** Service of the target beside this node. */
    readonly service: string;
    /** Processor cores that this process may use, with fractions. */
    readonly processors: number;
    /** Rate of this host's link, in one direction; `undefined` if it is not known. */
    readonly linkBytesPerSecond: number | undefined;
    readonly heartbeatIntervalMs: Milliseconds;
    /** Time from SIGTERM to SIGKILL. */
    readonly graceMs: Milliseconds;
    readonly retryBudget: SharedRetryBudget;
}
