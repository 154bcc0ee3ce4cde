/**
 * Measurements on decisions alone, at sizes that do not fit as processes on one machine.
 */
import { DecisionFleet } from "./decisionFleet";
import type { DecisionNode } from "./decisionNode";
import { callOverheadBytes } from "./measureFleet";
import { round, summarize } from "./statistics";

const settleMs = 20_000;
const idleMs = 30_000;
const limitMs = 180_000;
const rackHosts = 8;
const partitionMs = 5 * 60_000;
const startSpreadMs = 2_000;

type Report = (what: string, figures: unknown) => void;

/** Parts of a run; all run on one fleet, one after the other. */
export enum DecisionPart {
    Steady = "steady",
    Hosts = "hosts",
    Regions = "regions",
}

/** Runs one size and prints the figures. */
export function runDecisions(size: number, zones: number, parts: readonly string[]): void {
    const fleet = new DecisionFleet();
    const report: Report = (what, figures) => console.log(JSON.stringify({ size, zones, what, figures }));
    fleet.change();
    const places = Array.from({ length: size }, (_, index) => DecisionFleet.placeHost(index, zones));
    places.forEach((place, index) => fleet.schedule.after(startSpreadMs * index / size, () => void fleet.start(place)));
    fleet.schedule.advance(startSpreadMs);
    report("start", measure(fleet, () => ({ allKnownMs: startSpreadMs + awaitKnown(fleet, size) })));
    fleet.schedule.advance(settleMs);
    if (parts.includes(DecisionPart.Steady)) {
        runSteady(fleet, report);
    }
    if (parts.includes(DecisionPart.Hosts)) {
        runHostFailures(fleet, report);
    }
    if (parts.includes(DecisionPart.Regions)) {
        runRegions(fleet, report);
    }
}

function runSteady(fleet: DecisionFleet, report: Report): void {
    fleet.times.reset();
    report("idle 30 s", measure(fleet, () => fleet.schedule.advance(idleMs)));
    report("idle, time of messages", fleet.times.report().slice(0, 12));
    report("table of one node", measureTable(fleet));
    fleet.times.reset();
    report("3 changes, 20 s apart", measure(fleet, () => applyChanges(fleet, 3, 20_000)));
    report("changes, time of messages", fleet.times.report().slice(0, 14));
    report("6 changes, 10 s apart", measure(fleet, () => applyChanges(fleet, 6, 10_000)));
}

function runHostFailures(fleet: DecisionFleet, report: Report): void {
    const size = fleet.running().length;
    report("3 restarts, 20 s apart", measure(fleet, () => {
        for (let count = 0; count < 3; count++) {
            const node = fleet.running()[count * 7] as DecisionNode;
            fleet.end(node, false);
            fleet.schedule.advance(1_000);
            fleet.start(node.place);
            fleet.schedule.advance(19_000);
        }
        return { knownMs: awaitKnown(fleet, size) };
    }));
    const zone = fleet.running().filter(node => node.place.zone === "zone-1");
    loseHosts(fleet, report, `${rackHosts} hosts lost`, zone.slice(0, rackHosts));
    loseHosts(fleet, report, "zone lost", fleet.running().filter(node => node.place.zone === "zone-0"));
}

function runRegions(fleet: DecisionFleet, report: Report): void {
    const size = fleet.running().length;
    report("regions apart for 5 minutes", measure(fleet, () => {
        fleet.partition = (from, to) => from.region !== to.region;
        fleet.schedule.advance(partitionMs);
    }));
    report("regions merged", measure(fleet, () => {
        const version = fleet.change();
        fleet.schedule.advance(10_000);
        const reachedApart = fleet.running().filter(node => node.inForce === version).length;
        fleet.partition = () => false;
        const reachable = (): boolean => fleet.running()
            .every(node => node.membership.unreachableZones().length === 0);
        const allReachableMs = fleet.schedule.advanceUntil(reachable, limitMs);
        return { allReachableMs, knownMs: awaitKnown(fleet, size), inForceWhileApart: reachedApart };
    }));
}

function loseHosts(fleet: DecisionFleet, report: Report, what: string, lost: readonly DecisionNode[]): void {
    const size = fleet.running().length;
    const inZone = fleet.running().filter(node => !lost.includes(node) && node.place.zone === lost[0]?.place.zone);
    report(`${what}: ${lost.length} nodes`, measure(fleet, () => {
        lost.forEach(node => fleet.end(node, true));
        const zoneMs = fleet.schedule.advanceUntil(
            () => inZone.every(node => node.membership.entries().length === size - lost.length),
            limitMs,
        );
        if (inZone.length > 0) {
            return { droppedInZoneMs: zoneMs, droppedEverywhereMs: zoneMs + awaitKnown(fleet, size - lost.length) };
        }
        fleet.schedule.advance(30_000);
        return { entriesKeptElsewhere: summarize(fleet.running().map(node => node.membership.entries().length)) };
    }));
    report(`${what}: returned`, measure(fleet, () => {
        const started = lost.map(node => fleet.start(node.place));
        const version = fleet.store.current?.version ?? 0;
        const inForceMs = fleet.schedule.advanceUntil(() => started.every(node => node.inForce === version), limitMs);
        const joinedMs = inForceMs + fleet.schedule.advanceUntil(
            () => started.every(node => node.joinedAt !== undefined),
            limitMs,
        );
        return { inForceMs, joinedMs, knownEverywhereMs: joinedMs + awaitKnown(fleet, size) };
    }));
    fleet.schedule.advance(settleMs);
}

function awaitKnown(fleet: DecisionFleet, size: number): number {
    return fleet.schedule.advanceUntil(
        () => fleet.running().every(node => node.membership.entries().length === size),
        limitMs,
    );
}

function applyChanges(fleet: DecisionFleet, count: number, spacingMs: number): unknown {
    const times: number[] = [];
    const calls: number[] = [];
    for (let index = 0; index < count; index++) {
        const startedAt = fleet.schedule.clock.now();
        const callsBefore = fleet.configurationCalls;
        const version = fleet.change();
        const everywhere = (): boolean => fleet.running().every(node => node.inForce >= version);
        const reachedMs = fleet.schedule.advanceUntil(everywhere, spacingMs);
        const lastAt = Math.max(...fleet.running().map(node => node.inForceAt));
        times.push(reachedMs === Infinity ? Infinity : lastAt - startedAt);
        calls.push(fleet.configurationCalls - callsBefore);
        fleet.schedule.advance(Math.max(0, spacingMs - reachedMs));
    }
    return { convergenceMs: summarize(times), configurationCallsUntilInForce: summarize(calls) };
}

/** Traffic of the nodes that run from the beginning to the end of the work, and calls to the store. */
function measure(fleet: DecisionFleet, work: () => unknown): unknown {
    const startedAt = fleet.schedule.clock.now();
    const realStart = performance.now();
    const before = new Map(fleet.running().map(({ node, traffic }) => [node, { ...traffic }]));
    const store = { ...fleet.store.calls };
    const result = work();
    const seconds = (fleet.schedule.clock.now() - startedAt) / 1_000;
    const nodes = fleet.running();
    const rate = (read: (traffic: { bytes: number; callEnds: number }) => number) => summarize(nodes.map(node => {
        const earlier = before.get(node.node);
        return (read(node.traffic) - (earlier === undefined ? 0 : read(earlier))) / seconds;
    }));
    const callEnds = rate(traffic => traffic.callEnds);
    return {
        seconds,
        realSeconds: round((performance.now() - realStart) / 1_000),
        result,
        payloadBytes: rate(traffic => traffic.bytes),
        callEnds,
        totalBytes: rate(traffic => traffic.bytes + callOverheadBytes * traffic.callEnds),
        storeCalls: Object.fromEntries(Object.entries(fleet.store.calls).map(([kind, count]) =>
            [kind, round((count - store[kind as keyof typeof store]) / seconds)])),
    };
}

function measureTable(fleet: DecisionFleet): unknown {
    const entries = fleet.running()[0]?.membership.entries() ?? [];
    const json = JSON.stringify(entries);
    const copies = 20;
    globalThis.gc?.();
    const before = process.memoryUsage().heapUsed;
    const kept = Array.from({ length: copies }, () => JSON.parse(json) as unknown);
    globalThis.gc?.();
    const heapBytes = (process.memoryUsage().heapUsed - before) / kept.length;
    return { entries: entries.length, jsonBytes: json.length, heapBytes: Math.round(heapBytes) };
}
