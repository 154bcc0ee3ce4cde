import type { RolloutOrder, RolloutStatus } from "@bilberrycroft/coordination.rollouts";
import { type Milliseconds, SystemClock } from "@bilberrycroft/core.clock";
import { EventLog, FaultBarrier } from "@bilberrycroft/core.eventLog";
import { createSeededRandom } from "@bilberrycroft/core.random";
import {
    type NodeEntry,
    type NodeReport,
    parseRolloutPlan,
    RolloutPhase,
    type RolloutPlan,
    rolloutPlanName,
    TargetAvailability,
    TargetPhase,
} from "@bilberrycroft/protocol.forwarding";
import { CollectionFault, MemoryCollection } from "@bilberrycroft/protocol.store";
import { describe, expect, it } from "vitest";
import { CollectionTask } from "../src/tasks/collectionTask";
import { RolloutTask } from "../src/tasks/rolloutTask";

const service = "s";
const durationMs = 7_000;
const clock = new SystemClock();

interface ActingNode {
    readonly task: RolloutTask;
    /** A frozen node hears of no plan. */
    isFrozen: boolean;
    position: number;
}

/** Orders, plans and nodes whose targets run calls at a steady rate. */
class Rollouts {
    readonly orders = new MemoryCollection();
    readonly plans = new MemoryCollection();
    readonly events: Record<string, unknown>[] = [];
    /** Every plan that was written, in order. */
    readonly written: RolloutPlan[] = [];
    /** Addresses that do not respond. */
    readonly silent = new Set<string>();
    failureShare = 0;
    private readonly startedAt = clock.now();
    private readonly nodes: ActingNode[] = [];
    private readonly entries = [["a", "v1"], ["b", "v1"], ["c", "v2"], ["d", "v2"], ["e", "v3"]]
        .map(([node = "", version]): NodeEntry => ({
            node,
            zone: "z",
            address: `${node}:1`,
            processors: 1,
            target: { id: node, service, slots: 4, phase: TargetPhase.Ready, startedAt: 1, coldUntil: 0, version },
            crashes: [],
        }));

    private readonly timer = setInterval(() => this.deliverPlans(), 20);

    startNode(node: string, position = 0): ActingNode {
        const sink = { write: (line: string) => this.events.push(JSON.parse(line) as Record<string, unknown>) > 0 };
        const log = new EventLog({ clock, common: { node }, linesPerSecond: Number.POSITIVE_INFINITY, sink });
        const faults = new FaultBarrier(log);
        const options = { name: "rollouts", collection: this.orders, clock, log, faults, batchDelayMs: 0 };
        const random = createSeededRandom(1);
        const task = new RolloutTask({
            clock,
            log,
            faults,
            node,
            bounds: { exposureShare: 0.1, exposureSlack: 50, rollbackMs: 5_000 },
            platform: {
                collection: this.orders,
                decodeOrder: value => value as RolloutOrder,
                encodeStatus: status => status,
                decodeStatus: value => value as RolloutStatus | undefined,
            },
            orders: new CollectionTask({ ...options, random, decode: value => value }),
            plans: this.plans,
            requestReport: address =>
                Promise.resolve(this.silent.has(address) ? undefined : this.createReport(address)),
            isReading: () => this.orders.fault !== CollectionFault.Unavailable,
            countReadersBefore: () => acting.position,
            knownVersionsOf: () => ["v1"],
            maxCallMs: () => 100,
        });
        const acting: ActingNode = { task, isFrozen: false, position };
        this.nodes.push(acting);
        task.start();
        return acting;
    }

    order(version: string): void {
        this.orders.put(service, { service, version, durationMs });
    }

    get plan(): RolloutPlan | undefined {
        return parseRolloutPlan(this.plans.get(rolloutPlanName(service))?.value);
    }

    get status(): RolloutStatus | undefined {
        return this.orders.get(service)?.status as RolloutStatus | undefined;
    }

    get phases(): readonly RolloutPhase[] {
        return this.written.map(({ phase }) => phase);
    }

    async waitFor(condition: () => boolean, limitMs: Milliseconds = 30_000): Promise<void> {
        const endsAt = clock.now() + limitMs;
        while (!condition()) {
            if (clock.now() > endsAt) {
                throw new Error(`not met: ${JSON.stringify(this.events.slice(-8))}`);
            }
            await new Promise(resolve => setTimeout(resolve, 20));
        }
    }

    stop(): void {
        clearInterval(this.timer);
        this.nodes.forEach(({ task }) => task.stop());
    }

    private deliverPlans(): void {
        const object = this.plans.get(rolloutPlanName(service));
        const plan = parseRolloutPlan(object?.value);
        if (object !== undefined && plan !== undefined && this.written.at(-1) !== object.value) {
            this.written.push(object.value as RolloutPlan);
        }
        const stored = object === undefined || plan === undefined ? [] : [{ plan, revision: object.revision }];
        this.nodes.filter(({ isFrozen }) => !isFrozen).forEach(({ task }) => task.setNodes(this.entries, stored));
    }

    private createReport(address: string): NodeReport {
        const entry = this.entries.find(candidate => candidate.address === address);
        const { plan } = this;
        const version = entry?.target?.version ?? "";
        const runs = Math.floor((clock.now() - this.startedAt) / 20);
        const failures = version === "v1" ? 0 : Math.floor(runs * this.failureShare);
        const registryRevision = this.plans.get(rolloutPlanName(service))?.revision ?? 0;
        const routes = [{ route: "r", runs, failures, timed: 0, logSum: 0, logSquareSum: 0 }];
        return {
            load: {
                availability: TargetAvailability.Serving,
                running: 0,
                queued: 0,
                slots: 4,
                runTimeMs: 1,
                sendMs: 0,
                meanRunTimeMs: 1,
                failureShare: 0,
            },
            state: { configurationVersion: 1, registryRevision },
            ...(plan === undefined ? {} : { counts: { version, orderRevision: plan.orderRevision, since: 1, routes } }),
        };
    }
}

const order = [RolloutPhase.Testing, RolloutPhase.Shifting, RolloutPhase.Drained, RolloutPhase.Completed];
const isForward = (phases: readonly RolloutPhase[]): boolean =>
    phases.map(phase => order.indexOf(phase))
        .every((position, index, all) => position >= (all[index - 1] ?? 0));

/** Tests wait for real time, so they run at the same time, each with rollouts of its own. */
async function play(run: (rollouts: Rollouts) => Promise<void>): Promise<void> {
    const rollouts = new Rollouts();
    try {
        await run(rollouts);
    }
    finally {
        rollouts.stop();
    }
}

describe("RolloutTask", () => {
    it.concurrent("completes a good version and writes each step and status once", () => play(async rollouts => {
        rollouts.startNode("n");
        rollouts.order("v2");
        await rollouts.waitFor(() => rollouts.status?.state === "running");
        await rollouts.waitFor(() => rollouts.status?.state === "completed");
        await rollouts.waitFor(() => rollouts.phases.includes(RolloutPhase.Completed));
        expect(rollouts.phases).toEqual(expect.arrayContaining(order));
        expect(isForward(rollouts.phases)).toBe(true);
        expect(rollouts.orders.calls.replaceStatus).toBe(2);
    }));

    it.concurrent("rolls back a version that fails", () => play(async rollouts => {
        rollouts.failureShare = 0.4;
        rollouts.startNode("n");
        rollouts.order("v2");
        await rollouts.waitFor(() => rollouts.status?.state === "rolled-back");
        expect(rollouts.plan).toMatchObject({ phase: RolloutPhase.RolledBack, share: 0 });
        expect(rollouts.phases).not.toContain(RolloutPhase.Shifting);
    }));

    it.concurrent("writes a final status that its predecessor did not; guards against an order that stays running", () => play(async rollouts => {
        const plan = { version: "v2", versionsBefore: ["v1"], durationMs, phase: RolloutPhase.Completed, share: 1 };
        const rest = { service, orderRevision: 2, isWithdrawn: false, routeShares: [], elapsedMs: 5_000, writer: "dead" };
        rollouts.order("v2");
        const revision = rollouts.orders.get(service)?.revision ?? 0;
        await rollouts.orders.replaceStatus(service, { state: "running", version: "v2" }, revision);
        await rollouts.plans.create(rolloutPlanName(service), { ...plan, ...rest });
        rollouts.startNode("n");
        await rollouts.waitFor(() => rollouts.status?.state === "completed");
        expect(rollouts.plan?.writer).toBe("dead");
    }));

    it.concurrent("finishes although the responses of its writes are lost; guards against a step that is done twice", () => play(async rollouts => {
        rollouts.startNode("n");
        rollouts.order("v2");
        await rollouts.waitFor(() => rollouts.plan !== undefined);
        rollouts.plans.fault = CollectionFault.LostResponse;
        rollouts.orders.fault = CollectionFault.LostResponse;
        await rollouts.waitFor(() => rollouts.status?.state === "completed");
        expect(isForward(rollouts.phases)).toBe(true);
        const isEachOnce = [RolloutPhase.Shifting, RolloutPhase.Drained, RolloutPhase.Completed]
            .every(phase => rollouts.phases.filter(candidate => candidate === phase).length === 1);
        expect(isEachOnce).toBe(true);
    }));

    it.concurrent("agrees with another node that acts at the same time, by the revisions of the plan", () => play(async rollouts => {
        rollouts.startNode("n");
        rollouts.startNode("m");
        rollouts.order("v2");
        await rollouts.waitFor(() => ["completed", "rolled-back"].includes(rollouts.status?.state ?? ""));
        expect(isForward(rollouts.phases)).toBe(true);
        expect(rollouts.status?.state).toBe("completed");
    }));

    it.concurrent("changes nothing when it wakes after another node took over, and follows that node's plan", () => play(async rollouts => {
        const frozen = rollouts.startNode("n");
        const successor = rollouts.startNode("m", 1);
        rollouts.order("v2");
        await rollouts.waitFor(() => rollouts.plan?.writer === "n");
        frozen.isFrozen = true;
        frozen.task.stop();
        successor.position = 0;
        await rollouts.waitFor(() => rollouts.plan?.writer === "m");
        await rollouts.waitFor(() => rollouts.plan?.phase === RolloutPhase.Drained);
        successor.position = 1;
        // The frozen node still has its first plan; the write that follows from it fails.
        frozen.task.start();
        frozen.isFrozen = false;
        await rollouts.waitFor(() => rollouts.status?.state === "completed");
        expect(isForward(rollouts.phases)).toBe(true);
    }));

    it.concurrent("is told of an order that the acting node does not see by its successor", () => play(async rollouts => {
        const acting = rollouts.startNode("n", 5);
        rollouts.startNode("m", 1);
        rollouts.order("v2");
        await rollouts.waitFor(() => rollouts.plan?.writer === "m");
        acting.position = 0;
        await rollouts.waitFor(() => rollouts.status?.state === "completed");
        expect(rollouts.plan?.writer).toBe("n");
    }));

    it.concurrent("completes while nodes of another zone do not respond", () => play(async rollouts => {
        rollouts.startNode("n");
        rollouts.order("v2");
        await rollouts.waitFor(() => rollouts.plan !== undefined);
        ["b:1", "d:1"].forEach(address => rollouts.silent.add(address));
        await rollouts.waitFor(() => rollouts.status?.state === "completed");
    }));

    it.concurrent("begins anew against the versions before, when the order is replaced midway", () => play(async rollouts => {
        rollouts.startNode("n");
        rollouts.order("v2");
        await rollouts.waitFor(() => rollouts.status?.state === "running");
        rollouts.order("v3");
        await rollouts.waitFor(() => rollouts.status?.version === "v3");
        expect(rollouts.plan).toMatchObject({ version: "v3", versionsBefore: ["v1"], phase: RolloutPhase.Testing });
        await rollouts.waitFor(() => rollouts.status?.state === "completed");
    }));

    it.concurrent("returns all calls to the versions before when the order is withdrawn", () => play(async rollouts => {
        rollouts.startNode("n");
        rollouts.order("v2");
        await rollouts.waitFor(() => rollouts.status?.state === "running");
        await rollouts.orders.remove(service, rollouts.orders.get(service)?.revision ?? 0);
        await rollouts.waitFor(() => rollouts.plan?.isWithdrawn === true);
        expect(rollouts.plan).toMatchObject({ phase: RolloutPhase.RolledBack, share: 0 });
    }));

    it.concurrent("carries out an order late that it could not see, and rolls back one whose deadline passed meanwhile", () => play(async rollouts => {
        rollouts.startNode("n");
        rollouts.orders.fault = CollectionFault.Unavailable;
        rollouts.order("v2");
        await new Promise(resolve => setTimeout(resolve, durationMs));
        expect(rollouts.plan).toBeUndefined();
        rollouts.orders.fault = CollectionFault.None;
        await rollouts.waitFor(() => rollouts.status?.state === "running");
        rollouts.orders.fault = CollectionFault.Unavailable;
        rollouts.plans.fault = CollectionFault.Unavailable;
        await new Promise(resolve => setTimeout(resolve, durationMs));
        rollouts.orders.fault = CollectionFault.None;
        rollouts.plans.fault = CollectionFault.None;
        await rollouts.waitFor(() => rollouts.status?.state === "rolled-back");
    }));

    it.concurrent("calls the store only for its watch while there is no order", () => play(async rollouts => {
        rollouts.startNode("n");
        rollouts.startNode("x", 2);
        await new Promise(resolve => setTimeout(resolve, 3_000));
        expect(rollouts.orders.calls).toEqual({ read: 1, watch: 1 });
        expect(rollouts.plans.calls).toEqual({});
    }));
});
