/** Entry point of `bilberrycroft`, the operator client. */
import { randomUUID } from "node:crypto";
import { readFileSync } from "node:fs";
import { setTimeout as sleep } from "node:timers/promises";
import { SystemClock } from "@bilberrycroft/core.clock";
import { ControlClient, createNodeFetch } from "@bilberrycroft/transport.control";
import { HttpStore } from "@bilberrycroft/transport.store";
import { runCommandLine } from "./commandLine";
import { connectNodeOverControl } from "./transportClient";

const interrupt = new AbortController();
// The handler runs only once: a second SIGINT terminates the process.
process.once("SIGINT", () => interrupt.abort());

// A reader such as "head" may close the pipe early. The exit code still reports the result of the command.
process.stdout.on("error", (error: NodeJS.ErrnoException) => {
    if (error.code !== "EPIPE") {
        throw error;
    }
});

/** Throws on invalid UTF-8. Otherwise replacement characters would be applied as part of the rules. */
function readText(file: string): string {
    return new TextDecoder("utf-8", { fatal: true }).decode(readFileSync(file));
}

const control = new ControlClient();
const operatorFetch = createNodeFetch({
    timeoutMs: 5_000,
    maxResponseBytes: 4_000_000,
    maxConnectionsPerPeer: 1,
    idleConnectionMs: 1_000,
});

process.exitCode = await runCommandLine(process.argv.slice(2), {
    clock: new SystemClock(),
    signal: interrupt.signal,
    connectStore: address => new HttpStore({ address }),
    connectNode: address => connectNodeOverControl(control, address),
    fetchJson: async url => {
        const response = await operatorFetch.fetch(url);
        return await response.json();
    },
    readText,
    createChangeId: randomUUID,
    sleep: async duration => {
        await sleep(duration);
    },
    print: text => process.stdout.write(`${text}\n`),
    printError: text => process.stderr.write(`${text}\n`),
});

// Keep-alive connections and pending requests would otherwise keep the process running.
process.exit();
