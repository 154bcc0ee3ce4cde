/**
 * Report rows of the benchmark cases.
 */
import type { ClassResult, LoadResult } from "../load";
import type { Metric } from "../report";

/** Returns the rows of each group, followed by the generator lag. */
export function createGroupMetrics(current: LoadResult, baseline: LoadResult): Metric[] {
    const rows = current.classes.flatMap(group => {
        const baselineGroup = baseline.classes.find(candidate => candidate.className === group.className);
        return createRows(group, baselineGroup);
    });
    return [...rows, {
        name: "generator lag p99, worst run",
        unit: "ms",
        current: current.lag.p99,
        baseline: baseline.lag.p99,
    }];
}

function createRows(current: ClassResult, baseline: ClassResult | undefined): Metric[] {
    const createRow = (name: string, unit: string, getValue: (result: ClassResult) => number): Metric => ({
        name: `${current.className}: ${name}`,
        unit,
        current: getValue(current),
        baseline: baseline === undefined ? undefined : getValue(baseline),
    });
    return [
        createRow("offered", "calls", result => result.offered),
        createRow("goodput", "calls/s", result => result.goodput),
        createRow("in time", "%", result => 100 * result.inTimeShare),
        createRow("refused as not run", "calls", result => result.notRun),
        createRow("unknown or failed", "calls", result => result.unknown + result.errors),
        createRow("p50", "ms", result => result.p50),
        createRow("p99", "ms", result => result.p99),
    ];
}
