/**
 * Scenario of the load model, read from a YAML file: services, classes of calls, the network, and what disturbs them.
 *
 * Durations are in milliseconds. A problem is reported with its line and key.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { LineCounter, parseDocument, type Document } from "yaml";
import { z } from "zod";

export enum InnerCallOrder {
    Sequential = "sequential",
    Together = "together",
}

export enum DisturbanceKind {
    /** Runs take `factor` times as long. */
    Slow = "slow",
    /** The targets name a limit of `callsPerSecond` each. */
    Limited = "limited",
    /** A share `factor` of the runs ends with a failure. */
    Failing = "failing",
}

const count = z.number().int().positive();
const duration = z.number().nonnegative();
const share = z.number().min(0).max(1);
const span = { at: duration, forMs: duration };
const targetsOf = { service: z.string(), share: share.default(1), ...span };

const serviceSchema = z.strictObject({
    targets: count,
    slots: count,
    /** The slowest target takes this many times as long as the fastest one. */
    speedSpread: z.number().min(1).default(1),
    /** Run times rise by `risePerCall` of themselves with each running call beyond this number. */
    knee: count.optional(),
    risePerCall: z.number().nonnegative().default(0),
    /** Share of the targets that have this knee. */
    kneeShare: share.default(1),
});
const classSchema = z.strictObject({
    service: z.string(),
    /** Of all callers together; 0 for calls that only targets make. */
    callsPerSecond: z.number().nonnegative().default(0),
    /** 0 is the highest. */
    priority: z.number().int().nonnegative(),
    runMs: z.number().positive(),
    objectiveMs: z.number().positive(),
    deadlineMs: z.number().positive(),
    repeatable: z.boolean().default(true),
    maxTargets: count.default(2),
    worth: z.number().nonnegative().default(1),
    lateWorth: z.number().nonnegative().default(0),
    /** Times that a caller returns after a refusal, or if the call may be repeated after a failure. */
    callerRetries: z.number().int().nonnegative().default(1),
    /** Share of the callers that return at once after a refusal. */
    impatientShare: share.default(0),
    innerCalls: z.array(z.strictObject({
        class: z.string(),
        count: count.default(1),
        order: z.enum(InnerCallOrder).default(InnerCallOrder.Sequential),
    })).default([]),
});
const waveSchema = z.strictObject({
    ...span,
    factor: z.number().nonnegative(),
    /** All classes if it is missing. */
    classes: z.array(z.string()).optional(),
});
const disturbanceSchema = z.discriminatedUnion("kind", [
    z.strictObject({ kind: z.literal(DisturbanceKind.Slow), factor: z.number().positive(), ...targetsOf }),
    z.strictObject({
        kind: z.literal(DisturbanceKind.Limited),
        callsPerSecond: z.number().nonnegative(),
        ...targetsOf,
    }),
    z.strictObject({ kind: z.literal(DisturbanceKind.Failing), factor: share, ...targetsOf }),
]);
const scenarioSchema = z.strictObject({
    name: z.string(),
    /** The load that it plays, in a sentence. */
    load: z.string(),
    durationMs: z.number().positive(),
    /** Calls asked before this time are not counted. */
    warmupMs: duration.default(0),
    zones: count.default(1),
    network: z.strictObject({ withinZoneMs: duration, betweenZonesMs: duration, toCallersMs: duration }),
    retryBudget: z.strictObject({ share, allowance: z.number().nonnegative(), windowMs: z.number().positive() }),
    services: z.record(z.string(), serviceSchema),
    classes: z.record(z.string(), classSchema),
    waves: z.array(waveSchema).default([]),
    disturbances: z.array(disturbanceSchema).default([]),
});

export type Scenario = z.infer<typeof scenarioSchema>;
export type CallClass = Scenario["classes"][string];
export type TargetDisturbance = Scenario["disturbances"][number];

export interface ScenarioProblem {
    /** Starts at 1. */
    readonly line: number;
    readonly key: string;
    readonly reason: string;
}

export enum ScenarioOutcomeKind {
    Accepted = "accepted",
    Refused = "refused",
}

export type ScenarioOutcome =
    | { readonly kind: ScenarioOutcomeKind.Accepted; readonly scenario: Scenario }
    | { readonly kind: ScenarioOutcomeKind.Refused; readonly problems: readonly ScenarioProblem[] };

type Path = readonly PropertyKey[];

export function parseScenario(text: string): ScenarioOutcome {
    const lines = new LineCounter();
    const document = parseDocument(text, { lineCounter: lines });
    if (document.errors.length > 0) {
        const problems = document.errors.map(({ message, pos }) =>
            ({ line: lines.linePos(pos[0]).line, key: "", reason: message.split("\n")[0] ?? message }));
        return { kind: ScenarioOutcomeKind.Refused, problems };
    }
    const locate = (path: Path, reason: string): ScenarioProblem =>
        ({ line: findLine(document, lines, path), key: path.join("."), reason });
    const result = scenarioSchema.safeParse(document.toJS());
    const problems = result.success
        ? findDanglingNames(result.data).map(({ path, name }) => locate(path, `there is no "${name}"`))
        : result.error.issues.map(({ path, message }) => locate(path, message));
    return result.success && problems.length === 0
        ? { kind: ScenarioOutcomeKind.Accepted, scenario: result.data }
        : { kind: ScenarioOutcomeKind.Refused, problems };
}

/** Names of services and classes that the scenario does not define, and inner calls that would never end. */
function findDanglingNames(scenario: Scenario): { readonly path: Path; readonly name: string }[] {
    const { services, classes, waves, disturbances } = scenario;
    const dangling: { path: Path; name: string }[] = [];
    const check = (defined: Readonly<Record<string, unknown>>, name: string, path: Path): void => {
        if (!Object.hasOwn(defined, name)) {
            dangling.push({ path, name });
        }
    };
    Object.entries(classes).forEach(([name, { service, innerCalls }], position) => {
        check(services, service, ["classes", name, "service"]);
        const earlier = Object.fromEntries(Object.entries(classes).slice(0, position));
        innerCalls.forEach((inner, index) => check(earlier, inner.class, ["classes", name, "innerCalls", index, "class"]));
    });
    waves.forEach((wave, index) =>
        wave.classes?.forEach((name, position) => check(classes, name, ["waves", index, "classes", position])));
    disturbances.forEach(({ service }, index) => check(services, service, ["disturbances", index, "service"]));
    return dangling;
}

/** Line of the value at the path, or of the nearest value around it. */
function findLine(document: Document, lines: LineCounter, path: Path): number {
    for (let length = path.length; length > 0; length--) {
        const node = document.getIn(path.slice(0, length), true) as { readonly range?: readonly number[] } | undefined;
        if (node?.range?.[0] !== undefined) {
            return lines.linePos(node.range[0]).line;
        }
    }
    return 1;
}

interface TimeSpan {
    readonly at: Milliseconds;
    readonly forMs: Milliseconds;
}

/** Whether the time lies in the span. */
export function isWithin({ at, forMs }: TimeSpan, now: Milliseconds): boolean {
    return now >= at && now < at + forMs;
}
