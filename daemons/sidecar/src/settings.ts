import type { SharedRetryBudget } from "@bilberrycroft/coordination.forwarding";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import type { ClientSettings } from "@bilberrycroft/transport.calls";

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
    readonly clients: ClientSettings;
}
