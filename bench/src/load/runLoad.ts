/**
 * Open-loop load generator. Calls start at their due times regardless of how slow the responses are, and latency is
 * measured from the due time. A closed loop would slow down together with the system and hide its queueing delay.
 */
import { Agent } from "node:http";
import { setImmediate, setTimeout } from "node:timers/promises";
import { type Clock, type Milliseconds, SystemClock } from "@bilberrycroft/core.clock";
import { CallHeader } from "@bilberrycroft/protocol.calls";
import { v7 as createUuid } from "uuid";
import { type Arrival, type ArrivalOptions, drawArrivals } from "./arrivals";
import { type LoadCallResult, sendLoadCall } from "./client";
import { type CallRecord, ClassRecorder, LatencyRecorder, LoadFailure, LoadOutcome, type LoadResult } from "./results";

export interface LoadOptions extends ArrivalOptions {
    /** Calls due before this time are sent but not counted, because new connections and cold code distort them. */
    readonly warmupMs?: Milliseconds;
    /** Maximum number of connections to each target. */
    readonly maxConnections?: number;
    /** Maximum number of calls in flight. Arrivals above it are not sent and count as failed. */
    readonly maxInFlight?: number;
    /** Checks that each body ends with the id of its request, as those of the target stand-in do. Default: `true`. */
    readonly checkRequestIds?: boolean;
    /** Called with the record of each call, warm-up calls included. */
    readonly onCallEnd?: (call: CallRecord) => void;
    readonly clock?: Clock;
}

const defaultMaxConnections = 256;
const defaultMaxInFlight = 10_000;
/** Delay after a call's timeout, so that a response sent right at the timeout is still received. */
const abandonDelayMs: Milliseconds = 250;
/** Timers fire up to a millisecond late, so the generator polls for the last milliseconds before a due time. */
const timerMarginMs: Milliseconds = 2;

/** Runs the load. Resolves when the last call has ended. */
export async function runLoad(options: LoadOptions): Promise<LoadResult> {
    const run = new LoadRun(options);
    for (const arrival of drawArrivals(options)) {
        await run.waitUntil(arrival.dueMs);
        run.startCall(arrival);
    }
    await run.finish();
    return run.summarize();
}

class LoadRun {
    private readonly clock: Clock;
    private readonly startedAt: Milliseconds;
    private readonly agent: Agent;
    private readonly total = new ClassRecorder("total");
    private readonly classes = new Map<string, ClassRecorder>();
    private readonly lag = new LatencyRecorder();
    private inFlight = 0;
    private onIdle: () => void = () => undefined;

    constructor(private readonly options: LoadOptions) {
        this.clock = options.clock ?? new SystemClock();
        this.startedAt = this.clock.now();
        this.agent = new Agent({ keepAlive: true, maxSockets: options.maxConnections ?? defaultMaxConnections });
        for (const kind of options.requests) {
            this.classes.set(kind.className, new ClassRecorder(kind.className));
        }
    }

    async waitUntil(dueMs: Milliseconds): Promise<void> {
        let remainingMs = dueMs - this.getElapsedMs();
        while (remainingMs > 0) {
            await (remainingMs > timerMarginMs ? setTimeout(remainingMs - timerMarginMs) : setImmediate());
            remainingMs = dueMs - this.getElapsedMs();
        }
    }

    startCall(arrival: Arrival): void {
        const { kind } = arrival;
        const id = `${this.options.seed}-${arrival.index}`;
        const idempotencyKey = kind.idempotencyKey === true ? createUuid() : undefined;
        if (this.isCounted(arrival)) {
            this.lag.record(this.getElapsedMs() - arrival.dueMs);
        }
        if (this.inFlight >= (this.options.maxInFlight ?? defaultMaxInFlight)) {
            const result = { outcome: LoadOutcome.Failed, failure: LoadFailure.NotSent };
            return this.record(arrival, id, idempotencyKey, result);
        }
        this.inFlight++;
        sendLoadCall({
            agent: this.agent,
            target: arrival.target,
            path: kind.path,
            method: kind.method ?? "GET",
            headers: createHeaders(arrival, id, idempotencyKey),
            body: kind.body,
            expectedTail: this.options.checkRequestIds === false ? undefined : `"request":"${id}"`,
            abandonAfterMs: kind.timeoutMs + abandonDelayMs,
        }, result => {
            this.record(arrival, id, idempotencyKey, result);
            this.inFlight--;
            if (this.inFlight === 0) {
                this.onIdle();
            }
        });
    }

    /** Waits for the calls in flight, each of which ends at the latest `abandonDelayMs` after its timeout. */
    async finish(): Promise<void> {
        if (this.inFlight > 0) {
            await new Promise<void>(resolve => {
                this.onIdle = resolve;
            });
        }
        this.agent.destroy();
    }

    summarize(): LoadResult {
        const { seed } = this.options;
        const durationMs = this.options.durationMs - (this.options.warmupMs ?? 0);
        return {
            seed,
            durationMs,
            total: this.total.summarize(durationMs),
            classes: [...this.classes.values()].map(recorder => recorder.summarize(durationMs)),
            lag: this.lag.summarize(),
        };
    }

    private record(arrival: Arrival, id: string, idempotencyKey: string | undefined, result: LoadCallResult): void {
        const { className, timeoutMs } = arrival.kind;
        const { dueMs } = arrival;
        const latencyMs = this.getElapsedMs() - dueMs;
        const call: CallRecord = { id, className, idempotencyKey, timeoutMs, dueMs, latencyMs, ...result };
        if (this.isCounted(arrival)) {
            this.total.record(call);
            this.classes.get(className)?.record(call);
        }
        this.options.onCallEnd?.(call);
    }

    private isCounted(arrival: Arrival): boolean {
        return arrival.dueMs >= (this.options.warmupMs ?? 0);
    }

    private getElapsedMs(): Milliseconds {
        return this.clock.now() - this.startedAt;
    }
}

function createHeaders(arrival: Arrival, id: string, idempotencyKey: string | undefined): Record<string, string> {
    const { kind } = arrival;
    return {
        ...kind.headers,
        ...(kind.body === undefined ? {} : { "content-length": String(Buffer.byteLength(kind.body)) }),
        ...(idempotencyKey === undefined ? {} : { [CallHeader.IdempotencyKey]: idempotencyKey }),
        [CallHeader.Timeout]: String(kind.timeoutMs),
        "x-request-id": id,
    };
}
