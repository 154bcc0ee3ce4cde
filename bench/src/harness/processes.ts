/**
 * The child processes of a benchmark. Each is killed through its own handle, however the benchmark ends.
 */
import { type ChildProcess, fork, spawn } from "node:child_process";
import type { Milliseconds } from "@bilberrycroft/core.clock";

const startTimeoutMs: Milliseconds = 30_000;
const maxLogCharacters = 4_000;

/** Signals that a benchmark sends to its processes. */
export type BenchSignal = "SIGSTOP" | "SIGCONT" | "SIGKILL";

export interface StartedProgram {
    readonly child: ChildProcess;
    /** Fields of the log line that reported readiness. */
    readonly fields: Readonly<Record<string, string>>;
}

export class ProcessSet {
    private readonly children = new Set<ChildProcess>();
    private isShuttingDown = false;

    constructor(private readonly onUnexpectedExit: (description: string) => void) {}

    /**
     * Starts a Node.js program. Resolves when the program logs a line that contains `message`, followed by JSON fields.
     * Rejects if the program exits first or does not log the line within 30 s.
     */
    startProgram(file: string, args: readonly string[], message: string): Promise<StartedProgram> {
        const child = spawn(process.execPath, [file, ...args], { stdio: ["ignore", "ignore", "pipe"] });
        this.track(child, file);
        let log = "";
        return new Promise((resolve, reject) => {
            const timer = setTimeout(() => reject(new Error(`${file} did not report readiness in time: ${log}`)), startTimeoutMs);
            child.once("exit", () => reject(new Error(`${file} exited during startup: ${log}`)));
            child.stderr.on("data", (chunk: Buffer) => {
                log = (log + chunk.toString("utf8")).slice(-maxLogCharacters);
                const line = log.split("\n").slice(0, -1).find(text => text.includes(message));
                if (line !== undefined) {
                    clearTimeout(timer);
                    resolve({ child, fields: JSON.parse(line.slice(line.indexOf("{"))) as Record<string, string> });
                }
            });
        });
    }

    /** Starts a benchmark worker that communicates over Node's IPC channel. */
    startWorker(file: string): ChildProcess {
        const child = fork(file, [], { stdio: ["ignore", "ignore", "inherit", "ipc"], serialization: "advanced" });
        this.track(child, file);
        return child;
    }

    /** Kills every process. On some systems a stopped process must be continued before it can be killed. */
    killAll(): void {
        this.isShuttingDown = true;
        for (const child of this.children) {
            child.kill("SIGCONT");
            child.kill("SIGKILL");
        }
    }

    private track(child: ChildProcess, description: string): void {
        this.children.add(child);
        child.on("error", error => this.onUnexpectedExit(`${description}: ${error.message}`));
        child.once("exit", (code, signal) => {
            this.children.delete(child);
            if (!this.isShuttingDown) {
                this.onUnexpectedExit(`${description} exited with ${code ?? signal}`);
            }
        });
    }
}
