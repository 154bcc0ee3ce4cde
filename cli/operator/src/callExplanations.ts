/**
 * The command `explain-call`: asks a node where a call would go now, and shows the targets that it compares.
 */
import {
    type CallExplanation,
    CallExplanationKind,
    type ServiceExplanation,
    type TargetExplanation,
    TargetStanding,
} from "@bilberrycroft/protocol.forwarding";
import { z } from "zod";
import { toPrintable } from "./formatting";
import { type CommandResult, createFailureResult, ExitCode } from "./results";

/** Response of the operators' listener of a node; fails with an `Error` whose message is the reason. */
export type OperatorFetch = (url: string) => Promise<unknown>;

export interface CallExplanationRequest {
    /** Metrics address of the node, `host:port`. */
    readonly node: string;
    readonly host: string;
    readonly path: string;
    readonly organisation: string | undefined;
}

const duration = z.number();
const targetSchema = z.object({
    node: z.string(),
    target: z.string(),
    zone: z.string(),
    standing: z.enum(TargetStanding),
    costMs: duration,
    costs: z.object({ linkMs: duration, waitMs: duration, runMs: duration, failureMs: duration, zoneMs: duration }),
    occupancy: z.number(),
    slots: z.number(),
    reportAgeMs: duration.optional(),
});
const explanationSchema: z.ZodType<CallExplanation> = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal(CallExplanationKind.NoConfiguration) }),
    z.object({ kind: z.enum([CallExplanationKind.NoRoute, CallExplanationKind.NoOrganisation]), version: z.number() }),
    z.object({
        kind: z.literal(CallExplanationKind.Routed),
        version: z.number(),
        route: z.string(),
        priority: z.number(),
        latencyObjectiveMs: duration,
        timeoutMs: duration,
        repeatable: z.boolean(),
        needsKey: z.boolean(),
        services: z.array(z.object({
            service: z.string(),
            share: z.number(),
            chosen: z.string().optional(),
            retryAfterMs: duration.optional(),
            targets: z.array(targetSchema),
        })),
    }),
]);

export async function explainCall(request: CallExplanationRequest, fetch: OperatorFetch): Promise<CommandResult> {
    const { node, host, path, organisation } = request;
    const query = new URLSearchParams({ host, path, ...organisation === undefined ? {} : { organisation } });
    let answer: unknown;
    try {
        answer = await fetch(`http://${node}/explain-call?${query}`);
    }
    catch (error) {
        const reason = error instanceof Error ? error.message : String(error);
        return createFailureResult(ExitCode.Refused, "unreachable", `Node ${node} did not explain the call: ${reason}.`);
    }
    const parsed = explanationSchema.safeParse(answer);
    if (!parsed.success) {
        return createFailureResult(ExitCode.Refused, "malformed", `Node ${node} sent an explanation that cannot be read.`);
    }
    const { data } = parsed;
    return {
        exitCode: data.kind === CallExplanationKind.Routed ? ExitCode.Done : ExitCode.Refused,
        data,
        lines: formatExplanation(data, request).map(toPrintable),
    };
}

function formatExplanation(
    explanation: CallExplanation,
    { host, path, organisation }: CallExplanationRequest,
): string[] {
    switch (explanation.kind) {
        case CallExplanationKind.NoConfiguration:
            return ["The node has no configuration yet, so it refuses all calls."];
        case CallExplanationKind.NoRoute:
            return [`Version ${explanation.version} has no route for ${host}${path}.`];
        case CallExplanationKind.NoOrganisation:
            return [`Version ${explanation.version} has no organisation "${organisation ?? ""}".`];
        case CallExplanationKind.Routed: {
            const { version, route, priority, latencyObjectiveMs, timeoutMs, repeatable, needsKey } = explanation;
            return [
                `route ${route} of version ${version}: priority ${priority}, objective ${latencyObjectiveMs} ms, `
                + `timeout ${timeoutMs} ms, ${repeatable ? "may be repeated" : "not repeated"}`,
                ...needsKey && organisation === undefined ? ["A call without the key of an organisation gets 401."] : [],
                ...explanation.services.flatMap(formatService),
            ];
        }
    }
}

function formatService({ service, share, chosen, retryAfterMs, targets }: ServiceExplanation): string[] {
    const choice = chosen === undefined
        ? `refused${retryAfterMs === undefined ? "" : `, to return after ${Math.round(retryAfterMs)} ms`}`
        : `goes to ${chosen}`;
    return [
        `service ${service}, ${Math.round(share * 100)} % of the calls: ${choice}`,
        ...targets.map(formatTarget),
    ];
}

function formatTarget(explanation: TargetExplanation): string {
    const { node, target, zone, standing, costMs, costs, occupancy, slots, reportAgeMs } = explanation;
    const ms = (value: number): string => `${Math.round(value)}`;
    const age = reportAgeMs === undefined ? "no report" : `report ${ms(reportAgeMs)} ms old`;
    const { linkMs, waitMs, runMs, failureMs, zoneMs } = costs;
    return `    ${ms(costMs)} ms  ${node} (${target}, ${zone}), ${standing}: link ${ms(linkMs)}, wait ${ms(waitMs)}, `
        + `run ${ms(runMs)}, failures ${ms(failureMs)}, zone ${ms(zoneMs)}; `
        + `${occupancy.toFixed(1)} calls for ${slots.toFixed(1)} slots, ${age}`;
}
