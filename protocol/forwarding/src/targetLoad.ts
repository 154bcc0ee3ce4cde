/**
 * Load of a target, which its node reports with each response.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { isNumber, isRecord, isText } from "@bilberrycroft/core.json";

/** Whether a target accepts calls. */
export enum TargetAvailability {
    Serving = "serving",
    /** The node accepts no new calls for the target, because the target is draining or the node is stopping. */
    Leaving = "leaving",
    /** The target does not respond. */
    Down = "down",
}

export enum TargetLimitKind {
    /** The node has started and not heard from the target yet. */
    Unknown = "unknown",
    Limited = "limited",
}

/** What a node knows of the limit that its target names. */
export type TargetLimit =
    | { readonly kind: TargetLimitKind.Unknown }
    | {
        readonly kind: TargetLimitKind.Limited;
        /** Calls that the target accepts from all nodes together. */
        readonly callsPerSecond: number;
    };

/** Load and health of a target, as observed by its node. */
export interface TargetLoad {
    readonly availability: TargetAvailability;
    /** Calls running in the target. */
    readonly running: number;
    /** Calls queued in the target's node. */
    readonly queued: number;
    readonly slots: number;
    /** Number of calls that the target is found to handle well at once; `undefined` if that is all its slots. */
    readonly usableSlots?: number | undefined;
    /** Estimated run time of the route of the reported call; of all calls if the route is unknown. */
    readonly runTimeMs: Milliseconds;
    /** Estimated time until the response to one more call on the route has been sent over the link of the host. */
    readonly sendMs: Milliseconds;
    /** Estimated run time over all calls. */
    readonly meanRunTimeMs: Milliseconds;
    /** Share of recent calls that failed in the target, 0 to 1. */
    readonly failureShare: number;
    /** `undefined` if the target names no limit. */
    readonly limit?: TargetLimit | undefined;
    /** The target, if it leaves for good; `undefined` if only its node stops. */
    readonly leavingTarget?: TargetIncarnation | undefined;
}

/** One life of a target; a target may start again under the same id. */
export interface TargetIncarnation {
    readonly id: string;
    /** Start of the target, in milliseconds since the epoch. */
    readonly startedAt: Milliseconds;
}

const availabilities: ReadonlySet<unknown> = new Set(Object.values(TargetAvailability));

/** Parses a load report from another process; `undefined` if a field is missing or has the wrong type. */
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
                usableSlots: parseUsableSlots(value.usableSlots, slots),
                runTimeMs,
                sendMs,
                meanRunTimeMs,
                failureShare,
                limit: parseTargetLimit(value.limit),
                leavingTarget: parseTargetIncarnation(value.leavingTarget),
            }
        : undefined;
}

/** A value outside of the slots is ignored, so that the target is used as announced. */
function parseUsableSlots(value: unknown, slots: number): number | undefined {
    return isNumber(value) && value >= 1 && value < slots ? value : undefined;
}

function parseTargetIncarnation(value: unknown): TargetIncarnation | undefined {
    return isRecord(value) && isText(value.id) && isNumber(value.startedAt)
        ? { id: value.id, startedAt: value.startedAt }
        : undefined;
}

/** A limit of an unknown kind counts as unknown, so that it does not replace what is known. */
function parseTargetLimit(value: unknown): TargetLimit | undefined {
    if (value === undefined) {
        return undefined;
    }
    return isRecord(value) && value.kind === TargetLimitKind.Limited && isNumber(value.callsPerSecond)
        ? { kind: TargetLimitKind.Limited, callsPerSecond: value.callsPerSecond }
        : { kind: TargetLimitKind.Unknown };
}
