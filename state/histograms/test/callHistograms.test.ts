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
    it.each([0.01, 0.35, 4.2, 999, 59_000])("keeps %d ms within one in a hundred, which status output relies on", ms => {
        const histogram = new LatencyHistogram();
        histogram.record(ms);
        expect(Math.abs(histogram.summarize().p50Ms - ms)).toBeLessThanOrEqual(ms / 100);
    });

    it.each([
        { ms: 1e9, expected: 60_000 },
        { ms: -1, expected: 0 },
        { ms: Number.NaN, expected: 0 },
    ])("bounds $ms ms instead of throwing on the call path", ({ ms, expected }) => {
        const histogram = new LatencyHistogram();
        histogram.record(ms);
        expect(histogram.summarize().count).toBe(1);
        expect(Math.abs(histogram.summarize().maxMs - expected)).toBeLessThanOrEqual(expected / 100);
    });

    it("reports percentiles and not the maximum for all", () => {
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
    it("count label sets beyond the bound under other, so that invented tenants can not fill the memory", () => {
        const histograms = new CallHistograms({ maxLabels: 4 });
        for (let index = 0; index < 50; index++) {
            histograms.record({ ...call, tenant: `tenant-${index}` });
        }
        const { tenants } = histograms.snapshot();
        expect(tenants.length).toBe(4);
        expect(tenants.find(({ tenant }) => tenant === "other")?.count).toBe(47);
    });

    it("keep tenants and classes apart, even when their names run together", () => {
        const histograms = new CallHistograms();
        histograms.record(call);
        histograms.record({ ...call, runTimeClass: RunTimeClass.Long });
        expect(histograms.snapshot().tenants.map(({ runTimeClass }) => runTimeClass)).toEqual(["short", "long"]);
    });

    it("give a report that survives JSON, with every counter", () => {
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
