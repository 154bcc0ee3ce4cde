/**
 * Measures processor time and latency of calls through one node process with one target process.
 */
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { type LoadResult, RateProfileKind, runLoad } from "../load";
import { Fleet, type FleetNode } from "./fleet";
import { ObservedProcess } from "./processes";
import { computeCallRates } from "./measureFleet";
import { createServiceName, nonRepeatablePath } from "./rulesFile";
import { round } from "./statistics";

const targetBinaryPath = "dist/bilberrycroft-target.mjs";
const settleMs = 5_000;
const warmupMs = 5_000;

export interface CallRunOptions {
    readonly ratesPerSecond: readonly number[];
    /** Rates of calls that may run at most once (`repeat=no`). */
    readonly nonRepeatableRatesPerSecond: readonly number[];
    readonly secondsPerRate: number;
    readonly nodeFlags: readonly string[];
}

/** Measures each rate through the node and directly to the target, and prints the results as JSON. */
export async function runCalls(options: CallRunOptions): Promise<void> {
    const fleet = new Fleet({ size: 1, zones: 1, nodeFlags: options.nodeFlags, announceTargets: false });
    const folder = mkdtempSync(join(tmpdir(), "bilberrycroft-target-"));
    let target: ObservedProcess | undefined;
    try {
        await fleet.start();
        const node = fleet.nodes[0] as FleetNode;
        await sleep(settleMs);
        const startedTarget = startTarget(node, folder);
        target = startedTarget.process;
        const targetAddress = await startedTarget.address;
        await sleep(settleMs);
        await measureIdle(node, options.secondsPerRate);
        for (const rate of options.ratesPerSecond) {
            await measureRate(node, targetAddress, rate, options.secondsPerRate * 1_000);
        }
        for (const rate of options.nonRepeatableRatesPerSecond) {
            await measureNonRepeatable(fleet, rate, options.secondsPerRate * 1_000);
        }
    }
    finally {
        await target?.kill();
        await fleet.close();
        rmSync(folder, { recursive: true, force: true });
    }
}

function startTarget(node: FleetNode, folder: string): { process: ObservedProcess; address: Promise<string> } {
    const file = join(folder, "target.yaml");
    writeFileSync(file, JSON.stringify({
        id: "target-0",
        service: createServiceName(0),
        slots: 12,
        shortMs: 2,
        jitter: 0,
        coldStartMs: 0,
        nodeControl: node.controlAddress,
        nodeCalls: node.callAddress,
    }));
    let resolveAddress: (address: string) => void = () => undefined;
    const address = new Promise<string>(resolve => {
        resolveAddress = resolve;
    });
    const process = new ObservedProcess([targetBinaryPath, "--settings", file], line => {
        const match = /"address":"([^"]+)"/.exec(line.text);
        if (match !== null) { // eslint-disable-line no-restricted-syntax -- RegExp.exec gives null
            resolveAddress(match[1] as string);
        }
    });
    return { process, address };
}

async function measureIdle(node: FleetNode, seconds: number): Promise<void> {
    const before = node.process?.readProcessorMs() ?? 0;
    await sleep(seconds * 1_000);
    const processorMs = round(((node.process?.readProcessorMs() ?? 0) - before) / seconds);
    console.log(JSON.stringify({ what: "idle, one node with its target", processorMs }));
}

async function measureRate(node: FleetNode, targetAddress: string, rate: number, durationMs: number): Promise<void> {
    // Warm-up: the first calls run code that the JIT compiler has not optimized yet.
    await runShortCalls(node.callAddress, rate, warmupMs);
    const before = node.process?.readProcessorMs() ?? 0;
    const startedAt = performance.now();
    const viaNode = await runShortCalls(node.callAddress, rate, durationMs);
    const seconds = (performance.now() - startedAt) / 1_000;
    const processorMs = ((node.process?.readProcessorMs() ?? 0) - before) / seconds;
    const direct = await runShortCalls(targetAddress, rate, durationMs);
    console.log(JSON.stringify({
        what: "calls",
        rate,
        done: viaNode.total.done,
        offered: viaNode.total.offered,
        processorMs: round(processorMs),
        residentMb: node.process?.readResidentMb(),
        throughNode: pickLatencies(viaNode),
        direct: pickLatencies(direct),
        lag: viaNode.lag,
    }));
}

/** Measures the store calls that claims cause. Includes the store calls of the lease, about one per second. */
async function measureNonRepeatable(fleet: Fleet, ratePerSecond: number, durationMs: number): Promise<void> {
    const before = fleet.store.counts();
    const result = await runLoad({
        targets: [fleet.nodes[0]?.callAddress ?? ""],
        profile: { kind: RateProfileKind.Constant, ratePerSecond },
        requests: [{
            className: "once",
            weight: 1,
            path: nonRepeatablePath,
            method: "POST",
            body: "{}",
            timeoutMs: 2_000,
            idempotencyKey: true,
        }],
        seed: 11,
        durationMs,
        checkRequestIds: false,
    });
    const after = fleet.store.counts();
    console.log(JSON.stringify({
        what: "calls that may not be repeated",
        rate: ratePerSecond,
        offered: result.total.offered,
        done: result.total.done,
        notRun: result.total.notRun,
        storeCallsPerSecond: computeCallRates(before, after, durationMs / 1_000),
        writesPerCall: round((after.calls.write - before.calls.write) / Math.max(1, result.total.done)),
    }));
}

function pickLatencies({ total }: LoadResult): unknown {
    return { p50: total.p50, p99: total.p99 };
}

function runShortCalls(address: string, ratePerSecond: number, durationMs: number): Promise<LoadResult> {
    return runLoad({
        targets: [address],
        profile: { kind: RateProfileKind.Constant, ratePerSecond },
        requests: [{ className: "short", weight: 1, path: `/${createServiceName(0)}/item`, timeoutMs: 1_000 }],
        seed: 7,
        durationMs,
    });
}
