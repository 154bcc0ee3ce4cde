/**
 * One run at one size: start, idle, changes, failures.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { Fleet, type FleetNode } from "./fleet";
import { compareCounts, measureChanges, measurePeriod, waitInForce, waitKnown } from "./measureFleet";
import { round } from "./statistics";

/** Options of `runFleet`. */
export interface FleetRunOptions {
    readonly size: number;
    readonly idleSeconds: number;
    readonly changes: number;
    readonly changeSpacingMs: number;
    readonly nodeFlags: readonly string[];
    readonly failures: boolean;
}

const joinLimitMs = 90_000;
const failureLimitMs = 60_000;
const storeOutageMs = 20_000;

/** Runs one size, prints each figure when it is known, and ends all processes. */
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
        const knownMs = await waitKnown(fleet.nodes, size, joinLimitMs);
        report("start", {
            startsMs: Math.max(...fleet.nodes.map(node => node.startedAt)) - startedAt,
            allKnownMs: Date.now() - startedAt,
            complete: knownMs !== Infinity,
            storeCalls: compareCounts(before, fleet.store.counts(), 1),
        });
        // Retransmissions of the joins end before the idle period begins.
        await sleep(20_000);
        report("idle", await measurePeriod(fleet, async () => void await sleep(options.idleSeconds * 1_000)));
        let convergence;
        const use = await measurePeriod(fleet, async () => {
            convergence = await measureChanges(fleet, options.changes, options.changeSpacingMs);
        });
        report("changes", { spacingMs: options.changeSpacingMs, convergenceMs: convergence, use });
        if (options.failures) {
            await runFailures(fleet, report);
        }
    }
    finally {
        await fleet.close();
    }
}

type Report = (what: string, figures: unknown) => void;

async function runFailures(fleet: Fleet, report: Report): Promise<void> {
    report("node killed", await measureNodeLoss(fleet));
    report("zone killed and restarted", await measureZoneRestart(fleet));
    report("store stopped for 20 s", await measureStoreOutage(fleet));
}

async function measureNodeLoss(fleet: Fleet): Promise<unknown> {
    const victim = fleet.nodes.at(-1) as FleetNode;
    const rest = fleet.nodes.filter(node => node !== victim);
    const zone = rest.filter(node => node.zone === victim.zone);
    await victim.process?.kill();
    const inZone = waitKnown(zone, rest.length, failureLimitMs);
    const everywhere = waitKnown(rest, rest.length, failureLimitMs);
    const result = { zoneMs: await inZone, everywhereMs: await everywhere };
    await fleet.startNodes([victim]);
    const returned = await waitKnown(fleet.nodes, fleet.nodes.length, failureLimitMs);
    return { ...result, returnedEverywhereMs: returned };
}

async function measureZoneRestart(fleet: Fleet): Promise<unknown> {
    const zone = fleet.nodes.filter(node => node.zone === "zone-0");
    await Promise.all(zone.map(node => node.process?.kill()));
    await sleep(10_000);
    const before = fleet.store.counts();
    const startedAt = Date.now();
    await fleet.startNodes(zone, 0);
    const version = Math.max(...fleet.nodes.flatMap(node => [...node.inForceAt.keys()]));
    const inForceMs = await waitInForce(fleet, version, startedAt);
    const storeCalls = compareCounts(before, fleet.store.counts(), 1);
    const knownMs = await waitKnown(fleet.nodes, fleet.nodes.length, failureLimitMs);
    return {
        nodes: zone.length,
        inForceMs,
        lastJoinMs: Math.max(...zone.map(node => node.joinedAt)) - startedAt,
        joined: zone.filter(node => node.joinedAt > 0).length,
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
    const version = await fleet.change();
    const inForceMs = await waitInForce(fleet, version, fleet.store.lastAcceptedAt);
    const seconds = (Date.now() - reopenedAt) / 1_000;
    return {
        processorMsDuringOutage: use.processorMs,
        storeCallsAfterReturn: compareCounts(before, fleet.store.counts(), 1),
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
