/**
 * Values of a sidecar that are read from its tasks when the metrics are rendered.
 */
import type { BufferBudget, TargetDirectory } from "@bilberrycroft/coordination.forwarding";
import type { EventLog, FaultBarrier } from "@bilberrycroft/core.eventLog";
import type { ClientLimitCounts } from "./clientLimitCounts";
import { createQuotaGauges, type Gauge } from "./metrics";
import type { StoredPlan } from "./nodeTable";
import type { CallerTask } from "./tasks/callerTask";
import type { ConfigurationTask } from "./tasks/configurationTask";
import type { QuotaTask } from "./tasks/quotaTask";
import type { TargetTask } from "./tasks/targetTask";

/** The parts of a sidecar that the gauges read. */
export interface MeasuredParts {
    readonly configurationTask: ConfigurationTask;
    readonly directory: TargetDirectory;
    readonly callerTask: CallerTask;
    readonly targetTask: TargetTask;
    readonly bufferBudget: BufferBudget;
    readonly clientLimits: ClientLimitCounts;
    /** `undefined` if the deployment has no quotas. */
    readonly quotaTask: QuotaTask | undefined;
    readonly plans: readonly StoredPlan[];
    readonly faults: FaultBarrier;
    readonly log: EventLog;
    readonly clientConnections: number;
}

export function createGauges(parts: MeasuredParts): readonly Gauge[] {
    const { configurationTask, directory, callerTask, targetTask, bufferBudget, quotaTask, plans, faults, log } = parts;
    return [
        { name: "configuration_version", help: "Version in force.", read: () => configurationTask.current?.version ?? 0 },
        { name: "nodes_known", help: "Nodes in the table.", read: () => directory.size },
        { name: "calls_in_progress", help: "Calls of callers in progress.", read: () => callerTask.inProgress },
        { name: "target_calls", help: "Calls in the target or waiting for it.", read: () => targetTask.inProgress },
        { name: "target_calls_sent", help: "Calls sent to the target since the start.", read: () => targetTask.sentCalls },
        { name: "target_request_limit", help: "Calls per second that the target accepts; 0 without a limit.", read: () => targetTask.requestLimit },
        { name: "target_slots", help: "Slots that the target announces.", read: () => targetTask.slots.announced },
        { name: "target_usable_slots", help: "Calls at once that the target is found to handle well.", read: () => targetTask.slots.learned },
        { name: "buffered_bytes", help: "Bytes of requests and responses held for callers.", read: () => bufferBudget.used },
        { name: "clients_connected", help: "Open connections of callers.", read: () => parts.clientConnections },
        { name: "clients_evicted", help: "Requests and responses that gave up their memory.", read: () => bufferBudget.evictions },
        ...parts.clientLimits.gauges,
        ...quotaTask === undefined ? [] : createQuotaGauges(quotaTask),
        { name: "faults_confined", help: "Exceptions confined to what caused them.", read: () => faults.count },
        ...plans.map(({ plan: { service, version, phase, share } }) => ({
            name: "rollout_share",
            help: "Share of a service's calls that a plan gives to a version.",
            labels: { service, version, phase },
            read: () => share,
        })),
        { name: "log_lines_dropped", help: "Log lines dropped.", read: () => log.dropped },
    ];
}
