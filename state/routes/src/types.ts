/**
 * One version of the mesh configuration: routes, services and limits for callers.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";

/** A service that receives a share of a route's calls. */
export interface WeightedService {
    readonly service: string;
    /** Relative to the other weights of the route. */
    readonly weight: number;
}

/** Destination and policy of the calls to one host and path prefix. */
export interface Route {
    readonly name: string;
    /** In lower case. */
    readonly host: string;
    /** Begins and ends with a slash. */
    readonly pathPrefix: string;
    /** At least one. A route without a traffic split has exactly one. */
    readonly services: readonly WeightedService[];
    /** Maximum time that a caller waits for a response. */
    readonly timeoutMs: Milliseconds;
    /** Latency up to which a response has its full value to the caller. */
    readonly latencyObjectiveMs: Milliseconds;
    /** Maximum number of targets to which one call may be sent. */
    readonly maxTargets: number;
    /** 0 is the highest priority. */
    readonly priority: number;
    /** Whether a call may run more than once. */
    readonly repeatable: boolean;
    /** Whether a call needs no key of an organisation. */
    readonly allowsAnonymous: boolean;
}

/** An organisation whose clients authenticate with one of its keys. */
export interface Organisation {
    readonly name: string;
    /** Digests of the keys (see `digestKey`), so that no key is relayed between nodes or logged. */
    readonly keys: readonly string[];
    /** Takes precedence over the route's priority; `undefined` if not set. 0 is the highest. */
    readonly priority: number | undefined;
    /** Calls per second over all nodes; `undefined` without a limit (omitted or 0). */
    readonly callsPerSecond: number | undefined;
    /** Calls allowed at once in addition to the rate; 0 if omitted. */
    readonly burst: number;
}

/** Settings of one service. */
export interface Service {
    readonly name: string;
    /** Connections that each target of the service accepts from all callers combined. */
    readonly maxConnections: number;
}

/** Size limits and timeouts for requests of callers. */
export interface CallerLimits {
    readonly maxHeaderBytes: number;
    readonly maxBodyBytes: number;
    readonly headerTimeoutMs: Milliseconds;
    readonly idleTimeoutMs: Milliseconds;
}

/** A configuration that is not necessarily valid; see `findConfigurationProblems`. */
export interface MeshConfiguration {
    readonly version: number;
    readonly routes: readonly Route[];
    readonly services: readonly Service[];
    readonly callerLimits: CallerLimits;
    /** Empty if the deployment has no organisations; then no call needs a key. */
    readonly organisations: readonly Organisation[];
}
