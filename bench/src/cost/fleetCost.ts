/**
 * Starts a fleet of sidecar processes with targets beside them, makes a fixed number of calls and reads the processor
 * time and memory of the processes.
 */
import { mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { createConfiguration } from "@bilberrycroft/platform/standins/mesh";
import { SidecarProcess } from "@bilberrycroft/platform/standins/sidecarProcess";
import { StoreStandin } from "@bilberrycroft/platform/standins/store";

export interface FleetLoad {
    readonly program: string;
    readonly hosts: number;
    readonly callsPerHost: number;
    readonly nodeFlags: readonly string[];
}

export interface FleetCost {
    /** Mean processor time of a process until it is ready and knows all targets. */
    readonly startCpuMs: Milliseconds;
    /** Processor time of all processes per call, without that of the start. */
    readonly callCpuMs: Milliseconds;
    /** Mean resident memory of a process at the end. */
    readonly memoryMb: number;
    readonly calls: number;
    readonly failedCalls: number;
}

const slotsPerTarget = 8;
/** Calls that each host has in progress. */
const concurrencyPerHost = 3;
const callDeadlineMs: Milliseconds = 5_000;
/** Time after readiness in which all nodes learn of each other. */
const settleMs: Milliseconds = 2_000;
const service = "reading";
// `getconf CLK_TCK` is 100 on every Linux build of Node.js.
const clockTickMs: Milliseconds = 10;
const kilobytesPerMegabyte = 1_024;
let fleetCount = 0;

/** Runs the load once; rejects if a process does not become ready. */
export async function measureFleetCost(load: FleetLoad): Promise<FleetCost> {
    const folder = mkdtempSync(join(tmpdir(), "bilberrycroft-cost-"));
    const store = new StoreStandin();
    const storeAddress = await store.start();
    store.put("config", "main", createConfiguration({ services: [service, "booking"] }));
    const hosts: SidecarProcess[] = [];
    const killAll = (): void => hosts.forEach(host => host.kill());
    process.once("exit", killAll);
    fleetCount++;
    try {
        for (let index = 0; index < load.hosts; index++) {
            hosts.push(await startHost(load, { folder, storeAddress, index }));
        }
        await Promise.all(hosts.map(host => host.waitUntilReady()));
        await sleep(settleMs);
        const startCpuMs = readTotalCpuMs(hosts);
        const failures = await Promise.all(hosts.map(host => makeCalls(host, load.callsPerHost)));
        const calls = load.hosts * load.callsPerHost;
        return {
            startCpuMs: startCpuMs / load.hosts,
            callCpuMs: (readTotalCpuMs(hosts) - startCpuMs) / calls,
            memoryMb: hosts.reduce((sum, { pid }) => sum + readMemoryMb(pid), 0) / load.hosts,
            calls,
            failedCalls: failures.reduce((sum, count) => sum + count, 0),
        };
    }
    finally {
        killAll();
        process.off("exit", killAll);
        await Promise.all(hosts.map(host => host.stopTarget()));
        await store.stop();
        rmSync(folder, { recursive: true });
    }
}

function startHost(
    { program, nodeFlags }: FleetLoad,
    { folder, storeAddress, index }: { readonly folder: string; readonly storeAddress: string; readonly index: number },
): Promise<SidecarProcess> {
    return SidecarProcess.start({
        program,
        nodeFlags,
        folder,
        ip: `127.${210 + process.pid % 40}.${fleetCount}.${index + 1}`,
        node: `node-${index + 1}`,
        service,
        zone: `z${index % 3}`,
        slots: slotsPerTarget,
        storeAddress,
    });
}

/** Makes the calls of one host; resolves to the number that did not succeed. */
async function makeCalls(host: SidecarProcess, calls: number): Promise<number> {
    let next = 0;
    let failed = 0;
    const makeNext = async (): Promise<void> => {
        while (next < calls) {
            const id = `${host.pid}-${next++}`;
            failed += await host.call(id, callDeadlineMs) ? 0 : 1;
        }
    };
    await Promise.all(Array.from({ length: concurrencyPerHost }, makeNext));
    return failed;
}

function readTotalCpuMs(hosts: readonly SidecarProcess[]): Milliseconds {
    return hosts.reduce((sum, { pid }) => sum + readCpuMs(pid), 0);
}

/** User and system time of a process, from `/proc`. */
function readCpuMs(pid: number | undefined): Milliseconds {
    const fields = readFileSync(`/proc/${pid}/stat`, "utf8").split(") ")[1]?.split(" ") ?? [];
    return (Number(fields[11]) + Number(fields[12])) * clockTickMs;
}

function readMemoryMb(pid: number | undefined): number {
    const match = /VmRSS:\s+(\d+) kB/.exec(readFileSync(`/proc/${pid}/status`, "utf8"));
    return Number(match?.[1] ?? 0) / kilobytesPerMegabyte;
}
