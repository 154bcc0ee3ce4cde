/**
 * Runs a fleet of node processes on loopback, with a stand-in store and one announced target per node.
 */
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { SystemClock } from "@bilberrycroft/core.clock";
import { currentConfigurationKey, MemoryStore, type WriteCondition } from "@bilberrycroft/protocol.store";
import { type StoreStandin, startStoreStandin } from "@bilberrycroft/standins.store";
import { HttpStore } from "@bilberrycroft/transport.store";
import { ApplyOutcomeKind, applyRules } from "@bilberrycroft/cli.operator";
import { sendCall } from "../callers";
import { type NodeLogLine, ObservedProcess } from "./processes";
import { createRulesText, createServiceName } from "./rulesFile";

const nodeBinaryPath = "dist/bilberrycroft-node.mjs";
const regionCount = 3;
const announceIntervalMs = 1_000;
const startIntervalMs = 60;

/** In-memory store that records when the current configuration was last written. */
class AcceptanceStore extends MemoryStore {
    lastAcceptedAt = 0;

    override async write(key: string, value: string, condition: WriteCondition) {
        const outcome = await super.write(key, value, condition);
        if (key === currentConfigurationKey && outcome.kind === "done") {
            this.lastAcceptedAt = Date.now();
        }
        return outcome;
    }
}

/** One node process, with the state that is read from its log. */
export class FleetNode {
    /** `host:port` of the control listener; empty until the node has started. */
    controlAddress = "";
    /** `host:port` of the call listener; empty until the node has started. */
    callAddress = "";
    joinedAt = 0;
    startedAt = 0;
    process: ObservedProcess | undefined;
    /** Wall time of the activation of each version. */
    readonly activationTimes = new Map<number, number>();

    constructor(
        readonly name: string,
        readonly zone: string,
        readonly service: string,
        readonly settingsFile: string,
    ) {}

    start(nodeFlags: readonly string[]): void {
        this.joinedAt = 0;
        this.activationTimes.clear();
        this.startedAt = Date.now();
        const argv = [...nodeFlags, nodeBinaryPath, "--settings", this.settingsFile];
        this.process = new ObservedProcess(argv, line => this.handleLogLine(line));
    }

    get isRunning(): boolean {
        return this.process?.isRunning === true;
    }

    /** Returns the metrics that have no labels; empty if the node does not respond. */
    async readMetrics(): Promise<ReadonlyMap<string, number>> {
        const response = await sendCall({ address: this.controlAddress, path: "/metrics" });
        const lines = [...response.body.matchAll(/^bilberrycroft_(\w+) ([\d.e+]+)$/gm)];
        return new Map(lines.map(([, name, value]) => [name as string, Number(value)]));
    }

    private handleLogLine({ at, text }: NodeLogLine): void {
        if (text.includes("Configuration in force.")) {
            this.activationTimes.set(Number(/"version":(\d+)/.exec(text)?.[1]), at);
        }
        else if (text.includes("Node joined.")) {
            this.joinedAt = at;
        }
        else if (text.includes("Node started.")) {
            this.controlAddress = /"control":"([^"]+)"/.exec(text)?.[1] ?? "";
            this.callAddress = /"calls":"([^"]+)"/.exec(text)?.[1] ?? "";
        }
        else if (/^bilberrycroft-node: | error /.test(text)) {
            console.error(`${this.name}: ${text}`);
        }
    }
}

export interface FleetOptions {
    readonly size: number;
    readonly zones: number;
    readonly nodeFlags: readonly string[];
    /** Whether to announce a target for each node, in place of target processes; `true` by default. */
    readonly announceTargets?: boolean;
}

export class Fleet {
    readonly store = new AcceptanceStore();
    readonly nodes: readonly FleetNode[];
    private standin: StoreStandin | undefined;
    private readonly folder = mkdtempSync(join(tmpdir(), "bilberrycroft-capacity-"));
    private announceTimer: NodeJS.Timeout | undefined;
    private changeCount = 0;
    private port = 0;
    // Below the ephemeral port range of the system. Depends on the process id so that benchmarks can run in parallel.
    private readonly firstPort = 12_000 + process.pid % 40 * 400;

    constructor(private readonly options: FleetOptions) {
        this.nodes = Array.from({ length: options.size }, (_, index) => new FleetNode(
            `host-${index}`,
            `zone-${index % options.zones}`,
            createServiceName(index),
            join(this.folder, `host-${index}.yaml`),
        ));
    }

    /** Starts the store, then the nodes one after the other. */
    async start(): Promise<void> {
        await this.openStore();
        await this.applyNextChange();
        await this.startNodes(this.nodes);
        // Targets announce themselves once per second, as in a deployment, spread evenly over the interval.
        if (this.options.announceTargets !== false) {
            this.announceTimer = setInterval(() => this.announceAll(), announceIntervalMs);
        }
    }

    async startNodes(nodes: readonly FleetNode[], intervalMs = startIntervalMs): Promise<void> {
        for (const node of nodes) {
            writeFileSync(node.settingsFile, this.createSettings(node));
            node.start(this.options.nodeFlags);
            await sleep(intervalMs);
        }
    }

    /** Applies the next change of the rules file and returns its version. */
    async applyNextChange(): Promise<number> {
        const outcome = await applyRules({
            store: new HttpStore({ address: this.storeAddress }),
            clock: new SystemClock(),
            operator: "bench",
            createChangeId: () => `change-${this.changeCount}`,
            sleep: async duration => void await sleep(duration),
        }, { text: createRulesText(this.changeCount++) });
        if (outcome.kind !== ApplyOutcomeKind.Applied) {
            throw new Error(`the rules file was not applied: ${JSON.stringify(outcome)}`);
        }
        return outcome.snapshot.version;
    }

    async openStore(): Promise<void> {
        this.standin = await startStoreStandin({ port: this.port, store: this.store });
        this.port = Number(this.storeAddress.split(":")[1]);
    }

    async closeStore(): Promise<void> {
        await this.standin?.close();
    }

    async close(): Promise<void> {
        clearInterval(this.announceTimer);
        await Promise.all(this.nodes.map(node => node.process?.kill()));
        await this.closeStore();
        rmSync(this.folder, { recursive: true, force: true });
    }

    private get storeAddress(): string {
        return this.standin?.address ?? "";
    }

    private createSettings(node: FleetNode): string {
        const zoneNumber = Number(node.zone.split("-")[1]);
        return JSON.stringify({
            host: node.name,
            zone: node.zone,
            region: `region-${zoneNumber % regionCount}`,
            control: this.createListener(node, 0),
            calls: this.createListener(node, 1),
            store: this.storeAddress,
        });
    }

    /** A host keeps its ports across restarts because rosters and tables list them. */
    private createListener(node: FleetNode, offset: number): { readonly host: string; readonly port: number } {
        return { host: "127.0.0.1", port: this.firstPort + 2 * this.nodes.indexOf(node) + offset };
    }

    private announceAll(): void {
        const delayStepMs = announceIntervalMs / this.nodes.length;
        this.nodes.forEach((node, index) => setTimeout(() => this.announce(node, index), delayStepMs * index));
    }

    private announce(node: FleetNode, index: number): void {
        if (node.isRunning && node.controlAddress !== "") {
            const body = JSON.stringify({
                id: `target-${index}`,
                service: node.service,
                address: `127.0.0.1:${20_000 + index}`,
                state: "ready",
                slots: 6,
                connections: 100,
            });
            const headers = { "content-type": "application/json", "content-length": String(Buffer.byteLength(body)) };
            void sendCall({ address: node.controlAddress, path: "/announce", method: "POST", headers, body });
        }
    }
}
