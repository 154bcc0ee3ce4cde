/**
 * Runs the built binaries as separate processes on loopback and ends each of them by its process id.
 */
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { existsSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { stringify } from "yaml";
import { waitUntil } from "./support";

const dist = resolve(import.meta.dirname, "../../../dist");
const binaries = ["bilberrycroft", "bilberrycroft-node", "bilberrycroft-store", "bilberrycroft-target"] as const;

export type Binary = typeof binaries[number];

export interface StartedProcess {
    readonly process: ChildProcess;
    /** Standard output and standard error so far. */
    getOutput(): string;
    /** Waits for the log line that reports that the process is ready and resolves with the value of a field in it. */
    waitForField(name: string): Promise<string>;
    /** Sends a signal and resolves with the exit code; `undefined` if a signal ended the process. */
    end(signal: NodeJS.Signals): Promise<number | undefined>;
    /** Resolves with the exit code; `undefined` if a signal ended the process. */
    waitForExit(): Promise<number | undefined>;
}

/** Result of a command of the operator client. */
export interface CommandResult {
    readonly code: number | undefined;
    readonly output: string;
}

/** Processes and temporary files of one test run. */
export class Processes {
    readonly folder = mkdtempSync(join(tmpdir(), "bilberrycroft-"));
    private readonly started: StartedProcess[] = [];

    constructor() {
        const missing = binaries.filter(name => !existsSync(join(dist, `${name}.mjs`)));
        if (missing.length > 0) {
            throw new Error(`dist/ lacks ${missing.join(", ")}: run "npm run build" first`);
        }
    }

    /** Writes a settings or rules file and returns its path. */
    write(name: string, content: string | object): string {
        const file = join(this.folder, name);
        writeFileSync(file, typeof content === "string" ? content : stringify(content));
        return file;
    }

    start(binary: Binary, ...parameters: readonly string[]): StartedProcess {
        const child = spawn(process.execPath, [join(dist, `${binary}.mjs`), ...parameters], {
            cwd: this.folder,
            stdio: ["ignore", "pipe", "pipe"],
        });
        let output = "";
        const collect = (chunk: Buffer): void => {
            output += chunk.toString();
        };
        child.stdout.on("data", collect);
        child.stderr.on("data", collect);
        const ended = once(child, "close").then(([code]) => (code as number | null) ?? undefined);
        let isEnded = false;
        void ended.then(() => {
            isEnded = true;
        });
        const started: StartedProcess = {
            process: child,
            getOutput: () => output,
            waitForField: async name => {
                const pattern = new RegExp(`"${name}":"([^"]+)"`);
                await waitUntil(() => isEnded || pattern.test(output));
                const value = pattern.exec(output)?.[1];
                if (value === undefined) {
                    throw new Error(`${binary} ended before it was ready:\n${output}`);
                }
                return value;
            },
            end: signal => {
                child.kill(signal);
                return ended;
            },
            waitForExit: () => ended,
        };
        this.started.push(started);
        return started;
    }

    /** Runs a command of the operator client and waits for its exit. */
    async runOperatorClient(...parameters: readonly string[]): Promise<CommandResult> {
        const client = this.start("bilberrycroft", ...parameters);
        const code = await client.waitForExit();
        return { code, output: client.getOutput() };
    }

    /** Ends all processes and removes the files. */
    async endAll(): Promise<void> {
        await Promise.all(this.started.map(started => started.end("SIGKILL")));
        rmSync(this.folder, { recursive: true, force: true });
    }
}
