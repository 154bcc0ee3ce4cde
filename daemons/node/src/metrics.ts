/**
 * Metrics of a node in the Prometheus text format.
 */
import type { CallHistograms, LatencySummary } from "@bilberrycroft/state.histograms";
import { ClientLimit } from "@bilberrycroft/transport.calls";
import { Gauge, Registry } from "prom-client";

const prefix = "bilberrycroft_";

/** Values that are read each time the metrics are rendered. */
export interface MetricSource {
    readonly histograms: CallHistograms;
    version(): number;
    callsInFlight(): number;
    callsQueued(): number;
    controlBytesSent(): number;
    controlBytesReceived(): number;
    controlCallsSent(): number;
    controlCallsReceived(): number;
    nodeCount(): number;
    clientsConnected(): number;
    bufferedBytes(): number;
    clientsEvicted(): number;
    clientLimits(limit: ClientLimit): number;
}

export interface NodeMetrics {
    render(): Promise<string>;
}

export function createNodeMetrics(source: MetricSource): NodeMetrics {
    const registry = new Registry();
    addGauge(registry, "configuration_version", "Version of the configuration in force.", () => source.version());
    addGauge(registry, "calls_in_flight", "Calls in progress.", () => source.callsInFlight());
    addGauge(registry, "calls_queued", "Calls that wait for a target.", () => source.callsQueued());
    addGauge(registry, "nodes_known", "Nodes in the membership table.", () => source.nodeCount());
    addGauge(registry, "control_sent_bytes", "Bytes of control messages sent.", () => source.controlBytesSent());
    addGauge(registry, "control_received_bytes", "Bytes of control messages received.", () => source.controlBytesReceived());
    addGauge(registry, "control_calls_sent", "Control calls to other nodes that were answered.", () => source.controlCallsSent());
    addGauge(registry, "control_calls_received", "Control calls of other nodes and operators.", () => source.controlCallsReceived());
    addGauge(registry, "clients_connected", "Open connections of callers.", () => source.clientsConnected());
    addGauge(registry, "buffered_bytes", "Bytes held for callers.", () => source.bufferedBytes());
    addGauge(registry, "clients_evicted", "Requests and responses that gave up their memory.", () => source.clientsEvicted());
    addGauge(registry, "client_connections_evicted", "Connections closed in favour of others.", () =>
        source.clientLimits(ClientLimit.ConnectionEvicted));
    addGauge(registry, "client_connections_refused", "Connections closed at once.", () =>
        source.clientLimits(ClientLimit.ConnectionRefused));
    addGauge(registry, "client_pipelines_refused", "Connections closed because of too many requests at once.", () =>
        source.clientLimits(ClientLimit.PipelineRefused));
    const calls = addCallGauges(registry);
    return {
        render: () => {
            updateCallGauges(calls, source.histograms);
            return registry.metrics();
        },
    };
}

interface CallGauges {
    readonly tenants: Gauge<"tenant" | "class" | "statistic">;
    readonly routes: Gauge<"route" | "statistic">;
    readonly targets: Gauge<"target" | "statistic">;
    readonly outcomes: Gauge<"outcome">;
    readonly events: Gauge<"event">;
}

function addGauge(registry: Registry, name: string, help: string, read: () => number): void {
    new Gauge({
        name: prefix + name,
        help,
        registers: [registry],
        collect() {
            this.set(read());
        },
    });
}

function addCallGauges(registry: Registry): CallGauges {
    const registers = [registry];
    return {
        tenants: new Gauge({
            name: `${prefix}tenant_latency_ms`,
            help: "Latency of calls by tenant and class; statistic count is a number of calls.",
            labelNames: ["tenant", "class", "statistic"],
            registers,
        }),
        routes: new Gauge({
            name: `${prefix}route_latency_ms`,
            help: "Latency of calls by route; statistic count is a number of calls.",
            labelNames: ["route", "statistic"],
            registers,
        }),
        targets: new Gauge({
            name: `${prefix}target_latency_ms`,
            help: "Latency of calls by the target that answered; statistic count is a number of calls.",
            labelNames: ["target", "statistic"],
            registers,
        }),
        outcomes: new Gauge({
            name: `${prefix}calls`,
            help: "Calls by outcome, or by the reason of a response that the node made itself.",
            labelNames: ["outcome"],
            registers,
        }),
        events: new Gauge({
            name: `${prefix}call_events`,
            help: "Retries, hedges, sheds and quarantined calls.",
            labelNames: ["event"],
            registers,
        }),
    };
}

function updateCallGauges(gauges: CallGauges, histograms: CallHistograms): void {
    const report = histograms.snapshot();
    for (const { tenant, runTimeClass, ...summary } of report.tenants) {
        setStatistics(summary, (statistic, value) =>
            gauges.tenants.set({ tenant, class: runTimeClass, statistic }, value));
    }
    for (const { label, ...summary } of report.routes) {
        setStatistics(summary, (statistic, value) => gauges.routes.set({ route: label, statistic }, value));
    }
    for (const { label, ...summary } of report.targets) {
        setStatistics(summary, (statistic, value) => gauges.targets.set({ target: label, statistic }, value));
    }
    for (const { label, count } of report.outcomes) {
        gauges.outcomes.set({ outcome: label }, count);
    }
    for (const { counter, value } of report.counters) {
        gauges.events.set({ event: counter }, value);
    }
}

function setStatistics(summary: LatencySummary, set: (statistic: string, value: number) => void): void {
    for (const [statistic, value] of Object.entries(summary)) {
        set(statistic, value);
    }
}
