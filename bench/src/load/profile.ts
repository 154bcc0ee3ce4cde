/**
 * Rates of offered load over time.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { assertNever } from "@bilberrycroft/core.errors";

/** Kinds of `RateProfile`. */
export enum RateProfileKind {
    Constant = "constant",
    Steps = "steps",
    Bursts = "bursts",
}

/** One step of a profile. */
export interface RateStep {
    readonly durationMs: Milliseconds;
    readonly ratePerSecond: number;
}

/** Calls per second over the time of a run. */
export type RateProfile =
    | { readonly kind: RateProfileKind.Constant; readonly ratePerSecond: number }
    /** The last step goes on to the end of the run. */
    | { readonly kind: RateProfileKind.Steps; readonly steps: readonly RateStep[] }
    /** Each period begins with a burst. */
    | {
        readonly kind: RateProfileKind.Bursts;
        readonly ratePerSecond: number;
        readonly burstRatePerSecond: number;
        readonly periodMs: Milliseconds;
        readonly burstMs: Milliseconds;
    };

/** Rate at an instant of the run. */
export function getRatePerSecond(profile: RateProfile, elapsedMs: Milliseconds): number {
    switch (profile.kind) {
        case RateProfileKind.Constant:
            return profile.ratePerSecond;
        case RateProfileKind.Steps:
            return getStepRatePerSecond(profile.steps, elapsedMs);
        case RateProfileKind.Bursts:
            return elapsedMs % profile.periodMs < profile.burstMs ? profile.burstRatePerSecond : profile.ratePerSecond;
        default:
            return assertNever(profile);
    }
}

/** Highest rate of a profile. */
export function getPeakRatePerSecond(profile: RateProfile): number {
    switch (profile.kind) {
        case RateProfileKind.Constant:
            return profile.ratePerSecond;
        case RateProfileKind.Steps:
            return Math.max(0, ...profile.steps.map(step => step.ratePerSecond));
        case RateProfileKind.Bursts:
            return Math.max(profile.ratePerSecond, profile.burstRatePerSecond);
        default:
            return assertNever(profile);
    }
}

function getStepRatePerSecond(steps: readonly RateStep[], elapsedMs: Milliseconds): number {
    let stepEndMs = 0;
    for (const step of steps) {
        stepEndMs += step.durationMs;
        if (elapsedMs < stepEndMs) {
            return step.ratePerSecond;
        }
    }
    return steps.at(-1)?.ratePerSecond ?? 0;
}
