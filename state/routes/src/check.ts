/**
 * Checks a configuration as a whole, so that none of it takes effect if any part is wrong.
 */
import { createRouteKey } from "./patch";
import type { MeshConfiguration, Route } from "./types";

/** Why a configuration was refused. */
export interface ConfigurationProblem {
    /** Route or other part of the configuration. */
    readonly part: string;
    readonly reason: string;
}

/** Finds what is wrong with a configuration; none if it can take effect. */
export function findConfigurationProblems(configuration: MeshConfiguration): readonly ConfigurationProblem[] {
    const services = new Set(configuration.services.map(service => service.name));
    const places = new Set<string>();
    const problems: ConfigurationProblem[] = [];
    if (!Number.isSafeInteger(configuration.version) || configuration.version < 1) {
        problems.push({ part: "version", reason: "is not a positive whole number" });
    }
    for (const route of configuration.routes) {
        const place = createRouteKey(route);
        const reason = places.has(place) ? "has the host and prefix of another route" : findRouteProblem(route, services);
        places.add(place);
        if (reason !== undefined) {
            problems.push({ part: route.name, reason });
        }
    }
    return problems;
}

function findRouteProblem(route: Route, services: ReadonlySet<string>): string | undefined {
    if (!route.pathPrefix.startsWith("/") || !route.pathPrefix.endsWith("/")) {
        return "has a prefix that does not begin and end with a slash";
    }
    if (route.services.length === 0) {
        return "goes to no service";
    }
    const unknown = route.services.find(({ service }) => !services.has(service));
    if (unknown !== undefined) {
        return `goes to the unknown service ${unknown.service}`;
    }
    const weights = route.services.map(({ weight }) => weight);
    if (weights.some(weight => !(weight >= 0)) || weights.every(weight => weight === 0)) {
        return "has weights that share out nothing";
    }
    if (!(route.timeoutMs > 0) || !(route.latencyObjectiveMs > 0)) {
        return "has no timeout or no latency objective";
    }
    return route.maxTargets >= 1 ? undefined : "allows no target";
}
