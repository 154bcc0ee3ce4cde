/**
 * Summaries of measured values.
 */

export interface Summary {
    readonly count: number;
    readonly mean: number;
    /** Lower median. */
    readonly p50: number;
    readonly max: number;
}

/** All fields are 0 for an empty list. */
export function summarize(values: readonly number[]): Summary {
    const sorted = [...values].sort((left, right) => left - right);
    const sum = sorted.reduce((total, value) => total + value, 0);
    return {
        count: sorted.length,
        mean: round(sum / Math.max(1, sorted.length)),
        p50: round(sorted[Math.floor((sorted.length - 1) / 2)] ?? 0),
        max: round(sorted.at(-1) ?? 0),
    };
}

/** Rounds to three decimals, which is enough for every figure in `docs/CAPACITY.md`. */
export function round(value: number): number {
    return Math.round(value * 1_000) / 1_000;
}
