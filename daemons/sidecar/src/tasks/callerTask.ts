/**
 * Accepts calls from callers on this host and from the local target, and forwards each to a target of its route.
 */
import { createHash } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import {
    CallerAges,
    ResponseSizes,
    CallPlan,
    type PlanDependencies,
    RouteLatencyTable,
    type RetryBudgets,
    WeightedRoundRobin,
} from "@bilberrycroft/coordination.forwarding";
import { type Quarantine, QuarantineDecisionKind } from "@bilberrycroft/coordination.quarantine";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import type { Random } from "@bilberrycroft/core.random";
import { CallOutcome, CallReason } from "@bilberrycroft/protocol.calls";
import type { Offer } from "@bilberrycroft/protocol.forwarding";
import type { Route, RouteTable } from "@bilberrycroft/state.routes";
import { BodyOutcomeKind, discardRequestBody, readBody } from "@bilberrycroft/transport.calls";
import { copyHeaders } from "@bilberrycroft/transport.forwarding";
import { CallerCall } from "../calls/callerCall";
import type { AcceptedCall, CallEnd, CallerServices } from "../calls/callerCallTypes";
import { bodyTooLargeStatus, limitRetryAfter, sendLocalResponse } from "../calls/localResponses";
import type { CallMetrics } from "../metrics";
import type { CallerHead } from "../ports";

export interface CallerTaskOptions extends CallerServices {
    readonly random: Random;
    readonly budgets: RetryBudgets;
    readonly quarantine: Quarantine;
    readonly metrics: CallMetrics;
    /** Returns the call with this identifier if it is running in the local target. */
    findRunningCall(callId: string): Offer | undefined;
    /** Records the end of an inner call of the local target, by the route of its parent. */
    recordInnerCall(parentRoute: string, isRefused: boolean): void;
    /** Service of the local target. */
    readonly service: string;
}

/** Time reserved for sending the response before the caller's timeout. */
const deadlineMarginMs: Milliseconds = 10;
/** Maximum time for which a caller waits; also used if the caller does not send its wait time. */
const maxWaitMs: Milliseconds = 600_000;
/** Delays of refusals that precede the body of a request. */
const retryAfterMsByReason: Readonly<Partial<Record<CallReason, Milliseconds>>> = {
    [CallReason.NoConfiguration]: 300,
    [CallReason.Overloaded]: 300,
};
/** Shortest retry delay while this process is about to end. */
const minStopRetryAfterMs: Milliseconds = 300;
/** Mean response size above which a route's calls use a separate connection. */
const minBulkBytes = 16_384;

export class CallerTask {
    private readonly serviceSelector: WeightedRoundRobin;
    private readonly latencies = new RouteLatencyTable();
    private readonly responseSizes = new ResponseSizes();
    private readonly callerAges: CallerAges;
    private table: RouteTable | undefined;
    private callsInProgress = 0;
    /** Calls that may last longer are refused. */
    private processEndsAt: Milliseconds = Number.POSITIVE_INFINITY;

    constructor(private readonly options: CallerTaskOptions) {
        this.serviceSelector = new WeightedRoundRobin(options.random);
        this.callerAges = new CallerAges(options.clock);
    }

    /** Number of calls whose response has not been sent completely. */
    get inProgress(): number {
        return this.callsInProgress;
    }

    /** Activates a route table; calls in progress keep the table they started with. */
    activate(table: RouteTable): void {
        this.table = table;
    }

    /** Refuses calls that may last longer than until the given time, at which the process ends. */
    announceEnd(endsAt: Milliseconds): void {
        this.processEndsAt = endsAt;
    }

    handle(request: IncomingMessage, response: ServerResponse): void {
        this.callsInProgress++;
        // Emitted once the response has left this process, or its connection has ended.
        response.once("close", () => {
            this.callsInProgress--;
        });
        const { clock, codec, faults } = this.options;
        void faults.runAsync(
            "request",
            { path: request.url },
            () => this.handleCall(request, response, clock.now()),
            () => sendLocalResponse(response, codec, { callId: undefined, reason: CallReason.AnswerLost }),
        );
    }

    private async handleCall(
        request: IncomingMessage,
        response: ServerResponse,
        startedAt: Milliseconds,
    ): Promise<void> {
        const { options, table } = this;
        const { codec, log, metrics } = options;
        const head = codec.readCallerHead(request.headers);
        const refuse = (reason: CallReason, status?: number): void => {
            discardRequestBody(request, cut => log.info("request-cut", { call: head?.callId, reason, cut }));
            const { host } = request.headers;
            log.info("call-refused", { call: head?.callId, host, path: request.url, version: table?.version, reason });
            metrics.recordRefusal(reason);
            const retryAfterMs = retryAfterMsByReason[reason];
            sendLocalResponse(response, codec, { callId: head?.callId, reason, retryAfterMs, status });
        };
        if (table === undefined) {
            return refuse(CallReason.NoConfiguration);
        }
        if (head === undefined) {
            return refuse(CallReason.BadRequest);
        }
        const url = request.url ?? "/";
        const route = table.find(getHost(request), url.split("?", 1)[0] ?? url);
        if (route === undefined) {
            return refuse(CallReason.NoRoute);
        }
        if (options.bufferBudget.isExhausted && mayHaveBody(request)) {
            return refuse(CallReason.Overloaded);
        }
        const body = await readBody(request, table.configuration.callerLimits.maxBodyBytes);
        switch (body.kind) {
            case BodyOutcomeKind.TooLarge:
                return refuse(CallReason.BadRequest, bodyTooLargeStatus);
            case BodyOutcomeKind.Truncated:
                response.destroy();
                return;
            case BodyOutcomeKind.Complete:
                return this.forward({ request, response, head, route, table, body: body.body, startedAt });
        }
    }

    private async forward(received: ReceivedCall): Promise<void> {
        const { options } = this;
        const { response, head, route } = received;
        const service = this.serviceSelector.nextService(route);
        const call = this.createCall(received);
        const decision = options.quarantine.check(call.offer.fingerprint);
        if (decision.kind === QuarantineDecisionKind.Held) {
            const { retryAfterMs } = decision;
            options.log.warn("call-quarantined", { call: head.callId, route: route.name, retryAfterMs });
            const reason = CallReason.Quarantined;
            options.metrics.recordRefusal(reason);
            sendLocalResponse(response, options.codec, { callId: head.callId, reason, retryAfterMs });
            return;
        }
        if (call.deadlineAt > this.processEndsAt) {
            const reason = CallReason.Draining;
            options.log.info("call-refused", { call: head.callId, route: route.name, version: call.version, reason });
            options.metrics.recordRefusal(reason);
            const remainingMs = Math.max(minStopRetryAfterMs, this.processEndsAt - options.clock.now());
            const retryAfterMs = limitRetryAfter(remainingMs, call.deadlineAt - options.clock.now());
            sendLocalResponse(response, options.codec, { callId: head.callId, reason, retryAfterMs });
            return;
        }
        const services: PlanDependencies = {
            clock: options.clock,
            directory: options.directory,
            budgets: options.budgets,
            latencies: this.latencies,
            mayRepeat: () => options.quarantine.check(call.offer.fingerprint).kind !== QuarantineDecisionKind.Held,
        };
        const { priority, isInner } = call.offer;
        const isFromRepeat = call.parent?.isRepeat === true;
        const planned = { route, service, priority, isInner, isFromRepeat, deadlineAt: call.deadlineAt };
        const plan = new CallPlan(services, planned, this.responseSizes.meanBytes(route.name));
        const bodyAccount = options.bufferBudget.open();
        bodyAccount.set(call.body.length);
        const end = await new CallerCall(call, plan, options).run();
        bodyAccount.set(0);
        this.recordEnd(call, service, end);
    }

    private createCall({ request, response, head, route, table, body, startedAt }: ReceivedCall): AcceptedCall {
        const { options } = this;
        const waitMs = Math.min(head.waitMs ?? maxWaitMs, maxWaitMs);
        const hasBody = body.length > 0 || mayHaveBody(request);
        const fingerprint = options.quarantine.computeFingerprint({
            method: request.method ?? "GET",
            path: request.url ?? "/",
            // Empty, because the same caller may call through any host, regardless of the target on that host.
            tenant: "",
            bodyDigest: createHash("sha256").update(body).digest("base64url"),
        });
        const parent = head.parentCallId === undefined ? undefined : options.findRunningCall(head.parentCallId);
        // An inner call has what is left of its parent's time, which says nothing about its own age.
        const ageMs = parent === undefined && head.waitMs !== undefined
            ? this.callerAges.recordCall(route.name, head.waitMs)
            : 0;
        return {
            request,
            response,
            headers: copyHeaders(request.headers, name => name === "content-length" || name === "expect"),
            body,
            hasBody,
            parent,
            callId: head.callId,
            route: route.name,
            version: table.version,
            startedAt,
            objectiveAt: startedAt + route.latencyObjectiveMs - ageMs,
            deadlineAt: startedAt + Math.min(route.timeoutMs, Math.max(1, waitMs - deadlineMarginMs)),
            isBulk: this.responseSizes.meanBytes(route.name) > minBulkBytes,
            offer: {
                route: route.name,
                // An inner call inherits the priority of its parent.
                priority: parent?.priority ?? route.priority,
                isInner: parent !== undefined,
                repeatable: route.repeatable,
                callerService: options.service,
                callId: head.callId,
                fingerprint,
            },
        };
    }

    private recordEnd(call: AcceptedCall, service: string, end: CallEnd): void {
        const { clock, log, metrics } = this.options;
        const latencyMs = clock.now() - call.startedAt;
        if (call.parent !== undefined) {
            const isRefused = end.reason === CallReason.Overloaded || end.reason === CallReason.DeadlinePassed;
            this.options.recordInnerCall(call.parent.route, isRefused);
        }
        metrics.recordCall({ route: call.route, service, outcome: end.outcome, reason: end.reason, latencyMs });
        if (end.outcome === CallOutcome.Done) {
            this.latencies.latenciesOf(call.route).record(latencyMs);
            this.responseSizes.add(call.route, end.responseBytes);
        }
        const fields = {
            call: call.callId,
            route: call.route,
            version: call.version,
            service,
            inner: call.offer.isInner ? true : undefined,
            outcome: end.outcome,
            reason: end.reason,
            status: end.status,
            target: end.target,
            attempts: end.attempts,
            latencyMs: Math.round(latencyMs),
        };
        if (end.outcome !== CallOutcome.Done) {
            log.warn("call-not-answered", fields);
        }
        else if (end.attempts > 1 || clock.now() > call.objectiveAt) {
            log.info("call-answered-late", fields);
        }
        else {
            log.sample("call-answered", fields);
        }
    }
}

/** A call whose request has been read completely. */
interface ReceivedCall {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly head: CallerHead;
    readonly route: Route;
    readonly table: RouteTable;
    readonly body: Buffer;
    readonly startedAt: Milliseconds;
}

function mayHaveBody({ headers }: IncomingMessage): boolean {
    return headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;
}

function getHost(request: IncomingMessage): string {
    return (request.headers.host ?? "").replace(/:\d+$/, "");
}
