/**
 * A deployment of separate processes: store, nodes, targets, baseline proxies and load generators.
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
import { askWorker } from "./workers";

/** Service of the steady case: its targets run every call for the same short time. */
export const steadyService = "steady";
/** Path of a call of the steady case. */
export const steadyPath = "/steady/probe";
const steadyTargets = 3;
const steadyMs: Milliseconds = 1;
const steadyRules = [
    `service ${steadyService} # bench: targets of equal run time`,
    `route ${steadyService} path=/${steadyService} to=${steadyService} class=short timeout=1s repeat=yes # bench`,
    "",
].join("\n");

const loopback = "127.0.0.1";
const generators = 3;
/** On a busy machine the joins of all nodes, which are jittered and limited, take over 20 s. */
const joinLimitMs: Milliseconds = 60_000;
const joinPollMs: Milliseconds = 100;
/** Connection pools and learned limits of a fresh node are empty; a node serves calls once the rules are in force. */
const activationMs: Milliseconds = 300;

/** Run times of the targets. */
export interface FleetTimes {
    readonly shortMs: Milliseconds;
    readonly longMs: Milliseconds;
}

/** One target. */
export interface FleetTarget {
    readonly id: string;
    readonly service: string;
    readonly zone: string;
    readonly address: string;
    readonly child: ChildProcess;
}

/** One node. */
export interface FleetNode {
    readonly zone: string;
    readonly control: string;
    readonly calls: string;
    readonly child: ChildProcess;
}

/** Options of `startFleet`. */
export interface FleetOptions {
    readonly shape: DeploymentShape;
    readonly times: FleetTimes;
    readonly processes: ProcessSet;
    readonly seed: number;
}

/** Starts a deployment and resolves when every node knows every target and has the rules in force. */
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

/** A running deployment. */
export class Fleet {
    readonly nodes: FleetNode[] = [];
    readonly targets: FleetTarget[] = [];
    generators: readonly ChildProcess[] = [];
    private proxies: readonly ChildProcess[] = [];

    constructor(private readonly options: FleetOptions, private readonly directory: string) {}

    /** Starts everything. */
    async start(): Promise<void> {
        const { processes, shape } = this.options;
        const worker = distFile("bench-worker.mjs");
        this.generators = Array.from({ length: generators }, () => processes.startWorker(worker));
        const store = await processes.startProgram(distFile("bilberrycroft-store.mjs"), ["--port", "0"], "Listening.");
        const address = store.fields.address ?? "";
        await this.writeRules(address);
        const places = placeTargets(shape);
        this.nodes.push(await this.startNode(places[0]?.zone ?? "", 0, address));
        const others = places.slice(1).map((place, index) => this.startNode(place.zone, index + 1, address));
        this.nodes.push(...await Promise.all(others));
        this.proxies = places.map(() => processes.startWorker(worker));
        const starting = places.map((place, index) => this.startTarget(place, index));
        const steady = Array.from({ length: steadyTargets }, (_, index) => this.startSteadyTarget(index));
        this.targets.push(...await Promise.all([...starting, ...steady]));
        await this.waitUntilJoined();
        await sleep(activationMs);
    }

    /** Addresses of the nodes' call listeners, outside one zone if given. */
    nodeAddresses(exceptZone?: string): string[] {
        return this.nodes.filter(node => node.zone !== exceptZone).map(node => node.calls);
    }

    /** Targets of a service. */
    targetsOf(service: string): FleetTarget[] {
        return this.targets.filter(target => target.service === service);
    }

    /** Starts one baseline proxy for each node over the targets of a service; outside one zone if given. */
    async startBaselines(service: string, timeoutMs: Milliseconds): Promise<string[]> {
        const targets = this.targetsOf(service).map(target => target.address);
        const replies = await Promise.all(this.proxies.map(proxy =>
            askWorker(proxy, { kind: WorkerRequestKind.Baseline, options: { targets, timeoutMs } })));
        return replies.map(reply => reply.kind === WorkerReplyKind.Listening ? reply.address : "");
    }

    /** Ends the baseline proxies' connections, which would count against the targets' limits. */
    async closeBaselines(): Promise<void> {
        await Promise.all(this.proxies.map(proxy => askWorker(proxy, { kind: WorkerRequestKind.CloseBaseline })));
    }

    /** Waits until every node knows every other and all targets are reachable. */
    async waitUntilJoined(): Promise<void> {
        const control = new ControlClient();
        const clock = new SystemClock();
        const startedAt = clock.now();
        while (!await this.haveAllJoined(control)) {
            if (clock.now() - startedAt > joinLimitMs) {
                throw new Error("the nodes did not learn of each other in time");
            }
            await sleep(joinPollMs);
        }
        control.close();
    }

    private async haveAllJoined(control: ControlClient): Promise<boolean> {
        const reports = await Promise.all(this.nodes.map(node => control.status(node.control)));
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
            peers: this.nodes.slice(0, 1).map(node => node.control),
        }));
        const { child, fields } = await this.options.processes.startProgram(
            distFile("bilberrycroft-node.mjs"),
            ["--settings", settings],
            "Node started.",
        );
        return { zone, control: fields.control ?? "", calls: fields.calls ?? "", child };
    }

    private startTarget(place: TargetPlace, index: number): Promise<FleetTarget> {
        const { shape, times } = this.options;
        return this.startTargetProgram(place, index, {
            slots: shape.slots,
            connections: shape.connections,
            queue: shape.slots,
            longPaths: shape.longPaths,
            ...times,
        });
    }

    private startSteadyTarget(index: number): Promise<FleetTarget> {
        const zone = this.nodes[index]?.zone ?? "";
        const place = { id: `${steadyService}-${index + 1}`, service: steadyService, zone };
        return this.startTargetProgram(place, index, { shortMs: steadyMs, jitter: 0, slots: this.options.shape.slots });
    }

    private async startTargetProgram(
        place: TargetPlace,
        nodeIndex: number,
        settings: Readonly<Record<string, unknown>>,
    ): Promise<FleetTarget> {
        const file = join(this.directory, `${place.id}.yaml`);
        const { id, service } = place;
        const seed = this.options.seed * 1_000 + this.targets.length + nodeIndex;
        const nodeControl = this.nodes[nodeIndex]?.control;
        writeFileSync(file, JSON.stringify({ id, service, seed, nodeControl, coldStartMs: 0, ...settings }));
        const { child, fields } = await this.options.processes.startProgram(
            distFile("bilberrycroft-target.mjs"),
            ["--settings", file],
            "Listening.",
        );
        return { ...place, address: fields.address ?? "", child };
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

interface TargetPlace {
    readonly id: string;
    readonly service: string;
    readonly zone: string;
}

/** Spreads the endpoints of each service over the zones in turn. */
function placeTargets(shape: DeploymentShape): TargetPlace[] {
    return shape.services.flatMap((service, first) => Array.from({ length: service.endpoints }, (_, index) => ({
        id: `${service.name}-${index + 1}`,
        service: service.name,
        zone: shape.zones[(first + index) % shape.zones.length] ?? "",
    })));
}

function distFile(name: string): string {
    return fileURLToPath(new URL(name, import.meta.url));
}

/** Waits. */
export function sleep(duration: Milliseconds): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, duration));
}
