import { mkdtemp, readFile, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describe, expect, it } from "vitest";
import { type BenchReport, formatReport, publishReport } from "../src/report";

const report: BenchReport = {
    name: "tail",
    description: "seed 5",
    metrics: [
        { name: "short p99", unit: "ms", current: 10, baseline: 40 },
        { name: "long p99", unit: "ms", current: 10.123, baseline: undefined },
        { name: "errors", unit: "calls", current: 3, baseline: 0 },
    ],
};

describe("report", () => {
    it("shows a ratio only when both sides were measured and it is defined", () => {
        const cells = formatReport(report).split("\n").map(line => line.split(/\s{2,}/).slice(-3));
        expect(cells.slice(2, 5)).toEqual([["10", "40", "0.25"], ["10.12", "-", "-"], ["3", "0", "-"]]);
    });

    it("writes the same figures as JSON", async () => {
        const directory = await mkdtemp(join(tmpdir(), "bilberrycroft-report-"));
        const file = await publishReport(report, directory);
        expect(JSON.parse(await readFile(file, "utf8"))).toEqual(JSON.parse(JSON.stringify(report)));
        await rm(directory, { recursive: true });
    });
});
