/**
 * The two policies that the model compares: the dispatcher, and round robin with a fixed timeout and no limits.
 */
import { Dispatcher, DispatchKind } from "@bilberrycroft/coordination.admission";
import type { DispatchEvent, StartDecision, SubmittedCall } from "@bilberrycroft/coordination.admission";
import { AttemptResult, Router } from "@bilberrycroft/coordination.routing";
import type { RoutingTarget } from "@bilberrycroft/coordination.routing";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { createSeededRandom } from "@bilberrycroft/core.random";
import { RunTimeClass } from "@bilberrycroft/state.rules";
import type { ModelTarget, Simulation, TargetResponse } from "./simulation";

export interface ModelCall extends SubmittedCall {
    /** Run time on a target of speed 1 without slowdown. */
    readonly runTimeMs: Milliseconds;
    readonly onFinished: (succeeded: boolean) => void;
}

/** Sends the calls of one node. */
export interface Sender {
    send(call: ModelCall): void;
}

export interface SenderOptions {
    readonly simulation: Simulation;
    readonly targets: readonly RoutingTarget[];
    readonly modelTargets: readonly ModelTarget[];
    /** Index of this sender among all senders. */
    readonly rank: number;
    readonly senderCount: number;
    readonly zone: string;
    /** Added to the round trip within a zone when the target is in another zone. */
    readonly crossZoneRoundTripMs: Milliseconds;
}

const sameZoneOneWayMs = 0.15;
const tickMs = 50;
/** Same ratio of hedges to calls as in the retries package. */
const maxHedgeRatio = 0.05;

function getOneWayMs(options: SenderOptions, target: RoutingTarget): Milliseconds {
    return sameZoneOneWayMs + (target.zone === options.zone ? 0 : options.crossZoneRoundTripMs / 2);
}

function sendToTarget(
    options: SenderOptions,
    targetIndex: number,
    runTimeMs: Milliseconds,
    onResponse: (response: TargetResponse) => void,
): void {
    const oneWayDelayMs = getOneWayMs(options, options.targets[targetIndex] as RoutingTarget);
    options.simulation.runAfter(oneWayDelayMs, () => {
        options.modelTargets[targetIndex]?.accept(runTimeMs, response => {
            options.simulation.runAfter(oneWayDelayMs, () => onResponse(response));
        });
    });
}

/**
 * Round robin without limits, with one retry if the target refuses the call. A call that exceeds the route's timeout is
 * not aborted, but counts as failed.
 */
export class BaselineSender implements Sender {
    private nextTargetIndex: number;

    constructor(private readonly options: SenderOptions) {
        this.nextTargetIndex = options.rank;
    }

    send(call: ModelCall): void {
        this.sendAttempt(call, 1);
    }

    private sendAttempt(call: ModelCall, attemptNumber: number): void {
        const index = this.nextTargetIndex++ % this.options.targets.length;
        sendToTarget(this.options, index, call.runTimeMs, response => {
            if (!response.ran && attemptNumber === 1) {
                this.sendAttempt(call, 2);
                return;
            }
            call.onFinished(response.ran);
        });
    }
}

interface ModelAttempt {
    readonly target: RoutingTarget;
    readonly startedAt: Milliseconds;
}

interface ActiveCall {
    readonly call: ModelCall;
    /** By target id. */
    readonly inFlight: Map<string, ModelAttempt>;
    readonly triedTargetIds: string[];
}

/** One node with a router and a dispatcher. Hedges short calls after `hedgeDelayMs` if it is set. */
export class DispatcherSender implements Sender {
    private readonly router: Router;
    private readonly dispatcher: Dispatcher;
    private readonly activeCalls = new Map<string, ActiveCall>();
    private hedgeableCalls = 0;
    private sentHedges = 0;

    constructor(private readonly options: SenderOptions, private readonly hedgeDelayMs: Milliseconds | undefined) {
        const { clock } = options.simulation;
        const random = createSeededRandom(1_000 + options.rank);
        this.router = new Router({ clock, random, zone: options.zone });
        this.dispatcher = new Dispatcher({ clock, random, router: this.router });
        this.router.setCallers(options.senderCount, options.rank);
        this.dispatcher.setTargets(options.targets);
        for (const { zone } of options.targets) {
            this.router.recordDistance({ zone, roundTripMs: options.crossZoneRoundTripMs });
        }
        this.scheduleTick();
    }

    send(call: ModelCall): void {
        this.activeCalls.set(call.callId, { call, inFlight: new Map(), triedTargetIds: [] });
        const submission = this.dispatcher.submit(call);
        if (submission.kind !== DispatchKind.Queued) {
            this.handleEvent(submission);
        }
    }

    private scheduleTick(): void {
        this.options.simulation.runAfter(tickMs, () => {
            this.handleEvents(this.dispatcher.tick());
            this.scheduleTick();
        });
    }

    private handleEvents(events: readonly DispatchEvent[]): void {
        events.forEach(event => this.handleEvent(event));
    }

    private handleEvent(event: DispatchEvent): void {
        const active = this.activeCalls.get(event.callId);
        if (active === undefined) {
            return;
        }
        if (event.kind === DispatchKind.Refused) {
            this.finishCall(active, false);
            return;
        }
        this.startAttempt(active, event);
        const { runTimeClass } = active.call.route;
        if (this.hedgeDelayMs !== undefined && runTimeClass === RunTimeClass.Short) {
            this.hedgeableCalls++;
            this.options.simulation.runAfter(this.hedgeDelayMs, () => this.sendHedge(active));
        }
        const remainingMs = Math.max(0, active.call.deadlineAt - this.options.simulation.clock.now());
        this.options.simulation.runAfter(remainingMs, () => {
            if (this.activeCalls.has(event.callId)) {
                this.finishCall(active, false, AttemptResult.TimedOut);
            }
        });
    }

    private startAttempt(active: ActiveCall, { target }: StartDecision): void {
        const startedAt = this.options.simulation.clock.now();
        active.inFlight.set(target.id, { target, startedAt });
        active.triedTargetIds.push(target.id);
        const index = this.options.targets.findIndex(({ id }) => id === target.id);
        sendToTarget(this.options, index, active.call.runTimeMs, response => {
            if (active.inFlight.has(target.id)) {
                this.handleResponse(active, target.id, response);
            }
        });
    }

    private handleResponse(active: ActiveCall, targetId: string, response: TargetResponse): void {
        this.completeAttempt(active, targetId, response.ran ? AttemptResult.Answered : AttemptResult.Shed, response);
        if (response.ran) {
            this.finishCall(active, true);
        }
        else if (active.inFlight.size === 0 && !this.startExtraAttempt(active)) {
            this.finishCall(active, false);
        }
    }

    private sendHedge(active: ActiveCall): void {
        if (this.sentHedges < this.hedgeableCalls * maxHedgeRatio && this.startExtraAttempt(active)) {
            this.sentHedges++;
        }
    }

    /** Starts a retry or hedge; a call has at most two attempts. */
    private startExtraAttempt(active: ActiveCall): boolean {
        const { callId } = active.call;
        if (!this.activeCalls.has(callId) || active.triedTargetIds.length > 1) {
            return false;
        }
        const reservation = this.dispatcher.reserveAttempt({ callId, exclude: active.triedTargetIds });
        if (reservation.kind === DispatchKind.Start) {
            this.startAttempt(active, reservation);
        }
        return reservation.kind === DispatchKind.Start;
    }

    private completeAttempt(
        active: ActiveCall,
        target: string,
        result: AttemptResult,
        response: TargetResponse | undefined,
    ): void {
        const attempt = active.inFlight.get(target) as ModelAttempt;
        active.inFlight.delete(target);
        const latencyMs = this.options.simulation.clock.now() - attempt.startedAt;
        const { callId } = active.call;
        const load = response?.load;
        this.handleEvents(
            this.dispatcher.handleAttemptEnd({ callId, target, latencyMs, result, load, draining: false }),
        );
    }

    private finishCall(active: ActiveCall, succeeded: boolean, remainingResult = AttemptResult.Cancelled): void {
        this.activeCalls.delete(active.call.callId);
        this.dispatcher.cancel(active.call.callId);
        for (const targetId of [...active.inFlight.keys()]) {
            this.completeAttempt(active, targetId, remainingResult, undefined);
        }
        active.call.onFinished(succeeded);
    }
}
