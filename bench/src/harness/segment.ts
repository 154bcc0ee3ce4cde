/**
 * One measured stretch of load through one version, with faults at planned times, and its groups of calls.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { type CallRecord, ClassRecorder, type LoadResult, type RateProfile, RateProfileKind, type RequestKind } from "../load";
import { type Fleet, sleep } from "./fleet";
import { runDividedLoad } from "./workers";

/** A fault at a time of the segment. */
export interface Disturbance {
    readonly atMs: Milliseconds;
    start(): Promise<void> | void;
}

/** Calls that are counted together: all that are due within the times and match. */
export interface CallGroup {
    readonly name: string;
    readonly fromMs: Milliseconds;
    readonly toMs: Milliseconds;
    /** All classes if absent. */
    readonly className?: string;
}

/** One stretch of load. */
export interface Segment {
    readonly entries: readonly string[];
    readonly profile: RateProfile;
    readonly requests: readonly RequestKind[];
    readonly durationMs: Milliseconds;
    readonly seed: number;
    readonly disturbances: readonly Disturbance[];
}

/** Calls of a segment. */
export interface SegmentRecords {
    readonly calls: readonly CallRecord[];
    readonly lagP99Ms: Milliseconds;
}

/** Connection pools and code are cold at the start of a segment. */
export const warmupMs: Milliseconds = 500;
const seedSpread = 1_000;

/** Runs a segment. */
export async function runSegment(fleet: Fleet, segment: Segment): Promise<SegmentRecords> {
    const planned = segment.disturbances.map(async disturbance => {
        await sleep(disturbance.atMs);
        await disturbance.start();
    });
    const records = await runDividedLoad(fleet.generators, (share, index) => ({
        targets: segment.entries,
        profile: scaleProfile(segment.profile, share),
        requests: segment.requests,
        seed: segment.seed * seedSpread + index,
        durationMs: segment.durationMs,
        warmupMs,
    }));
    await Promise.all(planned);
    return records;
}

/** Multiplies the rates of a profile. */
export function scaleProfile(profile: RateProfile, share: number): RateProfile {
    switch (profile.kind) {
        case RateProfileKind.Constant:
            return { ...profile, ratePerSecond: profile.ratePerSecond * share };
        case RateProfileKind.Steps:
            return {
                ...profile,
                steps: profile.steps.map(step => ({ ...step, ratePerSecond: step.ratePerSecond * share })),
            };
        case RateProfileKind.Bursts:
            return {
                ...profile,
                ratePerSecond: profile.ratePerSecond * share,
                burstRatePerSecond: profile.burstRatePerSecond * share,
            };
    }
}

/** Summarizes the groups over the segments of one version; each segment adds the group's time. */
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
    const lagP99 = Math.max(0, ...segments.map(segment => segment.lagP99Ms));
    const total = classes[0] ?? new ClassRecorder("total").summarize(1);
    return { seed, durationMs: 0, total, classes, lag: { p50: 0, p99: lagP99, max: lagP99 } };
}

function isInGroup(call: CallRecord, group: CallGroup): boolean {
    return call.dueMs >= group.fromMs && call.dueMs < group.toMs
        && (group.className === undefined || group.className === call.className);
}
