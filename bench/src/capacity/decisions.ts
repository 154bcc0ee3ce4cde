/**
 * Measures the control decisions of fleets that are too large to run as processes on one machine.
 */
import { DecisionFleet } from "./decisionFleet";
import type { DecisionNode } from "./decisionNode";
import { callOverheadBytes } from "./measureFleet";
import { round, summarize } from "./statistics";

const settleMs = 20_000;
const idlePeriodMs = 30_000;
const convergenceTimeoutMs = 180_000;
const hostsPerRack = 8;
const partitionMs = 5 * 60_000;
const startSpreadMs = 2_000;

type FigureReporter = (what: string, figures: unknown) => void;

/** Parts of a run. They run one after the other on the same fleet. */
export enum DecisionPart {
    Steady = "steady",
    Hosts = "hosts",
    Regions = "regions",
}

/** Runs the parts at one size and prints each result as JSON. */
export function runDecisions(size: number, zones: number, parts: readonly string[]): void {
    const fleet = new DecisionFleet();
    const report: FigureReporter = (what, figures) => console.log(JSON.stringify({ size, zones, what, figures }));
    fleet.acceptNextVersion();
    const placements = Array.from({ length: size }, (_, index) => DecisionFleet.createPlacement(index, zones));
    placements.forEach((placement, index) =>
        fleet.schedule.runAfter(startSpreadMs * index / size, () => void fleet.start(placement)));
    fleet.schedule.advance(startSpreadMs);
    report("start", measureUse(fleet, () => ({ allKnownMs: startSpreadMs + advanceToTableSize(fleet, size) })));
    fleet.schedule.advance(settleMs);
    if (parts.includes(DecisionPart.Steady)) {
        measureSteadyState(fleet, report);
    }
    if (parts.includes(DecisionPart.Hosts)) {
        measureHostFailures(fleet, report);
    }
    if (parts.includes(DecisionPart.Regions)) {
        measureRegionPartition(fleet, report);
    }
}

function measureSteadyState(fleet: DecisionFleet, report: FigureReporter): void {
    fleet.handlingTimes.reset();
    report("idle 30 s", measureUse(fleet, () => fleet.schedule.advance(idlePeriodMs)));
    report("idle, time of messages", fleet.handlingTimes.report().slice(0, 12));
    report("table of one node", measureTable(fleet));
    fleet.handlingTimes.reset();
    report("3 changes, 20 s apart", measureUse(fleet, () => measureChanges(fleet, 3, 20_000)));
    report("changes, time of messages", fleet.handlingTimes.report().slice(0, 14));
    report("6 changes, 10 s apart", measureUse(fleet, () => measureChanges(fleet, 6, 10_000)));
}

function measureHostFailures(fleet: DecisionFleet, report: FigureReporter): void {
    const size = fleet.getRunningNodes().length;
    report("3 restarts, 20 s apart", measureUse(fleet, () => {
        for (let count = 0; count < 3; count++) {
            const node = fleet.getRunningNodes()[count * 7] as DecisionNode;
            fleet.stop(node, false);
            fleet.schedule.advance(1_000);
            fleet.start(node.placement);
            fleet.schedule.advance(19_000);
        }
        return { knownMs: advanceToTableSize(fleet, size) };
    }));
    const zoneNodes = fleet.getRunningNodes().filter(node => node.placement.zone === "zone-1");
    measureHostLoss(fleet, report, `${hostsPerRack} hosts lost`, zoneNodes.slice(0, hostsPerRack));
    measureHostLoss(fleet, report, "zone lost", fleet.getRunningNodes().filter(node => node.placement.zone === "zone-0"));
}

function measureRegionPartition(fleet: DecisionFleet, report: FigureReporter): void {
    const size = fleet.getRunningNodes().length;
    report("regions apart for 5 minutes", measureUse(fleet, () => {
        fleet.isPartitioned = (from, to) => from.region !== to.region;
        fleet.schedule.advance(partitionMs);
    }));
    report("regions merged", measureUse(fleet, () => {
        const version = fleet.acceptNextVersion();
        fleet.schedule.advance(10_000);
        const reachedNodeCount = fleet.getRunningNodes().filter(node => node.inForce === version).length;
        fleet.isPartitioned = () => false;
        const areAllZonesReachable = (): boolean => fleet.getRunningNodes()
            .every(node => node.membership.unreachableZones().length === 0);
        const allReachableMs = fleet.schedule.advanceUntil(areAllZonesReachable, convergenceTimeoutMs);
        return { allReachableMs, knownMs: advanceToTableSize(fleet, size), inForceWhileApart: reachedNodeCount };
    }));
}

function measureHostLoss(
    fleet: DecisionFleet,
    report: FigureReporter,
    what: string,
    failed: readonly DecisionNode[],
): void {
    const size = fleet.getRunningNodes().length;
    const remainingInZone = fleet.getRunningNodes()
        .filter(node => !failed.includes(node) && node.placement.zone === failed[0]?.placement.zone);
    report(`${what}: ${failed.length} nodes`, measureUse(fleet, () => {
        failed.forEach(node => fleet.stop(node, true));
        const zoneMs = fleet.schedule.advanceUntil(
            () => remainingInZone.every(node => node.membership.entries().length === size - failed.length),
            convergenceTimeoutMs,
        );
        if (remainingInZone.length > 0) {
            return {
                droppedInZoneMs: zoneMs,
                droppedEverywhereMs: zoneMs + advanceToTableSize(fleet, size - failed.length),
            };
        }
        fleet.schedule.advance(30_000);
        return {
            entriesKeptElsewhere: summarize(fleet.getRunningNodes().map(node => node.membership.entries().length)),
        };
    }));
    report(`${what}: returned`, measureUse(fleet, () => {
        const restarted = failed.map(node => fleet.start(node.placement));
        const version = fleet.store.current?.version ?? 0;
        const inForceMs = fleet.schedule.advanceUntil(
            () => restarted.every(node => node.inForce === version),
            convergenceTimeoutMs,
        );
        const joinedMs = inForceMs + fleet.schedule.advanceUntil(
            () => restarted.every(node => node.joinedAt !== undefined),
            convergenceTimeoutMs,
        );
        return { inForceMs, joinedMs, knownEverywhereMs: joinedMs + advanceToTableSize(fleet, size) };
    }));
    fleet.schedule.advance(settleMs);
}

/** Advances until the membership table of every running node has `size` entries. Returns the elapsed time. */
function advanceToTableSize(fleet: DecisionFleet, size: number): number {
    return fleet.schedule.advanceUntil(
        () => fleet.getRunningNodes().every(node => node.membership.entries().length === size),
        convergenceTimeoutMs,
    );
}

function measureChanges(fleet: DecisionFleet, count: number, intervalMs: number): unknown {
    const times: number[] = [];
    const calls: number[] = [];
    for (let index = 0; index < count; index++) {
        const startedAt = fleet.schedule.clock.now();
        const callsBefore = fleet.configurationCalls;
        const version = fleet.acceptNextVersion();
        const isInForceEverywhere = (): boolean => fleet.getRunningNodes().every(node => node.inForce >= version);
        const reachedMs = fleet.schedule.advanceUntil(isInForceEverywhere, intervalMs);
        const lastAt = Math.max(...fleet.getRunningNodes().map(node => node.lastActivatedAt));
        times.push(reachedMs === Infinity ? Infinity : lastAt - startedAt);
        calls.push(fleet.configurationCalls - callsBefore);
        fleet.schedule.advance(Math.max(0, intervalMs - reachedMs));
    }
    return { convergenceMs: summarize(times), configurationCallsUntilInForce: summarize(calls) };
}

/** Measures the traffic of the nodes that run at the end of `work`, and the calls to the store. */
function measureUse(fleet: DecisionFleet, work: () => unknown): unknown {
    const startedAt = fleet.schedule.clock.now();
    const realStartedAt = performance.now();
    const before = new Map(fleet.getRunningNodes().map(({ node, traffic }) => [node, { ...traffic }]));
    const storeCallsBefore = { ...fleet.store.calls };
    const result = work();
    const seconds = (fleet.schedule.clock.now() - startedAt) / 1_000;
    const nodes = fleet.getRunningNodes();
    const summarizeRate = (read: (traffic: { bytes: number; callEnds: number }) => number) =>
        summarize(nodes.map(node => {
            const earlier = before.get(node.node);
            return (read(node.traffic) - (earlier === undefined ? 0 : read(earlier))) / seconds;
        }));
    const callEnds = summarizeRate(traffic => traffic.callEnds);
    return {
        seconds,
        realSeconds: round((performance.now() - realStartedAt) / 1_000),
        result,
        payloadBytes: summarizeRate(traffic => traffic.bytes),
        callEnds,
        totalBytes: summarizeRate(traffic => traffic.bytes + callOverheadBytes * traffic.callEnds),
        storeCalls: Object.fromEntries(Object.entries(fleet.store.calls).map(([kind, count]) =>
            [kind, round((count - storeCallsBefore[kind as keyof typeof storeCallsBefore]) / seconds)])),
    };
}

function measureTable(fleet: DecisionFleet): unknown {
    const entries = fleet.getRunningNodes()[0]?.membership.entries() ?? [];
    const json = JSON.stringify(entries);
    const copyCount = 20;
    globalThis.gc?.();
    const before = process.memoryUsage().heapUsed;
    const retainedCopies = Array.from({ length: copyCount }, () => JSON.parse(json) as unknown);
    globalThis.gc?.();
    const heapBytes = (process.memoryUsage().heapUsed - before) / retainedCopies.length;
    return { entries: entries.length, jsonBytes: json.length, heapBytes: Math.round(heapBytes) };
}
