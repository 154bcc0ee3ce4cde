/**
 * Plays a scenario in virtual time against the product's own decisions: callers, nodes, queues and targets. There are
 * no sockets and no wall clock, so a seed gives the same result every time.
 */
import type { QueueEvent } from "@bilberrycroft/coordination.forwarding";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { createSeededRandom, type Random } from "@bilberrycroft/core.random";
import type { Route } from "@bilberrycroft/state.routes";
import { CallEndKind, ModelCall, type ModelCallContext, type ModelCallRequest } from "./modelCall";
import { ModelNode } from "./modelNode";
import { CallOutcome, type PlayResult, ResultRecorder, type ServiceResult } from "./results";
import { type CallClass, isWithin, type Scenario } from "./scenario";
import type { Strategy } from "./strategies";
import { VirtualTime } from "./virtualTime";

export interface MeshModelOptions {
    readonly scenario: Scenario;
    readonly strategy: Strategy;
    readonly seed: number;
}

/** A call that a caller wants to be answered, over all its attempts. */
interface CallerIntent {
    readonly className: string;
    readonly node: ModelNode;
    readonly askedAt: Milliseconds;
    readonly retriesLeft: number;
    readonly isImpatient: boolean;
}

/** Spread of the run times: the standard deviation of their logarithm. */
const runTimeSigma = 0.4;
/** Callers honour `Retry-After` up to this share of their remaining time. */
const maxReturnShare = 1 / 3;
const millisecondsPerSecond = 1_000;

export class MeshModel {
    private readonly time = new VirtualTime();
    private readonly random: Random;
    private readonly nodes: readonly ModelNode[];
    private readonly nodesByName: ReadonlyMap<string, ModelNode>;
    private readonly routes: ReadonlyMap<string, Route>;
    private readonly recorder: ResultRecorder;
    private readonly context: ModelCallContext;
    private offers = 0;
    private attempts = 0;

    constructor(private readonly options: MeshModelOptions) {
        const { scenario, strategy, seed } = options;
        this.random = createSeededRandom(seed);
        this.recorder = new ResultRecorder(scenario.classes);
        const services = Object.entries(scenario.services).flatMap(([service, { targets }]) =>
            Array.from({ length: targets }, (_, position) => ({ service, position })));
        this.nodes = services.map(({ service, position }, index) => new ModelNode({
            scenario,
            strategy,
            time: this.time,
            random: this.random,
            index,
            service,
            position,
            countNodes: () => services.length,
        }));
        this.nodesByName = new Map(this.nodes.map(node => [node.name, node]));
        const entries = this.nodes.map(({ entry }) => entry);
        this.nodes.forEach(({ directory }) => directory.setEntries(entries));
        const classes = Object.entries(scenario.classes);
        this.routes = new Map(classes.map(([name, callClass]) => [name, createRoute(name, callClass)]));
        this.context = this.createContext();
    }

    run(): PlayResult {
        Object.keys(this.options.scenario.classes).forEach(className => this.scheduleNextCall(className));
        this.time.run();
        const { recorder } = this;
        const windows = recorder.windowResults();
        return {
            seed: this.options.seed,
            worth: recorder.totalWorth(),
            worstWindowWorth: Math.min(1, ...windows.map(({ worth }) => worth)),
            offersPerCall: this.attempts === 0 ? 0 : this.offers / this.attempts,
            classes: recorder.classResults(),
            windows,
            services: this.serviceResults(),
        };
    }

    private createContext(): ModelCallContext {
        const { time, random } = this;
        const { scenario: { classes, network } } = this.options;
        return {
            classes,
            routeOf: className => this.routes.get(className) as Route,
            nodeOf: name => this.nodesByName.get(name) as ModelNode,
            delayMs: (from, to) =>
                from === to ? 0 : from.zone === to.zone ? network.withinZoneMs : network.betweenZonesMs,
            later: (delayMs, run) => time.later(delayMs, run),
            now: () => time.clock.now(),
            drawRunMs: className => this.drawRunMs((classes[className] as CallClass).runMs),
            nextFraction: () => random.nextFraction(),
            startCall: request => this.createCall(request),
            nextOfferKey: () => `${++this.offers}`,
            pending: new Map<string, (event: QueueEvent) => void>(),
        };
    }

    private createCall(request: ModelCallRequest): ModelCall {
        this.attempts++;
        return new ModelCall(request, this.context);
    }

    /** Callers arrive independently of each other. Arrivals at the highest rate are thinned to the present one. */
    private scheduleNextCall(className: string): void {
        const { scenario } = this.options;
        const { callsPerSecond, callerRetries, impatientShare } = scenario.classes[className] as CallClass;
        const waves = scenario.waves.filter(({ classes }) => classes?.includes(className) ?? true);
        const highestFactor = waves.reduce((product, { factor }) => product * Math.max(1, factor), 1);
        const rate = callsPerSecond * highestFactor / millisecondsPerSecond;
        const at = this.time.clock.now() - Math.log(1 - this.random.nextFraction()) / rate;
        if (rate === 0 || at >= scenario.durationMs) {
            return;
        }
        const factor = waves.reduce((product, wave) => product * (isWithin(wave, at) ? wave.factor : 1), 1);
        const isAsked = this.random.nextFraction() < factor / highestFactor;
        this.time.schedule(at, () => {
            const node = this.nodes[this.random.nextInteger(this.nodes.length)] as ModelNode;
            const isImpatient = this.random.nextFraction() < impatientShare;
            if (isAsked) {
                this.attempt({ className, node, askedAt: at, retriesLeft: callerRetries, isImpatient });
            }
            this.scheduleNextCall(className);
        });
    }

    private attempt(intent: CallerIntent): void {
        const { scenario: { classes, network: { toCallersMs } } } = this.options;
        const { className, node, askedAt } = intent;
        const { deadlineMs, priority } = classes[className] as CallClass;
        const attemptedAt = this.time.clock.now();
        const deadlineAt = askedAt + deadlineMs;
        this.time.later(toCallersMs, () => this.createCall({
            className,
            node,
            deadlineAt: deadlineAt - toCallersMs,
            priority,
            isInner: false,
            isFromRepeat: false,
            handleEnd: end => this.time.later(toCallersMs, () => {
                switch (end.kind) {
                    case CallEndKind.Answered:
                        return this.recordEnd(intent, this.isInTime(intent) ? CallOutcome.InTime : CallOutcome.Late);
                    case CallEndKind.Refused:
                        this.recorder.recordRefusal(className, this.time.clock.now() - attemptedAt);
                        return this.returnLater(intent, intent.isImpatient ? 0 : end.retryAfterMs, CallOutcome.Refused);
                    case CallEndKind.Failed:
                    case CallEndKind.Lost:
                        return this.returnLater(intent, 0, CallOutcome.Failed);
                }
            }),
        }).start());
    }

    private isInTime({ className, askedAt }: CallerIntent): boolean {
        return this.time.clock.now() - askedAt <= (this.routes.get(className) as Route).latencyObjectiveMs;
    }

    /** The caller returns if it has time and retries left, and may repeat the call; otherwise its call ends so. */
    private returnLater(intent: CallerIntent, delayMs: Milliseconds, outcome: CallOutcome): void {
        const { deadlineMs, repeatable } = this.options.scenario.classes[intent.className] as CallClass;
        const leftMs = intent.askedAt + deadlineMs - this.time.clock.now();
        const mayReturn = outcome === CallOutcome.Refused || repeatable;
        if (intent.retriesLeft === 0 || leftMs <= 0 || !mayReturn) {
            this.recordEnd(intent, outcome);
            return;
        }
        this.time.later(Math.min(delayMs, leftMs * maxReturnShare), () =>
            this.attempt({ ...intent, retriesLeft: intent.retriesLeft - 1 }));
    }

    private recordEnd({ className, askedAt }: CallerIntent, outcome: CallOutcome): void {
        if (askedAt >= this.options.scenario.warmupMs) {
            this.recorder.recordEnd(className, askedAt, this.time.clock.now() - askedAt, outcome);
        }
    }

    private drawRunMs(meanMs: Milliseconds): Milliseconds {
        const radius = Math.sqrt(-2 * Math.log(1 - this.random.nextFraction()));
        const normal = radius * Math.cos(2 * Math.PI * this.random.nextFraction());
        return meanMs * Math.exp(runTimeSigma * normal - runTimeSigma ** 2 / 2);
    }

    private serviceResults(): ServiceResult[] {
        const { services, durationMs } = this.options.scenario;
        return Object.entries(services).map(([name, { targets, slots }]) => {
            const nodes = this.nodes.filter(({ service }) => service === name);
            const arrivals = nodes.map(node => node.arrivals.length);
            const mean = arrivals.reduce((sum, count) => sum + count, 0) / targets;
            const busyMs = nodes.reduce((sum, node) => sum + node.busyMs, 0);
            return {
                name,
                busiestByMean: mean === 0 ? 1 : Math.max(...arrivals) / mean,
                utilization: busyMs / (durationMs * targets * slots),
                mostInFourSeconds: Math.max(...nodes.map(({ mostArrivals }) => mostArrivals)),
            };
        });
    }
}

function createRoute(name: string, callClass: CallClass): Route {
    const { service, deadlineMs, objectiveMs, maxTargets, priority, repeatable } = callClass;
    return {
        name,
        host: "model",
        pathPrefix: `/${name}/`,
        services: [{ service, weight: 1 }],
        timeoutMs: deadlineMs,
        latencyObjectiveMs: objectiveMs,
        maxTargets,
        priority,
        repeatable,
        allowsAnonymous: false,
    };
}
