/**
 * Measurements on a fleet of node processes.
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { StoreCallCounts } from "@bilberrycroft/protocol.store";
import type { Fleet, FleetNode } from "./fleet";
import { round, type Summary, summarize } from "./statistics";

/** Bytes of headers and framing of a call beyond its payload, both directions together (docs/design.md, 2.5). */
export const callOverheadBytes = 460;

/** Use of a node over a period; means over the fleet unless said otherwise. */
export interface PeriodUse {
    readonly seconds: number;
    /** Milliseconds of processor time a second. */
    readonly processorMs: Summary;
    /** Payload bytes a second; responses that a listener sends are counted only where they are received. */
    readonly receivedBytes: Summary;
    readonly sentBytes: Summary;
    readonly callsSent: Summary;
    readonly callsReceived: Summary;
    /** Bytes a second in both directions with the overhead of calls, on the mean node. */
    readonly totalBytes: number;
    readonly residentMb: Summary;
    readonly peakResidentMb: Summary;
    readonly storeCalls: Readonly<Record<string, number>>;
}

interface Sample {
    readonly at: number;
    readonly processorMs: number;
    readonly metrics: ReadonlyMap<string, number>;
}

/** Measures the running nodes while `work` runs. */
export async function measurePeriod(fleet: Fleet, work: () => Promise<void>): Promise<PeriodUse> {
    const nodes = fleet.nodes.filter(node => node.isRunning);
    const storeBefore = fleet.store.counts();
    const startedAt = performance.now();
    const before = await sampleAll(nodes);
    await work();
    const seconds = (performance.now() - startedAt) / 1_000;
    const storeCalls = compareCounts(storeBefore, fleet.store.counts(), seconds);
    const after = await sampleAll(nodes);
    const rate = (read: (sample: Sample) => number): Summary => summarize(after.map((sample, index) => {
        const earlier = before[index] as Sample;
        return (read(sample) - read(earlier)) / ((sample.at - earlier.at) / 1_000);
    }));
    const metric = (name: string): Summary => rate(sample => sample.metrics.get(name) ?? NaN);
    const receivedBytes = metric("control_received_bytes");
    const callsSent = metric("control_calls_sent");
    const callsReceived = metric("control_calls_received");
    return {
        seconds: round(seconds),
        processorMs: rate(sample => sample.processorMs),
        receivedBytes,
        sentBytes: metric("control_sent_bytes"),
        callsSent,
        callsReceived,
        // Every payload byte that one node receives another has sent, so the mean node sends what it receives.
        totalBytes: round(2 * receivedBytes.mean + callOverheadBytes * (callsSent.mean + callsReceived.mean)),
        residentMb: summarize(nodes.map(node => node.process?.residentMb() ?? 0)),
        peakResidentMb: summarize(nodes.map(node => node.process?.peakResidentMb() ?? 0)),
        storeCalls,
    };
}

/** Applies changes at a fixed spacing; gives the time of each from acceptance to the last node. */
export async function measureChanges(fleet: Fleet, count: number, spacingMs: number): Promise<Summary> {
    const times: number[] = [];
    const waits: Promise<void>[] = [];
    for (let index = 0; index < count; index++) {
        const version = await fleet.change();
        const acceptedAt = fleet.store.lastAcceptedAt;
        waits.push(waitInForce(fleet, version, acceptedAt).then(duration => void times.push(duration)));
        await sleep(spacingMs);
    }
    await Promise.all(waits);
    return summarize(times);
}

/** Time until the version is in force on all running nodes; `Infinity` after 30 s. */
export async function waitInForce(fleet: Fleet, version: number, since: number): Promise<number> {
    const limit = Date.now() + 30_000;
    const nodes = fleet.nodes.filter(node => node.isRunning);
    while (Date.now() < limit) {
        const times = nodes.map(node => lastActivation(node, version));
        if (times.every(time => time !== undefined)) {
            return Math.max(...times as number[]) - since;
        }
        await sleep(50);
    }
    return Infinity;
}

/** A node that skipped a version has it in force with the next one. */
function lastActivation(node: FleetNode, version: number): number | undefined {
    const times = [...node.inForceAt].filter(([inForce]) => inForce >= version).map(([, at]) => at);
    return times.length === 0 ? undefined : Math.min(...times);
}

/** Time until each of the nodes lists exactly `known` nodes; `Infinity` after the limit. */
export async function waitKnown(nodes: readonly FleetNode[], known: number, limitMs: number): Promise<number> {
    const startedAt = performance.now();
    let waiting = [...nodes];
    while (performance.now() - startedAt < limitMs) {
        const counts = await Promise.all(waiting.map(node => node.control === "" ? -1 : readKnown(node)));
        waiting = waiting.filter((_, index) => counts[index] !== known);
        if (waiting.length === 0) {
            return Math.round(performance.now() - startedAt);
        }
        await sleep(200);
    }
    return Infinity;
}

async function readKnown(node: FleetNode): Promise<number> {
    return (await node.readMetrics()).get("nodes_known") ?? -1;
}

async function sampleAll(nodes: readonly FleetNode[]): Promise<readonly Sample[]> {
    return Promise.all(nodes.map(async node => {
        const metrics = await node.readMetrics();
        return { at: performance.now(), processorMs: node.process?.processorMs() ?? 0, metrics };
    }));
}

/** Calls a second by kind. */
export function compareCounts(
    before: StoreCallCounts,
    after: StoreCallCounts,
    seconds: number,
): Readonly<Record<string, number>> {
    return Object.fromEntries(Object.entries(after.calls).map(([kind, count]) =>
        [kind, round((count - before.calls[kind as keyof typeof before.calls]) / seconds)]));
}
