/**
 * Results of experiments as text tables.
 */
import type { PairedDifference } from "./comparison";
import type { SweepResult } from "./experiment";
import type { PlayResult } from "./results";

type Row = readonly (string | number)[];

const millisecondsPerSecond = 1_000;

/** What the callers of each class got, as means of the plays. */
export function formatClasses(plays: readonly PlayResult[]): string {
    const names = plays[0]?.classes.map(({ name }) => name) ?? [];
    const rows = names.map(name => {
        const results = plays.flatMap(({ classes }) => classes.filter(result => result.name === name));
        const sum = (read: (result: PlayResult["classes"][number]) => number): number =>
            results.reduce((total, result) => total + read(result), 0);
        const asked = sum(result => result.asked);
        return [
            name,
            Math.round(asked / plays.length),
            share(sum(({ inTime }) => inTime) / asked),
            share(sum(({ late }) => late) / asked),
            share(sum(({ refused }) => refused) / asked),
            share(sum(({ failed }) => failed) / asked),
            share(sum(({ worth }) => worth) / plays.length),
            Math.round(sum(({ p50Ms }) => p50Ms) / plays.length),
            Math.round(sum(({ p99Ms }) => p99Ms) / plays.length),
            Math.round(sum(({ refusalP90Ms }) => refusalP90Ms) / plays.length),
        ];
    });
    const head = ["class", "asked", "in time", "late", "refused", "failed", "worth", "p50 ms", "p99 ms", "refusal p90 ms"];
    return formatTable([head, ...rows]);
}

export function formatServices(plays: readonly PlayResult[]): string {
    const names = plays[0]?.services.map(({ name }) => name) ?? [];
    const rows = names.map(name => {
        const results = plays.flatMap(({ services }) => services.filter(result => result.name === name));
        const average = (read: (result: PlayResult["services"][number]) => number): number =>
            results.reduce((total, result) => total + read(result), 0) / plays.length;
        return [
            name,
            share(average(({ utilization }) => utilization)),
            average(({ busiestByMean }) => busiestByMean).toFixed(2),
            Math.round(average(({ mostInFourSeconds }) => mostInFourSeconds)),
        ];
    });
    return formatTable([["service", "slots used", "busiest/mean", "most in 4 s"], ...rows]);
}

/** An asterisk marks differences whose confidence interval does not hold zero. */
export function formatDifferences(differences: readonly PairedDifference[]): string {
    const rows = differences.map(({ figure, before, after, difference, margin }) => [
        figure,
        share(before),
        share(after),
        `${difference < 0 ? "" : "+"}${share(difference)}`,
        share(margin),
        Math.abs(difference) > margin ? "*" : "",
    ]);
    return formatTable([["figure", "before", "after", "difference", "+/-", ""], ...rows]);
}

export function formatSweep(results: readonly SweepResult[]): string {
    const rows = results.map(({ size, nodes, plays, elapsedMs }) => {
        const classes = plays.flatMap(play => play.classes);
        const asked = classes.reduce((sum, result) => sum + result.asked, 0);
        const worth = plays.reduce((sum, play) => sum + play.worth, 0) / plays.length;
        const services = plays.flatMap(play => play.services);
        const busiest = Math.max(...services.map(({ busiestByMean }) => busiestByMean));
        return [
            size,
            nodes,
            asked,
            share(worth),
            busiest.toFixed(2),
            (elapsedMs / millisecondsPerSecond).toFixed(1),
            (elapsedMs / asked * millisecondsPerSecond).toFixed(0),
        ];
    });
    return formatTable([["size", "nodes", "calls", "worth", "busiest/mean", "seconds", "us a call"], ...rows]);
}

function share(value: number): string {
    return value.toFixed(3);
}

function formatTable(rows: readonly Row[]): string {
    const widths = (rows[0] ?? []).map((_, column) => Math.max(...rows.map(row => String(row[column]).length)));
    return rows.map(row => row.map((cell, column) => column === 0
        ? String(cell).padEnd(widths[column] ?? 0)
        : String(cell).padStart(widths[column] ?? 0)).join("  ").trimEnd()).join("\n");
}
