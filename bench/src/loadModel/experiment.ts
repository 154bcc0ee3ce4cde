/**
 * The experiments of the load model: plays of a scenario, comparisons of strategies and builds, and sweeps of the size.
 */
import { performance } from "node:perf_hooks";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { comparePlays, type PairedDifference } from "./comparison";
import { MeshModel } from "./meshModel";
import type { PlayResult } from "./results";
import type { Scenario } from "./scenario";
import { Strategy } from "./strategies";

export interface ExperimentOptions {
    readonly scenario: Scenario;
    readonly strategies: readonly Strategy[];
    readonly seeds: readonly number[];
    /** Called before each play. */
    handleProgress(text: string): void;
}

export interface SweepResult {
    readonly size: number;
    readonly nodes: number;
    readonly plays: readonly PlayResult[];
    /** Time that the plays took. */
    readonly elapsedMs: Milliseconds;
}

export type PlaysByStrategy = ReadonlyMap<Strategy, readonly PlayResult[]>;

export function playStrategies({ scenario, strategies, seeds, handleProgress }: ExperimentOptions): PlaysByStrategy {
    return new Map(strategies.map(strategy => [strategy, seeds.map(seed => {
        handleProgress(`${scenario.name}, ${strategy}, seed ${seed}`);
        return new MeshModel({ scenario, strategy, seed }).run();
    })]));
}

/** Differences of all other strategies from the product. */
export function compareStrategies(plays: PlaysByStrategy): ReadonlyMap<Strategy, readonly PairedDifference[]> {
    const product = plays.get(Strategy.Product) ?? [];
    const others = [...plays].filter(([strategy]) => strategy !== Strategy.Product);
    return new Map(others.map(([strategy, results]) => [strategy, comparePlays(product, results)]));
}

/** Plays the scenario with multiples of its targets and calls. */
export function sweepSizes(options: ExperimentOptions, sizes: readonly number[]): SweepResult[] {
    return sizes.map(size => {
        const startedAt = performance.now();
        const scenario = scale(options.scenario, size);
        const plays = playStrategies({ ...options, scenario }).get(Strategy.Product) ?? [];
        const nodes = Object.values(scenario.services).reduce((sum, { targets }) => sum + targets, 0);
        return { size, nodes, plays, elapsedMs: performance.now() - startedAt };
    });
}

export function scale(scenario: Scenario, size: number): Scenario {
    return {
        ...scenario,
        name: `${scenario.name} x ${size}`,
        retryBudget: { ...scenario.retryBudget, allowance: scenario.retryBudget.allowance * size },
        services: Object.fromEntries(Object.entries(scenario.services).map(([name, service]) =>
            [name, { ...service, targets: service.targets * size }])),
        classes: Object.fromEntries(Object.entries(scenario.classes).map(([name, callClass]) =>
            [name, { ...callClass, callsPerSecond: callClass.callsPerSecond * size }])),
    };
}
