/**
 * A deployment on loopback with one process each for the store, nodes, targets, baseline proxies and load generators.
 */
import type { ChildProcess } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { Liveness } from "@bilberrycroft/coordination.membership";
import { type Milliseconds, SystemClock } from "@bilberrycroft/core.clock";
import { currentConfigurationKey, WriteConditionKind } from "@bilberrycroft/protocol.store";
import { createSnapshot } from "@bilberrycroft/state.snapshots";
import { ControlClient, ControlOutcomeKind } from "@bilberrycroft/transport.control";
import { HttpStore } from "@bilberrycroft/transport.store";
import type { DeploymentShape } from "../deployments";
import { WorkerReplyKind, WorkerRequestKind } from "./messages";
import type { ProcessSet } from "./processes";
import { sendWorkerRequest } from "./workers";

/** Service of the steady case. Its targets run every call for the same short time. */
export const steadyService = "steady";
export const steadyPath = "/steady/probe";
const steadyTargetCount = 3;
const steadyRunTimeMs: Milliseconds = 1;
const steadyRules = [
    `service ${steadyService} # bench: targets of equal run time`,
    `route ${steadyService} path=/${steadyService} to=${steadyService} class=short timeout=1s repeat=yes # bench`,
    "",
].join("\n");

const loopback = "127.0.0.1";
const generatorCount = 3;
/** Joins are jittered and rate limited. On a busy machine it takes over 20 s until all nodes have joined. */
const joinTimeoutMs: Milliseconds = 60_000;
const joinPollIntervalMs: Milliseconds = 100;
/**
 * Wait after all nodes have joined. A node serves calls as soon as the rules are in force, but its connection pools are
 * still empty and its adaptive limits have not converged.
 */
const settleMs: Milliseconds = 300;

export interface TargetRunTimes {
    readonly shortMs: Milliseconds;
    readonly longMs: Milliseconds;
}

export interface FleetTarget {
    readonly id: string;
    readonly service: string;
    readonly zone: string;
    /** `host:port` */
    readonly address: string;
    readonly child: ChildProcess;
}

export interface FleetNode {
    readonly zone: string;
    /** `host:port` of the control listener. */
    readonly controlAddress: string;
    /** `host:port` of the call listener. */
    readonly callAddress: string;
    readonly child: ChildProcess;
}

export interface FleetOptions {
    readonly shape: DeploymentShape;
    readonly runTimes: TargetRunTimes;
    /** Receives every started process; the caller kills them. */
    readonly processes: ProcessSet;
    readonly seed: number;
}

/** Starts a deployment. Resolves when every node lists every target and has activated the rules. */
export async function startFleet(options: FleetOptions): Promise<Fleet> {
    const directory = mkdtempSync(join(tmpdir(), "bilberrycroft-bench-"));
    try {
        const fleet = new Fleet(options, directory);
        await fleet.start();
        return fleet;
    }
    finally {
        rmSync(directory, { recursive: true });
    }
}

export class Fleet {
    readonly nodes: FleetNode[] = [];
    readonly targets: FleetTarget[] = [];
    generators: readonly ChildProcess[] = [];
    private proxies: readonly ChildProcess[] = [];

    constructor(private readonly options: FleetOptions, private readonly directory: string) {}

    async start(): Promise<void> {
        const { processes, shape } = this.options;
        const worker = resolveDistFile("bench-worker.mjs");
        this.generators = Array.from({ length: generatorCount }, () => processes.startWorker(worker));
        const store = await processes.startProgram(resolveDistFile("bilberrycroft-store.mjs"), ["--port", "0"], "Listening.");
        const address = store.fields.address ?? "";
        await this.writeRules(address);
        const placements = placeTargets(shape);
        this.nodes.push(await this.startNode(placements[0]?.zone ?? "", 0, address));
        const remainingNodes = placements.slice(1)
            .map((placement, index) => this.startNode(placement.zone, index + 1, address));
        this.nodes.push(...await Promise.all(remainingNodes));
        this.proxies = placements.map(() => processes.startWorker(worker));
        const serviceTargets = placements.map((placement, index) => this.startTarget(placement, index));
        const steadyTargets = Array.from({ length: steadyTargetCount }, (_, index) => this.startSteadyTarget(index));
        this.targets.push(...await Promise.all([...serviceTargets, ...steadyTargets]));
        await this.waitUntilJoined();
        await sleep(settleMs);
    }

    /** Returns the call addresses of all nodes outside `excludedZone`. */
    getNodeAddresses(excludedZone?: string): string[] {
        return this.nodes.filter(node => node.zone !== excludedZone).map(node => node.callAddress);
    }

    getTargets(service: string): FleetTarget[] {
        return this.targets.filter(target => target.service === service);
    }

    /** Starts one baseline proxy per node, each over all targets of a service. Returns the addresses in node order. */
    async startBaselineProxies(service: string, timeoutMs: Milliseconds): Promise<string[]> {
        const targets = this.getTargets(service).map(target => target.address);
        const replies = await Promise.all(this.proxies.map(proxy =>
            sendWorkerRequest(proxy, { kind: WorkerRequestKind.Baseline, options: { targets, timeoutMs } })));
        return replies.map(reply => reply.kind === WorkerReplyKind.Listening ? reply.address : "");
    }

    /** Closes the baseline proxies, because their connections count against the targets' connection limits. */
    async closeBaselineProxies(): Promise<void> {
        await Promise.all(this.proxies.map(proxy =>
            sendWorkerRequest(proxy, { kind: WorkerRequestKind.CloseBaseline })));
    }

    /**
     * Waits until every node lists all nodes as alive and reachable, lists all targets and has activated version 1.
     * Rejects after 60 s.
     */
    async waitUntilJoined(): Promise<void> {
        const control = new ControlClient();
        const clock = new SystemClock();
        const startedAt = clock.now();
        while (!await this.haveAllJoined(control)) {
            if (clock.now() - startedAt > joinTimeoutMs) {
                throw new Error("timed out waiting for all nodes and targets to join");
            }
            await sleep(joinPollIntervalMs);
        }
        control.close();
    }

    private async haveAllJoined(control: ControlClient): Promise<boolean> {
        const reports = await Promise.all(this.nodes.map(node => control.status(node.controlAddress)));
        return reports.every(report => report.kind === ControlOutcomeKind.Done
            && report.value.members.length === this.nodes.length
            && report.value.version === 1
            && report.value.members.every(member => !member.zoneUnreachable && member.entry.liveness === Liveness.Alive)
            && report.value.members.flatMap(({ entry }) => entry.targets).length === this.targets.length);
    }

    private async startNode(zone: string, index: number, store: string): Promise<FleetNode> {
        const settings = join(this.directory, `node-${index}.yaml`);
        writeFileSync(settings, JSON.stringify({
            host: `host-${index}`,
            zone,
            region: this.options.shape.region,
            control: { host: loopback, port: 0 },
            calls: { host: loopback, port: 0 },
            store,
            peers: this.nodes.slice(0, 1).map(node => node.controlAddress),
        }));
        const { child, fields } = await this.options.processes.startProgram(
            resolveDistFile("bilberrycroft-node.mjs"),
            ["--settings", settings],
            "Node started.",
        );
        return { zone, controlAddress: fields.control ?? "", callAddress: fields.calls ?? "", child };
    }

    private startTarget(placement: TargetPlacement, index: number): Promise<FleetTarget> {
        const { shape, runTimes } = this.options;
        return this.startTargetProgram(placement, index, {
            slots: shape.slots,
            connections: shape.connections,
            queue: shape.slots,
            longPaths: shape.longPaths,
            ...runTimes,
        });
    }

    private startSteadyTarget(index: number): Promise<FleetTarget> {
        const zone = this.nodes[index]?.zone ?? "";
        const placement = { id: `${steadyService}-${index + 1}`, service: steadyService, zone };
        return this.startTargetProgram(placement, index, {
            shortMs: steadyRunTimeMs,
            jitter: 0,
            slots: this.options.shape.slots,
        });
    }

    private async startTargetProgram(
        placement: TargetPlacement,
        nodeIndex: number,
        settings: Readonly<Record<string, unknown>>,
    ): Promise<FleetTarget> {
        const file = join(this.directory, `${placement.id}.yaml`);
        const { id, service } = placement;
        const seed = this.options.seed * 1_000 + this.targets.length + nodeIndex;
        const nodeControl = this.nodes[nodeIndex]?.controlAddress;
        writeFileSync(file, JSON.stringify({ id, service, seed, nodeControl, coldStartMs: 0, ...settings }));
        const { child, fields } = await this.options.processes.startProgram(
            resolveDistFile("bilberrycroft-target.mjs"),
            ["--settings", file],
            "Listening.",
        );
        return { ...placement, address: fields.address ?? "", child };
    }

    private async writeRules(address: string): Promise<void> {
        const clock = new SystemClock();
        const snapshot = createSnapshot({
            version: 1,
            parent: 0,
            text: readFileSync(this.options.shape.rulesFile, "utf8") + steadyRules,
            changeId: "bench",
            operator: "bench",
            acceptedAt: Math.floor(clock.wallTime()),
        });
        const condition = { kind: WriteConditionKind.Absent } as const;
        await new HttpStore({ address }).write(currentConfigurationKey, JSON.stringify(snapshot), condition);
    }
}

interface TargetPlacement {
    readonly id: string;
    readonly service: string;
    readonly zone: string;
}

/** Spreads the endpoints of each service over the zones, round robin. */
function placeTargets(shape: DeploymentShape): TargetPlacement[] {
    return shape.services.flatMap((service, serviceIndex) => Array.from({ length: service.endpoints }, (_, index) => ({
        id: `${service.name}-${index + 1}`,
        service: service.name,
        zone: shape.zones[(serviceIndex + index) % shape.zones.length] ?? "",
    })));
}

function resolveDistFile(name: string): string {
    return fileURLToPath(new URL(name, import.meta.url));
}

export function sleep(durationMs: Milliseconds): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, durationMs));
}
