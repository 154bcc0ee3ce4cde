import { CallCounter, CallHistograms, LatencyHistogram } from "@bilberrycroft/state.histograms";
import { RunTimeClass } from "@bilberrycroft/state.rules";
import { describe, expect, it } from "vitest";

const call = {
    tenant: "farm",
    runTimeClass: RunTimeClass.Short,
    route: "readings",
    target: "t1",
    outcome: "done",
    latencyMs: 1,
};

describe("latency histogram", () => {
    it.each([0.01, 0.35, 4.2, 999, 59_000])("records %d ms within one percent, which status output relies on", ms => {
        const histogram = new LatencyHistogram();
        histogram.record(ms);
        expect(Math.abs(histogram.summarize().p50Ms - ms)).toBeLessThanOrEqual(ms / 100);
    });

    it.each([
        { ms: 1e9, expected: 60_000 },
        { ms: -1, expected: 0 },
        { ms: Number.NaN, expected: 0 },
    ])("clamps $ms ms instead of throwing on the call path", ({ ms, expected }) => {
        const histogram = new LatencyHistogram();
        histogram.record(ms);
        expect(histogram.summarize().count).toBe(1);
        expect(Math.abs(histogram.summarize().maxMs - expected)).toBeLessThanOrEqual(expected / 100);
    });

    it("reports different values for the percentiles and the maximum", () => {
        const histogram = new LatencyHistogram();
        for (let ms = 1; ms <= 100; ms++) {
            histogram.record(ms);
        }
        const summary = histogram.summarize();
        const percentiles = [summary.p50Ms, summary.p90Ms, summary.p99Ms, summary.maxMs];
        expect(percentiles.map(Math.round)).toEqual([50, 90, 99, 100]);
    });
});

describe("call histograms", () => {
    it("record label sets above the limit as other, so that invented tenant names cannot exhaust memory", () => {
        const histograms = new CallHistograms({ maxLabelSets: 4 });
        for (let index = 0; index < 50; index++) {
            histograms.record({ ...call, tenant: `tenant-${index}` });
        }
        const { tenants } = histograms.snapshot();
        expect(tenants.length).toBe(4);
        expect(tenants.find(({ tenant }) => tenant === "other")?.count).toBe(47);
    });

    it("keep separate histograms for the classes of one tenant", () => {
        const histograms = new CallHistograms();
        histograms.record(call);
        histograms.record({ ...call, runTimeClass: RunTimeClass.Long });
        expect(histograms.snapshot().tenants.map(({ runTimeClass }) => runTimeClass)).toEqual(["short", "long"]);
    });

    it("return a report with every counter that can be serialized as JSON", () => {
        const histograms = new CallHistograms();
        histograms.record({ ...call, target: undefined });
        histograms.count(CallCounter.Hedges);
        const report = histograms.snapshot();
        expect(JSON.parse(JSON.stringify(report))).toEqual(report);
        expect(report.targets).toEqual([]);
        expect(report.counters).toContainEqual({ counter: CallCounter.Hedges, value: 1 });
        expect(report.counters.length).toBe(Object.values(CallCounter).length);
    });
});
