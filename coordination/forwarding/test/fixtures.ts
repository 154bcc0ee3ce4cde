/**
 * Routes shared by the tests of this package.
 */
import type { Route } from "@bilberrycroft/state.routes";

/** A repeatable route to the service `s`. */
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
    allowsAnonymous: false,
};
