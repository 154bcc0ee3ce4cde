/**
 * Counts and logs how often the limits of clients took effect.
 */
import type { EventLog } from "@bilberrycroft/core.eventLog";
import { ClientLimit } from "@bilberrycroft/transport.calls";
import type { Gauge } from "./metrics";

const helpByLimit: Readonly<Record<ClientLimit, string>> = {
    [ClientLimit.ConnectionEvicted]: "Connections closed in favour of others.",
    [ClientLimit.ConnectionRefused]: "Connections closed at once.",
    [ClientLimit.PipelineRefused]: "Connections closed because of too many requests at once.",
};
const gaugeNames: Readonly<Record<ClientLimit, string>> = {
    [ClientLimit.ConnectionEvicted]: "client_connections_evicted",
    [ClientLimit.ConnectionRefused]: "client_connections_refused",
    [ClientLimit.PipelineRefused]: "client_pipelines_refused",
};

/** What a node holds for all clients. */
export interface ClientLoad {
    readonly connections: number;
    readonly buffered: number;
}

export class ClientLimitCounts {
    private readonly counts = new Map<ClientLimit, number>();

    constructor(private readonly log: EventLog, private readonly readLoad: () => ClientLoad) {}

    record(limit: ClientLimit, address: string): void {
        this.counts.set(limit, this.countOf(limit) + 1);
        this.log.sample("client-limited", { limit, address, ...this.readLoad() });
    }

    get gauges(): readonly Gauge[] {
        return Object.values(ClientLimit).map(limit => ({
            name: gaugeNames[limit],
            help: helpByLimit[limit],
            read: () => this.countOf(limit),
        }));
    }

    private countOf(limit: ClientLimit): number {
        return this.counts.get(limit) ?? 0;
    }
}
