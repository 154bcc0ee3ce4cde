/**
 * Calls in flight of this node, by target and class, and the limits on them.
 *
 * Short work never waits behind long work because the long class may hold at most a third of a target, of a service's
 * targets together, and of the node.
 */
import type { RoutingTarget, TargetLoad } from "@bilberrycroft/coordination.routing";
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import { RunTimeClass } from "@bilberrycroft/state.rules";
import { ConcurrencyLimit } from "./concurrencyLimit";
import type { LimitObservation } from "./concurrencyLimit";

const longPart = 1 / 3;
const runTimeGain = 0.1;

/** Calls in flight in one place. */
interface Occupancy {
    total: number;
    long: number;
}

interface TargetCapacity {
    readonly limit: ConcurrencyLimit;
    readonly occupancy: Occupancy;
}

/** Options of `Capacity`. */
export interface CapacityOptions {
    readonly clock: Clock;
    /** Calls that the node carries at once. */
    readonly nodeConcurrency: number;
}

/** Counts and limits of this node. */
export class Capacity {
    private readonly targets = new Map<string, TargetCapacity>();
    private readonly services = new Map<string, Occupancy>();
    private readonly node: Occupancy = { total: 0, long: 0 };
    private readonly runTimes = new Map<string, Milliseconds>();

    constructor(private readonly options: CapacityOptions) {}

    /** Takes the targets of all services; forgets the others once they are empty. */
    setTargets(targets: readonly RoutingTarget[]): void {
        const present = new Set(targets.map(target => target.id));
        for (const [id, { occupancy }] of this.targets) {
            if (!present.has(id) && occupancy.total === 0) {
                this.targets.delete(id);
            }
        }
        for (const target of targets) {
            this.capacityOf(target).limit.setSlots(target.slots);
        }
    }

    /** Whether the node may take one more call of the class at all. */
    nodeHasRoom(runTimeClass: RunTimeClass): boolean {
        if (this.node.total >= this.options.nodeConcurrency) {
            return false;
        }
        return runTimeClass === RunTimeClass.Short || this.node.long < shareOfLong(this.options.nodeConcurrency);
    }

    /** Whether the service may take one more long call; `limit` is the sum of its targets' limits. */
    serviceHasRoomForLong(service: string, targets: readonly RoutingTarget[]): boolean {
        const limit = targets.reduce((sum, target) => sum + this.capacityOf(target).limit.calls, 0);
        return (this.services.get(service)?.long ?? 0) < shareOfLong(limit);
    }

    /** Whether a target may take one more call. */
    hasRoom(load: TargetLoad, runTimeClass: RunTimeClass): boolean {
        const { limit, occupancy } = this.capacityOf(load.target);
        const admitted = Math.max(1, Math.floor(limit.calls * load.ramp));
        if (runTimeClass === RunTimeClass.Long) {
            return hasRoomForLong(load, occupancy, admitted);
        }
        // A target full of other nodes' calls still takes one of each node, so that no node is starved.
        return occupancy.total === 0 || occupancy.total + load.others < admitted;
    }

    started(target: RoutingTarget, runTimeClass: RunTimeClass): void {
        this.count(target, runTimeClass, 1);
    }

    ended(target: RoutingTarget, runTimeClass: RunTimeClass): void {
        this.count(target, runTimeClass, -1);
    }

    /** Takes the latency of an answer; call it before `ended`. */
    answered(target: RoutingTarget, slowdown: number): void {
        const { limit, occupancy } = this.capacityOf(target);
        const observation: LimitObservation = { slowdown, calls: occupancy.total };
        limit.answered(observation, this.options.clock.now());
    }

    /** Takes a refusal by the target or an attempt without an answer. */
    overloaded(target: RoutingTarget): void {
        this.capacityOf(target).limit.overloaded(this.options.clock.now());
    }

    limitOf(target: RoutingTarget): number {
        return this.capacityOf(target).limit.calls;
    }

    callsIn(service: string, runTimeClass: RunTimeClass): number {
        const occupancy = this.services.get(service) ?? { total: 0, long: 0 };
        return runTimeClass === RunTimeClass.Long ? occupancy.long : occupancy.total - occupancy.long;
    }

    /** Adds a run time to the average of a service and class. */
    addRunTime(service: string, runTimeClass: RunTimeClass, runTimeMs: Milliseconds): void {
        const key = `${service} ${runTimeClass}`;
        const before = this.runTimes.get(key) ?? runTimeMs;
        this.runTimes.set(key, before + runTimeGain * (runTimeMs - before));
    }

    /** Mean time between two calls of the class that leave a slot, while all slots are in use. */
    slotIntervalMs(service: string, runTimeClass: RunTimeClass): Milliseconds {
        const runTimeMs = this.runTimes.get(`${service} ${runTimeClass}`) ?? 0;
        return runTimeMs / Math.max(1, this.callsIn(service, runTimeClass));
    }

    private count(target: RoutingTarget, runTimeClass: RunTimeClass, change: 1 | -1): void {
        const service = this.services.get(target.service) ?? { total: 0, long: 0 };
        this.services.set(target.service, service);
        for (const occupancy of [this.capacityOf(target).occupancy, service, this.node]) {
            occupancy.total += change;
            occupancy.long += runTimeClass === RunTimeClass.Long ? change : 0;
        }
    }

    private capacityOf(target: RoutingTarget): TargetCapacity {
        const known = this.targets.get(target.id);
        if (known !== undefined) {
            return known;
        }
        const created = { limit: new ConcurrencyLimit(target.slots), occupancy: { total: 0, long: 0 } };
        this.targets.set(target.id, created);
        return created;
    }
}

/**
 * The classes of other nodes' calls are unknown. Within its share of the long calls a node needs no knowledge of them;
 * beyond it, all calls in the target together must fit into the third that long calls may hold.
 */
function hasRoomForLong(load: TargetLoad, occupancy: Occupancy, admitted: number): boolean {
    const { others, reportedOthers, longShare } = load;
    if (occupancy.long >= shareOfLong(admitted)) {
        return false;
    }
    const calls = occupancy.total + 1;
    if (occupancy.long < longShare) {
        return calls + others <= admitted;
    }
    return reportedOthers !== undefined && calls + reportedOthers <= shareOfLong(admitted);
}

function shareOfLong(calls: number): number {
    return Math.max(1, Math.floor(calls * longPart));
}
