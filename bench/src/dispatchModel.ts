/**
 * Compares the dispatcher with a round-robin baseline in a deterministic simulation of one service.
 *
 *     npx esbuild bench/src/dispatchModel.ts --bundle --platform=node --format=esm --outfile=dist/dispatchModel.mjs \
 *         && node dist/dispatchModel.mjs [seed] [scenario]
 *
 * `scenario` selects the scenarios whose names contain it. Rows marked with `*` count only the calls that were sent
 * during the disturbance of the scenario.
 */
import { TargetState } from "@bilberrycroft/coordination.membership";
import type { RoutingTarget } from "@bilberrycroft/coordination.routing";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { createSeededRandom } from "@bilberrycroft/core.random";
import type { Random } from "@bilberrycroft/core.random";
import { fleetShape, scenarios } from "./dispatchModel/scenarios";
import type { Scenario, Traffic } from "./dispatchModel/scenarios";
import { BaselineSender, DispatcherSender } from "./dispatchModel/senders";
import type { Sender, SenderOptions } from "./dispatchModel/senders";
import { ModelTarget, LoadReporting, Simulation } from "./dispatchModel/simulation";

const warmupMs = 2_000;
const loadEndMs = 10_000;
/** Longer than any call timeout, so that the end of the run cuts off no call before its deadline. */
const drainMs = 6_000;
/** Added to the round trip within a zone when the target is in another zone. */
const crossZoneRoundTripMs = 1;
/** About the 95th percentile of the latency of a lookup. */
const hedgeDelayMs = 15;

interface Tally {
    offered: number;
    latencies: Milliseconds[];
}

function createRoutingTargets(count: number): RoutingTarget[] {
    return Array.from({ length: count }, (_, index) => ({
        id: `t${index}`,
        service: "readings",
        address: `127.0.0.1:${9_000 + index}`,
        zone: `z${index % fleetShape.zones}`,
        state: TargetState.Ready,
        slots: fleetShape.slots,
        connections: 100,
        reachable: true,
    }));
}

function createModelTargets(scenario: Scenario, simulation: Simulation): ModelTarget[] {
    return createRoutingTargets(scenario.targets).map((_, index) => new ModelTarget({
        simulation,
        index,
        slots: fleetShape.slots,
        speed: scenario.speeds[index] ?? 1,
        slowdowns: scenario.slowdowns,
        reporting: scenario.reporting[index] ?? LoadReporting.Honest,
    }));
}

/**
 * Draws a run time uniformly between 0.5 and 1.5 times a base value. The base is three times the mean for one call in
 * ten and 0.7778 times the mean for the others, so that the overall mean is `meanMs`.
 */
function drawRunTime(meanMs: Milliseconds, random: Random): Milliseconds {
    const factor = random.nextFraction() < 0.1 ? 3 : 0.7778;
    return meanMs * factor * (0.5 + random.nextFraction());
}

function generateTraffic(
    traffic: Traffic,
    senders: readonly Sender[],
    simulation: Simulation,
    random: Random,
    getTalliesAt: (sentAt: Milliseconds) => readonly Tally[],
): void {
    let nextCallNumber = 0;
    const scheduleNextCall = (): void => {
        const now = simulation.clock.now();
        const gapMs = (-Math.log(1 - random.nextFraction()) * 1_000) / traffic.ratePerSecondAt(now);
        simulation.runAfter(gapMs, () => {
            if (simulation.clock.now() < loadEndMs) {
                sendCall(nextCallNumber++);
                scheduleNextCall();
            }
        });
    };
    const sendCall = (callNumber: number): void => {
        const sentAt = simulation.clock.now();
        const deadlineAt = sentAt + traffic.route.timeoutMs;
        const tallies = sentAt >= warmupMs ? getTalliesAt(sentAt) : [];
        tallies.forEach(tally => tally.offered++);
        senders[random.nextInteger(senders.length)]?.send({
            callId: `${traffic.route.name}-${callNumber}`,
            route: traffic.route,
            tenant: { name: `tenant-${callNumber % 4}`, weight: 1, ratePerSecond: undefined },
            deadlineAt,
            depth: 0,
            runTimeMs: drawRunTime(traffic.meanRunTimeMs, random),
            onFinished: succeeded => {
                if (succeeded && simulation.clock.now() <= deadlineAt) {
                    tallies.forEach(tally => tally.latencies.push(simulation.clock.now() - sentAt));
                }
            },
        });
    };
    scheduleNextCall();
}

function runScenario(
    scenario: Scenario,
    seed: number,
    createSender: (options: SenderOptions) => Sender,
): Map<string, Tally> {
    const simulation = new Simulation();
    const modelTargets = createModelTargets(scenario, simulation);
    const targets = createRoutingTargets(scenario.targets);
    const senders = Array.from({ length: fleetShape.nodes }, (_, rank) => createSender({
        simulation,
        targets,
        modelTargets,
        rank,
        senderCount: fleetShape.nodes,
        zone: `z${Math.floor((rank * fleetShape.zones) / fleetShape.nodes)}`,
        crossZoneRoundTripMs,
    }));
    const tallies = new Map<string, Tally>();
    const getTally = (group: string): Tally => {
        const tally = tallies.get(group) ?? { offered: 0, latencies: [] };
        tallies.set(group, tally);
        return tally;
    };
    scenario.traffic.forEach((traffic, index) => {
        generateTraffic(traffic, senders, simulation, createSeededRandom(seed + index), sentAt => {
            const total = getTally(traffic.group);
            return scenario.isDisturbed(sentAt) ? [total, getTally(`${traffic.group}*`)] : [total];
        });
    });
    simulation.runUntil(loadEndMs + drainMs);
    return tallies;
}

function percentile(sorted: readonly number[], fraction: number): number {
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? Number.NaN;
}

function printRow(scenario: string, policy: string, group: string, tally: Tally): void {
    const sorted = [...tally.latencies].sort((first, second) => first - second);
    const goodPercent = (100 * sorted.length) / Math.max(1, tally.offered);
    console.log([
        scenario.padEnd(26),
        policy.padEnd(11),
        group.padEnd(6),
        `good ${goodPercent.toFixed(2).padStart(6)} %`,
        `(${Math.round(sorted.length / ((loadEndMs - warmupMs) / 1_000))}/s)`.padStart(9),
        `p50 ${percentile(sorted, 0.5).toFixed(2).padStart(7)}`,
        `p99 ${percentile(sorted, 0.99).toFixed(2).padStart(8)}`,
        `p99.9 ${percentile(sorted, 0.999).toFixed(2).padStart(8)} ms`,
    ].join("  "));
}

const seed = Number(process.argv[2] ?? 1);
const nameFilter = process.argv[3] ?? "";
for (const scenario of scenarios.filter(({ name }) => name.includes(nameFilter))) {
    const policies = [
        { policy: "baseline", create: (options: SenderOptions) => new BaselineSender(options) },
        { policy: "dispatcher", create: (options: SenderOptions) => new DispatcherSender(options, undefined) },
        { policy: "with hedges", create: (options: SenderOptions) => new DispatcherSender(options, hedgeDelayMs) },
    ];
    for (const { policy, create } of policies) {
        for (const [group, tally] of runScenario(scenario, seed, create)) {
            printRow(scenario.name, policy, group, tally);
        }
    }
}
