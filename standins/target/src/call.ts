/**
 * One call in the target: waits for a slot, runs, responds in pieces, and stops when its caller leaves.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import { TargetState } from "@bilberrycroft/coordination.membership";
import { CallHeader, CallOutcome, CallReason, formatLoad, parseWholeNumber } from "@bilberrycroft/protocol.calls";
import type { SchedulerLike } from "rxjs";
import { crashHeader, type TargetFaults } from "./faults";
import { innerCallHeader, type InnerCallResult, type InnerCalls } from "./innerCalls";
import type { RunLedger } from "./ledger";
import type { Lifecycle } from "./lifecycle";
import type { RunPlan, RunTimes } from "./runTimes";
import type { TargetSettings } from "./settings";
import type { Slots, SlotTicket } from "./slots";

/** What a call uses of its target. */
export interface CallContext {
    readonly settings: TargetSettings;
    readonly clock: Clock;
    readonly scheduler: SchedulerLike;
    readonly slots: Slots;
    readonly ledger: RunLedger;
    readonly lifecycle: Lifecycle;
    readonly faults: TargetFaults;
    readonly runTimes: RunTimes;
    readonly innerCalls: InnerCalls | undefined;
    crash(): void;
}

/** Header that the response repeats, so that a caller can check that the response is its own. */
export const requestIdHeader = "x-request-id";

const maxTimeoutMs = 3_600_000;
const retryAfterSeconds = "1";

/** One call whose request arrived completely. */
export class TargetCall {
    private readonly arrivedAt: Milliseconds;
    private readonly timeoutMs: Milliseconds | undefined;
    private readonly path: string;
    private ticket: SlotTicket | undefined;
    private cancelStep: () => void = () => undefined;
    private ended = false;

    constructor(
        private readonly context: CallContext,
        private readonly request: IncomingMessage,
        private readonly response: ServerResponse,
    ) {
        this.arrivedAt = context.clock.now();
        this.timeoutMs = parseWholeNumber(this.header(CallHeader.Timeout), { minimum: 0, maximum: maxTimeoutMs });
        this.path = request.url ?? "/";
    }

    /** Decides whether the call runs, waits or is shed. */
    handle(): void {
        this.context.ledger.received++;
        this.response.on("close", () => this.end(true));
        const refusal = this.refuseAtOnce();
        if (refusal !== undefined) {
            return this.shed(refusal);
        }
        const ticket = this.context.slots.request({
            maxWaitMs: this.timeoutMs,
            start: () => this.run(),
            shed: reason => this.shed(reason),
        });
        this.ticket = ticket;
        if (this.ended) {
            ticket.release();
        }
    }

    private refuseAtOnce(): CallReason | undefined {
        if (this.context.lifecycle.shedsNewCalls) {
            return CallReason.Draining;
        }
        if (this.context.faults.refuses) {
            return CallReason.TargetRefused;
        }
        return this.timeoutMs === 0 ? CallReason.DeadlinePassed : undefined;
    }

    private run(): void {
        const { ledger, slots, faults, innerCalls } = this.context;
        ledger.recordStart(this.header(CallHeader.IdempotencyKey), slots.running);
        if (faults.crashesOn(this.header(crashHeader))) {
            return this.context.crash();
        }
        const paths = this.header(innerCallHeader);
        if (paths === undefined || innerCalls === undefined) {
            return this.respond(undefined);
        }
        ledger.innerCalls++;
        const remainingMs = this.timeoutMs === undefined
            ? undefined
            : Math.max(0, this.timeoutMs - (this.context.clock.now() - this.arrivedAt));
        const done = (result: InnerCallResult): void => this.respond(result);
        this.cancelStep = innerCalls.start({ paths, outer: this.request, remainingMs, done });
    }

    private respond(inner: InnerCallResult | undefined): void {
        const { lifecycle, faults, runTimes } = this.context;
        const plan = runTimes.plan(this.path, lifecycle.runTimeFactor * faults.slowFactor);
        const description = JSON.stringify({
            target: this.context.settings.id,
            service: this.context.settings.service,
            path: this.path,
            request: this.header(requestIdHeader),
            inner,
        });
        const status = inner === undefined || (inner.status >= 200 && inner.status < 300) ? 200 : 502;
        if (plan.long) {
            return this.sendPieces(status, description, plan);
        }
        this.wait(plan.durationMs, () => this.sendAtOnce(status, description));
    }

    private sendAtOnce(status: number, body: string): void {
        this.response.writeHead(status, {
            ...this.createHeaders(),
            "content-type": "application/json",
            "content-length": Buffer.byteLength(body),
        });
        if (this.context.faults.takeCut()) {
            return this.cut(body.slice(0, body.length / 2));
        }
        this.complete(body);
    }

    /** The description begins and ends the response, so that a caller sees both a mix-up and a missing end. */
    private sendPieces(status: number, description: string, plan: RunPlan): void {
        const filler = ".".repeat(this.context.settings.pieceBytes);
        const cutAt = this.context.faults.takeCut() ? Math.ceil(plan.pieces / 2) : undefined;
        const sendPiece = (piece: number): void => {
            if (piece === 1) {
                this.response.writeHead(status, { ...this.createHeaders(), "content-type": "text/plain" });
                this.response.write(`${description}\n`);
            }
            if (piece === cutAt) {
                return this.cut(filler);
            }
            if (piece === plan.pieces) {
                return this.complete(`${filler}\n${description}\n`);
            }
            this.response.write(filler);
            this.wait(plan.durationMs / plan.pieces, () => sendPiece(piece + 1));
        };
        this.wait(plan.durationMs / plan.pieces, () => sendPiece(1));
    }

    private wait(duration: Milliseconds, then: () => void): void {
        const timer = this.context.scheduler.schedule(then, duration);
        this.cancelStep = () => timer.unsubscribe();
    }

    private complete(lastPiece: string): void {
        this.context.ledger.completed++;
        this.end(false);
        this.response.end(lastPiece);
    }

    private cut(lastPiece: string): void {
        this.end(false);
        this.response.write(lastPiece, () => this.response.destroy());
    }

    private shed(reason: CallReason): void {
        this.context.ledger.recordShed(reason);
        this.end(false);
        this.response.writeHead(503, {
            ...this.createHeaders(),
            [CallHeader.Outcome]: CallOutcome.NotRun,
            [CallHeader.Reason]: reason,
            "retry-after": retryAfterSeconds,
            "content-length": 0,
        });
        this.response.end();
    }

    /** Gives the slot back; a call that its caller left is stopped and counted. */
    private end(cancelled: boolean): void {
        if (this.ended) {
            return;
        }
        this.ended = true;
        this.context.ledger.cancelled += cancelled ? 1 : 0;
        this.cancelStep();
        this.ticket?.release();
    }

    private createHeaders(): Record<string, string> {
        const { slots, faults, lifecycle, settings } = this.context;
        const load = formatLoad({ calls: faults.reportedCalls(slots.calls), slots: settings.slots });
        const headers = { [CallHeader.Load]: load };
        if (lifecycle.state !== TargetState.Draining) {
            return headers;
        }
        const draining = { ...headers, [CallHeader.Draining]: "1" };
        return lifecycle.shedsNewCalls ? { ...draining, connection: "close" } : draining;
    }

    private header(name: string): string | undefined {
        return this.request.headers[name]?.toString();
    }
}
