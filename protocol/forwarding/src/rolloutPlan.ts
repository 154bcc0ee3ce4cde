/**
 * The plan of a rollout: which share of a service's calls goes to which version. It is an object of the collection of
 * the node entries, so that every node receives it with them.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { isNumber, isRecord, isText } from "@bilberrycroft/core.json";

export enum RolloutPhase {
    /** A small share of the calls goes to a few new targets. */
    Testing = "testing",
    /** A larger share goes to the new version. */
    Shifting = "shifting",
    /** All calls go to the new version; those that run on the old one end. */
    Drained = "drained",
    Completed = "completed",
    RolledBack = "rolled-back",
}

/** Share of a route's calls that differs from that of the plan. */
export interface RouteShare {
    readonly route: string;
    readonly share: number;
}

export interface RolloutPlan {
    readonly service: string;
    readonly version: string;
    /** Versions in use before; empty text for targets that name none. */
    readonly versionsBefore: readonly string[];
    /** Revision at which the order was first seen; counts of another revision belong to another plan. */
    readonly orderRevision: number;
    /** Time from the order to its deadline. */
    readonly durationMs: Milliseconds;
    /** Whether the order was removed. The same order written again is a new one then. */
    readonly isWithdrawn: boolean;
    readonly phase: RolloutPhase;
    /** Share of the service's calls for the new version, 0 to 1. */
    readonly share: number;
    /** Routes with few calls, of which a larger share is needed to judge the version. */
    readonly routeShares: readonly RouteShare[];
    /** Time since the order at the time of the write, on the writers' monotonic clocks. */
    readonly elapsedMs: Milliseconds;
    /** Node that wrote the plan. */
    readonly writer: string;
}

/** Version of a target that names none. */
export const unnamedVersion = "";
/** Limit of a version's name, in UTF-16 code units. */
export const maxVersionLength = 128;
export const maxRouteShares = 16;
const maxVersionsBefore = 16;
const maxLabelLength = 512;
const namePrefix = "rollout:";
const phases: ReadonlySet<unknown> = new Set(Object.values(RolloutPhase));

/** Name of the plan's object in the collection of the node entries. */
export function rolloutPlanName(service: string): string {
    return `${namePrefix}${service}`;
}

export function isRolloutPlanName(name: string): boolean {
    return name.startsWith(namePrefix);
}

/** Whether the rollout still moves. */
export function isActivePhase(phase: RolloutPhase): boolean {
    return phase !== RolloutPhase.Completed && phase !== RolloutPhase.RolledBack;
}

/** Returns the name of a version, `undefined` if the value is none. */
export function parseVersion(value: unknown): string | undefined {
    return isText(value) && value.length <= maxVersionLength ? value : undefined;
}

/** Parses a plan written by another process; `undefined` if a field is missing or has the wrong type. */
export function parseRolloutPlan(value: unknown): RolloutPlan | undefined {
    if (!isRecord(value)) {
        return undefined;
    }
    const { service, version, versionsBefore, orderRevision, durationMs, phase, share, elapsedMs, writer } = value;
    const routeShares = Array.isArray(value.routeShares) ? value.routeShares : [];
    const isValid = isLabel(service) && parseVersion(version) !== undefined && isVersionList(versionsBefore)
        && isNumber(orderRevision) && isNumber(durationMs) && durationMs > 0 && phases.has(phase) && isShare(share)
        && isNumber(elapsedMs) && elapsedMs >= 0 && isLabel(writer);
    return isValid
        ? {
                service,
                version: version as string,
                versionsBefore,
                orderRevision,
                durationMs,
                isWithdrawn: value.isWithdrawn === true,
                phase: phase as RolloutPhase,
                share,
                routeShares: routeShares.slice(0, maxRouteShares).flatMap(parseRouteShare),
                elapsedMs,
                writer,
            }
        : undefined;
}

function parseRouteShare(value: unknown): RouteShare[] {
    return isRecord(value) && isLabel(value.route) && isShare(value.share)
        ? [{ route: value.route, share: value.share }]
        : [];
}

function isVersionList(value: unknown): value is string[] {
    return Array.isArray(value) && value.length <= maxVersionsBefore
        && value.every(version => version === unnamedVersion || parseVersion(version) !== undefined);
}

function isShare(value: unknown): value is number {
    return isNumber(value) && value >= 0 && value <= 1;
}

function isLabel(value: unknown): value is string {
    return isText(value) && value.length <= maxLabelLength;
}
