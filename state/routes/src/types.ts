/**
 * One version of the mesh's configuration: routes, services and the bounds on callers.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";

/** A service that gets a share of a route's calls. */
export interface WeightedService {
    readonly service: string;
    /** Share relative to the other weights of the route. */
    readonly weight: number;
}

/** Where calls of one host and path prefix go, and on what terms. */
export interface Route {
    readonly name: string;
    readonly host: string;
    /** Begins and ends with a slash. */
    readonly pathPrefix: string;
    /** At least one; a route without a split has one service. */
    readonly services: readonly WeightedService[];
    /** Longest time that a caller is kept waiting. */
    readonly timeoutMs: Milliseconds;
    /** Time within which an answer has its full value to the caller. */
    readonly latencyObjectiveMs: Milliseconds;
    /** Targets to which one call may be sent at most. */
    readonly maxTargets: number;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Whether a call may run more than once. */
    readonly repeatable: boolean;
}

/** Terms of one service. */
export interface Service {
    readonly name: string;
    /** Connections that each target of the service accepts from all callers together. */
    readonly maxConnections: number;
}

/** Bounds on what a caller may send and on how long it may take. */
export interface CallerLimits {
    readonly maxHeaderBytes: number;
    readonly maxBodyBytes: number;
    readonly headerTimeoutMs: Milliseconds;
    readonly idleTimeoutMs: Milliseconds;
}

/** A configuration that is not checked yet. */
export interface MeshConfiguration {
    readonly version: number;
    readonly routes: readonly Route[];
    readonly services: readonly Service[];
    readonly callerLimits: CallerLimits;
}
