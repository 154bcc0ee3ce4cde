/**
 * Routes each message of the control listener to the task that handles it.
 */
import type { ControlHandlers, DrainReport } from "@bilberrycroft/protocol.control";
import type { Claims } from "./calls/claims";
import type { NodeMetrics } from "./metrics";
import { createStatusReport } from "./status";
import type { ConfigurationTask } from "./tasks/configurationTask";
import type { MembershipTask } from "./tasks/membershipTask";

export interface ControlTasks {
    readonly membershipTask: MembershipTask;
    readonly configurationTask: ConfigurationTask;
    readonly claims: Claims;
    readonly metrics: NodeMetrics;
    isStoreReachable(): boolean;
    /** Starts a graceful shutdown, or joins the one in progress. */
    drain(): DrainReport;
}

/** `tasks` is called for each message, because the listener starts before the tasks exist. */
export function createControlHandlers(tasks: () => ControlTasks): ControlHandlers {
    return {
        exchange: exchange => tasks().membershipTask.handleExchange(exchange),
        join: entry => tasks().membershipTask.handleJoin(entry),
        zoneTable: zone => tasks().membershipTask.handleZoneTable(zone),
        fetchConfiguration: baseVersion => tasks().configurationTask.handleFetch(baseVersion),
        pushConfiguration: push => tasks().configurationTask.handlePush(push),
        claimOutcome: async claim => tasks().claims.getLocalOutcome(claim),
        status: async () => reportStatus(tasks()),
        metrics: () => tasks().metrics.render(),
        drain: async () => tasks().drain(),
    };
}

function reportStatus({ membershipTask, configurationTask, isStoreReachable }: ControlTasks) {
    return createStatusReport({
        membership: membershipTask.membership,
        inForce: configurationTask.current,
        highestHead: configurationTask.highestHead,
        startBlocker: configurationTask.startBlocker,
        storeReachable: isStoreReachable(),
    });
}
