/**
 * Measures a fleet of one size: start, idle period, changes of the rules file and failures.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { Fleet, type FleetNode } from "./fleet";
import { computeCallRates, measureChanges, measurePeriod, waitUntilInForce, waitUntilAllListed } from "./measureFleet";
import { round } from "./statistics";

export interface FleetRunOptions {
    readonly size: number;
    readonly idleSeconds: number;
    readonly changeCount: number;
    readonly changeIntervalMs: number;
    readonly nodeFlags: readonly string[];
    readonly includeFailures: boolean;
}

const joinTimeoutMs = 90_000;
const recoveryTimeoutMs = 60_000;
const storeOutageMs = 20_000;

/** Prints each result as JSON when it is available. Stops all processes before it resolves. */
export async function runFleet(options: FleetRunOptions): Promise<void> {
    const { size } = options;
    const zones = chooseZoneCount(size);
    const fleet = new Fleet({ size, zones, nodeFlags: options.nodeFlags });
    const report = (what: string, figures: unknown): void =>
        console.log(JSON.stringify({ size, zones, what, figures }));
    try {
        const startedAt = Date.now();
        const before = fleet.store.counts();
        await fleet.start();
        const knownMs = await waitUntilAllListed(fleet.nodes, size, joinTimeoutMs);
        report("start", {
            startsMs: Math.max(...fleet.nodes.map(node => node.startedAt)) - startedAt,
            allKnownMs: Date.now() - startedAt,
            complete: knownMs !== Infinity,
            storeCalls: computeCallRates(before, fleet.store.counts(), 1),
        });
        // Waits until the retransmissions of the joins have ended, so that they are not part of the idle period.
        await sleep(20_000);
        report("idle", await measurePeriod(fleet, async () => void await sleep(options.idleSeconds * 1_000)));
        let convergence;
        const use = await measurePeriod(fleet, async () => {
            convergence = await measureChanges(fleet, options.changeCount, options.changeIntervalMs);
        });
        report("changes", { spacingMs: options.changeIntervalMs, convergenceMs: convergence, use });
        if (options.includeFailures) {
            await measureFailures(fleet, report);
        }
    }
    finally {
        await fleet.close();
    }
}

type FigureReporter = (what: string, figures: unknown) => void;

async function measureFailures(fleet: Fleet, report: FigureReporter): Promise<void> {
    report("node killed", await measureNodeLoss(fleet));
    report("zone killed and restarted", await measureZoneRestart(fleet));
    report("store stopped for 20 s", await measureStoreOutage(fleet));
}

async function measureNodeLoss(fleet: Fleet): Promise<unknown> {
    const killedNode = fleet.nodes.at(-1) as FleetNode;
    const remainingNodes = fleet.nodes.filter(node => node !== killedNode);
    const zoneNodes = remainingNodes.filter(node => node.zone === killedNode.zone);
    await killedNode.process?.kill();
    const inZone = waitUntilAllListed(zoneNodes, remainingNodes.length, recoveryTimeoutMs);
    const everywhere = waitUntilAllListed(remainingNodes, remainingNodes.length, recoveryTimeoutMs);
    const result = { zoneMs: await inZone, everywhereMs: await everywhere };
    await fleet.startNodes([killedNode]);
    const returnedMs = await waitUntilAllListed(fleet.nodes, fleet.nodes.length, recoveryTimeoutMs);
    return { ...result, returnedEverywhereMs: returnedMs };
}

async function measureZoneRestart(fleet: Fleet): Promise<unknown> {
    const zoneNodes = fleet.nodes.filter(node => node.zone === "zone-0");
    await Promise.all(zoneNodes.map(node => node.process?.kill()));
    await sleep(10_000);
    const before = fleet.store.counts();
    const startedAt = Date.now();
    await fleet.startNodes(zoneNodes, 0);
    const version = Math.max(...fleet.nodes.flatMap(node => [...node.activationTimes.keys()]));
    const inForceMs = await waitUntilInForce(fleet, version, startedAt);
    const storeCalls = computeCallRates(before, fleet.store.counts(), 1);
    const knownMs = await waitUntilAllListed(fleet.nodes, fleet.nodes.length, recoveryTimeoutMs);
    return {
        nodes: zoneNodes.length,
        inForceMs,
        lastJoinMs: Math.max(...zoneNodes.map(node => node.joinedAt)) - startedAt,
        joined: zoneNodes.filter(node => node.joinedAt > 0).length,
        knownEverywhereMs: knownMs === Infinity ? knownMs : Date.now() - startedAt,
        storeCallsUntilInForce: storeCalls,
    };
}

async function measureStoreOutage(fleet: Fleet): Promise<unknown> {
    await fleet.closeStore();
    const use = await measurePeriod(fleet, async () => void await sleep(storeOutageMs));
    const before = fleet.store.counts();
    const reopenedAt = Date.now();
    await fleet.openStore();
    const version = await fleet.applyNextChange();
    const inForceMs = await waitUntilInForce(fleet, version, fleet.store.lastAcceptedAt);
    const seconds = (Date.now() - reopenedAt) / 1_000;
    return {
        processorMsDuringOutage: use.processorMs,
        storeCallsAfterReturn: computeCallRates(before, fleet.store.counts(), 1),
        afterReturnSeconds: round(seconds),
        changeAfterReturnInForceMs: inForceMs,
    };
}

function chooseZoneCount(size: number): number {
    if (size < 20) {
        return 2;
    }
    return size < 100 ? 4 : 10;
}
