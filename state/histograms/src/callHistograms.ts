/**
 * Latency histograms and counters of the calls that a node carried.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import type { RunTimeClass } from "@bilberrycroft/state.rules";
import { LatencyHistogram } from "./latencyHistogram";
import type { LatencySummary } from "./latencyHistogram";

/** Label sets of one kind that get their own histogram: 4 kinds of 96 take at most 3.7 MB. */
const defaultMaxLabels = 96;
const otherLabel = "other";

/** Events that are counted beside the latencies. */
export enum CallCounter {
    Retries = "retries",
    Hedges = "hedges",
    HedgesWon = "hedgesWon",
    Sheds = "sheds",
    Quarantines = "quarantines",
}

/** A finished call. */
export interface RecordedCall {
    readonly tenant: string;
    readonly runTimeClass: RunTimeClass;
    readonly route: string;
    /** Target that answered; absent when none did. */
    readonly target: string | undefined;
    readonly outcome: string;
    readonly latencyMs: Milliseconds;
}

/** Options of `CallHistograms`. */
export interface CallHistogramsOptions {
    readonly maxLabels?: number;
}

/** Percentiles of one label set. */
export interface LabelledSummary extends LatencySummary {
    readonly label: string;
}

/** Percentiles of a tenant and class. */
export interface TenantClassSummary extends LatencySummary {
    readonly tenant: string;
    readonly runTimeClass: string;
}

/** One counter. */
export interface CounterValue {
    readonly counter: CallCounter;
    readonly value: number;
}

/** Report in plain data for JSON. */
export interface HistogramReport {
    readonly tenants: readonly TenantClassSummary[];
    readonly routes: readonly LabelledSummary[];
    readonly targets: readonly LabelledSummary[];
    readonly outcomes: readonly LabelledSummary[];
    readonly counters: readonly CounterValue[];
}

interface LabelSet {
    readonly labels: readonly string[];
    readonly histogram: LatencyHistogram;
}

/** Histograms of one kind of label, bounded in number. */
class Family {
    private readonly sets = new Map<string, LabelSet>();

    constructor(private readonly maxLabels: number) {}

    record(labels: readonly string[], latencyMs: Milliseconds): void {
        this.find(labels).histogram.record(latencyMs);
    }

    list(): LabelSet[] {
        return [...this.sets.values()];
    }

    private find(labels: readonly string[]): LabelSet {
        // A line break can not occur in a header value or rule name, so joined labels stay distinct.
        const key = labels.join("\n");
        const known = this.sets.get(key);
        if (known !== undefined) {
            return known;
        }
        const isFull = this.sets.size >= this.maxLabels - 1;
        return isFull ? this.findOther(labels.length) : this.create(key, labels);
    }

    private findOther(count: number): LabelSet {
        return this.sets.get(otherLabel) ?? this.create(otherLabel, new Array<string>(count).fill(otherLabel));
    }

    private create(key: string, labels: readonly string[]): LabelSet {
        const set = { labels, histogram: new LatencyHistogram() };
        this.sets.set(key, set);
        return set;
    }
}

/** Histograms and counters of a node. */
export class CallHistograms {
    private readonly tenants: Family;
    private readonly routes: Family;
    private readonly targets: Family;
    private readonly outcomes: Family;
    private readonly counters = new Map<CallCounter, number>();

    constructor(options: CallHistogramsOptions = {}) {
        const maxLabels = Math.max(2, options.maxLabels ?? defaultMaxLabels);
        this.tenants = new Family(maxLabels);
        this.routes = new Family(maxLabels);
        this.targets = new Family(maxLabels);
        this.outcomes = new Family(maxLabels);
    }

    /** Adds a finished call to every kind of histogram. */
    record(call: RecordedCall): void {
        this.tenants.record([call.tenant, call.runTimeClass], call.latencyMs);
        this.routes.record([call.route], call.latencyMs);
        this.outcomes.record([call.outcome], call.latencyMs);
        if (call.target !== undefined) {
            this.targets.record([call.target], call.latencyMs);
        }
    }

    /** Counts one event. */
    count(counter: CallCounter): void {
        this.counters.set(counter, (this.counters.get(counter) ?? 0) + 1);
    }

    /** Report of everything since the start of the node. */
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

function summarizeLabels(family: Family): LabelledSummary[] {
    return family.list().map(({ labels: [label = ""], histogram }) => ({ label, ...histogram.summarize() }));
}
