/**
 * Carries out rollouts at the acting node, which is the first store reader in the relay's common order.
 *
 * Each step is one write of the plan, conditional on the revision that it replaces; the status of the order follows the
 * plan. A write whose result is unknown is repeated with the same condition: it succeeds, or returns the object as it
 * is.
 * The second reader watches the orders too. It takes over when the first is no longer heard to read, and writes the
 * first plan of an order that the first one has not seen.
 */
import {
    createPlan,
    describeStep,
    isPlanOf,
    type RolloutOrder,
    type RolloutStatus,
    stateOf,
    withdraw,
} from "@bilberrycroft/coordination.rollouts";
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import { assertNever } from "@bilberrycroft/core.errors";
import type { EventLog, FaultBarrier } from "@bilberrycroft/core.eventLog";
import {
    isActivePhase,
    type NodeEntry,
    type NodeReport,
    parseRolloutPlan,
    type RolloutPlan,
    rolloutPlanName,
    unnamedVersion,
} from "@bilberrycroft/protocol.forwarding";
import { type CollectionWrite, describePosition, type ObjectCollection, StoreOutcomeKind } from "@bilberrycroft/protocol.store";
import type { StoredPlan } from "../nodeTable";
import type { RolloutPlatform } from "../ports";
import type { RolloutBounds } from "../settings";
import type { CollectionContent, CollectionTask } from "./collectionTask";
import { type PolledNode, ServiceRollout } from "./serviceRollout";

export interface RolloutTaskOptions {
    readonly clock: Clock;
    readonly log: EventLog;
    readonly faults: FaultBarrier;
    readonly node: string;
    readonly bounds: RolloutBounds;
    readonly platform: RolloutPlatform;
    /** Local copy of the orders; read only while this node watches them. */
    readonly orders: CollectionTask;
    /** Collection that holds the plans. */
    readonly plans: ObjectCollection;
    /** Requests a report; resolves to `undefined` if the node does not respond in time. */
    requestReport(address: string, timeoutMs: Milliseconds): Promise<NodeReport | undefined>;
    /** Whether this node reads the store and the store responds. */
    isReading(): boolean;
    countReadersBefore(): number;
    knownVersionsOf(service: string): readonly string[];
    /** Longest time that a call to the service may take. */
    maxCallMs(service: string): Milliseconds;
}

/** Also the interval at which evidence is collected. */
const tickMs: Milliseconds = 500;
const reportTimeoutMs: Milliseconds = 400;
/** A node that starts to read hears of the other readers within this time. */
const settleMs: Milliseconds = 1_500;
/** Watchers of the orders: the acting node and its successor. */
const watchers = 2;
/** After this time without a plan, the successor takes the watch of the acting node for silent. */
const unseenOrderMs: Milliseconds = 2_000;

interface Order {
    /** Name of the object, which is that of the service. */
    readonly name: string;
    readonly order: RolloutOrder;
    readonly revision: number;
    readonly status: RolloutStatus | undefined;
}

export class RolloutTask {
    private readonly rollouts = new Map<string, ServiceRollout>();
    private readonly orders = new Map<string, Order>();
    private readonly orderSeenAt = new Map<string, Milliseconds>();
    private readonly busyServices = new Set<string>();
    /** Revisions of malformed orders that are logged, by name. */
    private readonly reportedOrders = new Map<string, number>();
    private entries: readonly NodeEntry[] = [];
    private timer: NodeJS.Timeout | undefined;
    private readingSince: Milliseconds | undefined;
    private isWatching = false;
    private hasStarted = false;

    constructor(private readonly options: RolloutTaskOptions) {
        options.orders.contents.subscribe(content =>
            options.faults.run("rollout-orders", {}, () => this.handleOrders(content)));
    }

    start(): void {
        this.timer = setInterval(() => this.options.faults.run("rollout-timer", {}, () => this.tick()), tickMs);
    }

    stop(): void {
        clearInterval(this.timer);
        this.options.orders.stop();
    }

    /** Must be called with each change of the table of nodes. */
    setNodes(entries: readonly NodeEntry[], plans: readonly StoredPlan[]): void {
        this.entries = entries;
        plans.forEach(stored => this.adopt(stored));
    }

    private tick(): void {
        const { clock, orders } = this.options;
        this.readingSince = this.options.isReading() ? this.readingSince ?? clock.now() : undefined;
        const isSettled = this.readingSince !== undefined && clock.now() - this.readingSince >= settleMs;
        const position = isSettled ? this.options.countReadersBefore() : watchers;
        this.setWatching(position < watchers);
        if (position >= watchers || !orders.isCurrent) {
            return;
        }
        for (const service of new Set([...this.orders.keys(), ...this.rollouts.keys()])) {
            if (position === 0 || this.isUnseen(service)) {
                this.advance(service);
            }
        }
    }

    private setWatching(isWatching: boolean): void {
        if (isWatching === this.isWatching) {
            return;
        }
        this.isWatching = isWatching;
        this.options.log.info("rollout-role", { isWatching });
        this.options.orders.setReading(isWatching, { isSubstitute: false, isStaggered: false });
        if (!this.hasStarted) {
            this.hasStarted = true;
            this.options.orders.start();
        }
    }

    /** Whether the successor has known the order for a while, and the acting node has written no plan. */
    private isUnseen(service: string): boolean {
        const order = this.orders.get(service);
        const seenAt = this.orderSeenAt.get(service);
        return order !== undefined && seenAt !== undefined && this.needsPlan(service, order)
            && this.options.clock.now() - seenAt >= unseenOrderMs;
    }

    private handleOrders({ objects }: CollectionContent): void {
        const { platform, log, clock } = this.options;
        const names = new Set<string>();
        for (const { name, revision, value, status } of objects.values()) {
            const order = value as RolloutOrder | undefined;
            if (order?.service !== name) {
                if (this.reportedOrders.get(name) !== revision) {
                    this.reportedOrders.set(name, revision);
                    log.warn("rollout-order-malformed", { name, revision: describePosition(revision) });
                }
                continue;
            }
            names.add(name);
            const existing = this.orders.get(name);
            if (existing === undefined || existing.revision < revision) {
                this.orders.set(name, { name, order, revision, status: platform.decodeStatus(status) });
                if (existing === undefined || !isSameOrder(existing.order, order)) {
                    this.orderSeenAt.set(name, clock.now());
                }
            }
        }
        [...this.orders.keys()].filter(name => !names.has(name)).forEach(name => this.orders.delete(name));
        [...this.reportedOrders.keys()].filter(name => !objects.has(name))
            .forEach(name => this.reportedOrders.delete(name));
        // The duration has begun, so the next tick is not awaited.
        this.tick();
    }

    /** Adopts a plan that was read, or written by this node, if it is newer than the known one. */
    private adopt(stored: StoredPlan): void {
        const existing = this.rollouts.get(stored.plan.service);
        if (existing !== undefined && existing.stored.revision >= stored.revision) {
            return;
        }
        if (existing?.continuesWith(stored) === true) {
            existing.adopt(stored, this.options.node);
        }
        else {
            this.rollouts.set(stored.plan.service, new ServiceRollout(stored, this.options.clock));
        }
    }

    private advance(service: string): void {
        if (this.busyServices.has(service)) {
            return;
        }
        this.busyServices.add(service);
        const finish = (): boolean => this.busyServices.delete(service);
        void this.options.faults.runAsync("rollout", { service }, async () => {
            await this.advanceService(service);
            finish();
        }, finish);
    }

    private async advanceService(service: string): Promise<void> {
        const order = this.orders.get(service);
        if (order !== undefined && this.needsPlan(service, order)) {
            await this.writeFirstPlan(order);
        }
        const rollout = this.rollouts.get(service);
        if (rollout === undefined) {
            return;
        }
        if (this.isBehind(rollout)) {
            this.options.orders.recordNewerPeer();
            return;
        }
        if (order === undefined) {
            await this.withdraw(rollout);
            return;
        }
        if (isActivePhase(rollout.stored.plan.phase)) {
            await this.writeStatus(service);
            await this.poll(rollout);
            await this.step(rollout);
        }
        await this.writeStatus(service);
    }

    private needsPlan(service: string, { order, revision }: Order): boolean {
        const stored = this.rollouts.get(service)?.stored;
        return stored === undefined || (!isPlanOf(stored.plan, order) && revision > stored.plan.orderRevision);
    }

    /** Whether the plan is from an order that this node's watch has not delivered. */
    private isBehind({ stored: { plan } }: ServiceRollout): boolean {
        return plan.orderRevision > this.options.orders.revision;
    }

    private async writeFirstPlan({ name, order, revision }: Order): Promise<void> {
        const { node, bounds, knownVersionsOf, log } = this.options;
        const previous = this.rollouts.get(name)?.stored;
        const plan = createPlan({
            order,
            revision,
            previous: previous?.plan,
            knownVersions: knownVersionsOf(name),
            presentVersions: this.listPresentVersions(name),
            exposureShare: bounds.exposureShare,
            writer: node,
        });
        const isWritten = await this.writePlan(plan, previous?.revision);
        const { service, version, phase, share, versionsBefore } = plan;
        const before = versionsBefore.join(" ");
        const position = describePosition(revision);
        log.info("rollout-begun", { service, version, phase, share, before, order: position, isWritten });
        const rollout = this.rollouts.get(name);
        const seenAt = this.orderSeenAt.get(name);
        if (isWritten && seenAt !== undefined) {
            rollout?.noteOrder(seenAt);
        }
    }

    private listPresentVersions(service: string): readonly string[] {
        const targets = this.entries.flatMap(({ target }) => target?.service === service ? [target] : []);
        return [...new Set(targets.map(({ version = unnamedVersion }) => version))];
    }

    private async withdraw(rollout: ServiceRollout): Promise<void> {
        const { plan, revision } = rollout.stored;
        if (plan.isWithdrawn) {
            return;
        }
        const { elapsedMs } = rollout;
        const withdrawn = isActivePhase(plan.phase)
            ? withdraw(plan, { elapsedMs, writer: this.options.node }).plan
            : { ...plan, isWithdrawn: true };
        const isWritten = await this.writePlan(withdrawn, revision);
        const { service, version, phase } = withdrawn;
        this.options.log.info("rollout-withdrawn", { service, version, phase, isWritten });
    }

    private async poll(rollout: ServiceRollout): Promise<void> {
        const { revision } = rollout.stored;
        const startedAt = this.options.clock.now();
        const polled = await Promise.all(rollout.selectPolledNodes(this.entries)
            .map(async (entry): Promise<PolledNode> => ({
                entry,
                report: await this.options.requestReport(entry.address, reportTimeoutMs),
            })));
        rollout.addReports(polled, { startedAt, revision });
    }

    private async step(rollout: ServiceRollout): Promise<void> {
        const { bounds, node, maxCallMs } = this.options;
        const { plan, revision } = rollout.stored;
        const { entries } = this;
        const { step, judgement } = rollout.decide({ node, bounds, entries, maxCallMs: maxCallMs(plan.service) });
        if (step !== undefined) {
            const isWritten = await this.writePlan(step.plan, revision);
            this.options.log.info("rollout-step", { ...describeStep(step, judgement), isWritten });
        }
    }

    /** Writes the plan on condition of the revision that it replaces; returns whether it is known to be written. */
    private async writePlan(plan: RolloutPlan, revision: number | undefined): Promise<boolean> {
        const name = rolloutPlanName(plan.service);
        const { plans } = this.options;
        const outcome = revision === undefined
            ? await plans.create(name, plan)
            : await plans.replace(name, plan, revision);
        return this.handleWrite("plan", plan.service, outcome, {
            done: newRevision => this.adopt({ plan, revision: newRevision }),
            conflict: ({ value, revision: current }) => {
                const stored = parseRolloutPlan(value);
                if (stored !== undefined) {
                    this.adopt({ plan: stored, revision: current });
                }
            },
            absent: () => this.rollouts.delete(plan.service),
        });
    }

    /** Brings the status of the order up to date with the plan that carries it out. */
    private async writeStatus(service: string): Promise<void> {
        const order = this.orders.get(service);
        const plan = this.rollouts.get(service)?.stored.plan;
        if (order === undefined || plan === undefined || !isPlanOf(plan, order.order)) {
            return;
        }
        const status = { state: stateOf(plan), version: plan.version };
        if (order.status?.state === status.state && order.status.version === status.version) {
            return;
        }
        const { platform, log } = this.options;
        const update = (changes: Partial<Order>): void => {
            const current = this.orders.get(service);
            if (current !== undefined && (changes.revision ?? 0) > current.revision) {
                this.orders.set(service, { ...current, ...changes });
            }
        };
        const encoded = platform.encodeStatus(status);
        const outcome = await platform.collection.replaceStatus(order.name, encoded, order.revision);
        const isWritten = this.handleWrite("status", service, outcome, {
            done: revision => update({ revision, status }),
            conflict: object => {
                const current = platform.decodeOrder(object.value);
                // Another order arrives with the watch.
                if (current !== undefined && isSameOrder(current, order.order)) {
                    update({ revision: object.revision, status: platform.decodeStatus(object.status) });
                }
            },
            absent: () => undefined,
        });
        log.info("rollout-status", { service, version: status.version, state: status.state, isWritten });
    }

    private handleWrite(
        part: "plan" | "status",
        service: string,
        outcome: CollectionWrite,
        handlers: {
            done(revision: number): void;
            conflict(object: { readonly value: unknown; readonly revision: number; readonly status?: unknown }): void;
            absent(): void;
        },
    ): boolean {
        const { log } = this.options;
        switch (outcome.kind) {
            case StoreOutcomeKind.Done:
                handlers.done(outcome.revision);
                return true;
            case StoreOutcomeKind.Conflict:
                if (outcome.object !== undefined) {
                    handlers.conflict(outcome.object);
                }
                break;
            case StoreOutcomeKind.Absent:
                handlers.absent();
                break;
            case StoreOutcomeKind.Unknown:
            case StoreOutcomeKind.Unavailable:
                log.warn("rollout-not-written", { service, part, outcome: outcome.kind, reason: outcome.reason });
                return false;
            default:
                return assertNever(outcome);
        }
        log.info("rollout-not-written", { service, part, outcome: outcome.kind });
        return false;
    }
}

/** An order with another version or duration is a new one; its duration begins when it is seen. */
function isSameOrder(left: RolloutOrder, right: RolloutOrder): boolean {
    return left.version === right.version && left.durationMs === right.durationMs;
}
