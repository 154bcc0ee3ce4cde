/**
 * Simulates one call in the target: waits for a slot, runs, sends the response, and is cancelled if the caller
 * disconnects.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import { TargetState } from "@bilberrycroft/coordination.membership";
import { CallHeader, CallOutcome, CallReason, formatLoad, parseInteger } from "@bilberrycroft/protocol.calls";
import type { SchedulerLike } from "rxjs";
import { crashHeader, type TargetFaults } from "./faults";
import { innerCallHeader, type InnerCallResult, type InnerCalls } from "./innerCalls";
import type { RunStatistics } from "./runStatistics";
import type { Lifecycle } from "./lifecycle";
import type { RunPlan, RunTimes } from "./runTimes";
import type { TargetSettings } from "./settings";
import type { Slots, SlotTicket } from "./slots";

/** Parts of the target that a call uses. */
export interface CallContext {
    readonly settings: TargetSettings;
    readonly clock: Clock;
    readonly scheduler: SchedulerLike;
    readonly slots: Slots;
    readonly statistics: RunStatistics;
    readonly lifecycle: Lifecycle;
    readonly faults: TargetFaults;
    readonly runTimes: RunTimes;
    readonly innerCalls: InnerCalls | undefined;
    crash(): void;
}

/** Header whose value the response returns, so that a caller can check that the response belongs to its request. */
export const requestIdHeader = "x-request-id";

const maxTimeoutMs = 3_600_000;
const retryAfterSeconds = "1";

/** A call whose request was received completely. */
export class TargetCall {
    private readonly arrivedAt: Milliseconds;
    private readonly timeoutMs: Milliseconds | undefined;
    private readonly path: string;
    private ticket: SlotTicket | undefined;
    private cancelCurrentStep: () => void = () => undefined;
    private hasEnded = false;

    constructor(
        private readonly context: CallContext,
        private readonly request: IncomingMessage,
        private readonly response: ServerResponse,
    ) {
        this.arrivedAt = context.clock.now();
        this.timeoutMs = parseInteger(this.getHeader(CallHeader.Timeout), { minimum: 0, maximum: maxTimeoutMs });
        this.path = request.url ?? "/";
    }

    /** Starts, queues or sheds the call. */
    handle(): void {
        this.context.statistics.received++;
        this.response.on("close", () => this.finish(true));
        const refusal = this.getRefusalReason();
        if (refusal !== undefined) {
            return this.shed(refusal);
        }
        const ticket = this.context.slots.request({
            maxWaitMs: this.timeoutMs,
            start: () => this.run(),
            shed: reason => this.shed(reason),
        });
        this.ticket = ticket;
        if (this.hasEnded) {
            ticket.release();
        }
    }

    private getRefusalReason(): CallReason | undefined {
        if (this.context.lifecycle.isSheddingNewCalls) {
            return CallReason.Draining;
        }
        if (this.context.faults.isRefusing) {
            return CallReason.TargetRefused;
        }
        return this.timeoutMs === 0 ? CallReason.DeadlinePassed : undefined;
    }

    private run(): void {
        const { statistics, slots, faults, innerCalls } = this.context;
        statistics.recordStart(this.getHeader(CallHeader.IdempotencyKey), slots.running);
        if (faults.shouldCrash(this.getHeader(crashHeader))) {
            return this.context.crash();
        }
        const paths = this.getHeader(innerCallHeader);
        if (paths === undefined || innerCalls === undefined) {
            return this.respond(undefined);
        }
        statistics.innerCalls++;
        const remainingMs = this.timeoutMs === undefined
            ? undefined
            : Math.max(0, this.timeoutMs - (this.context.clock.now() - this.arrivedAt));
        const onDone = (result: InnerCallResult): void => this.respond(result);
        this.cancelCurrentStep = innerCalls.start({ paths, outer: this.request, remainingMs, onDone });
    }

    private respond(inner: InnerCallResult | undefined): void {
        const { lifecycle, faults, runTimes } = this.context;
        const plan = runTimes.plan(this.path, lifecycle.runTimeFactor * faults.slowFactor);
        const description = JSON.stringify({
            target: this.context.settings.id,
            service: this.context.settings.service,
            path: this.path,
            request: this.getHeader(requestIdHeader),
            inner,
        });
        const status = inner === undefined || (inner.status >= 200 && inner.status < 300) ? 200 : 502;
        if (plan.isLong) {
            return this.sendChunks(status, description, plan);
        }
        this.schedule(plan.durationMs, () => this.sendBody(status, description));
    }

    private sendBody(status: number, body: string): void {
        this.response.writeHead(status, {
            ...this.createHeaders(),
            "content-type": "application/json",
            "content-length": Buffer.byteLength(body),
        });
        if (this.context.faults.consumeTruncation()) {
            return this.truncate(body.slice(0, body.length / 2));
        }
        this.complete(body);
    }

    /** The description is sent first and last, so that a caller detects swapped responses and truncation. */
    private sendChunks(status: number, description: string, plan: RunPlan): void {
        const filler = ".".repeat(this.context.settings.pieceBytes);
        const truncateAt = this.context.faults.consumeTruncation() ? Math.ceil(plan.chunks / 2) : undefined;
        const sendChunk = (chunk: number): void => {
            if (chunk === 1) {
                this.response.writeHead(status, { ...this.createHeaders(), "content-type": "text/plain" });
                this.response.write(`${description}\n`);
            }
            if (chunk === truncateAt) {
                return this.truncate(filler);
            }
            if (chunk === plan.chunks) {
                return this.complete(`${filler}\n${description}\n`);
            }
            this.response.write(filler);
            this.schedule(plan.durationMs / plan.chunks, () => sendChunk(chunk + 1));
        };
        this.schedule(plan.durationMs / plan.chunks, () => sendChunk(1));
    }

    private schedule(duration: Milliseconds, then: () => void): void {
        const timer = this.context.scheduler.schedule(then, duration);
        this.cancelCurrentStep = () => timer.unsubscribe();
    }

    private complete(lastChunk: string): void {
        this.context.statistics.completed++;
        this.finish(false);
        this.response.end(lastChunk);
    }

    private truncate(lastChunk: string): void {
        this.finish(false);
        this.response.write(lastChunk, () => this.response.destroy());
    }

    private shed(reason: CallReason): void {
        this.context.statistics.recordShed(reason);
        this.finish(false);
        this.response.writeHead(503, {
            ...this.createHeaders(),
            [CallHeader.Outcome]: CallOutcome.NotRun,
            [CallHeader.Reason]: reason,
            "retry-after": retryAfterSeconds,
            "content-length": 0,
        });
        this.response.end();
    }

    /** Stops the current step and releases the slot. Idempotent. */
    private finish(cancelled: boolean): void {
        if (this.hasEnded) {
            return;
        }
        this.hasEnded = true;
        this.context.statistics.cancelled += cancelled ? 1 : 0;
        this.cancelCurrentStep();
        this.ticket?.release();
    }

    private createHeaders(): Record<string, string> {
        const { slots, faults, lifecycle, settings } = this.context;
        const load = formatLoad({ calls: faults.toReportedCalls(slots.calls), slots: settings.slots });
        const headers = { [CallHeader.Load]: load };
        if (lifecycle.state !== TargetState.Draining) {
            return headers;
        }
        const draining = { ...headers, [CallHeader.Draining]: "1" };
        return lifecycle.isSheddingNewCalls ? { ...draining, connection: "close" } : draining;
    }

    private getHeader(name: string): string | undefined {
        return this.request.headers[name]?.toString();
    }
}
