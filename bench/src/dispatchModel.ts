/**
 * Compares the dispatcher with a plain baseline in a deterministic model of one service.
 *
 *     npx esbuild bench/src/dispatchModel.ts --bundle --platform=node --format=esm --outfile=dist/dispatchModel.mjs \
 *         && node dist/dispatchModel.mjs [seed] [case]
 *
 * Rows with a star count only the calls that were sent while the case's disturbance lasted.
 */
import { TargetState } from "@bilberrycroft/coordination.membership";
import type { RoutingTarget } from "@bilberrycroft/coordination.routing";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { createSeededRandom } from "@bilberrycroft/core.random";
import type { Random } from "@bilberrycroft/core.random";
import { fleet, scenarios } from "./dispatchModel/scenarios";
import type { Scenario, Traffic } from "./dispatchModel/scenarios";
import { BaselineSender, DispatcherSender } from "./dispatchModel/senders";
import type { Sender, SenderOptions } from "./dispatchModel/senders";
import { ModelTarget, Reporting, Simulation } from "./dispatchModel/simulation";

const warmUpMs = 2_000;
const endMs = 10_000;
/** Longer than any deadline, so that no call is cut off by the end of the run. */
const drainMs = 6_000;
const zoneDistanceMs = 1;
/** About the 95th percentile of a lookup. */
const hedgeAfterMs = 15;

interface Tally {
    offered: number;
    latencies: Milliseconds[];
}

function createTargets(count: number): RoutingTarget[] {
    return Array.from({ length: count }, (_, index) => ({
        id: `t${index}`,
        service: "readings",
        address: `127.0.0.1:${9_000 + index}`,
        zone: `z${index % fleet.zones}`,
        state: TargetState.Ready,
        slots: fleet.slots,
        connections: 100,
        reachable: true,
    }));
}

function createModels(scenario: Scenario, simulation: Simulation): ModelTarget[] {
    return createTargets(scenario.targets).map((_, index) => new ModelTarget({
        simulation,
        index,
        slots: fleet.slots,
        speed: scenario.speeds[index] ?? 1,
        slowdowns: scenario.slowdowns,
        reporting: scenario.reporting[index] ?? Reporting.Honest,
    }));
}

/** Run times vary between a half and one and a half of the mean, and one call in ten takes three times as long. */
function drawRunTime(meanMs: Milliseconds, random: Random): Milliseconds {
    const scale = random.nextFraction() < 0.1 ? 3 : 0.7778;
    return meanMs * scale * (0.5 + random.nextFraction());
}

function generate(
    traffic: Traffic,
    senders: readonly Sender[],
    simulation: Simulation,
    random: Random,
    tallyAt: (sentAt: Milliseconds) => readonly Tally[],
): void {
    let serial = 0;
    const next = (): void => {
        const now = simulation.clock.now();
        const gapMs = (-Math.log(1 - random.nextFraction()) * 1_000) / traffic.rateAt(now);
        simulation.after(gapMs, () => {
            if (simulation.clock.now() < endMs) {
                sendOne(serial++);
                next();
            }
        });
    };
    const sendOne = (number: number): void => {
        const sentAt = simulation.clock.now();
        const deadlineAt = sentAt + traffic.route.timeoutMs;
        const tallies = sentAt >= warmUpMs ? tallyAt(sentAt) : [];
        tallies.forEach(tally => tally.offered++);
        senders[random.nextInteger(senders.length)]?.send({
            callId: `${traffic.route.name}-${number}`,
            route: traffic.route,
            tenant: { name: `tenant-${number % 4}`, weight: 1, ratePerSecond: undefined },
            deadlineAt,
            depth: 0,
            runTimeMs: drawRunTime(traffic.meanRunTimeMs, random),
            finish: done => {
                if (done && simulation.clock.now() <= deadlineAt) {
                    tallies.forEach(tally => tally.latencies.push(simulation.clock.now() - sentAt));
                }
            },
        });
    };
    next();
}

function runScenario(
    scenario: Scenario,
    seed: number,
    createSender: (options: SenderOptions) => Sender,
): Map<string, Tally> {
    const simulation = new Simulation();
    const models = createModels(scenario, simulation);
    const targets = createTargets(scenario.targets);
    const senders = Array.from({ length: fleet.nodes }, (_, rank) => createSender({
        simulation,
        targets,
        models,
        rank,
        senders: fleet.nodes,
        zone: `z${Math.floor((rank * fleet.zones) / fleet.nodes)}`,
        zoneDistanceMs,
    }));
    const tallies = new Map<string, Tally>();
    const tallyOf = (group: string): Tally => {
        const tally = tallies.get(group) ?? { offered: 0, latencies: [] };
        tallies.set(group, tally);
        return tally;
    };
    scenario.traffic.forEach((traffic, index) => {
        generate(traffic, senders, simulation, createSeededRandom(seed + index), sentAt => {
            const total = tallyOf(traffic.group);
            return scenario.isDisturbed(sentAt) ? [total, tallyOf(`${traffic.group}*`)] : [total];
        });
    });
    simulation.runUntil(endMs + drainMs);
    return tallies;
}

function percentile(sorted: readonly number[], fraction: number): number {
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? Number.NaN;
}

function print(scenario: string, policy: string, group: string, tally: Tally): void {
    const sorted = [...tally.latencies].sort((first, second) => first - second);
    const goodPercent = (100 * sorted.length) / Math.max(1, tally.offered);
    console.log([
        scenario.padEnd(26),
        policy.padEnd(11),
        group.padEnd(6),
        `good ${goodPercent.toFixed(2).padStart(6)} %`,
        `(${Math.round(sorted.length / ((endMs - warmUpMs) / 1_000))}/s)`.padStart(9),
        `p50 ${percentile(sorted, 0.5).toFixed(2).padStart(7)}`,
        `p99 ${percentile(sorted, 0.99).toFixed(2).padStart(8)}`,
        `p99.9 ${percentile(sorted, 0.999).toFixed(2).padStart(8)} ms`,
    ].join("  "));
}

const seed = Number(process.argv[2] ?? 1);
const wanted = process.argv[3] ?? "";
for (const scenario of scenarios.filter(({ name }) => name.includes(wanted))) {
    const policies = [
        { policy: "baseline", create: (options: SenderOptions) => new BaselineSender(options) },
        { policy: "dispatcher", create: (options: SenderOptions) => new DispatcherSender(options, undefined) },
        { policy: "with hedges", create: (options: SenderOptions) => new DispatcherSender(options, hedgeAfterMs) },
    ];
    for (const { policy, create } of policies) {
        for (const [group, tally] of runScenario(scenario, seed, create)) {
            print(scenario.name, policy, group, tally);
        }
    }
}
