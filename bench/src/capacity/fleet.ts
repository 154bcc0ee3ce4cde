/**
 * A fleet of node processes on loopback with a stand-in store and one announced target for each node.
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
import { call } from "../callers";
import { type NodeLogLine, ObservedProcess } from "./processes";
import { createRulesText, nameService } from "./rulesFile";

const nodeBinary = "dist/bilberrycroft-node.mjs";
const regionCount = 3;
const announceMs = 1_000;
const startSpacingMs = 60;

/** A store that notes when a configuration was accepted. */
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

/** One node process and what its log said. */
export class FleetNode {
    control = "";
    calls = "";
    joinedAt = 0;
    startedAt = 0;
    process: ObservedProcess | undefined;
    /** Wall time at which each version came into force. */
    readonly inForceAt = new Map<number, number>();

    constructor(
        readonly name: string,
        readonly zone: string,
        readonly service: string,
        readonly settingsFile: string,
    ) {}

    start(nodeFlags: readonly string[]): void {
        this.joinedAt = 0;
        this.inForceAt.clear();
        this.startedAt = Date.now();
        const argv = [...nodeFlags, nodeBinary, "--settings", this.settingsFile];
        this.process = new ObservedProcess(argv, line => this.takeLine(line));
    }

    get isRunning(): boolean {
        return this.process?.isRunning === true;
    }

    /** Values of the node's metrics without labels; empty if it does not respond. */
    async readMetrics(): Promise<ReadonlyMap<string, number>> {
        const response = await call({ address: this.control, path: "/metrics" });
        const lines = [...response.body.matchAll(/^bilberrycroft_(\w+) ([\d.e+]+)$/gm)];
        return new Map(lines.map(([, name, value]) => [name as string, Number(value)]));
    }

    private takeLine({ at, text }: NodeLogLine): void {
        if (text.includes("Configuration in force.")) {
            this.inForceAt.set(Number(/"version":(\d+)/.exec(text)?.[1]), at);
        }
        else if (text.includes("Node joined.")) {
            this.joinedAt = at;
        }
        else if (text.includes("Node started.")) {
            this.control = /"control":"([^"]+)"/.exec(text)?.[1] ?? "";
            this.calls = /"calls":"([^"]+)"/.exec(text)?.[1] ?? "";
        }
        else if (/^bilberrycroft-node: | error /.test(text)) {
            console.error(`${this.name}: ${text}`);
        }
    }
}

/** Options of `startFleet`. */
export interface FleetOptions {
    readonly size: number;
    readonly zones: number;
    readonly nodeFlags: readonly string[];
    /** Announces a target for each node that has no target process; on by default. */
    readonly announceTargets?: boolean;
}

/** A running fleet. */
export class Fleet {
    readonly store = new AcceptanceStore();
    readonly nodes: readonly FleetNode[];
    private standin: StoreStandin | undefined;
    private readonly folder = mkdtempSync(join(tmpdir(), "bilberrycroft-capacity-"));
    private announceTimer: NodeJS.Timeout | undefined;
    private changes = 0;
    private port = 0;
    // Below the range from which the system gives ports to outgoing connections; benches may run side by side.
    private readonly firstPort = 12_000 + process.pid % 40 * 400;

    constructor(private readonly options: FleetOptions) {
        this.nodes = Array.from({ length: options.size }, (_, index) => new FleetNode(
            `host-${index}`,
            `zone-${index % options.zones}`,
            nameService(index),
            join(this.folder, `host-${index}.yaml`),
        ));
    }

    /** Starts the store and all nodes, spread over time. */
    async start(): Promise<void> {
        await this.openStore();
        await this.change();
        await this.startNodes(this.nodes);
        // Each target of a deployment announces itself once a second; the interval is spread over the fleet.
        if (this.options.announceTargets !== false) {
            this.announceTimer = setInterval(() => this.announceAll(), announceMs);
        }
    }

    async startNodes(nodes: readonly FleetNode[], spacingMs = startSpacingMs): Promise<void> {
        for (const node of nodes) {
            writeFileSync(node.settingsFile, this.createSettings(node));
            node.start(this.options.nodeFlags);
            await sleep(spacingMs);
        }
    }

    /** Applies the next change and returns its version. */
    async change(): Promise<number> {
        const outcome = await applyRules({
            store: new HttpStore({ address: this.address }),
            clock: new SystemClock(),
            operator: "bench",
            createChangeId: () => `change-${this.changes}`,
            sleep: async duration => void await sleep(duration),
        }, { text: createRulesText(this.changes++) });
        if (outcome.kind !== ApplyOutcomeKind.Applied) {
            throw new Error(`the change was not applied: ${JSON.stringify(outcome)}`);
        }
        return outcome.snapshot.version;
    }

    async openStore(): Promise<void> {
        this.standin = await startStoreStandin({ port: this.port, store: this.store });
        this.port = Number(this.address.split(":")[1]);
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

    private get address(): string {
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
            store: this.address,
        });
    }

    /** A host keeps its ports over restarts: rosters and tables list them. */
    private createListener(node: FleetNode, offset: number): { readonly host: string; readonly port: number } {
        return { host: "127.0.0.1", port: this.firstPort + 2 * this.nodes.indexOf(node) + offset };
    }

    private announceAll(): void {
        const spread = announceMs / this.nodes.length;
        this.nodes.forEach((node, index) => setTimeout(() => this.announce(node, index), spread * index));
    }

    private announce(node: FleetNode, index: number): void {
        if (node.isRunning && node.control !== "") {
            const body = JSON.stringify({
                id: `target-${index}`,
                service: node.service,
                address: `127.0.0.1:${20_000 + index}`,
                state: "ready",
                slots: 6,
                connections: 100,
            });
            const headers = { "content-type": "application/json", "content-length": String(Buffer.byteLength(body)) };
            void call({ address: node.control, path: "/announce", method: "POST", headers, body });
        }
    }
}
