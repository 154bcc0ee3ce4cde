/**
 * Plots of plays as SVG, drawn by vega-lite.
 */
import { parse, View } from "vega";
import { compile, type TopLevelSpec } from "vega-lite";
import type { PlayResult } from "./results";

const width = 640;
const height = 280;
const millisecondsPerSecond = 1_000;

/** Worth by window of time, one line for each strategy. */
export function plotWorth(title: string, plays: ReadonlyMap<string, readonly PlayResult[]>): Promise<string> {
    const values = [...plays].flatMap(([strategy, results]) => results.flatMap(({ windows }) =>
        windows.map(({ from, worth }) => ({ strategy, second: from / millisecondsPerSecond, worth }))));
    return draw({
        title,
        width,
        height,
        data: { values },
        mark: { type: "line", point: true },
        encoding: {
            x: { field: "second", type: "quantitative", title: "time, s" },
            y: { field: "worth", type: "quantitative", aggregate: "mean", title: "worth earned", scale: { domain: [0, 1] } },
            color: { field: "strategy", type: "nominal" },
        },
    });
}

/** What the callers of each class got, one bar for each strategy. */
export function plotOutcomes(title: string, plays: ReadonlyMap<string, readonly PlayResult[]>): Promise<string> {
    const values = [...plays].flatMap(([strategy, results]) => results.flatMap(({ classes }) =>
        classes.flatMap(({ name, asked, inTime, late, refused, failed }) =>
            Object.entries({ "1 in time": inTime, "2 late": late, "3 refused": refused, "4 failed": failed })
                .map(([outcome, count]) => ({ strategy, name, outcome, share: count / asked / results.length })))));
    return draw({
        title,
        height,
        data: { values },
        mark: "bar",
        encoding: {
            x: { field: "strategy", type: "nominal", title: undefined },
            y: { field: "share", type: "quantitative", aggregate: "sum", title: "share of calls" },
            color: { field: "outcome", type: "nominal" },
            column: { field: "name", type: "nominal", title: undefined },
        },
    });
}

function draw(spec: TopLevelSpec): Promise<string> {
    return new View(parse(compile(spec).spec), { renderer: "none" }).toSVG();
}
