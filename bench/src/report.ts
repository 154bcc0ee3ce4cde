/**
 * Benchmark reports: a table of this version, the baseline and their ratio, and the values as JSON.
 */
import { mkdir, writeFile } from "node:fs/promises";
import { join } from "node:path";
import type { ClassResult, LoadResult } from "./load";

/** One row of a report. */
export interface Metric {
    readonly name: string;
    readonly unit: string;
    /** `undefined` if not measured. */
    readonly current: number | undefined;
    readonly baseline: number | undefined;
}

/** Result of one benchmark. */
export interface BenchReport {
    /** Also the base name of the JSON file. */
    readonly name: string;
    /** States what was measured, the seed and the size. */
    readonly description: string;
    readonly metrics: readonly Metric[];
}

const notMeasuredCell = "-";

/** Returns the rows for two runs of the same load, or for one run if there is no baseline. */
export function createLoadMetrics(current: LoadResult, baseline?: LoadResult): Metric[] {
    const classes = [current.total, ...current.classes];
    const rows = classes.flatMap(result => {
        const baselineClass = [baseline?.total, ...baseline?.classes ?? []]
            .find(candidate => candidate?.className === result.className);
        return createClassMetrics(result, baselineClass);
    });
    return [...rows, { name: "generator lag p99", unit: "ms", current: current.lag.p99, baseline: baseline?.lag.p99 }];
}

function createClassMetrics(current: ClassResult, baseline: ClassResult | undefined): Metric[] {
    const fields: readonly { readonly name: string; readonly unit: string; read(result: ClassResult): number }[] = [
        { name: "offered", unit: "calls", read: result => result.offered },
        { name: "done", unit: "calls", read: result => result.done },
        { name: "not run", unit: "calls", read: result => result.notRun },
        { name: "unknown", unit: "calls", read: result => result.unknown },
        { name: "errors", unit: "calls", read: result => result.errors },
        { name: "goodput", unit: "calls/s", read: result => result.goodput },
        { name: "p50", unit: "ms", read: result => result.p50 },
        { name: "p99", unit: "ms", read: result => result.p99 },
        { name: "max", unit: "ms", read: result => result.max },
    ];
    return fields.map(({ name, unit, read }) => ({
        name: `${current.className} ${name}`,
        unit,
        current: read(current),
        baseline: baseline === undefined ? undefined : read(baseline),
    }));
}

/** Formats a report as a text table. */
export function formatReport(report: BenchReport): string {
    const header = ["", "unit", "this version", "baseline", "ratio"];
    const rows = report.metrics.map(metric => [
        metric.name,
        metric.unit,
        formatNumber(metric.current),
        formatNumber(metric.baseline),
        formatNumber(divide(metric.current, metric.baseline)),
    ]);
    const widths = header.map((_, column) => Math.max(...[header, ...rows].map(row => row[column]?.length ?? 0)));
    const lines = [header, ...rows].map(row => formatRow(row, widths));
    return [`${report.name}: ${report.description}`, ...lines, ""].join("\n");
}

/** Prints a report and writes it to `<directory>/<name>.json`. Resolves to the path. */
export async function publishReport(report: BenchReport, directory = "bench/results"): Promise<string> {
    const file = join(directory, `${report.name}.json`);
    process.stdout.write(formatReport(report));
    await mkdir(directory, { recursive: true });
    await writeFile(file, `${JSON.stringify(report, undefined, 4)}\n`);
    return file;
}

/** Aligns the text columns, which come first, to the left and the number columns to the right. */
function formatRow(row: readonly string[], widths: readonly number[]): string {
    const textColumnCount = 2;
    const cells = row.map((cell, column) => {
        const width = widths[column] ?? 0;
        return column < textColumnCount ? cell.padEnd(width) : cell.padStart(width);
    });
    return cells.join("  ").trimEnd();
}

function divide(current: number | undefined, baseline: number | undefined): number | undefined {
    return current === undefined || baseline === undefined || baseline === 0 ? undefined : current / baseline;
}

function formatNumber(value: number | undefined): string {
    if (value === undefined) {
        return notMeasuredCell;
    }
    return Number.isInteger(value) ? String(value) : value.toFixed(2);
}
