/**
 * Estimate of how run times in one target rise with the number of calls that run in it.
 *
 * Run times are compared within their route, so that a heavy mix of routes does not look like a slow target. A low
 * quantile of each level of concurrency is used, because noisy periods of the target lengthen a part of the runs. Few
 * samples are taken in a short time, since the runs of one noisy period are alike.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import { evictOldestIfFull } from "./boundedMap";

/** Run of a call that made no inner calls, whose waits elsewhere would say nothing about this target. */
export interface ObservedRun {
    readonly route: string;
    readonly runMs: Milliseconds;
    /** Calls that ran while this one did, itself included. */
    readonly running: number;
}

export interface SlowdownEstimate {
    /** Run times rise from this number of running calls on. */
    readonly knee: number;
    /** Rise of the run time with each further call, as a share of the run time below the knee. */
    readonly risePerCall: number;
}

interface Sample {
    readonly route: string;
    readonly logRunMs: number;
    readonly running: number;
    readonly at: Milliseconds;
}

const maxLevels = 12;
const samplesPerLevel = 40;
/** Least time between two samples of a level; a level then spans several noisy periods of about 600 ms. */
const sampleIntervalMs: Milliseconds = 120;
const sampleAgeMs: Milliseconds = 60_000;
const minSamplesPerLevel = 1;
const quantile = 0.3;
/** Standard error of this quantile for normally distributed values, as a multiple of deviation / sqrt(samples). */
const quantileErrorFactor = 1.32;
/** Least improvement over a constant run time, as a chi-squared value. */
const minEvidence = 30;
/** Deviation assumed at first: levels with one sample each would otherwise show none, and any difference as certain. */
const priorDeviation = 0.4;
const priorSamples = 60;
const iterations = 3;
const risesPerCall = [0.02, 0.04, 0.06, 0.09, 0.13, 0.18, 0.25, 0.35, 0.5, 0.7, 1];
/** Bounds memory use when routes are added and removed. */
const maxRoutes = 1_024;

interface Level {
    readonly running: number;
    readonly logRatio: number;
    readonly samples: number;
}

export class SlowdownCurve {
    private levels: Sample[][] = [];

    constructor(private readonly clock: Clock) {}

    reset(): void {
        this.levels = [];
    }

    add({ route, runMs, running }: ObservedRun, slots: number): void {
        const index = Math.min(maxLevels - 1, Math.floor((running - 1) * Math.min(1, maxLevels / slots)));
        const now = this.clock.now();
        const level = this.levels[index] ??= [];
        const last = level[level.length - 1];
        if (last !== undefined && now - last.at < sampleIntervalMs) {
            return;
        }
        level.push({ route, logRunMs: Math.log(Math.max(1, runMs)), running, at: now });
        if (level.length > samplesPerLevel) {
            level.shift();
        }
    }

    /** The slowdown, or `undefined` if run times do not clearly rise with the number of running calls. */
    estimate(): SlowdownEstimate | undefined {
        const { levels, deviation } = this.compareLevels();
        if (levels.length < 2) {
            return undefined;
        }
        const weightOf = ({ samples }: Level): number => samples / (quantileErrorFactor * deviation) ** 2;
        const error = (rise: (running: number) => number): number => {
            let weights = 0;
            let sum = 0;
            let squares = 0;
            for (const level of levels) {
                const weight = weightOf(level);
                const rest = level.logRatio - rise(level.running);
                weights += weight;
                sum += weight * rest;
                squares += weight * rest * rest;
            }
            return squares - sum * sum / weights;
        };
        let best: SlowdownEstimate | undefined;
        let lowest = error(() => 0) - minEvidence;
        const highest = levels[levels.length - 1]?.running ?? 1;
        for (let knee = 1; knee < highest; knee++) {
            for (const risePerCall of risesPerCall) {
                const remaining = error(running => Math.log(slowdownAt({ knee, risePerCall }, running)));
                if (remaining < lowest) {
                    lowest = remaining;
                    best = { knee, risePerCall };
                }
            }
        }
        return best;
    }

    /** Logarithms of the run times at each level, relative to their routes, and the deviation within the levels. */
    private compareLevels(): { readonly levels: readonly Level[]; readonly deviation: number } {
        const validFrom = this.clock.now() - sampleAgeMs;
        const byLevel = this.levels
            .map(samples => samples.filter(({ at }) => at >= validFrom))
            .filter(samples => samples.length >= minSamplesPerLevel);
        let offsets = new Map<string, number>();
        let ratios = byLevel.map(() => 0);
        for (let iteration = 0; iteration < iterations; iteration++) {
            offsets = computeRouteOffsets(byLevel, ratios);
            ratios = byLevel.map(samples => findQuantile(relativeTo(offsets, samples), quantile));
        }
        const levels = byLevel.map((samples, index) => ({
            running: samples.reduce((sum, { running }) => sum + running, 0) / samples.length,
            logRatio: ratios[index] as number,
            samples: samples.length,
        }));
        const spreads = byLevel.map(samples => {
            const values = relativeTo(offsets, samples);
            return (findQuantile(values, 0.5) - findQuantile(values, 0.16)) * samples.length;
        });
        const count = byLevel.reduce((sum, samples) => sum + samples.length, 0);
        const spreadSum = spreads.reduce((sum, spread) => sum + spread, priorDeviation * priorSamples);
        return { levels, deviation: spreadSum / (count + priorSamples) };
    }
}

/** Run time at a number of running calls, as a multiple of that below the knee. */
export function slowdownAt({ knee, risePerCall }: SlowdownEstimate, running: number): number {
    return 1 + risePerCall * Math.max(0, running - knee);
}

function computeRouteOffsets(byLevel: readonly (readonly Sample[])[], ratios: readonly number[]): Map<string, number> {
    const sums = new Map<string, { sum: number; count: number }>();
    byLevel.forEach((samples, index) => samples.forEach(({ route, logRunMs }) => {
        evictOldestIfFull(sums, route, maxRoutes);
        const counted = sums.get(route) ?? { sum: 0, count: 0 };
        sums.set(route, counted);
        counted.sum += logRunMs - (ratios[index] as number);
        counted.count++;
    }));
    return new Map([...sums].map(([route, { sum, count }]) => [route, sum / count]));
}

function relativeTo(offsets: ReadonlyMap<string, number>, samples: readonly Sample[]): number[] {
    return samples.map(({ route, logRunMs }) => logRunMs - (offsets.get(route) ?? 0));
}

function findQuantile(values: readonly number[], share: number): number {
    const sorted = [...values].sort((left, right) => left - right);
    const position = share * (sorted.length - 1);
    const lower = Math.floor(position);
    const low = sorted[lower] ?? 0;
    return low + (position - lower) * ((sorted[lower + 1] ?? low) - low);
}
