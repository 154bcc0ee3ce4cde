/**
 * The benchmark cases. Each runs the same arrivals through this version and through the baseline proxies.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { CallHeader } from "@bilberrycroft/protocol.calls";
import type { DeploymentShape } from "../deployments";
import { type RateProfile, RateProfileKind, type RequestKind } from "../load";
import type { Metric } from "../report";
import { CaseLetter } from "./arguments";
import { countReceivedCalls, injectFault, pauseProcesses, resumeProcesses } from "./faults";
import { type Fleet, type TargetRunTimes, sleep, steadyPath, steadyService } from "./fleet";
import { measureRecovery } from "./recovery";
import {
    type CallGroup,
    type ScheduledAction,
    runSegment,
    type Segment,
    type SegmentRecords,
    summarizeGroups,
    warmupMs,
} from "./segment";
import { createGroupMetrics } from "./table";

export interface CaseContext {
    readonly fleet: Fleet;
    readonly shape: DeploymentShape;
    readonly runTimes: TargetRunTimes;
    readonly seed: number;
    readonly quick: boolean;
}

export interface CaseResult {
    readonly description: string;
    readonly metrics: readonly Metric[];
}

/** The two systems under comparison; the values are the class names of the steady case. */
enum Version {
    Current = "this version",
    Baseline = "baseline",
}

/** Records of all rounds, by version. */
interface VersionRecords {
    readonly current: readonly SegmentRecords[];
    readonly baseline: readonly SegmentRecords[];
}

/** A segment without entries and seed, which differ by version and round. */
interface CasePlan {
    readonly service: string;
    readonly profile: RateProfile;
    readonly requests: readonly RequestKind[];
    readonly durationMs: Milliseconds;
    readonly baselineTimeoutMs: Milliseconds;
    /** Nodes and baseline proxies of this zone receive no calls. */
    readonly excludedZone?: string;
    readonly rounds: number;
    /** Time between two segments. */
    readonly pauseMs: Milliseconds;
    createScheduledActions(): readonly ScheduledAction[];
    afterSegment?(version: Version, records: SegmentRecords): Promise<void>;
}

const segmentPauseMs: Milliseconds = 500;
/** Call rate of one node at the design size. */
const nodeCallsPerSecond = 209;
const longTimeoutMs: Milliseconds = 10_000;
const defaultRounds = 2;

export function runCase(letter: CaseLetter, context: CaseContext): Promise<CaseResult> {
    switch (letter) {
        case CaseLetter.Steady:
            return runSteady(context);
        case CaseLetter.LoadRamp:
            return runLoadRamp(context);
        case CaseLetter.HeadOfLine:
            return runHeadOfLine(context);
        case CaseLetter.SlowTargets:
            return runSlowTargets(context);
        case CaseLetter.ZonePartition:
            return runZonePartition(context);
        case CaseLetter.ServiceOutage:
            return runServiceOutage(context);
    }
}

/**
 * Measures the latency that one node adds. One stream of arrivals supplies direct calls, calls through the node and
 * calls through one baseline proxy, so that all three run under the same conditions.
 */
async function runSteady(context: CaseContext): Promise<CaseResult> {
    const { fleet, shape, seed, quick } = context;
    const baselines = await fleet.startBaselineProxies(steadyService, 1_000);
    const durationMs = quick ? 1_500 : 15_000;
    const lastNodeIndex = fleet.nodes.length - 1;
    const headers = { [CallHeader.Tenant]: shape.tenants[0] ?? "" };
    const createRequestKind = (className: string, targets: readonly string[]): RequestKind =>
        ({ className, targets, weight: 1, path: steadyPath, timeoutMs: 1_000, headers });
    const directAddresses = fleet.getTargets(steadyService).map(target => target.address);
    const records = await runSegment(fleet, {
        entries: [],
        profile: { kind: RateProfileKind.Constant, ratePerSecond: 3 * nodeCallsPerSecond },
        requests: [
            createRequestKind("direct", directAddresses),
            createRequestKind(Version.Current, fleet.getNodeAddresses().slice(lastNodeIndex)),
            createRequestKind(Version.Baseline, baselines.slice(lastNodeIndex)),
        ],
        durationMs,
        seed,
        scheduledActions: [],
    });
    const countedSpan = { fromMs: warmupMs, toMs: durationMs };
    const createGroup = (className: string): CallGroup => ({ name: className, className, ...countedSpan });
    const classNames = ["direct", Version.Current, Version.Baseline];
    await fleet.closeBaselineProxies();
    const [direct, current, baseline] = summarizeGroups(classNames.map(createGroup), [records], seed).classes;
    const createRow = (
        name: string,
        unit: string,
        getValue: (result: NonNullable<typeof direct>) => number,
    ): Metric => ({
        name,
        unit,
        current: current === undefined ? undefined : getValue(current),
        baseline: baseline === undefined ? undefined : getValue(baseline),
    });
    return {
        description: `latency added by one node at ${nodeCallsPerSecond} calls/s over direct calls to the same targets`,
        metrics: [
            createRow("calls", "calls", result => result.offered),
            createRow("done", "calls", result => result.done),
            createRow("direct p50", "ms", () => direct?.p50 ?? 0),
            createRow("direct p99", "ms", () => direct?.p99 ?? 0),
            createRow("p50", "ms", result => result.p50),
            createRow("p99", "ms", result => result.p99),
            createRow("added at p50", "ms", result => result.p50 - (direct?.p50 ?? 0)),
            createRow("added at p99", "ms", result => result.p99 - (direct?.p99 ?? 0)),
            createRow("generator lag p99, worst run", "ms", () => records.lagP99Ms),
        ],
    };
}

/** Runs load through both versions, so that neither bears the cost of JIT compilation and cold targets alone. */
export async function warmUp(context: CaseContext): Promise<void> {
    const durationMs = context.quick ? 1_000 : 3_000;
    const ratePerSecond = getCapacityPerSecond(context, getShortService(context.shape)) * 0.5;
    const profile = { kind: RateProfileKind.Constant, ratePerSecond } as const;
    await measureVersions(context, { ...createShortCallPlan(context), durationMs, profile, rounds: 1 });
}

/** Ramps the load from 0.6 to 3 times the capacity within a second, holds the peak and ramps back. */
async function runLoadRamp(context: CaseContext): Promise<CaseResult> {
    const { shape, quick } = context;
    const capacity = getCapacityPerSecond(context, getShortService(shape));
    const baseMs = quick ? 800 : 2_000;
    const peakMs = quick ? 800 : 2_000;
    const rampMs = quick ? 400 : 1_000;
    const createStep = (durationMs: number, capacityRatio: number) =>
        ({ durationMs, ratePerSecond: capacity * capacityRatio });
    const rampSteps = [1.2, 1.8, 2.4].map(capacityRatio => createStep(rampMs / 3, capacityRatio));
    const steps = [
        createStep(baseMs, 0.6),
        ...rampSteps,
        createStep(peakMs, 3),
        ...[...rampSteps].reverse(),
        createStep(baseMs, 0.6),
    ];
    const durationMs = steps.reduce((sum, { durationMs: stepMs }) => sum + stepMs, 0);
    const requests = createPriorityRequests(shape);
    const profile = { kind: RateProfileKind.Steps, steps } as const;
    const plan = { ...createShortCallPlan(context), requests, durationMs, profile };
    const measured = await measureVersions(context, plan);
    const peakStartMs = baseMs + rampMs;
    const afterPeakMs = peakStartMs + peakMs + rampMs;
    const classNames = requests.map(({ className }) => className);
    const groups: CallGroup[] = [
        { name: "all", fromMs: warmupMs, toMs: durationMs },
        { name: "at peak, all", fromMs: peakStartMs, toMs: peakStartMs + peakMs },
        ...classNames.map(className =>
            ({ name: `at peak, ${className}`, className, fromMs: peakStartMs, toMs: peakStartMs + peakMs })),
        { name: "after the peak", fromMs: afterPeakMs, toMs: durationMs },
    ];
    return {
        description: `${getShortService(shape)}: load from 0.6 to 3 times the capacity of ${Math.round(capacity)} calls/s `
            + "and back; classes by priority",
        metrics: createComparison(context, groups, measured),
    };
}

/** Head-of-line blocking: long calls occupy half of the slots while short calls occupy a third. */
async function runHeadOfLine(context: CaseContext): Promise<CaseResult> {
    const { shape, runTimes, quick } = context;
    const service = getLongService(shape);
    const slots = countSlots(shape, service);
    const shortRate = slots * 0.33 * 1_000 / runTimes.shortMs;
    const longRate = slots * 0.5 * 1_000 / runTimes.longMs;
    const durationMs = quick ? 2_000 : 8_000;
    const headers = shape.tenants.slice(0, 1).map(tenant => ({ [CallHeader.Tenant]: tenant }))[0];
    const requests: RequestKind[] = [
        { className: "short", weight: shortRate, path: `/${service}/month`, timeoutMs: 800, headers },
        { className: "long", weight: longRate, path: shape.longPath, timeoutMs: longTimeoutMs, headers },
    ];
    const profile = { kind: RateProfileKind.Constant, ratePerSecond: shortRate + longRate } as const;
    const plan = {
        ...createShortCallPlan(context),
        service,
        requests,
        durationMs,
        profile,
        baselineTimeoutMs: longTimeoutMs,
    };
    const measured = await measureVersions(context, plan);
    // Long calls that are due near the end complete after it. This affects both versions equally.
    const groups = ["short", "long"].map(className =>
        ({ name: className, className, fromMs: quick ? warmupMs : 2_000, toMs: durationMs }));
    return {
        description: `${service}: ${Math.round(shortRate)} short calls/s of ${runTimes.shortMs} ms and `
            + `${longRate.toFixed(1)} long calls/s of ${runTimes.longMs} ms on ${slots} slots`,
        metrics: createComparison(context, groups, measured),
    };
}

/** Slows one target at a time for short periods, then two targets at a time. */
async function runSlowTargets(context: CaseContext): Promise<CaseResult> {
    const { fleet, shape, quick } = context;
    const service = getShortService(shape);
    const targets = fleet.getTargets(service);
    const slowFactors = quick ? [50] : [10, 20, 50];
    const faultMs = quick ? 300 : 500;
    const faultIntervalMs = quick ? 700 : 1_500;
    const phaseMs = slowFactors.length * faultIntervalMs;
    const durationMs = warmupMs + 2 * phaseMs;
    const scheduledActions = [1, 2].flatMap((targetCount, phase) =>
        slowFactors.map((slowFactor, index): ScheduledAction => ({
            atMs: warmupMs + phase * phaseMs + index * faultIntervalMs,
            run: () => injectFault(targets.slice(index, index + targetCount), { slowFactor, forMs: faultMs }),
        })));
    const ratePerSecond = getCapacityPerSecond(context, service) * 0.35;
    const plan = {
        ...createShortCallPlan(context),
        durationMs,
        profile: { kind: RateProfileKind.Constant, ratePerSecond } as const,
        createScheduledActions: () => scheduledActions,
    };
    const measured = await measureVersions(context, plan);
    const groups: CallGroup[] = [
        { name: "one slowed", fromMs: warmupMs, toMs: warmupMs + phaseMs },
        { name: "two slowed", fromMs: warmupMs + phaseMs, toMs: durationMs },
    ];
    return {
        description: `${service}: ${Math.round(ratePerSecond)} calls/s (0.35 of the capacity); one, then two of `
            + `${targets.length} targets slowed ${slowFactors.join(", ")} times for ${faultMs} ms every ${faultIntervalMs} ms`,
        metrics: createComparison(context, groups, measured),
    };
}

/** Stops the nodes and targets of one zone while callers in the other zones continue. */
async function runZonePartition(context: CaseContext): Promise<CaseResult> {
    const { fleet, shape, quick } = context;
    const service = getShortService(shape);
    const zone = shape.zones[0] ?? "";
    const zoneMembers = [...fleet.nodes, ...fleet.targets].filter(member => member.zone === zone);
    const fromMs = quick ? 800 : 2_000;
    const partitionMs = quick ? 1_000 : 4_000;
    const durationMs = fromMs + partitionMs + (quick ? 500 : 3_000);
    const ratePerSecond = getCapacityPerSecond(context, service) * 0.35;
    const plan: CasePlan = {
        ...createShortCallPlan(context),
        durationMs,
        excludedZone: zone,
        profile: { kind: RateProfileKind.Constant, ratePerSecond },
        rounds: 1,
        createScheduledActions: () => [
            { atMs: fromMs, run: () => pauseProcesses(zoneMembers) },
            { atMs: fromMs + partitionMs, run: () => resumeProcesses(zoneMembers) },
        ],
        afterSegment: () => fleet.waitUntilJoined(),
    };
    const measured = await measureVersions(context, plan);
    const groups: CallGroup[] = [
        { name: "before", fromMs: warmupMs, toMs: fromMs },
        { name: "cut", fromMs, toMs: fromMs + partitionMs },
        { name: "after", fromMs: fromMs + partitionMs, toMs: durationMs },
    ];
    return {
        description: `${service}: ${Math.round(ratePerSecond)} calls/s from callers outside ${zone}; its `
            + `${zoneMembers.length} nodes and targets stopped by SIGSTOP for ${partitionMs} ms`,
        metrics: createComparison(context, groups, measured),
    };
}

/** All targets of a service refuse calls for some time, then all recover at the same time. */
async function runServiceOutage(context: CaseContext): Promise<CaseResult> {
    const { fleet, shape, quick } = context;
    const service = getShortService(shape);
    const targets = fleet.getTargets(service);
    const fromMs = quick ? 800 : 2_000;
    const outageMs = quick ? 1_000 : 3_000;
    const toMs = fromMs + outageMs;
    const durationMs = toMs + (quick ? 1_000 : 4_000);
    const ratePerSecond = getCapacityPerSecond(context, service) * 0.5;
    const receivedCalls = { before: 0, totals: { [Version.Current]: 0, [Version.Baseline]: 0 }, duringOutage: 0 };
    const plan: CasePlan = {
        ...createShortCallPlan(context),
        durationMs,
        profile: { kind: RateProfileKind.Constant, ratePerSecond },
        createScheduledActions: () => [
            {
                atMs: fromMs,
                run: async () => {
                    await injectFault(targets, { refuse: true, forMs: outageMs });
                    receivedCalls.before = await countReceivedCalls(targets);
                },
            },
            {
                atMs: toMs,
                run: async () =>
                    void (receivedCalls.duringOutage = await countReceivedCalls(targets) - receivedCalls.before),
            },
        ],
        afterSegment: async version => void (receivedCalls.totals[version] += receivedCalls.duringOutage),
    };
    const measured = await measureVersions(context, plan);
    const groups: CallGroup[] = [
        { name: "outage", fromMs, toMs },
        { name: "after", fromMs: toMs, toMs: durationMs },
    ];
    const countOffered = (records: readonly SegmentRecords[]): number => records.flatMap(({ calls }) => calls)
        .filter(call => call.dueMs >= fromMs && call.dueMs < toMs).length;
    const measureWorstRecovery = (records: readonly SegmentRecords[]): number =>
        Math.max(...records.map(({ calls }) => measureRecovery(calls, { fromMs: toMs, toMs: durationMs })));
    return {
        description: `${service}: ${Math.round(ratePerSecond)} calls/s; all ${targets.length} targets refuse every call for `
            + `${outageMs} ms, then return`,
        metrics: [
            {
                name: "calls received by targets for each call offered",
                unit: "",
                current: receivedCalls.totals[Version.Current] / countOffered(measured.current),
                baseline: receivedCalls.totals[Version.Baseline] / countOffered(measured.baseline),
            },
            {
                name: "time to recover, worst round",
                unit: "ms",
                current: measureWorstRecovery(measured.current),
                baseline: measureWorstRecovery(measured.baseline),
            },
            ...createComparison(context, groups, measured),
        ],
    };
}

/** Alternates which version runs first, so that a drift of the machine's background load favors neither. */
async function measureVersions(context: CaseContext, plan: CasePlan): Promise<VersionRecords> {
    const { fleet, seed } = context;
    const records = { [Version.Current]: [] as SegmentRecords[], [Version.Baseline]: [] as SegmentRecords[] };
    const isNodeIncluded = fleet.nodes.map(node => node.zone !== plan.excludedZone);
    const startEntryPoints = async (version: Version): Promise<string[]> => version === Version.Current
        ? fleet.getNodeAddresses(plan.excludedZone)
        : (await fleet.startBaselineProxies(plan.service, plan.baselineTimeoutMs))
                .filter((_, index) => isNodeIncluded[index]);
    for (let round = 0; round < plan.rounds; round++) {
        const order = [Version.Current, Version.Baseline];
        for (const version of round % 2 === 0 ? order : order.reverse()) {
            const segment: Segment = {
                ...plan,
                entries: await startEntryPoints(version),
                seed: seed + round,
                scheduledActions: plan.createScheduledActions(),
            };
            const result = await runSegment(fleet, segment);
            records[version].push(result);
            await (version === Version.Baseline ? fleet.closeBaselineProxies() : undefined);
            await plan.afterSegment?.(version, result);
            await sleep(plan.pauseMs);
        }
    }
    return { current: records[Version.Current], baseline: records[Version.Baseline] };
}

function createComparison(context: CaseContext, groups: readonly CallGroup[], measured: VersionRecords): Metric[] {
    const { seed } = context;
    return createGroupMetrics(
        summarizeGroups(groups, measured.current, seed),
        summarizeGroups(groups, measured.baseline, seed),
    );
}

/** Defaults of the cases: short calls by all tenants to `shortPath`. Each case overrides the rate and the duration. */
function createShortCallPlan({ shape, quick }: CaseContext): CasePlan {
    const timeoutMs = createPriorityRequests(shape)[0]?.timeoutMs ?? 0;
    const requests = shape.tenants.map((tenant): RequestKind => ({
        className: "short",
        weight: 1,
        path: shape.shortPath,
        timeoutMs,
        headers: { [CallHeader.Tenant]: tenant },
    }));
    return {
        service: getShortService(shape),
        profile: { kind: RateProfileKind.Constant, ratePerSecond: 0 },
        requests,
        durationMs: 0,
        baselineTimeoutMs: timeoutMs,
        rounds: quick ? 1 : defaultRounds,
        pauseMs: segmentPauseMs,
        createScheduledActions: () => [],
    };
}

/** Request classes of one service with different priorities. The timeouts match those in the rules file. */
function createPriorityRequests(shape: DeploymentShape): RequestKind[] {
    const kinds = shape.name === "kyushu"
        ? [
                { className: "priority 8", weight: 3, path: shape.shortPath, timeoutMs: 500 },
                { className: "priority 7", weight: 2, path: "/readings/report/shed-7", timeoutMs: 800 },
                { className: "priority 6", weight: 3, path: "/readings/status/shed-7", timeoutMs: 300 },
            ]
        : [
                { className: "priority 8", weight: 1, path: shape.shortPath, timeoutMs: 400 },
                { className: "priority 7", weight: 1, path: "/pieds/measure", timeoutMs: 1_000 },
            ];
    return kinds.map(kind => ({ ...kind, headers: { [CallHeader.Tenant]: shape.tenants[0] ?? "" } }));
}

function getShortService(shape: DeploymentShape): string {
    return shape.shortPath.split("/")[1] ?? "";
}

function getLongService(shape: DeploymentShape): string {
    return shape.longPath.split("/")[1] ?? "";
}

function countSlots(shape: DeploymentShape, service: string): number {
    return shape.slots * (shape.services.find(({ name }) => name === service)?.endpoints ?? 0);
}

/** Returns the rate of short calls that keeps all slots of the service busy. */
function getCapacityPerSecond({ shape, runTimes }: CaseContext, service: string): number {
    return countSlots(shape, service) * 1_000 / runTimes.shortMs;
}
