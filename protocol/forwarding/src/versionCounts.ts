/**
 * Counts of what a target's version did during a rollout, which its node reports on request.
 */
import { isNumber, isRecord, isText } from "@bilberrycroft/core.json";

/** Counts of one route. Run times are kept as sums of their natural logarithms in milliseconds. */
export interface RouteCounts {
    readonly route: string;
    readonly runs: number;
    readonly failures: number;
    /** Number of run times in the sums. */
    readonly timed: number;
    readonly logSum: number;
    readonly logSquareSum: number;
}

export interface VersionCounts {
    readonly version: string;
    /** The counts belong to the plan of this order. */
    readonly orderRevision: number;
    /** Start of counting; counts with another start do not continue earlier ones. */
    readonly since: number;
    readonly routes: readonly RouteCounts[];
}

/** Maximum number of routes that are counted separately. */
export const maxCountedRoutes = 64;

/** Parses counts from another node; `undefined` if they are missing or malformed. */
export function parseVersionCounts(value: unknown): VersionCounts | undefined {
    if (!isRecord(value) || typeof value.version !== "string" || !isNumber(value.orderRevision) || !isNumber(value.since)
        || !Array.isArray(value.routes)) {
        return undefined;
    }
    const { version, orderRevision, since } = value;
    return { version, orderRevision, since, routes: value.routes.slice(0, maxCountedRoutes).flatMap(parseRouteCounts) };
}

function parseRouteCounts(value: unknown): RouteCounts[] {
    if (!isRecord(value) || !isText(value.route)) {
        return [];
    }
    const { route, runs, failures, timed, logSum, logSquareSum } = value;
    const isValid = isCount(runs) && isCount(failures) && failures <= runs && isCount(timed) && isNumber(logSum)
        && isNumber(logSquareSum);
    return isValid ? [{ route, runs, failures, timed, logSum, logSquareSum }] : [];
}

function isCount(value: unknown): value is number {
    return Number.isSafeInteger(value) && value as number >= 0;
}
