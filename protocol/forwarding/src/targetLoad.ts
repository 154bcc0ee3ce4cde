/**
 * Load of a target as its node reports it with each response.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { isNumber, isRecord } from "@bilberrycroft/core.json";

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
    /** Time until the answer to another call on the route would have left the link of the target's host. */
    readonly sendMs: Milliseconds;
    /** Usual run time of all calls. */
    readonly meanRunTimeMs: Milliseconds;
    /** Share of recent calls that the target failed, 0 to 1. */
    readonly failureShare: number;
}

const availabilities: ReadonlySet<unknown> = new Set(Object.values(TargetAvailability));

/** Reads a load that another process wrote; `undefined` if a figure is missing. */
export function parseTargetLoad(value: unknown): TargetLoad | undefined {
    if (!isRecord(value) || !availabilities.has(value.availability)) {
        return undefined;
    }
    const { running, queued, slots, runTimeMs, sendMs, meanRunTimeMs, failureShare } = value;
    return isNumber(running) && isNumber(queued) && isNumber(slots) && isNumber(runTimeMs) && isNumber(sendMs)
        && isNumber(meanRunTimeMs) && isNumber(failureShare)
        ? {
                availability: value.availability as TargetAvailability,
                running,
                queued,
                slots,
                runTimeMs,
                sendMs,
                meanRunTimeMs,
                failureShare,
            }
        : undefined;
}
