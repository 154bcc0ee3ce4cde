/**
 * Explains where a call would be sent now. The same code decides as for a call: the route table, and the choice of a
 * target. Quotas, the retry budget and the quarantine are not asked, because they change with each call.
 */
import type { TargetDirectory } from "@bilberrycroft/coordination.forwarding";
import { type CallExplanation, CallExplanationKind } from "@bilberrycroft/protocol.forwarding";
import type { RouteTable } from "@bilberrycroft/state.routes";

export interface CallQuestion {
    readonly host: string;
    readonly path: string;
    /** Name of the organisation of the call; `undefined` if it has none. */
    readonly organisation?: string | undefined;
}

export interface CallKnowledge {
    /** `undefined` before the first configuration. */
    readonly table: RouteTable | undefined;
    readonly directory: Pick<TargetDirectory, "explain">;
    /** Average response size on a route. */
    meanBytes(route: string): number;
}

export function explainCall(
    { host, path, organisation }: CallQuestion,
    { table, directory, meanBytes }: CallKnowledge,
): CallExplanation {
    if (table === undefined) {
        return { kind: CallExplanationKind.NoConfiguration };
    }
    const { version, configuration } = table;
    const found = configuration.organisations.find(({ name }) => name === organisation);
    if (organisation !== undefined && found === undefined) {
        return { kind: CallExplanationKind.NoOrganisation, version };
    }
    const route = table.find(host.toLowerCase(), path.split("?", 1)[0] ?? path);
    if (route === undefined) {
        return { kind: CallExplanationKind.NoRoute, version };
    }
    const priority = found?.priority ?? route.priority;
    const totalWeight = route.services.reduce((sum, { weight }) => sum + weight, 0);
    const request = { route, priority, organisation, exclude: new Set<string>(), responseBytes: meanBytes(route.name) };
    return {
        kind: CallExplanationKind.Routed,
        version,
        route: route.name,
        priority,
        latencyObjectiveMs: route.latencyObjectiveMs,
        timeoutMs: route.timeoutMs,
        repeatable: route.repeatable,
        needsKey: configuration.organisations.length > 0 && !route.allowsAnonymous,
        services: route.services.map(({ service, weight }) => ({
            ...directory.explain({ ...request, service }),
            share: totalWeight === 0 ? 0 : weight / totalWeight,
        })),
    };
}
