/**
 * The cases of the benches. Each runs the same arrivals through this version and through the baseline in turn.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { CallHeader } from "@bilberrycroft/protocol.calls";
import type { DeploymentShape } from "../deployments";
import { type RateProfile, RateProfileKind, type RequestKind } from "../load";
import type { Metric } from "../report";
import { CaseLetter } from "./arguments";
import { countReceived, injectFault, pauseProcesses, resumeProcesses } from "./faults";
import { type Fleet, type FleetTimes, sleep, steadyPath, steadyService } from "./fleet";
import { measureRecovery } from "./recovery";
import {
    type CallGroup,
    type Disturbance,
    runSegment,
    type Segment,
    type SegmentRecords,
    summarizeGroups,
    warmupMs,
} from "./segment";
import { createGroupMetrics } from "./table";

/** What a case runs with. */
export interface CaseContext {
    readonly fleet: Fleet;
    readonly shape: DeploymentShape;
    readonly times: FleetTimes;
    readonly seed: number;
    readonly quick: boolean;
}

/** Result of a case. */
export interface CaseOutcome {
    readonly description: string;
    readonly metrics: readonly Metric[];
}

/** The two versions. */
enum Version {
    Current = "this version",
    Baseline = "baseline",
}

interface Measured {
    readonly current: readonly SegmentRecords[];
    readonly baseline: readonly SegmentRecords[];
}

/** A segment without its entries and seed, which differ by version and round. */
interface Plan {
    readonly service: string;
    readonly profile: RateProfile;
    readonly requests: readonly RequestKind[];
    readonly durationMs: Milliseconds;
    readonly baselineTimeoutMs: Milliseconds;
    /** Zone whose nodes get no calls. */
    readonly exceptZone?: string;
    readonly rounds: number;
    /** Time between two segments. */
    readonly settleMs: Milliseconds;
    disturbances(): readonly Disturbance[];
    afterSegment?(version: Version, records: SegmentRecords): Promise<void>;
}

const settleMs: Milliseconds = 500;
/** Rate of one node in the size to design for. */
const nodeRate = 209;
const longTimeoutMs: Milliseconds = 10_000;
const normalRounds = 2;

/** Runs a case. */
export function runCase(letter: CaseLetter, context: CaseContext): Promise<CaseOutcome> {
    switch (letter) {
        case CaseLetter.Steady:
            return runSteady(context);
        case CaseLetter.Swing:
            return runSwing(context);
        case CaseLetter.HeadOfLine:
            return runHeadOfLine(context);
        case CaseLetter.Slowed:
            return runSlowed(context);
        case CaseLetter.ZoneCut:
            return runZoneCut(context);
        case CaseLetter.Outage:
            return runOutage(context);
    }
}

/** Direct calls, calls through one node and calls through one baseline proxy are drawn from one stream of arrivals. */
async function runSteady(context: CaseContext): Promise<CaseOutcome> {
    const { fleet, shape, seed, quick } = context;
    const baselines = await fleet.startBaselines(steadyService, 1_000);
    const durationMs = quick ? 1_500 : 15_000;
    const node = fleet.nodes.length - 1;
    const headers = { [CallHeader.Tenant]: shape.tenants[0] ?? "" };
    const kind = (className: string, targets: readonly string[]): RequestKind =>
        ({ className, targets, weight: 1, path: steadyPath, timeoutMs: 1_000, headers });
    const direct = fleet.targetsOf(steadyService).map(target => target.address);
    const records = await runSegment(fleet, {
        entries: [],
        profile: { kind: RateProfileKind.Constant, ratePerSecond: 3 * nodeRate },
        requests: [
            kind("direct", direct),
            kind(Version.Current, fleet.nodeAddresses().slice(node)),
            kind(Version.Baseline, baselines.slice(node)),
        ],
        durationMs,
        seed,
        disturbances: [],
    });
    const counted = { fromMs: warmupMs, toMs: durationMs };
    const group = (className: string): CallGroup => ({ name: className, className, ...counted });
    const names = ["direct", Version.Current, Version.Baseline];
    await fleet.closeBaselines();
    const [base, current, baseline] = summarizeGroups(names.map(group), [records], seed).classes;
    const row = (name: string, unit: string, read: (result: NonNullable<typeof base>) => number): Metric => ({
        name,
        unit,
        current: current === undefined ? undefined : read(current),
        baseline: baseline === undefined ? undefined : read(baseline),
    });
    return {
        description: `latency added by one node at ${nodeRate} calls/s, beside direct calls to the same targets`,
        metrics: [
            row("calls", "calls", result => result.offered),
            row("done", "calls", result => result.done),
            row("direct p50", "ms", () => base?.p50 ?? 0),
            row("direct p99", "ms", () => base?.p99 ?? 0),
            row("p50", "ms", result => result.p50),
            row("p99", "ms", result => result.p99),
            row("added at p50", "ms", result => result.p50 - (base?.p50 ?? 0)),
            row("added at p99", "ms", result => result.p99 - (base?.p99 ?? 0)),
            row("generator lag p99, worst run", "ms", () => records.lagP99Ms),
        ],
    };
}

/** Runs load through both versions, so that compilation and the ramps of fresh targets do not fall on one of them. */
export async function warmUp(context: CaseContext): Promise<void> {
    const durationMs = context.quick ? 1_000 : 3_000;
    const ratePerSecond = capacityOf(context, shortService(context.shape)) * 0.5;
    const profile = { kind: RateProfileKind.Constant, ratePerSecond } as const;
    await measure(context, { ...shortPlan(context), durationMs, profile, rounds: 1 });
}

/** Below capacity, within a second to three times the capacity, and back. */
async function runSwing(context: CaseContext): Promise<CaseOutcome> {
    const { shape, quick } = context;
    const capacity = capacityOf(context, shortService(shape));
    const calmMs = quick ? 800 : 2_000;
    const peakMs = quick ? 800 : 2_000;
    const rampMs = quick ? 400 : 1_000;
    const step = (durationMs: number, load: number) => ({ durationMs, ratePerSecond: capacity * load });
    const up = [1.2, 1.8, 2.4].map(load => step(rampMs / 3, load));
    const steps = [step(calmMs, 0.6), ...up, step(peakMs, 3), ...[...up].reverse(), step(calmMs, 0.6)];
    const durationMs = steps.reduce((sum, { durationMs: stepMs }) => sum + stepMs, 0);
    const requests = swingRequests(shape);
    const profile = { kind: RateProfileKind.Steps, steps } as const;
    const plan = { ...shortPlan(context), requests, durationMs, profile };
    const measured = await measure(context, plan);
    const peakFrom = calmMs + rampMs;
    const backFrom = peakFrom + peakMs + rampMs;
    const classes = requests.map(({ className }) => className);
    const groups: CallGroup[] = [
        { name: "all", fromMs: warmupMs, toMs: durationMs },
        { name: "at peak, all", fromMs: peakFrom, toMs: peakFrom + peakMs },
        ...classes.map(className =>
            ({ name: `at peak, ${className}`, className, fromMs: peakFrom, toMs: peakFrom + peakMs })),
        { name: "after the peak", fromMs: backFrom, toMs: durationMs },
    ];
    return {
        description: `${shortService(shape)}: load from 0.6 to 3 times the capacity of ${Math.round(capacity)} calls/s `
            + "and back; classes by priority",
        metrics: compare(context, groups, measured),
    };
}

/** Half of the slots busy with long calls and a third with short ones. */
async function runHeadOfLine(context: CaseContext): Promise<CaseOutcome> {
    const { shape, times, quick } = context;
    const service = longService(shape);
    const slots = slotsOf(shape, service);
    const shortRate = slots * 0.33 * 1_000 / times.shortMs;
    const longRate = slots * 0.5 * 1_000 / times.longMs;
    const durationMs = quick ? 2_000 : 8_000;
    const headers = shape.tenants.slice(0, 1).map(tenant => ({ [CallHeader.Tenant]: tenant }))[0];
    const requests: RequestKind[] = [
        { className: "short", weight: shortRate, path: `/${service}/month`, timeoutMs: 800, headers },
        { className: "long", weight: longRate, path: shape.longPath, timeoutMs: longTimeoutMs, headers },
    ];
    const profile = { kind: RateProfileKind.Constant, ratePerSecond: shortRate + longRate } as const;
    const plan = { ...shortPlan(context), service, requests, durationMs, profile, baselineTimeoutMs: longTimeoutMs };
    const measured = await measure(context, plan);
    // Long calls that are due near the end run beyond it, in both versions alike.
    const groups = ["short", "long"].map(className =>
        ({ name: className, className, fromMs: quick ? warmupMs : 2_000, toMs: durationMs }));
    return {
        description: `${service}: ${Math.round(shortRate)} short calls/s of ${times.shortMs} ms beside `
            + `${longRate.toFixed(1)} long calls/s of ${times.longMs} ms on ${slots} slots`,
        metrics: compare(context, groups, measured),
    };
}

/** Moments with one, then two slowed targets. */
async function runSlowed(context: CaseContext): Promise<CaseOutcome> {
    const { fleet, shape, quick } = context;
    const service = shortService(shape);
    const targets = fleet.targetsOf(service);
    const factors = quick ? [50] : [10, 20, 50];
    const momentMs = quick ? 300 : 500;
    const spacingMs = quick ? 700 : 1_500;
    const phaseMs = factors.length * spacingMs;
    const durationMs = warmupMs + 2 * phaseMs;
    const moments = [1, 2].flatMap((slowed, phase) => factors.map((slowFactor, index): Disturbance => ({
        atMs: warmupMs + phase * phaseMs + index * spacingMs,
        start: () => injectFault(targets.slice(index, index + slowed), { slowFactor, forMs: momentMs }),
    })));
    const ratePerSecond = capacityOf(context, service) * 0.35;
    const plan = {
        ...shortPlan(context),
        durationMs,
        profile: { kind: RateProfileKind.Constant, ratePerSecond } as const,
        disturbances: () => moments,
    };
    const measured = await measure(context, plan);
    const groups: CallGroup[] = [
        { name: "one slowed", fromMs: warmupMs, toMs: warmupMs + phaseMs },
        { name: "two slowed", fromMs: warmupMs + phaseMs, toMs: durationMs },
    ];
    return {
        description: `${service}: ${Math.round(ratePerSecond)} calls/s (0.35 of the capacity); one, then two of `
            + `${targets.length} targets slowed ${factors.join(", ")} times for ${momentMs} ms every ${spacingMs} ms`,
        metrics: compare(context, groups, measured),
    };
}

/** Targets and nodes of one zone are stopped; callers of the other zones go on. */
async function runZoneCut(context: CaseContext): Promise<CaseOutcome> {
    const { fleet, shape, quick } = context;
    const service = shortService(shape);
    const zone = shape.zones[0] ?? "";
    const parts = [...fleet.nodes, ...fleet.targets].filter(part => part.zone === zone);
    const fromMs = quick ? 800 : 2_000;
    const cutMs = quick ? 1_000 : 4_000;
    const durationMs = fromMs + cutMs + (quick ? 500 : 3_000);
    const ratePerSecond = capacityOf(context, service) * 0.35;
    const plan: Plan = {
        ...shortPlan(context),
        durationMs,
        exceptZone: zone,
        profile: { kind: RateProfileKind.Constant, ratePerSecond },
        rounds: 1,
        disturbances: () => [
            { atMs: fromMs, start: () => pauseProcesses(parts) },
            { atMs: fromMs + cutMs, start: () => resumeProcesses(parts) },
        ],
        afterSegment: () => fleet.waitUntilJoined(),
    };
    const measured = await measure(context, plan);
    const groups: CallGroup[] = [
        { name: "before", fromMs: warmupMs, toMs: fromMs },
        { name: "cut", fromMs, toMs: fromMs + cutMs },
        { name: "after", fromMs: fromMs + cutMs, toMs: durationMs },
    ];
    return {
        description: `${service}: ${Math.round(ratePerSecond)} calls/s from callers outside ${zone}; its `
            + `${parts.length} nodes and targets stopped by SIGSTOP for ${cutMs} ms`,
        metrics: compare(context, groups, measured),
    };
}

/** Every target of a service refuses its calls, then all return. */
async function runOutage(context: CaseContext): Promise<CaseOutcome> {
    const { fleet, shape, quick } = context;
    const service = shortService(shape);
    const targets = fleet.targetsOf(service);
    const fromMs = quick ? 800 : 2_000;
    const outageMs = quick ? 1_000 : 3_000;
    const toMs = fromMs + outageMs;
    const durationMs = toMs + (quick ? 1_000 : 4_000);
    const ratePerSecond = capacityOf(context, service) * 0.5;
    const received = { before: 0, loads: { [Version.Current]: 0, [Version.Baseline]: 0 }, counted: 0 };
    const plan: Plan = {
        ...shortPlan(context),
        durationMs,
        profile: { kind: RateProfileKind.Constant, ratePerSecond },
        disturbances: () => [
            {
                atMs: fromMs,
                start: async () => {
                    await injectFault(targets, { refuse: true, forMs: outageMs });
                    received.before = await countReceived(targets);
                },
            },
            { atMs: toMs, start: async () => void (received.counted = await countReceived(targets) - received.before) },
        ],
        afterSegment: async version => void (received.loads[version] += received.counted),
    };
    const measured = await measure(context, plan);
    const groups: CallGroup[] = [
        { name: "outage", fromMs, toMs },
        { name: "after", fromMs: toMs, toMs: durationMs },
    ];
    const offered = (records: readonly SegmentRecords[]): number => records.flatMap(({ calls }) => calls)
        .filter(call => call.dueMs >= fromMs && call.dueMs < toMs).length;
    const recovery = (records: readonly SegmentRecords[]): number =>
        Math.max(...records.map(({ calls }) => measureRecovery(calls, { fromMs: toMs, toMs: durationMs })));
    return {
        description: `${service}: ${Math.round(ratePerSecond)} calls/s; all ${targets.length} targets refuse every call for `
            + `${outageMs} ms, then return`,
        metrics: [
            {
                name: "calls received by targets for each call offered",
                unit: "",
                current: received.loads[Version.Current] / offered(measured.current),
                baseline: received.loads[Version.Baseline] / offered(measured.baseline),
            },
            {
                name: "time to recover, worst round",
                unit: "ms",
                current: recovery(measured.current),
                baseline: recovery(measured.baseline),
            },
            ...compare(context, groups, measured),
        ],
    };
}

/** Alternates which version goes first, so that a drift of the machine's load favours neither. */
async function measure(context: CaseContext, plan: Plan): Promise<Measured> {
    const { fleet, seed } = context;
    const records = { [Version.Current]: [] as SegmentRecords[], [Version.Baseline]: [] as SegmentRecords[] };
    const outside = fleet.nodes.map(node => node.zone !== plan.exceptZone);
    const startEntries = async (version: Version): Promise<string[]> => version === Version.Current
        ? fleet.nodeAddresses(plan.exceptZone)
        : (await fleet.startBaselines(plan.service, plan.baselineTimeoutMs)).filter((_, index) => outside[index]);
    for (let round = 0; round < plan.rounds; round++) {
        const order = [Version.Current, Version.Baseline];
        for (const version of round % 2 === 0 ? order : order.reverse()) {
            const segment: Segment = {
                ...plan,
                entries: await startEntries(version),
                seed: seed + round,
                disturbances: plan.disturbances(),
            };
            const result = await runSegment(fleet, segment);
            records[version].push(result);
            await (version === Version.Baseline ? fleet.closeBaselines() : undefined);
            await plan.afterSegment?.(version, result);
            await sleep(plan.settleMs);
        }
    }
    return { current: records[Version.Current], baseline: records[Version.Baseline] };
}

function compare(context: CaseContext, groups: readonly CallGroup[], measured: Measured): Metric[] {
    const { seed } = context;
    return createGroupMetrics(
        summarizeGroups(groups, measured.current, seed),
        summarizeGroups(groups, measured.baseline, seed),
    );
}

/** Plan of short calls to the service of the deployment's short path. */
function shortPlan({ shape, quick }: CaseContext): Plan {
    const timeoutMs = swingRequests(shape)[0]?.timeoutMs ?? 0;
    const requests = shape.tenants.map((tenant): RequestKind => ({
        className: "short",
        weight: 1,
        path: shape.shortPath,
        timeoutMs,
        headers: { [CallHeader.Tenant]: tenant },
    }));
    return {
        service: shortService(shape),
        profile: { kind: RateProfileKind.Constant, ratePerSecond: 0 },
        requests,
        durationMs: 0,
        baselineTimeoutMs: timeoutMs,
        rounds: quick ? 1 : normalRounds,
        settleMs,
        disturbances: () => [],
    };
}

/** Classes of calls to one service that differ in priority; timeouts are those of the rules. */
function swingRequests(shape: DeploymentShape): RequestKind[] {
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

function shortService(shape: DeploymentShape): string {
    return shape.shortPath.split("/")[1] ?? "";
}

function longService(shape: DeploymentShape): string {
    return shape.longPath.split("/")[1] ?? "";
}

function slotsOf(shape: DeploymentShape, service: string): number {
    return shape.slots * (shape.services.find(({ name }) => name === service)?.endpoints ?? 0);
}

/** Calls per second that the service's slots can run. */
function capacityOf({ shape, times }: CaseContext, service: string): number {
    return slotsOf(shape, service) * 1_000 / times.shortMs;
}
