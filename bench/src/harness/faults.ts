/**
 * Fault injection for the benchmarks: control requests to targets, and signals to processes that the benchmark started.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { type FleetNode, type FleetTarget, sleep } from "./fleet";

const maxControlAttempts = 20;
const controlRetryDelayMs: Milliseconds = 20;

/** Body of a `PUT /faults` request to a target stand-in. */
export interface InjectedFault {
    readonly slowFactor?: number;
    readonly refuse?: boolean;
    /** The target returns to normal after this time. */
    readonly forMs: number;
}

/** The part of a target stand-in's `GET /counters` response that the benchmarks read. */
export interface TargetCounters {
    readonly received: number;
}

/** Activates the same fault in each target. */
export async function injectFault(targets: readonly FleetTarget[], fault: InjectedFault): Promise<void> {
    await Promise.all(targets.map(target => sendControlRequest(`http://${target.address}/faults`, {
        method: "PUT",
        headers: { "content-type": "application/json" },
        body: JSON.stringify(fault),
    })));
}

/** Sums the calls that the targets have received since they started. */
export async function countReceivedCalls(targets: readonly FleetTarget[]): Promise<number> {
    const counters = await Promise.all(targets.map(async target => {
        const response = await sendControlRequest(`http://${target.address}/counters`);
        return await response.json() as TargetCounters;
    }));
    return counters.reduce((sum, { received }) => sum + received, 0);
}

/** Retries failed requests, because a target at its connection limit refuses control requests as well. */
async function sendControlRequest(url: string, options: RequestInit = {}): Promise<Response> {
    for (let attempt = 1; attempt < maxControlAttempts; attempt++) {
        try {
            return await fetch(url, options);
        }
        catch {
            await sleep(controlRetryDelayMs);
        }
    }
    return await fetch(url, options);
}

/** Stops processes with SIGSTOP. Their sockets stay open but do not respond, as in a network partition. */
export function pauseProcesses(members: readonly (FleetNode | FleetTarget)[]): void {
    members.forEach(({ child }) => child.kill("SIGSTOP"));
}

/** Continues stopped processes with SIGCONT. */
export function resumeProcesses(members: readonly (FleetNode | FleetTarget)[]): void {
    members.forEach(({ child }) => child.kill("SIGCONT"));
}
