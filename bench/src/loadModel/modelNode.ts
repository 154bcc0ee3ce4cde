/**
 * A node of the load model with the target beside it. It holds the product's decisions; the model carries them out.
 */
import {
    CallerAges,
    RetryBudgets,
    RouteLatencyTable,
    type TargetDirectory,
    type TargetQueue,
} from "@bilberrycroft/coordination.forwarding";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import type { Random } from "@bilberrycroft/core.random";
import { type NodeEntry, TargetAvailability, TargetPhase } from "@bilberrycroft/protocol.forwarding";
import { DisturbanceKind, isWithin, type Scenario, type TargetDisturbance } from "./scenario";
import { createDirectory, createQueue, type Strategy } from "./strategies";
import type { VirtualTime } from "./virtualTime";

export interface ModelNodeOptions {
    readonly scenario: Scenario;
    readonly strategy: Strategy;
    readonly time: VirtualTime;
    readonly random: Random;
    readonly index: number;
    readonly service: string;
    /** Position among the targets of the service. */
    readonly position: number;
    countNodes(): number;
}

/** The limit window of the users' rule. */
const arrivalWindowMs: Milliseconds = 4_000;

export class ModelNode {
    readonly name: string;
    readonly zone: string;
    readonly service: string;
    readonly directory: TargetDirectory;
    readonly queue: TargetQueue;
    readonly budgets: RetryBudgets;
    readonly latencies = new RouteLatencyTable();
    readonly ages: CallerAges;
    readonly arrivals: Milliseconds[] = [];
    /** Time for which slots were in use. */
    busyMs: Milliseconds = 0;
    /** Whether a check of the queue is scheduled. */
    isAdvancing = false;
    private readonly speedFactor: number;
    private readonly knee: number;
    private readonly risePerCall: number;
    private readonly disturbances: readonly TargetDisturbance[];

    constructor(private readonly options: ModelNodeOptions) {
        const { scenario, strategy, time: { clock }, random, index, service, position } = options;
        const { targets, slots, speedSpread, knee, kneeShare, risePerCall } = scenario.services[service] as Scenario["services"][string];
        this.name = `n-${index}`;
        this.zone = `z-${index % scenario.zones}`;
        this.service = service;
        this.directory = createDirectory(strategy, { clock, random, node: this.name, zone: this.zone });
        this.queue = createQueue(strategy, { clock, random, linkBacklogMs: () => 0 });
        this.queue.setTarget({ slots, availability: TargetAvailability.Serving });
        this.budgets = new RetryBudgets({ clock, bound: scenario.retryBudget, countNodes: () => options.countNodes() });
        this.ages = new CallerAges(clock);
        // Speeds are evenly spread around the mean, so that the capacity of a service does not depend on the seed.
        const place = targets === 1 ? 0 : 2 * position / (targets - 1) - 1;
        this.speedFactor = speedSpread ** (place / 2);
        this.knee = knee !== undefined && position < Math.ceil(kneeShare * targets) ? knee : slots;
        this.risePerCall = risePerCall;
        this.disturbances = scenario.disturbances.filter(disturbance =>
            disturbance.service === service && position < Math.ceil(disturbance.share * targets));
    }

    get entry(): NodeEntry {
        const { slots } = this.options.scenario.services[this.service] as Scenario["services"][string];
        const target = {
            id: `t-${this.name}`,
            service: this.service,
            slots,
            phase: TargetPhase.Ready,
            startedAt: 1,
            coldUntil: 0,
        };
        return { node: this.name, zone: this.zone, address: `${this.name}:1`, processors: 1, target, crashes: [] };
    }

    /** Multiple of the mean run time that runs which start now take. */
    get slowness(): number {
        const factors = this.active.map(active => active.kind === DisturbanceKind.Slow ? active.factor : 1);
        const slowdown = 1 + this.risePerCall * Math.max(0, this.queue.runningCalls - this.knee);
        return factors.reduce((product, factor) => product * factor, this.speedFactor * slowdown);
    }

    /** Share of the runs that fail now. */
    get failureShare(): number {
        const shares = this.active.map(active => active.kind === DisturbanceKind.Failing ? active.factor : 0);
        return Math.max(0, ...shares);
    }

    /** Limit that the target names now, in calls per second. */
    get callsPerSecond(): number | undefined {
        return this.active.find(disturbance => disturbance.kind === DisturbanceKind.Limited)?.callsPerSecond;
    }

    /** Most calls that the target got within the window of the rule on limits. */
    get mostArrivals(): number {
        let first = 0;
        return this.arrivals.reduce((most, at, index) => {
            while (at - (this.arrivals[first] ?? at) >= arrivalWindowMs) {
                first++;
            }
            return Math.max(most, index - first + 1);
        }, 0);
    }

    private get active(): readonly TargetDisturbance[] {
        const now = this.options.time.clock.now();
        return this.disturbances.filter(disturbance => isWithin(disturbance, now));
    }
}
