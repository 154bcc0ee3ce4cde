/** Entry point of the operators' client. */
import { randomUUID } from "node:crypto";
import { readFileSync } from "node:fs";
import { setTimeout as sleep } from "node:timers/promises";
import { SystemClock } from "@bilberrycroft/core.clock";
import { ControlClient } from "@bilberrycroft/transport.control";
import { HttpStore } from "@bilberrycroft/transport.store";
import { runCommandLine } from "./commandLine";
import { connectNodeOverControl } from "./transportClient";

const interrupt = new AbortController();
// A second interrupt ends the process at once.
process.once("SIGINT", () => interrupt.abort());

// A reader such as "head" may close the pipe early; the exit code still tells how the command ended.
process.stdout.on("error", (error: NodeJS.ErrnoException) => {
    if (error.code !== "EPIPE") {
        throw error;
    }
});

/** Refuses bytes that are not UTF-8: a replacement character would be applied in their place. */
function readText(file: string): string {
    return new TextDecoder("utf-8", { fatal: true }).decode(readFileSync(file));
}

const control = new ControlClient();

process.exitCode = await runCommandLine(process.argv.slice(2), {
    clock: new SystemClock(),
    signal: interrupt.signal,
    connectStore: address => new HttpStore({ address }),
    connectNode: address => connectNodeOverControl(control, address),
    readText,
    createChangeId: randomUUID,
    sleep: async duration => {
        await sleep(duration);
    },
    print: text => process.stdout.write(`${text}\n`),
    printError: text => process.stderr.write(`${text}\n`),
});

// Kept-alive connections and questions that are still open would hold the process.
process.exit();
