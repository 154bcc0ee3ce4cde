/**
 * Starts a fleet of sidecar processes with targets beside them, makes a fixed number of calls and reads the processor
 * time and memory of the processes.
 */
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { Agent, request } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { createConfiguration, formatSettings, hostname, repeatableRoute } from "@bilberrycroft/platform/standins/mesh";
import { StoreStandin } from "@bilberrycroft/platform/standins/store";
import { TargetStandin } from "@bilberrycroft/platform/standins/target";
import { splitAddress } from "@bilberrycroft/transport.calls";

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

interface FleetHost {
    readonly child: ChildProcess;
    readonly target: TargetStandin;
    readonly callerAddress: string;
    readonly readinessAddress: string;
    readonly agent: Agent;
}

const callPort = 8304;
const controlPort = 8306;
const targetPort = 8301;
const readinessPort = 8302;
const slotsPerTarget = 8;
/** Calls that each host has in progress. */
const concurrencyPerHost = 3;
const callDeadlineMs: Milliseconds = 5_000;
const pollIntervalMs: Milliseconds = 50;
const startTimeoutMs: Milliseconds = 30_000;
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
    const hosts: FleetHost[] = [];
    const killAll = (): void => hosts.forEach(({ child }) => child.kill("SIGKILL"));
    process.once("exit", killAll);
    fleetCount++;
    try {
        for (let index = 0; index < load.hosts; index++) {
            hosts.push(await startHost(load, { folder, storeAddress, index }));
        }
        await Promise.all(hosts.map(waitUntilReady));
        await sleep(settleMs);
        const startCpuMs = readTotalCpuMs(hosts);
        const failures = await Promise.all(hosts.map(host => makeCalls(host, load.callsPerHost)));
        const calls = load.hosts * load.callsPerHost;
        return {
            startCpuMs: startCpuMs / load.hosts,
            callCpuMs: (readTotalCpuMs(hosts) - startCpuMs) / calls,
            memoryMb: hosts.reduce((sum, { child }) => sum + readMemoryMb(child), 0) / load.hosts,
            calls,
            failedCalls: failures.reduce((sum, count) => sum + count, 0),
        };
    }
    finally {
        killAll();
        process.off("exit", killAll);
        await Promise.all(hosts.map(({ target }) => target.stop()));
        await store.stop();
        rmSync(folder, { recursive: true });
    }
}

async function startHost(
    { program, nodeFlags }: FleetLoad,
    { folder, storeAddress, index }: { readonly folder: string; readonly storeAddress: string; readonly index: number },
): Promise<FleetHost> {
    const ip = `127.${210 + process.pid % 40}.${fleetCount}.${index + 1}`;
    const node = `node-${index + 1}`;
    const settingsFile = join(folder, `${node}.conf`);
    writeFileSync(settingsFile, formatSettings({ ip, node, service, zone: `z${index % 3}`, storeAddress }));
    const heartbeatAddress = `${ip}:${controlPort}`;
    const target = new TargetStandin({
        id: `target-${index + 1}`,
        service,
        address: `${ip}:${targetPort}`,
        slots: slotsPerTarget,
        heartbeatAddress,
    });
    await target.start();
    const child = spawn(process.execPath, [...nodeFlags, program], {
        env: { PATH: process.env.PATH, BILBERRYCROFT_BOOT: settingsFile },
        stdio: ["ignore", "ignore", "inherit"],
    });
    return {
        child,
        target,
        callerAddress: `${ip}:${callPort}`,
        readinessAddress: `${ip}:${readinessPort}`,
        agent: new Agent({ keepAlive: true }),
    };
}

async function waitUntilReady({ child, target, readinessAddress }: FleetHost): Promise<void> {
    const endsAt = performance.now() + startTimeoutMs;
    let hasTarget = false;
    let hasExited = false;
    child.once("exit", () => {
        hasExited = true;
    });
    while (!hasExited && performance.now() < endsAt) {
        hasTarget ||= await target.sendHeartbeat() === okStatus;
        if (hasTarget && await isReady(readinessAddress)) {
            return;
        }
        await sleep(pollIntervalMs);
    }
    throw new Error(`the process at ${readinessAddress} did not become ready`);
}

const okStatus = 200;

async function isReady(address: string): Promise<boolean> {
    const outgoing = request({ ...splitAddress(address), path: "/bilberrycroft/readiness", agent: false });
    outgoing.end();
    try {
        const [response] = await once(outgoing, "response") as [{ statusCode: number; resume(): void }];
        response.resume();
        return response.statusCode === okStatus;
    }
    catch {
        // Nothing listens yet.
        return false;
    }
}

/** Makes the calls of one host; resolves to the number that did not succeed. */
async function makeCalls(host: FleetHost, calls: number): Promise<number> {
    let next = 0;
    let failed = 0;
    const makeNext = async (): Promise<void> => {
        while (next < calls) {
            const id = `${host.callerAddress}-${next++}`;
            failed += await makeCall(host, id) ? 0 : 1;
        }
    };
    await Promise.all(Array.from({ length: concurrencyPerHost }, makeNext));
    return failed;
}

function makeCall({ callerAddress, agent }: FleetHost, id: string): Promise<boolean> {
    return new Promise(resolve => {
        const outgoing = request({
            ...splitAddress(callerAddress),
            path: `${repeatableRoute.prefix}${id}`,
            agent,
            headers: { host: hostname, "x-attempt-id": id, "x-deadline-ms": String(callDeadlineMs) },
        });
        outgoing.on("response", response => {
            response.resume();
            response.on("end", () => resolve(response.statusCode === okStatus));
        });
        outgoing.on("error", () => resolve(false));
        outgoing.end();
    });
}

function readTotalCpuMs(hosts: readonly FleetHost[]): Milliseconds {
    return hosts.reduce((sum, { child }) => sum + readCpuMs(child), 0);
}

/** User and system time of a process, from `/proc`. */
function readCpuMs({ pid }: ChildProcess): Milliseconds {
    const fields = readFileSync(`/proc/${pid}/stat`, "utf8").split(") ")[1]?.split(" ") ?? [];
    return (Number(fields[11]) + Number(fields[12])) * clockTickMs;
}

function readMemoryMb({ pid }: ChildProcess): number {
    const match = /VmRSS:\s+(\d+) kB/.exec(readFileSync(`/proc/${pid}/status`, "utf8"));
    return Number(match?.[1] ?? 0) / kilobytesPerMegabyte;
}
