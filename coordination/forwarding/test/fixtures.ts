/**
 * Routes that the tests of this package share.
 */
import type { Route } from "@bilberrycroft/state.routes";

/** A route to the service `s` whose calls may be repeated. */
export const repeatableRoute: Route = {
    name: "r",
    host: "h",
    pathPrefix: "/",
    services: [{ service: "s", weight: 1 }],
    timeoutMs: 1_000,
    latencyObjectiveMs: 300,
    maxTargets: 2,
    priority: 1,
    repeatable: true,
};
