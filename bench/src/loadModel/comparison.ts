/**
 * Compares plays of one scenario, paired by seed, so that the luck of a seed cancels out.
 */
import type { PlayResult } from "./results";

export interface PairedDifference {
    readonly figure: string;
    /** Means over all seeds. */
    readonly before: number;
    readonly after: number;
    readonly difference: number;
    /** Half of the 95% confidence interval of the difference. */
    readonly margin: number;
}

/** Normal quantile of a two-sided interval of 95%. */
const intervalQuantile = 1.96;

/** Differences of the figures that callers notice; both lists hold the same seeds in the same order. */
export function comparePlays(before: readonly PlayResult[], after: readonly PlayResult[]): PairedDifference[] {
    const otherPlays = after.map(describePlay);
    const plays = before.map(describePlay);
    const figures = Object.keys(plays[0] ?? {});
    return figures.map(figure => {
        const pairs = plays.map((play, index) => [play[figure] ?? 0, otherPlays[index]?.[figure] ?? 0] as const);
        const differences = pairs.map(([one, other]) => other - one);
        const difference = mean(differences);
        const variance = differences.reduce((sum, value) => sum + (value - difference) ** 2, 0)
            / Math.max(1, differences.length - 1);
        return {
            figure,
            before: mean(pairs.map(([one]) => one)),
            after: mean(pairs.map(([, other]) => other)),
            difference,
            margin: intervalQuantile * Math.sqrt(variance / Math.max(1, differences.length)),
        };
    });
}

/** The figures of a play: shares of the calls of a class, and worths. */
function describePlay({ worth, worstWindowWorth, offersPerCall, classes }: PlayResult): Record<string, number> {
    const figures: Record<string, number> = {
        worth,
        "worst window": worstWindowWorth,
        "offers per attempt": offersPerCall,
    };
    for (const { name, asked, inTime, late, refused, failed, refusalP90Ms } of classes) {
        figures[`${name}: in time`] = inTime / asked;
        figures[`${name}: late`] = late / asked;
        figures[`${name}: refused`] = refused / asked;
        figures[`${name}: failed`] = failed / asked;
        figures[`${name}: refusal p90, ms`] = refusalP90Ms;
    }
    return figures;
}

function mean(values: readonly number[]): number {
    return values.length === 0 ? 0 : values.reduce((sum, value) => sum + value, 0) / values.length;
}
