/**
 * A whole deployment on loopback in one process: a store stand-in, and one node and one target stand-in per endpoint.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { LogLevel } from "@bilberrycroft/core.logger";
import { type NodeSettings, nodeSettingsSchema, type RunningNode, startNode } from "@bilberrycroft/daemons.node";
import { startStoreStandin, type StoreStandin } from "@bilberrycroft/standins.store";
import { startTargetStandin, type TargetStandin } from "@bilberrycroft/standins.target";
import type { DeploymentShape } from "./deployments";

const loopback = "127.0.0.1";
const baseSeed = 1_000;

/** One simulated host with its node and target. */
export interface MeshHost {
    readonly name: string;
    readonly zone: string;
    readonly service: string;
    readonly node: RunningNode;
    readonly target: TargetStandin;
}

export interface Mesh {
    readonly store: StoreStandin;
    readonly hosts: readonly MeshHost[];
    close(): Promise<void>;
}

export interface MeshOptions {
    readonly shape: DeploymentShape;
    readonly logLevel?: LogLevel;
    /** Cold start of the target stand-ins. Default: 0, full speed from the start. */
    readonly coldStartMs?: Milliseconds;
}

/** Starts a deployment. The endpoints of each service are spread over the zones, round robin. */
export async function startMesh(options: MeshOptions): Promise<Mesh> {
    const { shape } = options;
    const store = await startStoreStandin({ port: 0 });
    const placements = shape.services.flatMap((service, serviceIndex) =>
        Array.from({ length: service.endpoints }, (_, index) => ({
            service: service.name,
            zone: shape.zones[(serviceIndex + index) % shape.zones.length] as string,
            name: `${service.name}-${index + 1}`,
        })));
    const hosts: MeshHost[] = [];
    for (const [index, placement] of placements.entries()) {
        hosts.push(await startHost({ ...options, ...placement, index, store: store.address }));
    }
    return {
        store,
        hosts,
        close: async () => {
            await Promise.all(hosts.map(host => host.target.close()));
            await Promise.all(hosts.map(host => host.node.kill()));
            await store.close();
        },
    };
}

interface HostOptions extends MeshOptions {
    readonly name: string;
    readonly zone: string;
    readonly service: string;
    readonly index: number;
    readonly store: string;
}

async function startHost(options: HostOptions): Promise<MeshHost> {
    const { shape, name, zone, service, index } = options;
    const node = await startNode({ settings: createNodeSettings(options), seed: baseSeed + index });
    const target = await startTargetStandin({
        id: name,
        service,
        slots: shape.slots,
        connections: shape.connections,
        shortMs: shape.shortMs,
        longMs: shape.longMs,
        longPaths: [...shape.longPaths],
        coldStartMs: options.coldStartMs ?? 0,
        seed: index + 1,
        nodeControl: node.controlAddress,
        nodeCalls: node.callAddress,
    });
    return { name, zone, service, node, target };
}

function createNodeSettings(options: HostOptions): NodeSettings {
    return nodeSettingsSchema.parse({
        host: options.name,
        zone: options.zone,
        region: options.shape.region,
        control: { host: loopback, port: 0 },
        calls: { host: loopback, port: 0 },
        store: options.store,
        logLevel: options.logLevel ?? LogLevel.Silent,
    });
}
