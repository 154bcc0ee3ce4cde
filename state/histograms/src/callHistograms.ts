/**
 * Latency histograms and event counters for the calls of a node, labelled by tenant, route, target and outcome.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import type { RunTimeClass } from "@bilberrycroft/state.rules";
import { LatencyHistogram } from "./latencyHistogram";
import type { LatencySummary } from "./latencyHistogram";

/** Maximum number of label sets per histogram family. Four families of 96 take at most 3.7 MB. */
const defaultMaxLabelSets = 96;
const otherLabel = "other";

/** Events that are counted in addition to latencies. */
export enum CallCounter {
    Retries = "retries",
    Hedges = "hedges",
    HedgesWon = "hedgesWon",
    Sheds = "sheds",
    Quarantines = "quarantines",
}

/** A completed call. */
export interface RecordedCall {
    readonly tenant: string;
    readonly runTimeClass: RunTimeClass;
    readonly route: string;
    /** Target that responded; `undefined` if none did. */
    readonly target: string | undefined;
    readonly outcome: string;
    readonly latencyMs: Milliseconds;
}

export interface CallHistogramsOptions {
    /** Maximum number of label sets per histogram family, at least 2. Further label sets are recorded as `other`. */
    readonly maxLabelSets?: number;
}

/** Summary of one label. */
export interface LabelledSummary extends LatencySummary {
    readonly label: string;
}

/** Summary of one tenant and run time class. */
export interface TenantClassSummary extends LatencySummary {
    readonly tenant: string;
    readonly runTimeClass: string;
}

export interface CounterValue {
    readonly counter: CallCounter;
    readonly value: number;
}

/** Plain data that can be serialized as JSON. */
export interface HistogramReport {
    readonly tenants: readonly TenantClassSummary[];
    readonly routes: readonly LabelledSummary[];
    readonly targets: readonly LabelledSummary[];
    readonly outcomes: readonly LabelledSummary[];
    readonly counters: readonly CounterValue[];
}

interface LabelledHistogram {
    readonly labels: readonly string[];
    readonly histogram: LatencyHistogram;
}

/** Histograms of one kind of label set, limited in number. */
class HistogramFamily {
    private readonly histograms = new Map<string, LabelledHistogram>();

    constructor(private readonly maxLabelSets: number) {}

    record(labels: readonly string[], latencyMs: Milliseconds): void {
        this.findOrCreate(labels).histogram.record(latencyMs);
    }

    list(): LabelledHistogram[] {
        return [...this.histograms.values()];
    }

    private findOrCreate(labels: readonly string[]): LabelledHistogram {
        // Header values and rule names cannot contain a line break, so the joined labels are unambiguous.
        const key = labels.join("\n");
        const existing = this.histograms.get(key);
        if (existing !== undefined) {
            return existing;
        }
        const isFull = this.histograms.size >= this.maxLabelSets - 1;
        return isFull ? this.findOrCreateOther(labels.length) : this.create(key, labels);
    }

    private findOrCreateOther(count: number): LabelledHistogram {
        return this.histograms.get(otherLabel) ?? this.create(otherLabel, new Array<string>(count).fill(otherLabel));
    }

    private create(key: string, labels: readonly string[]): LabelledHistogram {
        const created = { labels, histogram: new LatencyHistogram() };
        this.histograms.set(key, created);
        return created;
    }
}

export class CallHistograms {
    private readonly tenants: HistogramFamily;
    private readonly routes: HistogramFamily;
    private readonly targets: HistogramFamily;
    private readonly outcomes: HistogramFamily;
    private readonly counters = new Map<CallCounter, number>();

    constructor(options: CallHistogramsOptions = {}) {
        const maxLabelSets = Math.max(2, options.maxLabelSets ?? defaultMaxLabelSets);
        this.tenants = new HistogramFamily(maxLabelSets);
        this.routes = new HistogramFamily(maxLabelSets);
        this.targets = new HistogramFamily(maxLabelSets);
        this.outcomes = new HistogramFamily(maxLabelSets);
    }

    /** Records a completed call in every histogram family. */
    record(call: RecordedCall): void {
        this.tenants.record([call.tenant, call.runTimeClass], call.latencyMs);
        this.routes.record([call.route], call.latencyMs);
        this.outcomes.record([call.outcome], call.latencyMs);
        if (call.target !== undefined) {
            this.targets.record([call.target], call.latencyMs);
        }
    }

    count(counter: CallCounter): void {
        this.counters.set(counter, (this.counters.get(counter) ?? 0) + 1);
    }

    /** Returns a report of everything recorded since the node started. */
    snapshot(): HistogramReport {
        return {
            tenants: this.tenants.list().map(({ labels: [tenant = "", runTimeClass = ""], histogram }) => ({
                tenant,
                runTimeClass,
                ...histogram.summarize(),
            })),
            routes: summarizeLabels(this.routes),
            targets: summarizeLabels(this.targets),
            outcomes: summarizeLabels(this.outcomes),
            counters: Object.values(CallCounter).map(counter => ({
                counter,
                value: this.counters.get(counter) ?? 0,
            })),
        };
    }
}

function summarizeLabels(family: HistogramFamily): LabelledSummary[] {
    return family.list().map(({ labels: [label = ""], histogram }) => ({ label, ...histogram.summarize() }));
}
