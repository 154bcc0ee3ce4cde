/**
 * Child processes of a benchmark: started from a built binary, observed through their logs and killed individually.
 */
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { readFileSync } from "node:fs";
import { createInterface } from "node:readline";

export interface NodeLogLine {
    /** Wall time of the entry, in milliseconds. */
    readonly at: number;
    readonly text: string;
}

const runningProcesses = new Set<ChildProcess>();
// `getconf CLK_TCK` is 100 on every Linux build of Node.js.
const clockTicksPerSecond = 100;

/** Kills all child processes when the benchmark exits, fails or is interrupted. */
export function killProcessesAtExit(): void {
    process.on("exit", killAll);
    for (const signal of ["SIGINT", "SIGTERM", "SIGHUP"] as const) {
        process.on(signal, () => process.exit(1));
    }
    process.on("uncaughtException", error => {
        console.error(error);
        process.exit(1);
    });
}

function killAll(): void {
    runningProcesses.forEach(child => child.kill("SIGKILL"));
}

/** A child process; `onLine` receives each line of its standard error. */
export class ObservedProcess {
    readonly pid: number;
    private readonly child: ChildProcess;

    constructor(argv: readonly string[], onLine: (line: NodeLogLine) => void) {
        this.child = spawn(process.execPath, [...argv], { stdio: ["ignore", "ignore", "pipe"] });
        this.pid = this.child.pid ?? 0;
        runningProcesses.add(this.child);
        this.child.on("exit", () => runningProcesses.delete(this.child));
        if (this.child.stderr !== null) { // eslint-disable-line no-restricted-syntax -- the child_process API uses null
            createInterface({ input: this.child.stderr }).on("line", text =>
                onLine({ at: Date.parse(text.slice(0, 24)) || Date.now(), text }));
        }
    }

    get isRunning(): boolean {
        return runningProcesses.has(this.child);
    }

    /** Sends SIGKILL and resolves when the process has exited. */
    async kill(): Promise<void> {
        if (this.isRunning) {
            const exited = once(this.child, "exit");
            this.child.kill("SIGKILL");
            await exited;
        }
    }

    /** Processor time used so far, in milliseconds; resolution 10 ms. */
    readProcessorMs(): number {
        const stat = readFileSync(`/proc/${this.pid}/stat`, "utf8");
        const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
        return (Number(fields[11]) + Number(fields[12])) * 1_000 / clockTicksPerSecond;
    }

    /** Resident memory in megabytes (1,000,000 bytes). */
    readResidentMb(): number {
        return this.readStatusKb("VmRSS") * 1_024 / 1_000_000;
    }

    /** Highest resident memory so far, in megabytes. */
    readPeakResidentMb(): number {
        return this.readStatusKb("VmHWM") * 1_024 / 1_000_000;
    }

    private readStatusKb(key: string): number {
        const status = readFileSync(`/proc/${this.pid}/status`, "utf8");
        return Number(new RegExp(`^${key}:\\s+(\\d+) kB`, "m").exec(status)?.[1] ?? 0);
    }
}
