/**
 * The two policies that the model compares: the dispatcher, and round robin with a fixed timeout and no limits.
 */
import { Dispatcher, DispatchKind } from "@bilberrycroft/coordination.admission";
import type { DispatchEvent, Start, SubmittedCall } from "@bilberrycroft/coordination.admission";
import { AttemptResult, Router } from "@bilberrycroft/coordination.routing";
import type { RoutingTarget } from "@bilberrycroft/coordination.routing";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { createSeededRandom } from "@bilberrycroft/core.random";
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

/** One node with a router and a dispatcher. */
export class DispatcherSender implements Sender {
    private readonly router: Router;
    private readonly dispatcher: Dispatcher;
    private readonly calls = new Map<string, ModelCall>();

    constructor(private readonly options: SenderOptions) {
        const { clock } = options.simulation;
        const random = createSeededRandom(1_000 + options.rank);
        this.router = new Router({ clock, random, zone: options.zone });
        this.dispatcher = new Dispatcher({ clock, random, router: this.router });
        this.router.setCallers(options.senders, options.rank);
        this.dispatcher.setTargets(options.targets);
        for (const { zone } of options.targets) {
            this.router.distanceMeasured({ zone, roundTripMs: options.zoneDistanceMs });
        }
        this.scheduleTick();
    }

    send(call: ModelCall): void {
        this.calls.set(call.callId, call);
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
        if (event.kind === DispatchKind.Refused) {
            this.calls.get(event.callId)?.finish(false);
            this.calls.delete(event.callId);
            return;
        }
        this.start(event, []);
    }

    private start(start: Start, tried: readonly string[]): void {
        const call = this.calls.get(start.callId) as ModelCall;
        const { clock } = this.options.simulation;
        const startedAt = clock.now();
        const index = this.options.targets.findIndex(target => target.id === start.target.id);
        let ended = false;
        const end = (result: AttemptResult, response: TargetResponse | undefined): void => {
            if (!ended) {
                ended = true;
                this.end(call, start, [...tried, start.target.id], clock.now() - startedAt, result, response);
            }
        };
        const remainingMs = Math.max(0, call.deadlineAt - startedAt);
        this.options.simulation.after(remainingMs, () => end(AttemptResult.TimedOut, undefined));
        exchange(this.options, index, call.runTimeMs, response =>
            end(response.ran ? AttemptResult.Answered : AttemptResult.Shed, response));
    }

    private end(
        call: ModelCall,
        start: Start,
        tried: readonly string[],
        latencyMs: Milliseconds,
        result: AttemptResult,
        response: TargetResponse | undefined,
    ): void {
        const { callId } = call;
        const load = response?.load;
        const completion = { callId, target: start.target.id, latencyMs, result, load, draining: false };
        const events = this.dispatcher.completed(completion);
        if (result === AttemptResult.Shed && tried.length === 1) {
            const again = this.dispatcher.chooseAgain({ callId, exclude: tried });
            if (again.kind === DispatchKind.Start) {
                this.start(again, tried);
                this.takeAll(events);
                return;
            }
        }
        this.dispatcher.cancel(callId);
        this.calls.delete(callId);
        call.finish(result === AttemptResult.Answered);
        this.takeAll(events);
    }
}
