/**
 * Load of a target as its node reports it with each answer.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";

/** Whether a target takes calls. */
export enum TargetAvailability {
    Serving = "serving",
    /** Its node takes no new calls for it: the target leaves or the node stops. */
    Leaving = "leaving",
    /** The target does not respond. */
    Down = "down",
}

/** What the node beside a target knows of it. */
export interface TargetLoad {
    readonly availability: TargetAvailability;
    /** Calls that run in the target. */
    readonly running: number;
    /** Calls that wait in its node. */
    readonly queued: number;
    readonly slots: number;
    /** Usual run time of the route of the answered call; of all calls if the route is not known. */
    readonly runTimeMs: Milliseconds;
    /** Usual run time of all calls. */
    readonly meanRunTimeMs: Milliseconds;
    /** Share of recent calls that the target failed, 0 to 1. */
    readonly failureShare: number;
}

const percent = 100;

/** Formats the load header. */
export function formatTargetLoad(load: TargetLoad): string {
    return [
        load.availability,
        load.running,
        load.queued,
        load.slots,
        Math.round(load.runTimeMs),
        Math.round(load.meanRunTimeMs),
        Math.round(load.failureShare * percent),
    ].join(",");
}

const loadPattern = /^(serving|leaving|down),(\d{1,6}),(\d{1,6}),(\d{1,6}),(\d{1,7}),(\d{1,7}),(\d{1,3})$/;

/** Parses the load header; anything malformed counts as no report. */
export function parseTargetLoad(header: string | string[] | undefined): TargetLoad | undefined {
    const match = typeof header === "string" ? loadPattern.exec(header) : undefined;
    if (match === undefined || match?.[1] === undefined) {
        return undefined;
    }
    const figures = match.slice(2).map(Number);
    const [running = 0, queued = 0, slots = 0, runTimeMs = 0, meanRunTimeMs = 0, failures = 0] = figures;
    return {
        availability: match[1] as TargetAvailability,
        running,
        queued,
        slots,
        runTimeMs,
        meanRunTimeMs,
        failureShare: Math.min(1, failures / percent),
    };
}
