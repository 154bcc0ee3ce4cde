/**
 * Differences between two versions of a configuration. Most changes affect a few of many routes, so a node that has the
 * previous version needs only a small part of the new one.
 */
import { isNumber, isRecord, isText, type UncheckedFields } from "@bilberrycroft/core.json";
import { hasSameOrganisations } from "./organisations";
import type { CallerLimits, MeshConfiguration, Organisation, Route, Service, WeightedService } from "./types";

export interface ConfigurationPatch {
    /** Version that the patch applies to; 0 if it contains the complete configuration. */
    readonly base: number;
    readonly version: number;
    /** Routes that are new or changed. */
    readonly routes: readonly Route[];
    /** Keys (see `createRouteKey`) of the removed routes. */
    readonly removed: readonly string[];
    readonly services: readonly Service[];
    readonly callerLimits: CallerLimits;
    /** All organisations; absent if they are those of the base version, or if a complete configuration has none. */
    readonly organisations?: readonly Organisation[];
}

/** Creates a key that identifies a route. No two routes of a configuration have the same host and path prefix. */
export function createRouteKey({ host, pathPrefix }: Pick<Route, "host" | "pathPrefix">): string {
    return `${host} ${pathPrefix}`;
}

/** Creates the patch between two versions. It contains the complete configuration if there is no earlier version. */
export function createConfigurationPatch(
    before: MeshConfiguration | undefined,
    after: MeshConfiguration,
): ConfigurationPatch {
    const { version, services, callerLimits, organisations } = after;
    const previousRoutes = new Map((before?.routes ?? []).map(route => [createRouteKey(route), route]));
    const currentKeys = new Set(after.routes.map(createRouteKey));
    return {
        base: before?.version ?? 0,
        version,
        routes: after.routes.filter(route => !isSameRoute(previousRoutes.get(createRouteKey(route)), route)),
        removed: [...previousRoutes.keys()].filter(key => !currentKeys.has(key)),
        services,
        callerLimits,
        ...(hasSameOrganisations(before?.organisations ?? [], organisations) ? {} : { organisations }),
    };
}

function isSameRoute(before: Route | undefined, after: Route): boolean {
    return before !== undefined && before.name === after.name && before.timeoutMs === after.timeoutMs
        && before.latencyObjectiveMs === after.latencyObjectiveMs && before.maxTargets === after.maxTargets
        && before.priority === after.priority && before.repeatable === after.repeatable
        && before.allowsAnonymous === after.allowsAnonymous
        && hasSameWeights(before.services, after.services);
}

/** Whether both lists have the same services with the same weights in the same order. */
export function hasSameWeights(before: readonly WeightedService[], after: readonly WeightedService[]): boolean {
    return before.length === after.length && before.every(({ service, weight }, index) =>
        service === after[index]?.service && weight === after[index]?.weight);
}

/** Returns the patched configuration, or `undefined` if the patch has another base version. */
export function applyConfigurationPatch(
    before: MeshConfiguration | undefined,
    patch: ConfigurationPatch,
): MeshConfiguration | undefined {
    if (patch.base !== 0 && patch.base !== before?.version) {
        return undefined;
    }
    const { version, services, callerLimits } = patch;
    const baseRoutes = patch.base === 0 ? [] : before?.routes ?? [];
    const routes = new Map(baseRoutes.map(route => [createRouteKey(route), route]));
    patch.removed.forEach(key => routes.delete(key));
    patch.routes.forEach(route => routes.set(createRouteKey(route), route));
    const organisations = patch.organisations ?? (patch.base === 0 ? [] : before?.organisations ?? []);
    return { version, routes: [...routes.values()], services, callerLimits, organisations };
}

/** Parses a patch received from another node. Returns `undefined` if any field is missing or has the wrong type. */
export function parseConfigurationPatch(value: unknown): ConfigurationPatch | undefined {
    if (!isRecord(value) || !isNumber(value.base) || !isNumber(value.version)) {
        return undefined;
    }
    const { base, version, removed } = value;
    const routes = parseArray(value.routes, parseRoute);
    const services = parseArray(value.services, parseService);
    const callerLimits = parseCallerLimits(value.callerLimits);
    const isRemovedValid = Array.isArray(removed) && removed.every(isText);
    // Nodes without organisations send no such field.
    const hasOrganisations = value.organisations !== undefined;
    const organisations = hasOrganisations ? parseArray(value.organisations, parseOrganisation) : undefined;
    if (routes === undefined || services === undefined || callerLimits === undefined || !isRemovedValid
        || (hasOrganisations && organisations === undefined)) {
        return undefined;
    }
    const patch = { base, version, routes, removed, services, callerLimits };
    return organisations === undefined ? patch : { ...patch, organisations };
}

function parseArray<Part>(value: unknown, parse: (fields: UncheckedFields) => Part | undefined): Part[] | undefined {
    if (!Array.isArray(value)) {
        return undefined;
    }
    const parts = value.map(item => isRecord(item) ? parse(item) : undefined);
    return parts.every(part => part !== undefined) ? parts : undefined;
}

function parseRoute(fields: UncheckedFields): Route | undefined {
    const { name, host, pathPrefix, timeoutMs, latencyObjectiveMs, maxTargets, priority, repeatable } = fields;
    const { allowsAnonymous } = fields;
    const services = parseArray(fields.services, parseWeightedService);
    return isText(name) && isText(host) && isText(pathPrefix) && services !== undefined && isNumber(timeoutMs)
        && isNumber(latencyObjectiveMs) && isNumber(maxTargets) && isNumber(priority) && typeof repeatable === "boolean"
        && typeof allowsAnonymous === "boolean"
        ? {
                name,
                host,
                pathPrefix,
                services,
                timeoutMs,
                latencyObjectiveMs,
                maxTargets,
                priority,
                repeatable,
                allowsAnonymous,
            }
        : undefined;
}

function parseOrganisation({ name, keys, priority, callsPerSecond, burst }: UncheckedFields): Organisation | undefined {
    return isText(name) && Array.isArray(keys) && keys.every(isText) && isNumber(burst)
        && (priority === undefined || isNumber(priority)) && (callsPerSecond === undefined || isNumber(callsPerSecond))
        ? { name, keys, priority, callsPerSecond, burst }
        : undefined;
}

function parseWeightedService({ service, weight }: UncheckedFields): WeightedService | undefined {
    return isText(service) && isNumber(weight) ? { service, weight } : undefined;
}

function parseService({ name, maxConnections }: UncheckedFields): Service | undefined {
    return isText(name) && isNumber(maxConnections) ? { name, maxConnections } : undefined;
}

function parseCallerLimits(value: unknown): CallerLimits | undefined {
    if (!isRecord(value)) {
        return undefined;
    }
    const { maxHeaderBytes, maxBodyBytes, headerTimeoutMs, idleTimeoutMs } = value;
    return isNumber(maxHeaderBytes) && isNumber(maxBodyBytes) && isNumber(headerTimeoutMs) && isNumber(idleTimeoutMs)
        ? { maxHeaderBytes, maxBodyBytes, headerTimeoutMs, idleTimeoutMs }
        : undefined;
}
