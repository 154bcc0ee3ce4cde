/**
 * Counters and latency histograms of a sidecar in the Prometheus text format.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import type { CallOutcome, CallReason } from "@bilberrycroft/protocol.calls";
import { LatencyHistogram } from "@bilberrycroft/state.histograms";

/** A finished call at the caller's node. */
export interface EndedCall {
    readonly route: string;
    readonly service: string;
    readonly outcome: CallOutcome;
    readonly reason: CallReason | undefined;
    readonly latencyMs: Milliseconds;
}

/** A value that is read when metrics are asked for. */
export interface Gauge {
    readonly name: string;
    readonly help: string;
    read(): number;
}

const prefix = "bilberrycroft_";
/** Bounds the memory: a histogram takes about 10 KB. */
const maxLabels = 64;
const otherLabel = "other";

/** Metrics of one sidecar. */
export class CallMetrics {
    private readonly latencies = new Map<string, LatencyHistogram>();
    private readonly outcomes = new Map<string, number>();

    /** Counts a finished call. */
    callEnded({ service, outcome, reason, latencyMs }: EndedCall): void {
        const label = this.latencies.has(service) || this.latencies.size < maxLabels - 1 ? service : otherLabel;
        const histogram = this.latencies.get(label) ?? new LatencyHistogram();
        this.latencies.set(label, histogram);
        histogram.record(latencyMs);
        const key = `service="${label}",outcome="${outcome}",reason="${reason ?? ""}"`;
        this.outcomes.set(key, (this.outcomes.get(key) ?? 0) + 1);
    }

    /** Renders everything, with the gauges of other parts. */
    render(gauges: readonly Gauge[]): string {
        const lines = [
            `# HELP ${prefix}calls_total Calls by service, outcome and reason of a response that the node made itself.`,
            `# TYPE ${prefix}calls_total counter`,
            ...[...this.outcomes].map(([labels, count]) => `${prefix}calls_total{${labels}} ${count}`),
            `# HELP ${prefix}call_latency_ms Latency of calls by service, in milliseconds.`,
            `# TYPE ${prefix}call_latency_ms summary`,
            ...[...this.latencies].flatMap(([service, histogram]) => renderSummary(service, histogram)),
        ];
        for (const { name, help, read } of gauges) {
            lines.push(`# HELP ${prefix}${name} ${help}`, `# TYPE ${prefix}${name} gauge`, `${prefix}${name} ${read()}`);
        }
        return `${lines.join("\n")}\n`;
    }
}

function renderSummary(service: string, histogram: LatencyHistogram): string[] {
    const { count, p50Ms, p90Ms, p99Ms, maxMs } = histogram.summarize();
    const quantiles: readonly (readonly [string, Milliseconds])[] = [["0.5", p50Ms], ["0.9", p90Ms], ["0.99", p99Ms], ["1", maxMs]];
    return [
        ...quantiles.map(([quantile, ms]) => `${prefix}call_latency_ms{service="${service}",quantile="${quantile}"} ${ms}`),
        `${prefix}call_latency_ms_count{service="${service}"} ${count}`,
    ];
}
