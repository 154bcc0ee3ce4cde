/**
 * Plays a load in virtual time against the decisions of this package: callers' nodes with their directories and call
 * plans, and target queues with their targets. No sockets and no wall clock; a seed gives the same result every time.
 */
import {
    AttemptEndKind,
    CallPlan,
    OfferDecisionKind,
    type PlanAction,
    PlanActionKind,
    type QueueEvent,
    RetryBudgets,
    RouteLatencyTable,
    RunResult,
    type SlotLimit,
    TargetDirectory,
    TargetQueue,
} from "@bilberrycroft/coordination.forwarding";
import { ManualClock, type Milliseconds } from "@bilberrycroft/core.clock";
import { createSeededRandom, type Random } from "@bilberrycroft/core.random";
import { TargetAvailability, TargetPhase } from "@bilberrycroft/protocol.forwarding";
import type { Route } from "@bilberrycroft/state.routes";
import type { RunTimeFactor } from "./targetModels";

export interface PlayedLoad {
    readonly seed: number;
    readonly callerNodes: number;
    readonly targets: number;
    readonly slots: number;
    /** Mean run time; run times are log-normal. */
    readonly runMs: Milliseconds;
    /** Calls per second of all callers, as a multiple of what the targets can run. */
    readonly loadFactor: number;
    readonly durationMs: Milliseconds;
    readonly route: Route;
    readonly deadlineMs: Milliseconds;
    /** Whether the objective of a call that returns counts from its caller's first attempt, as `CallerAges` tells. */
    readonly tracksAges: boolean;
    /** Calls of each organisation relative to those of the others; calls have none by default. */
    readonly organisations?: ReadonlyMap<string, number>;
    /** Run time of a call as a multiple of the usual one; 1 by default. */
    readonly runTimeFactor?: RunTimeFactor;
    /** Load at a time as a multiple of `loadFactor`; at most 2. */
    loadAt?(at: Milliseconds): number;
    /** Share of the calls that are of a second route, whose runs take six times as long. */
    readonly heavyShare?: number;
    /** Time for which each run waits for inner calls elsewhere, and whether it shows in the run time only later. */
    innerWaitMsAt?(at: Milliseconds): Milliseconds;
    /** Whether nodes learn the capacity of targets; off by default, as in the settings. */
    readonly learnsCapacity?: boolean;
    /** Creates what decides how many calls a target runs at once; the rest is as `learnsCapacity` says. */
    createSlotLimit?(clock: ManualClock): SlotLimit;
    /** Limit that a target names in a response at the given time, in calls per second. */
    limitOf?(target: number, at: Milliseconds): number | undefined;
}

/** What the callers of one organisation got. */
export interface PlayedOrganisation {
    asked: number;
    inTime: number;
    late: number;
}

/** What the callers got. */
export interface PlayedResult {
    readonly asked: number;
    readonly inTime: number;
    readonly late: number;
    readonly refused: number;
    readonly offers: number;
    /** Share of the targets' slot time that was used. */
    readonly utilization: number;
    /** Times from a caller's attempt to its refusal. */
    readonly refusalTimesMs: readonly Milliseconds[];
    /** Times at which calls reached each target. */
    readonly arrivals: readonly (readonly Milliseconds[])[];
    readonly organisations: ReadonlyMap<string, PlayedOrganisation>;
    /** Calls in time by route. */
    readonly inTimeByRoute: ReadonlyMap<string, number>;
    /** Lowest number of calls that each target was allowed to run at once, and the last. */
    readonly lowestSlots: readonly number[];
    readonly lastSlots: readonly number[];
}

interface PlayedCall {
    readonly askedAt: Milliseconds;
    readonly attemptedAt: Milliseconds;
    readonly caller: number;
    readonly mayReturn: boolean;
    readonly organisation: string | undefined;
    readonly route: Route;
    readonly deadlineMs: Milliseconds;
    readonly runMs: Milliseconds;
}

type QueueRefusal = Extract<QueueEvent, { kind: OfferDecisionKind.Refused }>;

const networkDelayMs: Milliseconds = 1;
/** Interval at which the target's node refuses queued calls that have become late. */
const expiryIntervalMs: Milliseconds = 20;
/** Spread of the run times: the standard deviation of their logarithm. */
const runTimeSigma = 0.4;
/** Callers honour `Retry-After` up to this share of their remaining time. */
const maxReturnShare = 1 / 3;
/** Run time, objective and deadline of the second route, compared with the first. */
const heavyFactor = 6;
const highestLoad = 2;

export class LoadPlay {
    private readonly clock = new ManualClock();
    private readonly random: Random;
    private readonly directories: TargetDirectory[];
    private readonly queues: TargetQueue[];
    private readonly budgets: RetryBudgets;
    private readonly latencies = new RouteLatencyTable();
    private readonly events: { readonly at: Milliseconds; readonly run: () => void }[] = [];
    /** Starts the run of a call that its target's queue grants, by the key of the offer. */
    private readonly grants = new Map<string, () => void>();
    /** Returns a refusal to the caller's node, by the key of the offer. */
    private readonly refusals = new Map<string, (refusal: QueueRefusal) => void>();
    private readonly result = { asked: 0, inTime: 0, late: 0, refused: 0, offers: 0, busyMs: 0 };
    private readonly refusalTimesMs: Milliseconds[] = [];
    private readonly arrivals: Milliseconds[][];
    private readonly organisations: ReadonlyMap<string, PlayedOrganisation>;
    private readonly inTimeByRoute = new Map<string, number>();
    private readonly lowestSlots: number[];

    constructor(private readonly load: PlayedLoad) {
        this.random = createSeededRandom(load.seed);
        const { clock, random } = this;
        this.organisations = new Map([...load.organisations?.keys() ?? []].map(name =>
            [name, { asked: 0, inTime: 0, late: 0 }]));
        const entries = Array.from({ length: load.targets }, (_, index) => ({
            node: `n-${index}`,
            zone: "z",
            address: `n-${index}:1`,
            processors: 1,
            target: { id: `t-${index}`, service: "s", slots: load.slots, phase: TargetPhase.Ready, startedAt: 1, coldUntil: 0 },
            crashes: [],
        }));
        this.directories = Array.from({ length: load.callerNodes }, (_, index) => {
            const directory = new TargetDirectory({
                clock,
                random,
                node: `c-${index}`,
                zone: "z",
                learnsCapacity: load.learnsCapacity,
            });
            directory.setEntries(entries);
            return directory;
        });
        this.arrivals = entries.map(() => []);
        this.lowestSlots = entries.map(() => load.slots);
        this.queues = entries.map(() => {
            const slotLimit = load.createSlotLimit?.(clock);
            const { learnsCapacity } = load;
            const queue = new TargetQueue({
                clock,
                random,
                learnsCapacity,
                linkBacklogMs: () => 0,
                ...slotLimit && { slotLimit },
            });
            queue.setTarget({ slots: load.slots, availability: TargetAvailability.Serving });
            return queue;
        });
        const bound = { share: 0.2, allowance: 50, windowMs: 10_000 };
        this.budgets = new RetryBudgets({ clock, bound, countNodes: () => 1 });
    }

    run(): PlayedResult {
        const { durationMs, targets, slots, runMs, loadFactor, loadAt, heavyShare = 0 } = this.load;
        const meanRunMs = runMs * (1 + heavyShare * (heavyFactor - 1));
        const perMs = loadFactor * targets * slots / meanRunMs * (loadAt === undefined ? 1 : highestLoad);
        const arrive = (): void => {
            const at = this.clock.now();
            // Arrivals at the highest rate are thinned to the present one.
            if (loadAt === undefined || this.random.nextFraction() < loadAt(at) / highestLoad) {
                this.ask(at);
            }
            const nextAt = at - Math.log(1 - this.random.nextFraction()) / perMs;
            if (nextAt < durationMs) {
                this.schedule(nextAt, arrive);
            }
        };
        this.schedule(0, arrive);
        for (let next = this.events.shift(); next !== undefined; next = this.events.shift()) {
            this.clock.advance(next.at - this.clock.now());
            next.run();
        }
        const { busyMs, ...result } = this.result;
        const utilization = busyMs / (durationMs * targets * slots);
        return {
            ...result,
            utilization,
            refusalTimesMs: this.refusalTimesMs,
            arrivals: this.arrivals,
            inTimeByRoute: this.inTimeByRoute,
            lowestSlots: this.lowestSlots,
            lastSlots: this.queues.map(queue => queue.usableSlots),
            organisations: this.organisations,
        };
    }

    private ask(at: Milliseconds): void {
        const { callerNodes, route, deadlineMs, runMs, heavyShare = 0 } = this.load;
        const caller = Math.floor(this.random.nextFraction() * callerNodes);
        const isHeavy = heavyShare > 0 && this.random.nextFraction() < heavyShare;
        const latencyObjectiveMs = heavyFactor * route.latencyObjectiveMs;
        const organisation = this.pickOrganisation();
        this.result.asked++;
        this.count(organisation, "asked");
        this.startCall({
            askedAt: at,
            attemptedAt: at,
            caller,
            mayReturn: true,
            organisation,
            route: isHeavy ? { ...route, name: "heavy", latencyObjectiveMs } : route,
            deadlineMs: isHeavy ? heavyFactor * deadlineMs : deadlineMs,
            runMs: isHeavy ? heavyFactor * runMs : runMs,
        });
    }

    private pickOrganisation(): string | undefined {
        const { organisations } = this.load;
        if (organisations === undefined) {
            return undefined;
        }
        let left = this.random.nextFraction() * [...organisations.values()].reduce((sum, rate) => sum + rate, 0);
        for (const [name, rate] of organisations) {
            left -= rate;
            if (left < 0) {
                return name;
            }
        }
        return undefined;
    }

    private count(organisation: string | undefined, result: keyof PlayedOrganisation): void {
        const counts = organisation === undefined ? undefined : this.organisations.get(organisation);
        if (counts !== undefined) {
            counts[result]++;
        }
    }

    private schedule(at: Milliseconds, run: () => void): void {
        let low = 0;
        let high = this.events.length;
        while (low < high) {
            const middle = (low + high) >> 1;
            if ((this.events[middle]?.at ?? 0) > at) {
                high = middle;
            }
            else {
                low = middle + 1;
            }
        }
        this.events.splice(low, 0, { at, run });
    }

    private later(delayMs: Milliseconds, run: () => void): void {
        this.schedule(this.clock.now() + delayMs, run);
    }

    private startCall(call: PlayedCall): void {
        const { clock, budgets, latencies } = this;
        const { route, deadlineMs } = call;
        const directory = this.directories[call.caller] as TargetDirectory;
        const plan = new CallPlan({ clock, directory, budgets, latencies, mayRepeat: () => true }, {
            route,
            service: "s",
            priority: route.priority,
            organisation: call.organisation,
            isInner: false,
            isFromRepeat: false,
            deadlineAt: call.askedAt + deadlineMs,
        }, 1_000);
        const carryOut = (actions: readonly PlanAction[]): void =>
            actions.forEach(action => this.perform(action, call, plan, carryOut));
        carryOut(plan.start());
        this.schedule(call.askedAt + deadlineMs, () => carryOut(plan.handleDeadline()));
    }

    private perform(
        action: PlanAction,
        call: PlayedCall,
        plan: CallPlan,
        carryOut: (actions: readonly PlanAction[]) => void,
    ): void {
        switch (action.kind) {
            case PlanActionKind.Offer:
                return this.offer(action, call, plan, carryOut);
            case PlanActionKind.Proceed:
            case PlanActionKind.Withdraw:
                // A withdrawn run still occupies its slot until the target notices; it is played to its end.
                return;
            case PlanActionKind.WakeAt:
                return this.schedule(action.at, () => carryOut(plan.handleWakeUp()));
            case PlanActionKind.Answer: {
                const { name, latencyObjectiveMs } = call.route;
                const isInTime = this.clock.now() - call.askedAt <= latencyObjectiveMs;
                this.result[isInTime ? "inTime" : "late"]++;
                this.count(call.organisation, isInTime ? "inTime" : "late");
                this.inTimeByRoute.set(name, (this.inTimeByRoute.get(name) ?? 0) + (isInTime ? 1 : 0));
                this.latencies.latenciesOf(name).record(this.clock.now() - call.attemptedAt);
                return;
            }
            case PlanActionKind.Refuse:
                return this.handleRefusal(call, action.retryAfterMs);
            case PlanActionKind.Fail:
                this.result.refused++;
        }
    }

    private handleRefusal(call: PlayedCall, retryAfterMs: Milliseconds): void {
        const now = this.clock.now();
        this.refusalTimesMs.push(now - call.attemptedAt);
        const leftMs = call.askedAt + call.deadlineMs - now;
        if (!call.mayReturn || leftMs <= 0) {
            this.result.refused++;
            return;
        }
        const returnAt = now + Math.min(retryAfterMs, leftMs * maxReturnShare);
        this.schedule(returnAt, () => this.startCall({ ...call, attemptedAt: returnAt, mayReturn: false }));
    }

    private offer(
        { attempt, candidate, spareOnly }: Extract<PlanAction, { kind: PlanActionKind.Offer }>,
        call: PlayedCall,
        plan: CallPlan,
        carryOut: (actions: readonly PlanAction[]) => void,
    ): void {
        this.result.offers++;
        const key = `${this.result.offers}`;
        const index = Number(candidate.node.slice("n-".length));
        const queue = this.queues[index] as TargetQueue;
        const directory = this.directories[call.caller] as TargetDirectory;
        const { route, deadlineMs } = call;
        directory.recordOffer(candidate.node, key);
        const end = (answer: () => PlanAction[]): void => {
            const load = queue.load(route.name, 0);
            this.later(networkDelayMs, () => {
                directory.recordEnd(candidate.node, key);
                directory.recordLoad(candidate.node, load, route.name);
                carryOut(answer());
            });
        };
        this.grants.set(key, () => {
            this.arrivals[index]?.push(this.clock.now());
            const uniform = Math.sqrt(-2 * Math.log(1 - this.random.nextFraction()));
            const normal = uniform * Math.cos(2 * Math.PI * this.random.nextFraction());
            const { runTimeFactor, innerWaitMsAt, durationMs } = this.load;
            const now = this.clock.now();
            const factor = runTimeFactor?.(index, queue.runningCalls, now) ?? 1;
            const innerWaitMs = innerWaitMsAt?.(now) ?? 0;
            const runMs = innerWaitMs
                + factor * call.runMs * Math.exp(runTimeSigma * normal - runTimeSigma ** 2 / 2);
            if (innerWaitMs > 0) {
                queue.recordProgress(key);
            }
            this.lowestSlots[index] = Math.min(this.lowestSlots[index] ?? 0, queue.usableSlots);
            this.result.busyMs += Math.max(0, Math.min(runMs, durationMs - now));
            this.later(networkDelayMs, () => carryOut(plan.handleGranted(attempt)));
            this.later(runMs, () => {
                queue.limit.handleResponse(this.load.limitOf?.(index, this.clock.now()));
                end(() => plan.handleAttemptEnd(attempt, { kind: AttemptEndKind.Answered }));
                this.apply(queue.finish(key, RunResult.Answered));
            });
        });
        this.refusals.set(key, ({ reason, retryAfterMs }) =>
            end(() => plan.handleAttemptEnd(attempt, { kind: AttemptEndKind.Refused, reason, retryAfterMs })));
        this.later(networkDelayMs, () => {
            const decision = queue.offer({
                callId: key,
                route: route.name,
                priority: route.priority,
                organisation: call.organisation,
                isInner: false,
                spareOnly,
                objectiveAt: (this.load.tracksAges ? call.askedAt : call.attemptedAt) + route.latencyObjectiveMs,
                deadlineAt: call.askedAt + deadlineMs,
                transferMs: 0,
            });
            if (decision.kind === OfferDecisionKind.Queued) {
                this.later(networkDelayMs, () => carryOut(plan.handleQueued(attempt)));
                this.apply(decision.evicted === undefined ? [] : [decision.evicted]);
                this.expireLater(queue);
            }
            else {
                this.apply([decision]);
            }
        });
    }

    private apply(events: readonly QueueEvent[]): void {
        for (const event of events) {
            if (event.kind === OfferDecisionKind.Granted) {
                this.grants.get(event.callId)?.();
            }
            else {
                this.refusals.get(event.callId)?.(event);
            }
        }
    }

    private expireLater(queue: TargetQueue): void {
        this.later(expiryIntervalMs, () => {
            this.apply(queue.advance());
            if (queue.queuedCalls > 0) {
                this.expireLater(queue);
            }
        });
    }
}
