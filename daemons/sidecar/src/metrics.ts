import type { QuotaCounts } from "@bilberrycroft/coordination.quotas";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { CallOutcome, type CallReason } from "@bilberrycroft/protocol.calls";
import { LatencyHistogram } from "@bilberrycroft/state.histograms";
import { OrganisationCounters } from "./organisationCounters";

/** A call that has ended, as seen by the caller's node. */
export interface CompletedCall {
    readonly route: string;
    readonly service: string;
    readonly outcome: CallOutcome;
    readonly reason: CallReason | undefined;
    readonly latencyMs: Milliseconds;
    /** `undefined` for a call that belongs to none. */
    readonly organisation?: string | undefined;
}

/** A value that is read when the metrics are rendered. */
export interface Gauge {
    readonly name: string;
    readonly help: string;
    /** Gauges with the same name and different labels follow each other. */
    readonly labels?: Readonly<Record<string, string>>;
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
    private readonly organisations = new OrganisationCounters();

    recordCall({ service, outcome, reason, latencyMs, organisation }: CompletedCall): void {
        this.recordOrganisation(organisation, outcome, reason);
        const label = this.latencies.has(service) || this.latencies.size < maxServiceLabels - 1 ? service : otherLabel;
        const histogram = this.latencies.get(label) ?? new LatencyHistogram();
        this.latencies.set(label, histogram);
        histogram.record(latencyMs);
        const key = `service="${label}",outcome="${outcome}",reason="${reason ?? ""}"`;
        this.outcomes.set(key, (this.outcomes.get(key) ?? 0) + 1);
    }

    /** Counts a call that was refused before it was offered to a target. */
    recordRefusal(reason: CallReason, organisation?: string): void {
        this.recordOrganisation(organisation, CallOutcome.NotRun, reason);
        const key = `service="",outcome="${CallOutcome.NotRun}",reason="${reason}"`;
        this.outcomes.set(key, (this.outcomes.get(key) ?? 0) + 1);
    }

    private recordOrganisation(
        organisation: string | undefined,
        outcome: CallOutcome,
        reason: CallReason | undefined,
    ): void {
        if (organisation !== undefined) {
            this.organisations.record(organisation, `outcome="${outcome}",reason="${reason ?? ""}"`);
        }
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
            ...this.renderOrganisations(),
        ];
        let previous = "";
        for (const { name, help, labels, read } of gauges) {
            if (name !== previous) {
                lines.push(`# HELP ${prefix}${name} ${help}`, `# TYPE ${prefix}${name} gauge`);
            }
            previous = name;
            lines.push(`${prefix}${name}${formatLabels(labels)} ${read()}`);
        }
        return `${lines.join("\n")}\n`;
    }

    /** Nothing in a deployment without organisations. */
    private renderOrganisations(): readonly string[] {
        const counts = this.organisations.list();
        const name = `${prefix}organisation_calls_total`;
        return counts.length === 0
            ? []
            : [
                    `# HELP ${name} Calls by organisation (the ten largest, others together), outcome and reason.`,
                    `# TYPE ${name} counter`,
                    ...counts.map(({ organisation, labels, count }) =>
                        `${name}{organisation="${escapeLabel(organisation)}",${labels}} ${count}`),
                ];
    }
}

/** Escapes the value of a label, as the text format requires; names of organisations contain no line breaks. */
function escapeLabel(value: string): string {
    return value.replaceAll("\\", "\\\\").replaceAll("\"", "\\\"");
}

function formatLabels(labels: Readonly<Record<string, string>> | undefined): string {
    // JSON escapes quotes, backslashes and line breaks as the format requires.
    return labels === undefined
        ? ""
        : `{${Object.entries(labels).map(([name, value]) => `${name}=${JSON.stringify(value)}`).join(",")}}`;
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
