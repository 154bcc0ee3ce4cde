/**
 * The cases of the dispatch model.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { RuleKind, RunTimeClass } from "@bilberrycroft/state.rules";
import type { RouteRule } from "@bilberrycroft/state.rules";
import { Reporting } from "./simulation";
import type { Slowdown } from "./simulation";

/** Calls of one route. */
export interface Traffic {
    readonly route: RouteRule;
    readonly meanRunTimeMs: Milliseconds;
    /** Calls per second of all nodes together at a time. */
    readonly rateAt: (at: Milliseconds) => number;
    /** Reported together in the result. */
    readonly group: string;
}

/** One case. */
export interface Scenario {
    readonly name: string;
    readonly targets: number;
    readonly traffic: readonly Traffic[];
    readonly slowdowns: readonly Slowdown[];
    readonly reporting: readonly Reporting[];
    /** Relative speed of each target. */
    readonly speeds: readonly number[];
    /** Calls sent at such times are also reported apart. */
    readonly isDisturbed: (at: Milliseconds) => boolean;
}

/** Targets, slots and nodes of all cases. */
export const fleet = { targets: 6, slots: 6, nodes: 8, zones: 3 };
const lookupMs = 4;
const exportMs = 300;
/** Lookups per second that all targets can serve together. */
const capacityPerSecond = (fleet.targets * fleet.slots * 1_000) / lookupMs;

function createRoute(name: string, runTimeClass: RunTimeClass, timeoutMs: Milliseconds): RouteRule {
    return {
        kind: RuleKind.Route,
        name,
        path: `/${name}`,
        to: "readings",
        runTimeClass,
        timeoutMs,
        repeatable: true,
        needs: [],
        tenants: [],
        ratePerSecond: undefined,
        priority: 5,
        line: 1,
        text: "",
        requester: "model",
        reason: undefined,
    };
}

function lookups(rateAt: Traffic["rateAt"]): Traffic {
    const route = createRoute("lookup", RunTimeClass.Short, 250);
    return { route, meanRunTimeMs: lookupMs, rateAt, group: "short" };
}

function exports(declared: RunTimeClass, ratePerSecond: number): Traffic {
    const route = createRoute("export", declared, 5_000);
    return { route, meanRunTimeMs: exportMs, rateAt: () => ratePerSecond, group: "long" };
}

function createScenario(name: string, changes: Partial<Scenario>): Scenario {
    return {
        name,
        targets: fleet.targets,
        traffic: [],
        slowdowns: [],
        reporting: [],
        speeds: [],
        isDisturbed: () => false,
        ...changes,
    };
}

const share = (part: number) => () => part * capacityPerSecond;
const isPeak = (at: Milliseconds) => at >= 4_000 && at < 5_000;
const swing = (at: Milliseconds) => (isPeak(at) ? 3 : 0.5) * capacityPerSecond;

/** One, then two targets at once are slowed for 0.3 to 0.8 s. */
const moments: readonly Slowdown[] = [
    { target: 0, from: 2_500, until: 2_900, factor: 10 },
    { target: 3, from: 3_500, until: 4_300, factor: 50 },
    { target: 1, from: 5_000, until: 5_500, factor: 30 },
    { target: 4, from: 5_200, until: 5_700, factor: 50 },
    { target: 2, from: 7_000, until: 7_300, factor: 20 },
    { target: 5, from: 7_000, until: 7_800, factor: 50 },
    { target: 0, from: 8_500, until: 8_900, factor: 50 },
];

/** Two of three targets are slowed at once: more than half of the service. */
const momentsOfThree: readonly Slowdown[] = [
    { target: 0, from: 3_000, until: 3_500, factor: 30 },
    { target: 0, from: 5_000, until: 5_600, factor: 50 },
    { target: 1, from: 5_000, until: 5_600, factor: 50 },
    { target: 1, from: 8_000, until: 8_500, factor: 20 },
    { target: 2, from: 8_100, until: 8_500, factor: 50 },
];

const lies = [
    Reporting.AlwaysIdle,
    Reporting.AlwaysFull,
    Reporting.Late,
    Reporting.Late,
    Reporting.Honest,
    Reporting.Honest,
];

/** All cases. */
export const scenarios: readonly Scenario[] = [
    createScenario("steady", { traffic: [lookups(share(0.6))] }),
    createScenario("steady, different speeds", {
        traffic: [lookups(share(0.5))],
        speeds: [1, 1, 0.25, 1, 0.5, 2],
    }),
    createScenario("demand swing", { traffic: [lookups(swing)], isDisturbed: isPeak }),
    createScenario("exports beside lookups", {
        traffic: [lookups(share(0.4)), exports(RunTimeClass.Long, 35)],
    }),
    createScenario("exports declared short", {
        traffic: [lookups(share(0.4)), exports(RunTimeClass.Short, 35)],
    }),
    createScenario("exports beyond their share", {
        traffic: [lookups(share(0.6)), exports(RunTimeClass.Long, 80)],
    }),
    createScenario("slowed moments", {
        traffic: [lookups(share(0.4))],
        slowdowns: moments,
        isDisturbed: at => moments.some(({ from, until }) => at >= from && at < until),
    }),
    createScenario("slowed moments, 3 targets", {
        targets: 3,
        traffic: [lookups(() => 0.25 * capacityPerSecond / 2)],
        slowdowns: momentsOfThree,
        isDisturbed: at => momentsOfThree.some(({ from, until }) => at >= from && at < until),
    }),
    createScenario("lying load reports", { traffic: [lookups(share(0.7))], reporting: lies }),
];
