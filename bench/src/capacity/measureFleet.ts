/**
 * Measures resource use and convergence times of a fleet of node processes.
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { StoreCallCounts } from "@bilberrycroft/protocol.store";
import type { Fleet, FleetNode } from "./fleet";
import { round, type Summary, summarize } from "./statistics";

/** Header and framing bytes of a call beyond its payload, both directions together (docs/design.md, 2.5). */
export const callOverheadBytes = 460;

/** Resource use per node over a period, summarized over the fleet unless stated otherwise. */
export interface PeriodUse {
    readonly seconds: number;
    /** Processor time in milliseconds per second. */
    readonly processorMs: Summary;
    /** Payload bytes per second. Responses sent by a listener are counted only by the node that receives them. */
    readonly receivedBytes: Summary;
    readonly sentBytes: Summary;
    readonly callsSent: Summary;
    readonly callsReceived: Summary;
    /** Bytes per second in both directions of the average node, including call overhead. */
    readonly totalBytes: number;
    readonly residentMb: Summary;
    readonly peakResidentMb: Summary;
    /** Calls to the store per second by kind. */
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
    const before = await sampleNodes(nodes);
    await work();
    const seconds = (performance.now() - startedAt) / 1_000;
    const storeCalls = computeCallRates(storeBefore, fleet.store.counts(), seconds);
    const after = await sampleNodes(nodes);
    const summarizeRate = (read: (sample: Sample) => number): Summary => summarize(after.map((sample, index) => {
        const earlier = before[index] as Sample;
        return (read(sample) - read(earlier)) / ((sample.at - earlier.at) / 1_000);
    }));
    const summarizeMetricRate = (name: string): Summary => summarizeRate(sample => sample.metrics.get(name) ?? NaN);
    const receivedBytes = summarizeMetricRate("control_received_bytes");
    const callsSent = summarizeMetricRate("control_calls_sent");
    const callsReceived = summarizeMetricRate("control_calls_received");
    return {
        seconds: round(seconds),
        processorMs: summarizeRate(sample => sample.processorMs),
        receivedBytes,
        sentBytes: summarizeMetricRate("control_sent_bytes"),
        callsSent,
        callsReceived,
        // Every payload byte that a node receives was sent by another, so the average node sends what it receives.
        totalBytes: round(2 * receivedBytes.mean + callOverheadBytes * (callsSent.mean + callsReceived.mean)),
        residentMb: summarize(nodes.map(node => node.process?.readResidentMb() ?? 0)),
        peakResidentMb: summarize(nodes.map(node => node.process?.readPeakResidentMb() ?? 0)),
        storeCalls,
    };
}

/** Applies changes at a fixed interval. Summarizes the times from acceptance to activation on the last node. */
export async function measureChanges(fleet: Fleet, count: number, intervalMs: number): Promise<Summary> {
    const times: number[] = [];
    const activations: Promise<void>[] = [];
    for (let index = 0; index < count; index++) {
        const version = await fleet.applyNextChange();
        const acceptedAt = fleet.store.lastAcceptedAt;
        activations.push(waitUntilInForce(fleet, version, acceptedAt).then(duration => void times.push(duration)));
        await sleep(intervalMs);
    }
    await Promise.all(activations);
    return summarize(times);
}

/** Returns the time from `since` until the version is in force on all running nodes; `Infinity` after 30 s. */
export async function waitUntilInForce(fleet: Fleet, version: number, since: number): Promise<number> {
    const timeoutAt = Date.now() + 30_000;
    const nodes = fleet.nodes.filter(node => node.isRunning);
    while (Date.now() < timeoutAt) {
        const times = nodes.map(node => findActivationTime(node, version));
        if (times.every(time => time !== undefined)) {
            return Math.max(...times as number[]) - since;
        }
        await sleep(50);
    }
    return Infinity;
}

/** Returns the first activation of the version or a later one, because a node may skip a version. */
function findActivationTime(node: FleetNode, version: number): number | undefined {
    const times = [...node.activationTimes].filter(([inForce]) => inForce >= version).map(([, at]) => at);
    return times.length === 0 ? undefined : Math.min(...times);
}

/** Returns the time until each node lists exactly `expectedCount` nodes; `Infinity` after the timeout. */
export async function waitUntilAllListed(
    nodes: readonly FleetNode[],
    expectedCount: number,
    timeoutMs: number,
): Promise<number> {
    const startedAt = performance.now();
    let waiting = [...nodes];
    while (performance.now() - startedAt < timeoutMs) {
        const counts = await Promise.all(waiting.map(node => node.controlAddress === "" ? -1 : readListedNodeCount(node)));
        waiting = waiting.filter((_, index) => counts[index] !== expectedCount);
        if (waiting.length === 0) {
            return Math.round(performance.now() - startedAt);
        }
        await sleep(200);
    }
    return Infinity;
}

async function readListedNodeCount(node: FleetNode): Promise<number> {
    return (await node.readMetrics()).get("nodes_known") ?? -1;
}

async function sampleNodes(nodes: readonly FleetNode[]): Promise<readonly Sample[]> {
    return Promise.all(nodes.map(async node => {
        const metrics = await node.readMetrics();
        return { at: performance.now(), processorMs: node.process?.readProcessorMs() ?? 0, metrics };
    }));
}

/** Returns the store calls per second by kind. */
export function computeCallRates(
    before: StoreCallCounts,
    after: StoreCallCounts,
    seconds: number,
): Readonly<Record<string, number>> {
    return Object.fromEntries(Object.entries(after.calls).map(([kind, count]) =>
        [kind, round((count - before.calls[kind as keyof typeof before.calls]) / seconds)]));
}
