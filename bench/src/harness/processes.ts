/**
 * Processes that a bench started. Each is ended through its own handle, whatever way the bench ends.
 */
import { type ChildProcess, fork, spawn } from "node:child_process";
import type { Milliseconds } from "@bilberrycroft/core.clock";

const startLimitMs: Milliseconds = 30_000;
const keptLogCharacters = 4_000;

/** Signals that a bench sends to its processes. */
export type BenchSignal = "SIGSTOP" | "SIGCONT" | "SIGKILL";

/** A program that was started and printed that it listens. */
export interface StartedProgram {
    readonly child: ChildProcess;
    /** Fields of the log line that was waited for. */
    readonly fields: Readonly<Record<string, string>>;
}

/** Owner of the processes. */
export class ProcessSet {
    private readonly children = new Set<ChildProcess>();
    private ending = false;

    constructor(private readonly onUnexpectedExit: (description: string) => void) {}

    /** Starts a program and resolves when its log has a line with the sentence and trailing JSON fields. */
    startProgram(file: string, args: readonly string[], sentence: string): Promise<StartedProgram> {
        const child = spawn(process.execPath, [file, ...args], { stdio: ["ignore", "ignore", "pipe"] });
        this.track(child, file);
        let log = "";
        return new Promise((resolve, reject) => {
            const timer = setTimeout(() => reject(new Error(`${file} did not start: ${log}`)), startLimitMs);
            child.once("exit", () => reject(new Error(`${file} ended at its start: ${log}`)));
            child.stderr.on("data", (chunk: Buffer) => {
                log = (log + chunk.toString("utf8")).slice(-keptLogCharacters);
                const line = log.split("\n").slice(0, -1).find(text => text.includes(sentence));
                if (line !== undefined) {
                    clearTimeout(timer);
                    resolve({ child, fields: JSON.parse(line.slice(line.indexOf("{"))) as Record<string, string> });
                }
            });
        });
    }

    /** Starts a worker of the bench, which takes messages. */
    startWorker(file: string): ChildProcess {
        const child = fork(file, [], { stdio: ["ignore", "ignore", "inherit", "ipc"], serialization: "advanced" });
        this.track(child, file);
        return child;
    }

    /** Ends every process; a stopped one has to continue to be ended by some systems. */
    end(): void {
        this.ending = true;
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
            if (!this.ending) {
                this.onUnexpectedExit(`${description} ended with ${code ?? signal}`);
            }
        });
    }
}
