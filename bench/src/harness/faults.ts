/**
 * Faults of the benches: control requests to targets, and signals to processes that the bench started.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { type FleetNode, type FleetTarget, sleep } from "./fleet";

const controlAttempts = 20;
const controlRetryMs: Milliseconds = 20;

/** A fault of a target stand-in. */
export interface InjectedFault {
    readonly slowFactor?: number;
    readonly refuse?: boolean;
    readonly forMs: number;
}

/** Counts of a target stand-in that the benches read. */
export interface TargetCounts {
    readonly received: number;
}

/** Switches a fault on in each target. */
export async function injectFault(targets: readonly FleetTarget[], fault: InjectedFault): Promise<void> {
    await Promise.all(targets.map(target => send(`http://${target.address}/faults`, {
        method: "PUT",
        headers: { "content-type": "application/json" },
        body: JSON.stringify(fault),
    })));
}

/** Calls that the targets received since their start. */
export async function countReceived(targets: readonly FleetTarget[]): Promise<number> {
    const counts = await Promise.all(targets.map(async target => {
        const response = await send(`http://${target.address}/counters`);
        return await response.json() as TargetCounts;
    }));
    return counts.reduce((sum, { received }) => sum + received, 0);
}

/** A target that holds as many connections as it may refuses a control request too. */
async function send(url: string, options: RequestInit = {}): Promise<Response> {
    for (let attempt = 1; attempt < controlAttempts; attempt++) {
        try {
            return await fetch(url, options);
        }
        catch {
            await sleep(controlRetryMs);
        }
    }
    return await fetch(url, options);
}

/** Stops processes: their sockets stay open and nothing answers, as behind a cut. */
export function pauseProcesses(parts: readonly (FleetNode | FleetTarget)[]): void {
    parts.forEach(({ child }) => child.kill("SIGSTOP"));
}

/** Lets stopped processes go on. */
export function resumeProcesses(parts: readonly (FleetNode | FleetTarget)[]): void {
    parts.forEach(({ child }) => child.kill("SIGCONT"));
}
