/**
 * Rows of the cases' tables.
 */
import type { ClassResult, LoadResult } from "../load";
import type { Metric } from "../report";

/** Rows of every group, then the generators' lag. */
export function createGroupMetrics(current: LoadResult, baseline: LoadResult): Metric[] {
    const rows = current.classes.flatMap(group => {
        const other = baseline.classes.find(candidate => candidate.className === group.className);
        return createRows(group, other);
    });
    return [...rows, {
        name: "generator lag p99, worst run",
        unit: "ms",
        current: current.lag.p99,
        baseline: baseline.lag.p99,
    }];
}

function createRows(current: ClassResult, baseline: ClassResult | undefined): Metric[] {
    const row = (name: string, unit: string, read: (result: ClassResult) => number): Metric => ({
        name: `${current.className}: ${name}`,
        unit,
        current: read(current),
        baseline: baseline === undefined ? undefined : read(baseline),
    });
    return [
        row("offered", "calls", result => result.offered),
        row("goodput", "calls/s", result => result.goodput),
        row("in time", "%", result => 100 * result.inTimeShare),
        row("refused as not run", "calls", result => result.notRun),
        row("unknown or failed", "calls", result => result.unknown + result.errors),
        row("p50", "ms", result => result.p50),
        row("p99", "ms", result => result.p99),
    ];
}
