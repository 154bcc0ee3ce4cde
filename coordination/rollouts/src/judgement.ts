/**
 * Judges a new version by comparing its counts with those of the old version over the same period.
 *
 * Answers a version that fails a part of its calls or is several times slower, on all routes or on one. The old
 * version is the reference, so that a fault of something that both use does not condemn the new one. Few samples decide
 * nothing.
 *
 * Failures: the number that the new version would have at the old version's rate, route by route, is compared with the
 * observed one; the rate is uncertain where the old version had few runs. Run times: the ratio of geometric means,
 * route by route, with its standard error.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import type { RouteCounts } from "@bilberrycroft/protocol.forwarding";
import { type ComparedTotals, countRuns, type EvidenceHistory, type VersionTotals } from "./evidenceHistory";

export enum Verdict {
    /** Too few runs. */
    Unknown = "unknown",
    Sound = "sound",
    /** Worse than the old version, but by little or in few runs. */
    Suspected = "suspected",
    Bad = "bad",
}

export enum Sign {
    None = "none",
    Failures = "failures",
    RunTimes = "run-times",
}

export interface Judgement {
    readonly verdict: Verdict;
    readonly sign: Sign;
    /** Route that shows the sign; `undefined` for all routes together. */
    readonly route: string | undefined;
    readonly runs: number;
    readonly failures: number;
    readonly expectedFailures: number;
    /** Ratio of the run times of the new version to those of the old one. */
    readonly slowdown: number;
    /** Probability of so many failures, or of so long run times, by chance. */
    readonly probability: number;
}

/** Runs of the new version that are sufficient for a verdict. */
export const sufficientRuns = 20;
/** A rollout makes some hundred comparisons that depend on each other; see the table in the design note. */
const badProbability = 5e-5;
const suspectedProbability = 5e-3;
/** A new version may fail this share of its calls more, and this multiple of the old version's failures. */
const toleratedFailureShare = 0.015;
const toleratedFailureFactor = 1.25;
/** Weight, in runs, of the failure rate over all routes in that of a route. */
const routePriorRuns = 2;
/** Weight, in runs, of a route's failure rate over all periods in that of one period. */
const priorRuns = 10;
/** A target may be this much slower: one that starts, or one of the slower machines of a service. */
const toleratedSlowdown = 2;
/**
 * A smaller ratio is no sign, however certain: the target under test may be one of the slower machines of its service
 * and in a noisy period, which many run times do not average out.
 */
const minSlowdown = 2.5;
/** A noisy period of a target lasts for about 0.6 s; run times of a shorter span say little, however many they are. */
const minSpanMs: Milliseconds = 2_000;
/** Minimum number of run times of each version on a route that is compared. */
const minTimedRuns = 5;
/** Standard deviation of the logarithm of run times, assumed with the weight of some runs. */
const priorDeviation = 0.6;
const priorDeviationRuns = 6;
const maxSize = 1e6;
/** Bounds the time of a sum; counts of a rollout are smaller. */
const maxSummands = 1e6;
/** Routes with few runs have no comparison of their own. */
const minRouteFailures = 3;

/** Periods that are compared besides the whole rollout, for faults that begin late. */
const windowsMs: readonly Milliseconds[] = [4_000, 2_000];
interface Finding {
    readonly sign: Sign;
    readonly route: string | undefined;
    readonly probability: number;
    readonly expectedFailures: number;
    readonly failures: number;
    readonly slowdown: number;
}

/** Judges the whole rollout and its last seconds; the worst counts. */
export function judgeHistory(history: EvidenceHistory): Judgement {
    const usesRunTimes = history.spanMs >= minSpanMs;
    const overall = judgeVersion(history.comparedPeriods, { usesRunTimes });
    return windowsMs.reduce((worst, windowMs) => {
        const judgement = judgeVersion([history.window(windowMs)], { usesRunTimes });
        // The number of runs decides whether the whole evidence is sufficient, not that of a window.
        return judgement.sign !== Sign.None && judgement.probability < worst.probability
            ? { ...judgement, runs: overall.runs }
            : worst;
    }, overall);
}

/** Judges the version from the counts of one or more periods, each of which is compared for itself. */
export function judgeVersion(
    periods: readonly ComparedTotals[],
    { usesRunTimes }: { readonly usesRunTimes: boolean },
): Judgement {
    const runs = periods.reduce((sum, { after }) => sum + countRuns(after), 0);
    const failures = periods.reduce((sum, { after }) => sum + sumOf(after, counts => counts.failures), 0);
    const findings = [...findFailures(periods), ...usesRunTimes ? findSlowdowns(periods) : []];
    const [worst] = findings.sort((left, right) => left.probability - right.probability);
    const none = { probability: 1, expectedFailures: 0, failures, slowdown: 1 };
    if (worst === undefined || worst.probability >= suspectedProbability) {
        const verdict = runs >= sufficientRuns ? Verdict.Sound : Verdict.Unknown;
        return { ...(worst ?? none), sign: Sign.None, route: undefined, verdict, runs };
    }
    return { ...worst, verdict: worst.probability < badProbability ? Verdict.Bad : Verdict.Suspected, runs };
}

/** Failures that are expected at the old version's rate. */
interface Expectation {
    failures: number;
    expected: number;
    /** Variance of the expected number, because the old version's rate is only estimated. */
    variance: number;
}

function findFailures(periods: readonly ComparedTotals[]): Finding[] {
    const byRoute = new Map<string, Expectation>();
    const all: Expectation = { failures: 0, expected: 0, variance: 0 };
    const rateOf = createOldRates(periods);
    for (const { before, after } of periods) {
        for (const { route, runs, failures } of after.values()) {
            const old = before.get(route);
            const oldRuns = (old?.runs ?? 0) + priorRuns;
            const oldRate = ((old?.failures ?? 0) + priorRuns * rateOf(route)) / oldRuns;
            const rate = Math.min(1, toleratedFailureFactor * oldRate + toleratedFailureShare);
            const variance = runs ** 2 * rate * (1 - rate) * toleratedFailureFactor / (oldRuns + 1);
            const ofRoute = byRoute.get(route) ?? { failures: 0, expected: 0, variance: 0 };
            byRoute.set(route, ofRoute);
            for (const expectation of [ofRoute, all]) {
                expectation.failures += failures;
                expectation.expected += runs * rate;
                expectation.variance += variance;
            }
        }
    }
    const ofRoutes = [...byRoute].filter(([, { failures }]) => failures >= minRouteFailures)
        .map(([route, expectation]) => createFailureFinding(route, expectation));
    return [createFailureFinding(undefined, all), ...ofRoutes];
}

/** Returns the old version's failure rate by route over all periods; that of all routes where there are few runs. */
function createOldRates(periods: readonly ComparedTotals[]): (route: string) => number {
    const byRoute = new Map<string, { runs: number; failures: number }>();
    // Without any run of the old version, a failure counts half.
    const all = { runs: 1, failures: 0.5 };
    for (const { route, runs, failures } of periods.flatMap(({ before }) => [...before.values()])) {
        const ofRoute = byRoute.get(route) ?? { runs: 0, failures: 0 };
        byRoute.set(route, ofRoute);
        for (const counts of [ofRoute, all]) {
            counts.runs += runs;
            counts.failures += failures;
        }
    }
    const commonRate = all.failures / all.runs;
    return route => {
        const { runs, failures } = byRoute.get(route) ?? { runs: 0, failures: 0 };
        return (failures + routePriorRuns * commonRate) / (runs + routePriorRuns);
    };
}

function createFailureFinding(route: string | undefined, { failures, expected, variance }: Expectation): Finding {
    const probability = countTail(failures, expected, variance);
    return { sign: Sign.Failures, route, probability, expectedFailures: expected, failures, slowdown: 1 };
}

/** Mean of logarithms of ratios, weighted by the inverse of their variances. */
interface WeightedMean {
    weight: number;
    weighted: number;
}

function findSlowdowns(periods: readonly ComparedTotals[]): Finding[] {
    const byRoute = new Map<string, WeightedMean>();
    const all: WeightedMean = { weight: 0, weighted: 0 };
    for (const { before, after } of periods) {
        for (const [route, counts] of after) {
            const old = before.get(route);
            if (old === undefined || old.timed < minTimedRuns || counts.timed < minTimedRuns) {
                continue;
            }
            const logRatio = counts.logSum / counts.timed - old.logSum / old.timed;
            const variance = varianceOf(counts) / counts.timed + varianceOf(old) / old.timed;
            const ofRoute = byRoute.get(route) ?? { weight: 0, weighted: 0 };
            byRoute.set(route, ofRoute);
            for (const mean of [ofRoute, all]) {
                mean.weight += 1 / variance;
                mean.weighted += logRatio / variance;
            }
        }
    }
    const ofRoutes = [...byRoute].map(([route, mean]) => createSlowdownFinding(route, mean));
    return all.weight === 0 ? [] : [createSlowdownFinding(undefined, all), ...ofRoutes];
}

function createSlowdownFinding(route: string | undefined, { weight, weighted }: WeightedMean): Finding {
    const logRatio = weighted / weight;
    const slowdown = Math.exp(logRatio);
    const deviations = (logRatio - Math.log(toleratedSlowdown)) * Math.sqrt(weight);
    const probability = slowdown < minSlowdown ? 1 : normalTail(deviations);
    return { sign: Sign.RunTimes, route, probability, expectedFailures: 0, failures: 0, slowdown };
}

function varianceOf({ timed, logSum, logSquareSum }: RouteCounts): number {
    const squares = Math.max(0, logSquareSum - logSum * logSum / timed);
    return (squares + priorDeviationRuns * priorDeviation ** 2) / (timed - 1 + priorDeviationRuns);
}

function sumOf(totals: VersionTotals, select: (counts: RouteCounts) => number): number {
    return [...totals.values()].reduce((sum, counts) => sum + select(counts), 0);
}

/**
 * Probability that a count is at least `count`, if its mean is a gamma variable with this mean and variance; the count
 * then has a negative binomial distribution, and a Poisson distribution without variance.
 */
export function countTail(count: number, mean: number, variance: number): number {
    if (count <= 0) {
        return 1;
    }
    if (mean <= 0) {
        return 0;
    }
    // The size of the negative binomial distribution; it equals the Poisson distribution for large sizes.
    const size = Math.min(maxSize, mean ** 2 / Math.max(variance, Number.MIN_VALUE));
    const ratio = mean / (size + mean);
    // Summed upwards from `count`: the complement would lose small probabilities.
    let term = Math.exp(size * Math.log1p(-ratio));
    for (let next = 0; next < count; next++) {
        term *= ratio * (size + next) / (next + 1);
    }
    let sum = 0;
    for (let next = count; next < maxSummands && (term > sum * 1e-9 || next < mean); next++) {
        sum += term;
        term *= ratio * (size + next) / (next + 1);
    }
    return Math.min(1, sum);
}

const normalTailCoefficients = [0.31938153, -0.356563782, 1.781477937, -1.821255978, 1.330274429];

/** Probability that a standard normal variable is at least `value` (Abramowitz and Stegun, 26.2.17). */
export function normalTail(value: number): number {
    if (value < 0) {
        return 1 - normalTail(-value);
    }
    const factor = 1 / (1 + 0.2316419 * value);
    const polynomial = normalTailCoefficients.reduceRight((sum, coefficient) => (sum + coefficient) * factor, 0);
    return Math.exp(-value * value / 2) / Math.sqrt(2 * Math.PI) * polynomial;
}
