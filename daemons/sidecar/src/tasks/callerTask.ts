/**
 * Takes the calls of this host's callers and of its target.
 */
import { createHash } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import {
    ResponseSizes,
    CallPlan,
    type PlanServices,
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
import { BodyOutcomeKind, readBody } from "@bilberrycroft/transport.calls";
import { copyHeaders } from "@bilberrycroft/transport.forwarding";
import { type AcceptedCall, type CallEnd, CallerCall, type CallerServices } from "../calls/callerCall";
import { bodyTooLargeStatus, sendOwnResponse } from "../calls/ownResponses";
import type { CallMetrics } from "../metrics";
import type { CallerHead } from "../ports";

/** Options of a `CallerTask`. */
export interface CallerTaskOptions extends CallerServices {
    readonly random: Random;
    readonly budgets: RetryBudgets;
    readonly quarantine: Quarantine;
    readonly metrics: CallMetrics;
    /** The call with this identifier if it runs in the target beside this node now. */
    runningCall(callId: string): Offer | undefined;
    /** Service beside this node. */
    readonly service: string;
}

/** Leaves the response time to reach the caller before it gives up. */
const deadlineMarginMs: Milliseconds = 10;
/** Longest time that a caller is served if neither it nor the route sets one. */
const longestWaitMs: Milliseconds = 600_000;
const noConfigurationRetryMs: Milliseconds = 300;
/** Usual size from which a route's answers have a connection of their own. */
const bulkBytes = 16_384;

/** Calls that begin on this host. */
export class CallerTask {
    private readonly shares: WeightedRoundRobin;
    private readonly latencies = new RouteLatencyTable();
    private readonly answerSizes = new ResponseSizes();
    private table: RouteTable | undefined;
    private callsInProgress = 0;

    constructor(private readonly options: CallerTaskOptions) {
        this.shares = new WeightedRoundRobin(options.random);
    }

    /** Calls that have no response yet. */
    get inProgress(): number {
        return this.callsInProgress;
    }

    /** Puts routes in force; calls in progress keep theirs. */
    activate(table: RouteTable): void {
        this.table = table;
    }

    /** Handles one request of a caller. */
    handle(request: IncomingMessage, response: ServerResponse): void {
        this.callsInProgress++;
        void this.carry(request, response, this.options.clock.now()).finally(() => {
            this.callsInProgress--;
        });
    }

    private async carry(request: IncomingMessage, response: ServerResponse, startedAt: Milliseconds): Promise<void> {
        const { codec, log } = this.options;
        const { table } = this;
        const head = codec.readCaller(request.headers);
        const refuse = (reason: CallReason, status?: number): void => {
            request.resume();
            const { host } = request.headers;
            log.info("call-refused", { call: head?.callId, host, path: request.url, version: table?.version, reason });
            const retryAfterMs = reason === CallReason.NoConfiguration ? noConfigurationRetryMs : undefined;
            sendOwnResponse(response, codec, { callId: head?.callId, reason, retryAfterMs, status });
        };
        if (table === undefined) {
            return refuse(CallReason.NoConfiguration);
        }
        if (head === undefined) {
            return refuse(CallReason.BadRequest);
        }
        const url = request.url ?? "/";
        const route = table.find(hostOf(request), url.split("?", 1)[0] ?? url);
        if (route === undefined) {
            return refuse(CallReason.NoRoute);
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

    private async forward(read: ReadCall): Promise<void> {
        const { options } = this;
        const { request, response, head, route } = read;
        const service = this.shares.nextService(route);
        const call = this.createCall(read);
        const quarantined = options.quarantine.check(call.offer.fingerprint);
        if (quarantined.kind === QuarantineDecisionKind.Held) {
            const { retryAfterMs } = quarantined;
            options.log.warn("call-quarantined", { call: head.callId, route: route.name, retryAfterMs });
            const reason = CallReason.Quarantined;
            sendOwnResponse(response, options.codec, { callId: head.callId, reason, retryAfterMs });
            return;
        }
        const services: PlanServices = {
            clock: options.clock,
            directory: options.directory,
            budgets: options.budgets,
            latencies: this.latencies,
            mayRepeat: () => options.quarantine.check(call.offer.fingerprint).kind !== QuarantineDecisionKind.Held,
        };
        const planned = { route, service, isFromRepeat: call.parent?.isRepeat === true, deadlineAt: call.deadlineAt };
        const plan = new CallPlan(services, planned, this.answerSizes.meanBytes(route.name));
        const end = await new CallerCall(call, plan, options).run();
        this.record(call, service, end);
        request.resume();
    }

    private createCall({ request, response, head, route, table, body, startedAt }: ReadCall): AcceptedCall {
        const { options } = this;
        const waitMs = Math.min(head.waitMs ?? longestWaitMs, longestWaitMs);
        const hasBody = body.length > 0 || request.headers["content-length"] !== undefined
            || request.headers["transfer-encoding"] !== undefined;
        const fingerprint = options.quarantine.fingerprint({
            method: request.method ?? "GET",
            path: request.url ?? "/",
            // The same caller may call through any host, whatever target stands there.
            tenant: "",
            bodyDigest: createHash("sha256").update(body).digest("base64url"),
        });
        const parent = head.parentCallId === undefined ? undefined : options.runningCall(head.parentCallId);
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
            objectiveAt: startedAt + route.latencyObjectiveMs,
            deadlineAt: startedAt + Math.min(route.timeoutMs, Math.max(1, waitMs - deadlineMarginMs)),
            isBulk: this.answerSizes.meanBytes(route.name) > bulkBytes,
            offer: {
                route: route.name,
                // A call below another one is as urgent as that one.
                priority: parent?.priority ?? route.priority,
                isInner: parent !== undefined,
                repeatable: route.repeatable,
                callerService: options.service,
                callId: head.callId,
                fingerprint,
            },
        };
    }

    private record(call: AcceptedCall, service: string, end: CallEnd): void {
        const { clock, log, metrics } = this.options;
        const latencyMs = clock.now() - call.startedAt;
        metrics.callEnded({ route: call.route, service, outcome: end.outcome, reason: end.reason, latencyMs });
        if (end.outcome === CallOutcome.Done) {
            this.latencies.forRoute(call.route).record(latencyMs);
            this.answerSizes.add(call.route, end.answerBytes);
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

/** A call whose request has been read whole. */
interface ReadCall {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly head: CallerHead;
    readonly route: Route;
    readonly table: RouteTable;
    readonly body: Buffer;
    readonly startedAt: Milliseconds;
}

function hostOf(request: IncomingMessage): string {
    return (request.headers.host ?? "").replace(/:\d+$/, "");
}
