/**
 * Validation of configurations. A configuration with any problem is refused completely.
 */
import { createRouteKey } from "./patch";
import type { MeshConfiguration, Organisation, Route } from "./types";

/** A reason why a configuration is refused. */
export interface ConfigurationProblem {
    /** Name of the route, or of another part of the configuration, such as `version`. */
    readonly part: string;
    readonly reason: string;
}

/** Matches names that a header does not carry unchanged as UTF-8: control characters, lone surrogates, outer spaces. */
const unsendableNamePattern = /[\p{Cc}\p{Cs}]|^\s|\s$/u;

/** Returns all problems of a configuration. It can be activated if there are none. */
export function findConfigurationProblems(configuration: MeshConfiguration): readonly ConfigurationProblem[] {
    const services = new Set(configuration.services.map(service => service.name));
    const routeKeys = new Set<string>();
    const problems: ConfigurationProblem[] = [];
    if (!Number.isSafeInteger(configuration.version) || configuration.version < 1) {
        problems.push({ part: "version", reason: "is not a positive integer" });
    }
    for (const route of configuration.routes) {
        const routeKey = createRouteKey(route);
        const reason = routeKeys.has(routeKey)
            ? "has the same host and path prefix as another route"
            : findRouteProblem(route, services);
        routeKeys.add(routeKey);
        if (reason !== undefined) {
            problems.push({ part: route.name, reason });
        }
    }
    return [...problems, ...findOrganisationProblems(configuration.organisations)];
}

function findOrganisationProblems(organisations: readonly Organisation[]): readonly ConfigurationProblem[] {
    const names = new Set<string>();
    const holders = new Map<string, string>();
    const problems: ConfigurationProblem[] = [];
    organisations.forEach((organisation, index) => {
        const { name, keys } = organisation;
        const reason = names.has(name) ? "has the same name as another organisation" : findOrganisationProblem(organisation);
        const otherHolder = keys.map(key => holders.get(key)).find(holder => holder !== undefined && holder !== name);
        names.add(name);
        keys.forEach(key => holders.set(key, name));
        const part = `organisation ${name === "" ? `number ${index + 1}` : name}`;
        if (reason !== undefined) {
            problems.push({ part, reason });
        }
        if (otherHolder !== undefined) {
            problems.push({ part, reason: `has a key that organisation ${otherHolder} has too` });
        }
    });
    return problems;
}

function findOrganisationProblem({ name, keys, priority, callsPerSecond, burst }: Organisation): string | undefined {
    if (name === "") {
        return "has no name";
    }
    if (unsendableNamePattern.test(name)) {
        return "has a name that a header cannot carry";
    }
    if (keys.some(key => key === "")) {
        return "has an empty key";
    }
    if (priority !== undefined && !(Number.isSafeInteger(priority) && priority >= 0)) {
        return "has a priority that is not a non-negative integer";
    }
    if (callsPerSecond !== undefined && !(callsPerSecond > 0 && Number.isFinite(callsPerSecond))) {
        return "has a rate that is not a non-negative number";
    }
    return burst >= 0 && Number.isFinite(burst) ? undefined : "has a burst that is not a non-negative number";
}

function findRouteProblem(route: Route, services: ReadonlySet<string>): string | undefined {
    if (!route.pathPrefix.startsWith("/") || !route.pathPrefix.endsWith("/")) {
        return "has a path prefix that does not begin and end with a slash";
    }
    if (route.services.length === 0) {
        return "has no service";
    }
    const unknownService = route.services.find(({ service }) => !services.has(service));
    if (unknownService !== undefined) {
        return `refers to the unknown service ${unknownService.service}`;
    }
    const weights = route.services.map(({ weight }) => weight);
    if (weights.some(weight => !(weight >= 0)) || weights.every(weight => weight === 0)) {
        return "has an invalid weight or no positive weight";
    }
    if (!(route.timeoutMs > 0) || !(route.latencyObjectiveMs > 0)) {
        return "has no positive timeout or no positive latency objective";
    }
    return route.maxTargets >= 1 ? undefined : "has a target limit below 1";
}
