/**
 * Counts this node's calls in flight by target, service and run-time class, and applies the limits on them.
 *
 * The long class may hold at most a third of a target, of all targets of a service together, and of the node, so that
 * short calls never wait behind long ones.
 */
import type { EstimatedTargetLoad, RoutingTarget } from "@bilberrycroft/coordination.routing";
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import { RunTimeClass } from "@bilberrycroft/state.rules";
import { ConcurrencyLimit } from "./concurrencyLimit";
import type { LimitObservation } from "./concurrencyLimit";

const maxLongCallShare = 1 / 3;
const runTimeEwmaWeight = 0.1;

/** Calls in flight on a target, on a service or on the node. */
interface Occupancy {
    total: number;
    long: number;
}

interface TargetCapacity {
    readonly limit: ConcurrencyLimit;
    readonly occupancy: Occupancy;
}

export interface CapacityOptions {
    readonly clock: Clock;
    /** Maximum number of attempts in flight on this node. */
    readonly nodeConcurrency: number;
}

export class Capacity {
    private readonly targets = new Map<string, TargetCapacity>();
    private readonly services = new Map<string, Occupancy>();
    private readonly node: Occupancy = { total: 0, long: 0 };
    private readonly runTimes = new Map<string, Record<RunTimeClass, Milliseconds | undefined>>();

    constructor(private readonly options: CapacityOptions) {}

    /**
     * Replaces the targets of all services. A removed target is kept while calls are in flight on it, and what is known
     * of a service while it has a target or a call.
     */
    setTargets(targets: readonly RoutingTarget[]): void {
        this.forgetServices(new Set(targets.map(target => target.service)));
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

    /** Whether the limits of this node admit one more call of the class. */
    hasNodeCapacity(runTimeClass: RunTimeClass): boolean {
        if (this.node.total >= this.options.nodeConcurrency) {
            return false;
        }
        return runTimeClass === RunTimeClass.Short || this.node.long < maxLongCalls(this.options.nodeConcurrency);
    }

    /** Whether the service admits one more long call: at most a third of the sum of its targets' limits. */
    hasServiceCapacityForLongCall(service: string, targets: readonly RoutingTarget[]): boolean {
        const limit = targets.reduce((sum, target) => sum + this.capacityOf(target).limit.maxCalls, 0);
        return (this.services.get(service)?.long ?? 0) < maxLongCalls(limit);
    }

    /** Whether the target admits one more call of the class. The limit of a warming target is reduced by its ramp. */
    hasTargetCapacity(load: EstimatedTargetLoad, runTimeClass: RunTimeClass): boolean {
        const { limit, occupancy } = this.capacityOf(load.target);
        const rampedLimit = Math.max(1, Math.floor(limit.maxCalls * load.ramp));
        if (runTimeClass === RunTimeClass.Long) {
            return hasCapacityForLongCall(load, occupancy, rampedLimit);
        }
        // A target filled by other nodes still admits one call from each node, so that no node is starved.
        return occupancy.total === 0 || occupancy.total + load.otherCalls < rampedLimit;
    }

    recordAttemptStart(target: RoutingTarget, runTimeClass: RunTimeClass): void {
        this.adjustOccupancy(target, runTimeClass, 1);
    }

    recordAttemptEnd(target: RoutingTarget, runTimeClass: RunTimeClass): void {
        this.adjustOccupancy(target, runTimeClass, -1);
    }

    /** Adjusts the concurrency limit. Must be called before `recordAttemptEnd`, while the call still counts. */
    recordResponse(target: RoutingTarget, slowdown: number): void {
        const { limit, occupancy } = this.capacityOf(target);
        const observation: LimitObservation = { slowdown, calls: occupancy.total };
        limit.recordResponse(observation, this.options.clock.now());
    }

    /** Lowers the concurrency limit after the target refused a call or an attempt timed out. */
    recordOverload(target: RoutingTarget): void {
        this.capacityOf(target).limit.recordOverload(this.options.clock.now());
    }

    concurrencyLimitOf(target: RoutingTarget): number {
        return this.capacityOf(target).limit.maxCalls;
    }

    callsInFlightOf(service: string, runTimeClass: RunTimeClass): number {
        const occupancy = this.services.get(service) ?? { total: 0, long: 0 };
        return runTimeClass === RunTimeClass.Long ? occupancy.long : occupancy.total - occupancy.long;
    }

    /** Updates the EWMA of run times of the service and class. */
    recordRunTime(service: string, runTimeClass: RunTimeClass, runTimeMs: Milliseconds): void {
        const averages = this.runTimes.get(service)
            ?? { [RunTimeClass.Short]: undefined, [RunTimeClass.Long]: undefined };
        this.runTimes.set(service, averages);
        const average = averages[runTimeClass] ?? runTimeMs;
        averages[runTimeClass] = average + runTimeEwmaWeight * (runTimeMs - average);
    }

    /** Estimated mean time between two releases of a slot by calls of the class while all slots are in use. */
    releaseIntervalMs(service: string, runTimeClass: RunTimeClass): Milliseconds {
        const runTimeMs = this.runTimes.get(service)?.[runTimeClass] ?? 0;
        return runTimeMs / Math.max(1, this.callsInFlightOf(service, runTimeClass));
    }

    private forgetServices(present: ReadonlySet<string>): void {
        for (const service of new Set([...this.services.keys(), ...this.runTimes.keys()])) {
            const hasCalls = (this.services.get(service)?.total ?? 0) > 0;
            if (!present.has(service) && !hasCalls) {
                this.services.delete(service);
                this.runTimes.delete(service);
            }
        }
    }

    private adjustOccupancy(target: RoutingTarget, runTimeClass: RunTimeClass, change: 1 | -1): void {
        const service = this.services.get(target.service) ?? { total: 0, long: 0 };
        this.services.set(target.service, service);
        for (const occupancy of [this.capacityOf(target).occupancy, service, this.node]) {
            occupancy.total += change;
            occupancy.long += runTimeClass === RunTimeClass.Long ? change : 0;
        }
    }

    private capacityOf(target: RoutingTarget): TargetCapacity {
        const existing = this.targets.get(target.id);
        if (existing !== undefined) {
            return existing;
        }
        const created = { limit: new ConcurrencyLimit(target.slots), occupancy: { total: 0, long: 0 } };
        this.targets.set(target.id, created);
        return created;
    }
}

/**
 * The classes of other nodes' calls are unknown. Within its share of long calls, a node ignores them as long as the
 * target is not full. Beyond that share, all calls on the target must fit into the third that long calls may hold.
 */
function hasCapacityForLongCall(load: EstimatedTargetLoad, occupancy: Occupancy, rampedLimit: number): boolean {
    const { otherCalls, reportedOtherCalls, longCallShare } = load;
    if (occupancy.long >= maxLongCalls(rampedLimit)) {
        return false;
    }
    const calls = occupancy.total + 1;
    if (occupancy.long < longCallShare) {
        return calls + otherCalls <= rampedLimit;
    }
    return reportedOtherCalls !== undefined && calls + reportedOtherCalls <= maxLongCalls(rampedLimit);
}

function maxLongCalls(calls: number): number {
    return Math.max(1, Math.floor(calls * maxLongCallShare));
}
