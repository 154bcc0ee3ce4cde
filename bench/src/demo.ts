/**
 * Demo: runs a whole deployment on loopback, applies rules, makes calls, applies a changed and an invalid rules file,
 * and checks which version is in force on each node. `explain` prints who requested a route. Exits with 1 if a
 * check fails.
 */
import { readFileSync } from "node:fs";
import { type Clock, SystemClock } from "@bilberrycroft/core.clock";
import { connectNodeOverControl, ExitCode, runCommandLine } from "@bilberrycroft/cli.operator";
import { CallHeader, CallOutcome } from "@bilberrycroft/protocol.calls";
import { ControlClient } from "@bilberrycroft/transport.control";
import { HttpStore } from "@bilberrycroft/transport.store";
import { cac } from "cac";
import { v4 as createId, v7 as createIdempotencyKey } from "uuid";
import { sendCall, closeConnections } from "./callers";
import { deployments, type DeploymentShape } from "./deployments";
import { type Mesh, startMesh } from "./mesh";

const callRounds = 30;
const callIntervalMs = 50;
const convergenceTimeoutMs = 6_000;
const pollIntervalMs = 10;
const joinTimeoutMs = 15_000;
const drainTimeoutMs = 15_000;

class Demo {
    private readonly clock: Clock = new SystemClock();
    private readonly control = new ControlClient();
    private readonly files = new Map<string, string>();
    private readonly failures: string[] = [];

    constructor(private readonly shape: DeploymentShape, private readonly mesh: Mesh) {}

    /** Runs all steps. Resolves to whether all checks passed. */
    async run(): Promise<boolean> {
        await this.waitForTargets();
        await this.checkCallsWithoutConfiguration();
        await this.applyFirstVersion();
        await this.makeCalls();
        await this.checkIdempotentCall();
        await this.applyChange();
        await this.applyInvalidFile();
        await this.checkOperatorReports();
        await this.drainHost();
        this.print(this.failures.length === 0
            ? "\nAll checks passed."
            : `\nFailed checks:\n${this.failures.map(failure => `  ${failure}`).join("\n")}`);
        this.control.close();
        closeConnections();
        return this.failures.length === 0;
    }

    private async waitForTargets(): Promise<void> {
        const targetCount = this.mesh.hosts.length;
        this.print(`${this.shape.name}: ${targetCount} nodes and targets in ${this.shape.zones.join(", ")}`);
        const joinedMs = await this.waitUntil(joinTimeoutMs, async () => {
            const reports = await Promise.all(this.mesh.hosts.map(host =>
                this.control.status(host.node.controlAddress)));
            return reports.every(report => "value" in report && report.value.members.length === targetCount
                && report.value.members.every(({ entry }) => entry.targets.length === 1));
        });
        this.print(`Every node lists every node and target after ${Math.round(joinedMs ?? joinTimeoutMs)} ms.`);
        this.check("every node lists every node and its target", joinedMs !== undefined);
    }

    private async checkCallsWithoutConfiguration(): Promise<void> {
        const response = await this.callNode(0, this.shape.shortPath);
        this.check("a node without configuration rejects calls as not run", response.headers[CallHeader.Outcome] === CallOutcome.NotRun);
    }

    private async applyFirstVersion(): Promise<void> {
        const text = readFileSync(this.shape.rulesFile, "utf8");
        this.files.set("mesh.rules", text);
        await this.runOperatorCommand(["check", "mesh.rules"], ExitCode.Done);
        await this.runOperatorCommand(["apply", "mesh.rules", "--wait"], ExitCode.Done);
        this.check("version 1 is in force on every node", this.mesh.hosts.every(host => host.node.version() === 1));
    }

    private async makeCalls(): Promise<void> {
        const calls: Promise<string>[] = [];
        for (let round = 0; round < callRounds; round++) {
            calls.push(...this.mesh.hosts.map((_, index) => this.getCallOutcome(index, this.shape.shortPath)));
            await sleep(callIntervalMs);
        }
        calls.push(this.getCallOutcome(0, this.shape.longPath));
        const outcomes = await Promise.all(calls);
        const done = outcomes.filter(outcome => outcome === CallOutcome.Done).length;
        this.print(`\n${done} of ${outcomes.length} calls done`);
        this.print([...new Set(outcomes)].map(outcome =>
            `  ${outcome}: ${outcomes.filter(other => other === outcome).length}`).join("\n"));
        this.check("every call is done", done === outcomes.length);
    }

    /** Sends a non-idempotent call twice with the same idempotency key, through two nodes. */
    private async checkIdempotentCall(): Promise<void> {
        const key = createIdempotencyKey();
        const first = await this.callNode(0, this.shape.nonIdempotentPath, key);
        const second = await this.callNode(1, this.shape.nonIdempotentPath, key);
        const runCount = this.mesh.hosts.reduce((sum, host) => sum + (host.target.runs().get(key) ?? 0), 0);
        this.print(`\n${this.shape.nonIdempotentPath} sent twice with one key through two nodes: ran ${runCount} time(s)`);
        this.check("the first call is done", first.headers[CallHeader.Outcome] === CallOutcome.Done);
        this.check("the second call receives the recorded response", second.headers[CallHeader.Replayed] === "1" && second.body === first.body);
        this.check("the call ran once", runCount === 1);
    }

    private async applyChange(): Promise<void> {
        const changedRules = (this.files.get("mesh.rules") ?? "").replace("timeout=500ms", "timeout=450ms")
            .replace("timeout=600ms", "timeout=550ms");
        this.files.set("changed.rules", changedRules);
        await this.runOperatorCommand(["diff", "changed.rules"], ExitCode.Done);
        const startedAt = this.clock.now();
        await this.runOperatorCommand(["apply", "changed.rules", "--base", "1"], ExitCode.Done);
        const convergedMs = await this.waitUntil(convergenceTimeoutMs, async () =>
            this.mesh.hosts.every(host => host.node.version() === 2), startedAt);
        this.print(`Version 2 in force on all ${this.mesh.hosts.length} nodes ${Math.round(convergedMs ?? 0)} ms `
            + "after the command started.");
        this.check("version 2 is in force on every node within 6 s", convergedMs !== undefined);
        await this.runOperatorCommand(["apply", "mesh.rules", "--base", "1"], ExitCode.Conflict);
    }

    private async applyInvalidFile(): Promise<void> {
        const invalidRules = `${this.files.get("changed.rules") ?? ""}route late path=/late to=nowhere class=short timeout=1s repeat=yes\n`;
        this.files.set("bad.rules", invalidRules);
        await this.runOperatorCommand(["apply", "bad.rules"], ExitCode.Refused);
        this.check("the invalid file takes effect on no node", this.mesh.hosts.every(host => host.node.version() === 2));
    }

    private async checkOperatorReports(): Promise<void> {
        const route = this.shape === deployments.dakar ? "seances-book" : "alarms-acknowledge";
        await this.runOperatorCommand(["explain", route], ExitCode.Done);
        await this.runOperatorCommand(["status"], ExitCode.Done);
        await this.runOperatorCommand(["history"], ExitCode.Done);
        const metrics = await this.control.metrics(this.getNode(0).controlAddress);
        const lines = "value" in metrics ? metrics.value.split("\n") : [];
        const histograms = lines.filter(line => line.startsWith("bilberrycroft_tenant_latency_ms"));
        this.print("\nHistograms of one node per tenant and class (milliseconds):");
        histograms.forEach(line => this.print(`  ${line}`));
        this.check("histograms are kept per tenant and class", histograms.length > 0);
    }

    /** Drains one node while calls continue. No call may fail. */
    private async drainHost(): Promise<void> {
        const host = this.mesh.hosts[this.mesh.hosts.length - 1];
        if (host === undefined) {
            return;
        }
        await this.runOperatorCommand(["drain", host.node.controlAddress], ExitCode.Done);
        const outcomes = await Promise.all(Array.from({ length: callRounds }, async (_, index) => {
            await sleep(index * pollIntervalMs);
            return this.getCallOutcome(0, this.shape.shortPath);
        }));
        const departedMs = await this.waitUntil(drainTimeoutMs, async () => {
            const report = await this.control.status(this.getNode(0).controlAddress);
            return "value" in report && report.value.members.length === this.mesh.hosts.length - 1;
        });
        this.check("calls succeed while a node drains", outcomes.every(outcome => outcome === CallOutcome.Done));
        this.check("the drained node leaves the membership", departedMs !== undefined);
    }

    private getNode(index: number): { readonly callAddress: string; readonly controlAddress: string } {
        const host = this.mesh.hosts[index % this.mesh.hosts.length];
        return host === undefined ? { callAddress: "", controlAddress: "" } : host.node;
    }

    private callNode(index: number, path: string, key?: string) {
        const tenants = this.shape.tenants;
        return sendCall({
            address: this.getNode(index).callAddress,
            path,
            method: key === undefined ? "GET" : "POST",
            headers: {
                // Two calls with one idempotency key must be identical, the tenant included.
                [CallHeader.Tenant]: tenants[key === undefined ? index % tenants.length : 0] ?? "",
                ...key === undefined ? {} : { [CallHeader.IdempotencyKey]: key },
            },
        });
    }

    private async getCallOutcome(index: number, path: string): Promise<string> {
        const response = await this.callNode(index, path);
        return String(response.headers[CallHeader.Reason] ?? response.headers[CallHeader.Outcome] ?? "no response");
    }

    /** Runs the operator client with a command line and checks its exit code. */
    private async runOperatorCommand(argv: readonly string[], expected: ExitCode): Promise<void> {
        this.print(`\n$ bilberrycroft ${argv.join(" ")}`);
        const nodes = this.mesh.hosts.slice(0, 3).flatMap(host => ["--node", host.node.controlAddress]);
        const store = ["--store", this.mesh.store.address, "--operator", "Haruka"];
        const exitCode = await runCommandLine([...argv, ...store, ...nodes], {
            clock: this.clock,
            signal: new AbortController().signal,
            connectStore: address => new HttpStore({ address }),
            connectNode: address => connectNodeOverControl(this.control, address),
            fetchJson: () => Promise.reject(new Error("no operators' listener")),
            readText: file => this.files.get(file) ?? "",
            createChangeId: createId,
            sleep,
            print: text => this.print(text),
            printError: text => this.print(text),
        });
        this.check(`"${argv.join(" ")}" exits with ${expected}`, exitCode === expected);
    }

    /** Returns the time from `startedAt` until the condition was met, or `undefined` after the timeout. */
    private async waitUntil(
        timeoutMs: number,
        condition: () => Promise<boolean>,
        startedAt = this.clock.now(),
    ): Promise<number | undefined> {
        while (this.clock.now() - startedAt < timeoutMs) {
            if (await condition()) {
                return this.clock.now() - startedAt;
            }
            await sleep(pollIntervalMs);
        }
        return undefined;
    }

    private check(description: string, isMet: boolean): void {
        if (!isMet) {
            this.failures.push(description);
            this.print(`FAILED: ${description}`);
        }
    }

    private print(text: string): void {
        process.stdout.write(`${text}\n`);
    }
}

function sleep(durationMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, durationMs));
}

async function runDemo(name: string): Promise<void> {
    const shape = deployments[name];
    if (shape === undefined) {
        process.stderr.write(`demo: unknown deployment ${name}; use ${Object.keys(deployments).join(" or ")}\n`);
        process.exit(2);
    }
    const mesh = await startMesh({ shape });
    const hasPassed = await new Demo(shape, mesh).run();
    await mesh.close();
    process.exit(hasPassed ? 0 : 1);
}

const program = cac("demo");
program
    .command("", "Run a deployment on loopback")
    .option("--deployment <name>", "kyushu or dakar", { default: "kyushu" })
    .action((options: { readonly deployment: string }) => runDemo(options.deployment));
program.help();
program.parse();
