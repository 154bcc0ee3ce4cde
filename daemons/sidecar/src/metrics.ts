import type { QuotaCounts } from "@bilberrycroft/coordination.quotas";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { CallOutcome, type CallReason } from "@bilberrycroft/protocol.calls";
import { LatencyHistogram } from "@bilberrycroft/state.histograms";

/** A call that has ended, as seen by the caller's node. */
export interface CompletedCall {
    readonly route: string;
    readonly service: string;
    readonly outcome: CallOutcome;
    readonly reason: CallReason | undefined;
    readonly latencyMs: Milliseconds;
}

/** A value that is read when the metrics are rendered. */
export interface Gauge {
    readonly name: string;
    readonly help: string;
    read(): number;
}

const prefix = "bilberrycroft_";
/** Limits memory use: a histogram needs about 10 KB. */
const maxServiceLabels = 64;
const otherLabel = "other";

/** Call counters and latency histograms of a sidecar. */
export class CallMetrics {
    private readonly latencies = new Map<string, LatencyHistogram>();
    private readonly outcomes = new Map<string, number>();

    recordCall({ service, outcome, reason, latencyMs }: CompletedCall): void {
        const label = this.latencies.has(service) || this.latencies.size < maxServiceLabels - 1 ? service : otherLabel;
        const histogram = this.latencies.get(label) ?? new LatencyHistogram();
        this.latencies.set(label, histogram);
        histogram.record(latencyMs);
        const key = `service="${label}",outcome="${outcome}",reason="${reason ?? ""}"`;
        this.outcomes.set(key, (this.outcomes.get(key) ?? 0) + 1);
    }

    /** Counts a call that was refused before a service was chosen for it. */
    recordRefusal(reason: CallReason): void {
        const key = `service="",outcome="${CallOutcome.NotRun}",reason="${reason}"`;
        this.outcomes.set(key, (this.outcomes.get(key) ?? 0) + 1);
    }

    /** Renders all metrics and the given gauges in the Prometheus text format. */
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

/** What the metrics show of the quotas. */
export interface QuotaMetrics {
    readonly counts: QuotaCounts;
    readonly heldTokens: number;
    readonly oldestTokenAgeMs: Milliseconds;
    readonly accounts: number;
}

export function createQuotaGauges(quotas: QuotaMetrics): readonly Gauge[] {
    return [
        { name: "quota_admitted", help: "Calls with a quota admitted since the start.", read: () => quotas.counts.admitted },
        { name: "quota_refused_over_limit", help: "Calls refused over the limit since the start.", read: () => quotas.counts.refusedOverLimit },
        { name: "quota_refused_without_reply", help: "Calls refused because the accounting node did not reply and the equal part was used up.", read: () => quotas.counts.refusedWithoutReply },
        { name: "quota_tokens_held", help: "Unexpired tokens of all organisations.", read: () => quotas.heldTokens },
        { name: "quota_token_age_ms", help: "Time since the request for the oldest unexpired tokens.", read: () => Math.round(quotas.oldestTokenAgeMs) },
        { name: "quota_accounts", help: "Organisations whose accounting node this node is.", read: () => quotas.accounts },
    ];
}

function renderSummary(service: string, histogram: LatencyHistogram): string[] {
    const { count, p50Ms, p90Ms, p99Ms, maxMs } = histogram.summarize();
    const quantiles: readonly (readonly [string, Milliseconds])[] = [["0.5", p50Ms], ["0.9", p90Ms], ["0.99", p99Ms], ["1", maxMs]];
    return [
        ...quantiles.map(([quantile, ms]) => `${prefix}call_latency_ms{service="${service}",quantile="${quantile}"} ${ms}`),
        `${prefix}call_latency_ms_count{service="${service}"} ${count}`,
    ];
}
