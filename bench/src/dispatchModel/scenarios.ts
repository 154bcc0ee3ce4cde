/**
 * Scenarios of the dispatch model: traffic, target speeds, slowdowns and load reporting.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { RuleKind, RunTimeClass } from "@bilberrycroft/state.rules";
import type { RouteRule } from "@bilberrycroft/state.rules";
import { LoadReporting } from "./simulation";
import type { Slowdown } from "./simulation";

/** Calls of one route. */
export interface Traffic {
    readonly route: RouteRule;
    readonly meanRunTimeMs: Milliseconds;
    /** Calls per second from all nodes together at the given time. */
    readonly ratePerSecondAt: (at: Milliseconds) => number;
    /** Traffic of the same group is reported in one row. */
    readonly group: string;
}

export interface Scenario {
    readonly name: string;
    readonly targets: number;
    readonly traffic: readonly Traffic[];
    readonly slowdowns: readonly Slowdown[];
    /** Load reporting by target index; honest where missing. */
    readonly reporting: readonly LoadReporting[];
    /** Relative speed by target index; 1 where missing. */
    readonly speeds: readonly number[];
    /** Calls sent while this returns `true` are also reported in a separate row. */
    readonly isDisturbed: (at: Milliseconds) => boolean;
}

/** Default number of targets, slots per target, nodes and zones. */
export const fleetShape = { targets: 6, slots: 6, nodes: 8, zones: 3 };
const lookupMs = 4;
const exportMs = 300;
/** Lookups per second that the default targets can serve together. */
const capacityPerSecond = (fleetShape.targets * fleetShape.slots * 1_000) / lookupMs;

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

function createLookupTraffic(ratePerSecondAt: Traffic["ratePerSecondAt"]): Traffic {
    const route = createRoute("lookup", RunTimeClass.Short, 250);
    return { route, meanRunTimeMs: lookupMs, ratePerSecondAt, group: "short" };
}

function createExportTraffic(declaredClass: RunTimeClass, ratePerSecond: number): Traffic {
    const route = createRoute("export", declaredClass, 5_000);
    return { route, meanRunTimeMs: exportMs, ratePerSecondAt: () => ratePerSecond, group: "long" };
}

function createScenario(name: string, properties: Partial<Scenario>): Scenario {
    return {
        name,
        targets: fleetShape.targets,
        traffic: [],
        slowdowns: [],
        reporting: [],
        speeds: [],
        isDisturbed: () => false,
        ...properties,
    };
}

const constantLoad = (capacityRatio: number) => () => capacityRatio * capacityPerSecond;
const isPeak = (at: Milliseconds) => at >= 4_000 && at < 5_000;
const loadWithPeak = (at: Milliseconds) => (isPeak(at) ? 3 : 0.5) * capacityPerSecond;

/** Slows one target at a time, then two at a time, for 0.3 to 0.8 s each. */
const sixTargetSlowdowns: readonly Slowdown[] = [
    { target: 0, from: 2_500, until: 2_900, factor: 10 },
    { target: 3, from: 3_500, until: 4_300, factor: 50 },
    { target: 1, from: 5_000, until: 5_500, factor: 30 },
    { target: 4, from: 5_200, until: 5_700, factor: 50 },
    { target: 2, from: 7_000, until: 7_300, factor: 20 },
    { target: 5, from: 7_000, until: 7_800, factor: 50 },
    { target: 0, from: 8_500, until: 8_900, factor: 50 },
];

/** Slows up to two of three targets at a time, which is more than half of the service. */
const threeTargetSlowdowns: readonly Slowdown[] = [
    { target: 0, from: 3_000, until: 3_500, factor: 30 },
    { target: 0, from: 5_000, until: 5_600, factor: 50 },
    { target: 1, from: 5_000, until: 5_600, factor: 50 },
    { target: 1, from: 8_000, until: 8_500, factor: 20 },
    { target: 2, from: 8_100, until: 8_500, factor: 50 },
];

const inaccurateReporting = [
    LoadReporting.AlwaysIdle,
    LoadReporting.AlwaysFull,
    LoadReporting.Late,
    LoadReporting.Late,
    LoadReporting.Honest,
    LoadReporting.Honest,
];

export const scenarios: readonly Scenario[] = [
    createScenario("steady", { traffic: [createLookupTraffic(constantLoad(0.6))] }),
    createScenario("steady, different speeds", {
        traffic: [createLookupTraffic(constantLoad(0.5))],
        speeds: [1, 1, 0.25, 1, 0.5, 2],
    }),
    createScenario("demand swing", { traffic: [createLookupTraffic(loadWithPeak)], isDisturbed: isPeak }),
    createScenario("exports beside lookups", {
        traffic: [createLookupTraffic(constantLoad(0.4)), createExportTraffic(RunTimeClass.Long, 35)],
    }),
    createScenario("exports declared short", {
        traffic: [createLookupTraffic(constantLoad(0.4)), createExportTraffic(RunTimeClass.Short, 35)],
    }),
    createScenario("exports beyond their share", {
        traffic: [createLookupTraffic(constantLoad(0.6)), createExportTraffic(RunTimeClass.Long, 80)],
    }),
    createScenario("slowed moments", {
        traffic: [createLookupTraffic(constantLoad(0.4))],
        slowdowns: sixTargetSlowdowns,
        isDisturbed: at => sixTargetSlowdowns.some(({ from, until }) => at >= from && at < until),
    }),
    createScenario("slowed moments, 3 targets", {
        targets: 3,
        traffic: [createLookupTraffic(() => 0.25 * capacityPerSecond / 2)],
        slowdowns: threeTargetSlowdowns,
        isDisturbed: at => threeTargetSlowdowns.some(({ from, until }) => at >= from && at < until),
    }),
    createScenario("lying load reports", { traffic: [createLookupTraffic(constantLoad(0.7))], reporting: inaccurateReporting }),
];
