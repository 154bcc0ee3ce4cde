/**
 * The two policies that the model compares: the dispatcher, and round robin with a fixed timeout and no limits.
 */
import { Dispatcher, DispatchKind } from "@bilberrycroft/coordination.admission";
import type { DispatchEvent, Start, SubmittedCall } from "@bilberrycroft/coordination.admission";
import { AttemptResult, Router } from "@bilberrycroft/coordination.routing";
import type { RoutingTarget } from "@bilberrycroft/coordination.routing";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { createSeededRandom } from "@bilberrycroft/core.random";
import { RunTimeClass } from "@bilberrycroft/state.rules";
import type { ModelTarget, Simulation, TargetResponse } from "./simulation";

/** A call of the model. */
export interface ModelCall extends SubmittedCall {
    readonly runTimeMs: Milliseconds;
    readonly finish: (done: boolean) => void;
}

/** Sends the calls of one node. */
export interface Sender {
    send(call: ModelCall): void;
}

/** Options of both senders. */
export interface SenderOptions {
    readonly simulation: Simulation;
    readonly targets: readonly RoutingTarget[];
    readonly models: readonly ModelTarget[];
    readonly rank: number;
    readonly senders: number;
    readonly zone: string;
    readonly zoneDistanceMs: Milliseconds;
}

const sameZoneOneWayMs = 0.15;
const tickMs = 50;
/** Part of the calls that may be hedged, as in the retries package. */
const hedgeBudget = 0.05;

function oneWayMs(options: SenderOptions, target: RoutingTarget): Milliseconds {
    return sameZoneOneWayMs + (target.zone === options.zone ? 0 : options.zoneDistanceMs / 2);
}

function exchange(
    options: SenderOptions,
    index: number,
    runTimeMs: Milliseconds,
    respond: (response: TargetResponse) => void,
): void {
    const delayMs = oneWayMs(options, options.targets[index] as RoutingTarget);
    options.simulation.after(delayMs, () => {
        options.models[index]?.accept(runTimeMs, response => {
            options.simulation.after(delayMs, () => respond(response));
        });
    });
}

/** Round robin, timeout of the route, no limits; one retry when the target refuses. */
export class BaselineSender implements Sender {
    private next: number;

    constructor(private readonly options: SenderOptions) {
        this.next = options.rank;
    }

    send(call: ModelCall): void {
        this.attempt(call, 1);
    }

    private attempt(call: ModelCall, attempt: number): void {
        const index = this.next++ % this.options.targets.length;
        exchange(this.options, index, call.runTimeMs, response => {
            if (!response.ran && attempt === 1) {
                this.attempt(call, 2);
                return;
            }
            call.finish(response.ran);
        });
    }
}

interface ModelAttempt {
    readonly target: RoutingTarget;
    readonly startedAt: Milliseconds;
}

/** A call with its attempts in flight. */
interface CallInProgress {
    readonly call: ModelCall;
    readonly inFlight: Map<string, ModelAttempt>;
    readonly tried: string[];
}

/** One node with a router and a dispatcher; optionally hedges short calls after a fixed time. */
export class DispatcherSender implements Sender {
    private readonly router: Router;
    private readonly dispatcher: Dispatcher;
    private readonly calls = new Map<string, CallInProgress>();
    private startedCalls = 0;
    private hedges = 0;

    constructor(private readonly options: SenderOptions, private readonly hedgeAfterMs: Milliseconds | undefined) {
        const { clock } = options.simulation;
        const random = createSeededRandom(1_000 + options.rank);
        this.router = new Router({ clock, random, zone: options.zone });
        this.dispatcher = new Dispatcher({ clock, random, router: this.router });
        this.router.setCallers(options.senders, options.rank);
        this.dispatcher.setTargets(options.targets);
        for (const { zone } of options.targets) {
            this.router.recordDistance({ zone, roundTripMs: options.zoneDistanceMs });
        }
        this.scheduleTick();
    }

    send(call: ModelCall): void {
        this.calls.set(call.callId, { call, inFlight: new Map(), tried: [] });
        const submission = this.dispatcher.submit(call);
        if (submission.kind !== DispatchKind.Queued) {
            this.take(submission);
        }
    }

    private scheduleTick(): void {
        this.options.simulation.after(tickMs, () => {
            this.takeAll(this.dispatcher.tick());
            this.scheduleTick();
        });
    }

    private takeAll(events: readonly DispatchEvent[]): void {
        events.forEach(event => this.take(event));
    }

    private take(event: DispatchEvent): void {
        const progress = this.calls.get(event.callId);
        if (progress === undefined) {
            return;
        }
        if (event.kind === DispatchKind.Refused) {
            this.finish(progress, false);
            return;
        }
        this.start(progress, event);
        const { runTimeClass } = progress.call.route;
        if (this.hedgeAfterMs !== undefined && runTimeClass === RunTimeClass.Short) {
            this.startedCalls++;
            this.options.simulation.after(this.hedgeAfterMs, () => this.hedge(progress));
        }
        const remainingMs = Math.max(0, progress.call.deadlineAt - this.options.simulation.clock.now());
        this.options.simulation.after(remainingMs, () => {
            if (this.calls.has(event.callId)) {
                this.finish(progress, false, AttemptResult.TimedOut);
            }
        });
    }

    private start(progress: CallInProgress, { target }: Start): void {
        const startedAt = this.options.simulation.clock.now();
        progress.inFlight.set(target.id, { target, startedAt });
        progress.tried.push(target.id);
        const index = this.options.targets.findIndex(({ id }) => id === target.id);
        exchange(this.options, index, progress.call.runTimeMs, response => {
            if (progress.inFlight.has(target.id)) {
                this.respond(progress, target.id, response);
            }
        });
    }

    private respond(progress: CallInProgress, target: string, response: TargetResponse): void {
        this.complete(progress, target, response.ran ? AttemptResult.Answered : AttemptResult.Shed, response);
        if (response.ran) {
            this.finish(progress, true);
        }
        else if (progress.inFlight.size === 0 && !this.tryAgain(progress)) {
            this.finish(progress, false);
        }
    }

    private hedge(progress: CallInProgress): void {
        if (this.hedges < this.startedCalls * hedgeBudget && this.tryAgain(progress)) {
            this.hedges++;
        }
    }

    /** Starts a retry or hedge; a call has at most two attempts. */
    private tryAgain(progress: CallInProgress): boolean {
        const { callId } = progress.call;
        if (!this.calls.has(callId) || progress.tried.length > 1) {
            return false;
        }
        const again = this.dispatcher.reserveAttempt({ callId, exclude: progress.tried });
        if (again.kind === DispatchKind.Start) {
            this.start(progress, again);
        }
        return again.kind === DispatchKind.Start;
    }

    private complete(
        progress: CallInProgress,
        target: string,
        result: AttemptResult,
        response: TargetResponse | undefined,
    ): void {
        const attempt = progress.inFlight.get(target) as ModelAttempt;
        progress.inFlight.delete(target);
        const latencyMs = this.options.simulation.clock.now() - attempt.startedAt;
        const { callId } = progress.call;
        const load = response?.load;
        this.takeAll(this.dispatcher.attemptEnded({ callId, target, latencyMs, result, load, draining: false }));
    }

    private finish(progress: CallInProgress, done: boolean, rest = AttemptResult.Cancelled): void {
        this.calls.delete(progress.call.callId);
        this.dispatcher.cancel(progress.call.callId);
        for (const target of [...progress.inFlight.keys()]) {
            this.complete(progress, target, rest, undefined);
        }
        progress.call.finish(done);
    }
}
