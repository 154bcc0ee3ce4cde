/**
 * Offered load over time.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { assertNever } from "@bilberrycroft/core.errors";

export enum RateProfileKind {
    Constant = "constant",
    Steps = "steps",
    Bursts = "bursts",
}

export interface RateStep {
    readonly durationMs: Milliseconds;
    readonly ratePerSecond: number;
}

/** Call rate as a function of the time since the start of a run. */
export type RateProfile =
    | { readonly kind: RateProfileKind.Constant; readonly ratePerSecond: number }
    /** The last step lasts until the end of the run. */
    | { readonly kind: RateProfileKind.Steps; readonly steps: readonly RateStep[] }
    /** Each period starts with a burst of `burstMs`. */
    | {
        readonly kind: RateProfileKind.Bursts;
        readonly ratePerSecond: number;
        readonly burstRatePerSecond: number;
        readonly periodMs: Milliseconds;
        readonly burstMs: Milliseconds;
    };

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
