/**
 * Runs one measured segment of load through one version, with faults at scheduled times, and summarizes groups of its
 * calls.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { type CallRecord, ClassRecorder, type LoadResult, type RateProfile, RateProfileKind, type RequestKind } from "../load";
import { type Fleet, sleep } from "./fleet";
import { runDividedLoad } from "./workers";

/** An action at a time of a segment, such as the injection of a fault. */
export interface ScheduledAction {
    /** Since the start of the segment. */
    readonly atMs: Milliseconds;
    run(): Promise<void> | void;
}

/** Calls that are counted together: those due from `fromMs` until before `toMs`, optionally of one class. */
export interface CallGroup {
    readonly name: string;
    readonly fromMs: Milliseconds;
    readonly toMs: Milliseconds;
    /** Includes all classes if absent. */
    readonly className?: string;
}

export interface Segment {
    /** `host:port` of the proxies that receive the calls. */
    readonly entries: readonly string[];
    readonly profile: RateProfile;
    readonly requests: readonly RequestKind[];
    readonly durationMs: Milliseconds;
    readonly seed: number;
    readonly scheduledActions: readonly ScheduledAction[];
}

export interface SegmentRecords {
    readonly calls: readonly CallRecord[];
    readonly lagP99Ms: Milliseconds;
}

/** Calls in this time are not counted, because connection pools and code are cold at the start of a segment. */
export const warmupMs: Milliseconds = 500;
/** Larger than the number of generators, so that segments with different seeds share no generator seed. */
const seedStride = 1_000;

/** Resolves when all calls have ended and all scheduled actions have run. */
export async function runSegment(fleet: Fleet, segment: Segment): Promise<SegmentRecords> {
    const actionRuns = segment.scheduledActions.map(async action => {
        await sleep(action.atMs);
        await action.run();
    });
    const records = await runDividedLoad(fleet.generators, (share, index) => ({
        targets: segment.entries,
        profile: scaleProfile(segment.profile, share),
        requests: segment.requests,
        seed: segment.seed * seedStride + index,
        durationMs: segment.durationMs,
        warmupMs,
    }));
    await Promise.all(actionRuns);
    return records;
}

/** Multiplies all rates of a profile by a factor. */
export function scaleProfile(profile: RateProfile, factor: number): RateProfile {
    switch (profile.kind) {
        case RateProfileKind.Constant:
            return { ...profile, ratePerSecond: profile.ratePerSecond * factor };
        case RateProfileKind.Steps:
            return {
                ...profile,
                steps: profile.steps.map(step => ({ ...step, ratePerSecond: step.ratePerSecond * factor })),
            };
        case RateProfileKind.Bursts:
            return {
                ...profile,
                ratePerSecond: profile.ratePerSecond * factor,
                burstRatePerSecond: profile.burstRatePerSecond * factor,
            };
    }
}

/**
 * Summarizes the groups over all segments of one version. Rates refer to the duration of the group multiplied by the
 * number of segments.
 */
export function summarizeGroups(
    groups: readonly CallGroup[],
    segments: readonly SegmentRecords[],
    seed: number,
): LoadResult {
    const classes = groups.map(group => {
        const recorder = new ClassRecorder(group.name);
        segments.flatMap(segment => segment.calls)
            .filter(call => isInGroup(call, group))
            .forEach(call => recorder.record(call));
        return recorder.summarize((group.toMs - group.fromMs) * segments.length);
    });
    const maxLagP99Ms = Math.max(0, ...segments.map(segment => segment.lagP99Ms));
    const total = classes[0] ?? new ClassRecorder("total").summarize(1);
    return { seed, durationMs: 0, total, classes, lag: { p50: 0, p99: maxLagP99Ms, max: maxLagP99Ms } };
}

function isInGroup(call: CallRecord, group: CallGroup): boolean {
    return call.dueMs >= group.fromMs && call.dueMs < group.toMs
        && (group.className === undefined || group.className === call.className);
}
