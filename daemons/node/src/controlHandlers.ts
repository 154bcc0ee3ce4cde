/**
 * What a node does with the messages of its control listener: each goes to the task that owns its subject.
 */
import type { ControlHandlers, DrainReport } from "@bilberrycroft/protocol.control";
import type { Claims } from "./calls/claims";
import type { NodeMetrics } from "./metrics";
import { createStatusReport } from "./status";
import type { ConfigurationTask } from "./tasks/configurationTask";
import type { MembershipTask } from "./tasks/membershipTask";

/** The tasks that handle control messages. */
export interface ControlParts {
    readonly members: MembershipTask;
    readonly configuration: ConfigurationTask;
    readonly claims: Claims;
    readonly metrics: NodeMetrics;
    isStoreReachable(): boolean;
    /** Starts a planned stop, or joins the one in progress. */
    drain(): DrainReport;
}

/** Creates the handlers of one node. `parts` is asked for each message, because tasks start after the listener. */
export function createControlHandlers(parts: () => ControlParts): ControlHandlers {
    return {
        exchange: exchange => parts().members.exchange(exchange),
        join: entry => parts().members.join(entry),
        zoneTable: zone => parts().members.zoneTable(zone),
        fetchConfiguration: baseVersion => parts().configuration.fetch(baseVersion),
        pushConfiguration: push => parts().configuration.push(push),
        claimOutcome: async claim => parts().claims.ownedOutcome(claim),
        status: async () => reportStatus(parts()),
        metrics: () => parts().metrics.render(),
        drain: async () => parts().drain(),
    };
}

function reportStatus({ members, configuration, isStoreReachable }: ControlParts) {
    return createStatusReport({
        membership: members.membership,
        inForce: configuration.current,
        heardHead: configuration.heardHead,
        notServing: configuration.startBlocker,
        storeReachable: isStoreReachable(),
    });
}
