/**
 * Accepts calls from callers on this host and from the local target, and forwards each to a target of its route.
 */
import { createHash } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import {
    type BufferAccount,
    CallerAges,
    ResponseSizes,
    CallPlan,
    type PlanDependencies,
    RouteLatencyTable,
    type RetryBudgets,
    WeightedRoundRobin,
} from "@bilberrycroft/coordination.forwarding";
import { type Quarantine, QuarantineDecisionKind } from "@bilberrycroft/coordination.quarantine";
import { type QuotaDecision, QuotaDecisionKind } from "@bilberrycroft/coordination.quotas";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import type { Random } from "@bilberrycroft/core.random";
import { CallOutcome, CallReason } from "@bilberrycroft/protocol.calls";
import type { CallExplanation, Offer } from "@bilberrycroft/protocol.forwarding";
import { authenticate, type Authentication, AuthenticationKind, type Route, type RouteTable } from "@bilberrycroft/state.routes";
import { BodyOutcomeKind, type BodyPartsOutcome, discardRequestBody, readBodyParts } from "@bilberrycroft/transport.calls";
import { copyHeaders } from "@bilberrycroft/transport.forwarding";
import { CallerCall } from "../calls/callerCall";
import { type CallQuestion, explainCall } from "../callExplanation";
import type { AcceptedCall, CallEnd, CallerServices } from "../calls/callerCallTypes";
import { bodyTooLargeStatus, limitRetryAfter, sendLocalResponse } from "../calls/localResponses";
import { firstServerErrorStatus } from "../calls/statuses";
import type { CallMetrics } from "../metrics";
import type { CallerHead } from "../ports";

export interface CallerTaskOptions extends CallerServices {
    readonly random: Random;
    readonly budgets: RetryBudgets;
    readonly quarantine: Quarantine;
    readonly metrics: CallMetrics;
    /** Decides on calls of organisations; `undefined` if the deployment has no quotas. */
    readonly quotas: CallQuotas | undefined;
    /** Returns the call with this identifier if it is running in the local target. */
    findRunningCall(callId: string): Offer | undefined;
    /** Records the end of an inner call of the local target, by the route of its parent. */
    recordInnerCall(parentRoute: string, isRefused: boolean): void;
    /** Whether a peer has reported a configuration version newer than the given one. */
    knowsNewerVersion(version: number): boolean;
    /** Whether a key may have been removed for too long without this node's knowledge, so that none is accepted. */
    isRevocationDue(): boolean;
    /** Service of the local target. */
    readonly service: string;
}

/** Limits on the calls of organisations over all nodes. */
export interface CallQuotas {
    acquire(organisation: string): QuotaDecision | Promise<QuotaDecision>;
}

/** Time reserved for sending the response before the caller's timeout. */
const deadlineMarginMs: Milliseconds = 10;
/** Maximum time for which a caller waits; also used if the caller does not send its wait time. */
const maxWaitMs: Milliseconds = 600_000;
/** Delays of refusals that precede the body of a request. */
const retryAfterMsByReason: Readonly<Partial<Record<CallReason, Milliseconds>>> = {
    [CallReason.NoConfiguration]: 300,
    [CallReason.Overloaded]: 300,
    // A relayed configuration usually arrives within this time.
    [CallReason.ConfigurationOutdated]: 200,
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

    /** Refuses a request that is not handled, because too many before it on its connection are open. */
    refuse(request: IncomingMessage, response: ServerResponse): void {
        const { codec, metrics } = this.options;
        const reason = CallReason.Overloaded;
        metrics.recordRefusal(reason);
        const callId = codec.readCallerHead(request.headers)?.callId;
        sendLocalResponse(response, codec, { callId, reason, retryAfterMs: retryAfterMsByReason[reason] });
    }

    /** Explains where a call would be sent now. */
    explain(question: CallQuestion): CallExplanation {
        const { responseSizes, options: { directory } } = this;
        const meanBytes = (route: string): number => responseSizes.meanBytes(route);
        return explainCall(question, { table: this.table, directory, meanBytes });
    }

    private async handleCall(
        request: IncomingMessage,
        response: ServerResponse,
        startedAt: Milliseconds,
    ): Promise<void> {
        const { options, table } = this;
        const { codec, log, metrics } = options;
        const head = codec.readCallerHead(request.headers);
        const refuse = (reason: CallReason, status?: number, cause?: string): void => {
            discardRequestBody(request, cut => log.info("request-cut", { call: head?.callId, reason, cut }));
            const { host } = request.headers;
            const version = table?.version;
            log.info("call-refused", { call: head?.callId, host, path: request.url, version, reason, cause });
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
        const isOutdated = (): boolean => !table.organisations.isEmpty && options.knowsNewerVersion(table.version);
        if (route === undefined) {
            return refuse(isOutdated() ? CallReason.ConfigurationOutdated : CallReason.NoRoute);
        }
        const authentication = this.authenticate(request, head, table, route);
        if (authentication.kind === AuthenticationKind.Refused) {
            const reason = isOutdated() ? CallReason.ConfigurationOutdated : CallReason.NotAuthenticated;
            return refuse(reason, undefined, authentication.cause);
        }
        if (authentication.hasKey && options.isRevocationDue()) {
            return refuse(CallReason.ConfigurationOutdated, undefined, "unconfirmed key");
        }
        if (options.bufferBudget.isExhausted && mayHaveBody(request)) {
            return refuse(CallReason.Overloaded);
        }
        const { maxBodyBytes } = table.configuration.callerLimits;
        const requests = options.bufferBudget;
        let account: BufferAccount | undefined;
        const body = mayHaveBody(request)
            ? await readBodyParts(request, maxBodyBytes, holder => account = requests.open(holder))
            : readEmptyBody(request);
        switch (body.kind) {
            case BodyOutcomeKind.TooLarge:
                return refuse(CallReason.BadRequest, bodyTooLargeStatus);
            case BodyOutcomeKind.Truncated:
                response.destroy();
                return;
            case BodyOutcomeKind.Evicted:
                options.log.sample("request-evicted", { call: head.callId, route: route.name, buffered: requests.used });
                // What follows a body that is not read to its end cannot be told from the body.
                response.setHeader("connection", "close");
                return refuse(CallReason.Overloaded);
            case BodyOutcomeKind.Complete: {
                account?.keep();
                const { parts: bodyParts, bytes: bodyBytes } = body;
                const content = { bodyParts, bodyBytes };
                const call = { request, response, head, route, table, authentication, ...content, startedAt };
                const forwarded = this.forward(call);
                await (account === undefined ? forwarded : forwarded.finally(() => account?.set(0)));
            }
        }
    }

    /** Decides to which organisation a call belongs; to none if the configuration has no organisations. */
    private authenticate(request: IncomingMessage, head: CallerHead, table: RouteTable, route: Route): Authentication {
        if (table.organisations.isEmpty) {
            return callWithoutOrganisation;
        }
        return authenticate(table.organisations, {
            credentials: this.options.codec.readCredentials(request.headersDistinct),
            allowsAnonymous: route.allowsAnonymous,
            parent: this.findParent(head),
        });
    }

    private findParent({ parentCallId }: CallerHead): Offer | undefined {
        return parentCallId === undefined ? undefined : this.options.findRunningCall(parentCallId);
    }

    private async forward(received: ReceivedCall): Promise<void> {
        const { options } = this;
        const { response, head, route } = received;
        const service = this.serviceSelector.nextService(route);
        const call = this.createCall(received);
        const decision = options.quarantine.check(call.offer.fingerprint);
        if (decision.kind === QuarantineDecisionKind.Held) {
            const { retryAfterMs } = decision;
            const { organisation } = call.offer;
            options.log.warn("call-quarantined", { call: head.callId, route: route.name, organisation, retryAfterMs });
            const reason = CallReason.Quarantined;
            options.metrics.recordRefusal(reason, organisation);
            sendLocalResponse(response, options.codec, { callId: head.callId, reason, retryAfterMs });
            return;
        }
        if (call.deadlineAt > this.processEndsAt) {
            const reason = CallReason.Draining;
            const { version, offer: { organisation } } = call;
            options.log.info("call-refused", { call: head.callId, route: route.name, version, organisation, reason });
            options.metrics.recordRefusal(reason, organisation);
            const remainingMs = Math.max(minStopRetryAfterMs, this.processEndsAt - options.clock.now());
            const retryAfterMs = limitRetryAfter(remainingMs, call.deadlineAt - options.clock.now());
            sendLocalResponse(response, options.codec, { callId: head.callId, reason, retryAfterMs });
            return;
        }
        if (options.quotas !== undefined && !await this.isWithinQuota(options.quotas, call)) {
            return;
        }
        const services: PlanDependencies = {
            clock: options.clock,
            directory: options.directory,
            budgets: options.budgets,
            latencies: this.latencies,
            mayRepeat: () => options.quarantine.check(call.offer.fingerprint).kind !== QuarantineDecisionKind.Held,
        };
        const { priority, organisation, isInner } = call.offer;
        const isFromRepeat = call.parent?.isRepeat === true;
        const planned = { route, service, priority, organisation, isInner, isFromRepeat, deadlineAt: call.deadlineAt };
        const plan = new CallPlan(services, planned, this.responseSizes.meanBytes(route.name));
        const end = await new CallerCall(call, plan, options).run();
        this.recordEnd(call, service, end);
    }

    private createCall(received: ReceivedCall): AcceptedCall {
        const { request, response, head, route, table, authentication, bodyParts, bodyBytes, startedAt } = received;
        const { options } = this;
        const waitMs = Math.min(head.waitMs ?? maxWaitMs, maxWaitMs);
        const hasBody = bodyBytes > 0 || mayHaveBody(request);
        const fingerprint = options.quarantine.computeFingerprint({
            method: request.method ?? "GET",
            path: request.url ?? "/",
            // Empty, because the same caller may call through any host, regardless of the target on that host.
            tenant: "",
            bodyDigest: bodyBytes === 0 ? emptyBodyDigest : computeDigest(bodyParts),
        });
        const parent = this.findParent(head);
        // An inner call has what is left of its parent's time, which says nothing about its own age.
        const ageMs = parent === undefined && head.waitMs !== undefined
            ? this.callerAges.recordCall(route.name, head.waitMs)
            : 0;
        return {
            request,
            response,
            headers: copyHeaders(request.headers, name => name === "content-length" || name === "expect"
                || (!table.organisations.isEmpty && options.codec.organisationHeaders.has(name))),
            bodyParts,
            bodyBytes,
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
                priority: parent?.priority ?? authentication.priority ?? route.priority,
                isInner: parent !== undefined,
                repeatable: route.repeatable,
                callerService: options.service,
                callId: head.callId,
                fingerprint,
                organisation: authentication.organisation,
            },
        };
    }

    /**
     * Whether the organisation of the call has room for it; otherwise the call is refused. Inner calls do not count,
     * because their parent did.
     */
    private async isWithinQuota(quotas: CallQuotas, { offer, response, callId }: AcceptedCall): Promise<boolean> {
        const { codec, metrics } = this.options;
        const { organisation, isInner } = offer;
        if (organisation === undefined || isInner) {
            return true;
        }
        const acquired = quotas.acquire(organisation);
        const decision = acquired instanceof Promise ? await acquired : acquired;
        if (decision.kind === QuotaDecisionKind.Admitted) {
            // The caller may have disconnected while the call waited.
            return !response.destroyed;
        }
        const { retryAfterMs } = decision;
        const reason = CallReason.QuotaExceeded;
        metrics.recordRefusal(reason, organisation);
        sendLocalResponse(response, codec, { callId, reason, retryAfterMs });
        return false;
    }

    private recordEnd(call: AcceptedCall, service: string, end: CallEnd): void {
        const { clock, log, metrics } = this.options;
        const latencyMs = clock.now() - call.startedAt;
        const { organisation } = call.offer;
        if (call.parent !== undefined) {
            const isRefused = end.reason === CallReason.Overloaded || end.reason === CallReason.DeadlinePassed;
            this.options.recordInnerCall(call.parent.route, isRefused);
        }
        metrics.recordCall({
            route: call.route,
            service,
            outcome: end.outcome,
            reason: end.reason,
            latencyMs,
            organisation,
        });
        if (end.outcome === CallOutcome.Done) {
            this.latencies.latenciesOf(call.route).record(latencyMs);
            this.responseSizes.add(call.route, end.responseBytes);
            if (end.status !== undefined && end.status < firstServerErrorStatus) {
                this.options.quarantine.recordCompletion(call.offer.fingerprint);
            }
        }
        const fields = {
            call: call.callId,
            route: call.route,
            version: call.version,
            service,
            inner: call.offer.isInner ? true : undefined,
            organisation: call.offer.organisation,
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

type AcceptedAuthentication = Extract<Authentication, { kind: AuthenticationKind.Accepted }>;

const callWithoutOrganisation: AcceptedAuthentication = {
    kind: AuthenticationKind.Accepted,
    organisation: undefined,
    hasKey: false,
    priority: undefined,
};

/** A call whose request has been read completely. */
interface ReceivedCall {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly head: CallerHead;
    readonly route: Route;
    readonly table: RouteTable;
    readonly authentication: AcceptedAuthentication;
    readonly bodyParts: readonly Buffer[];
    readonly bodyBytes: number;
    readonly startedAt: Milliseconds;
}

function computeDigest(parts: readonly Buffer[]): string {
    const digest = createHash("sha256");
    parts.forEach(part => digest.update(part));
    return digest.digest("base64url");
}

const emptyBodyDigest = computeDigest([]);

/** Ends a request whose head says that it has no body, so that the next one on the connection is read. */
function readEmptyBody(request: IncomingMessage): Extract<BodyPartsOutcome, { kind: BodyOutcomeKind.Complete }> {
    request.resume();
    return { kind: BodyOutcomeKind.Complete, parts: [], bytes: 0 };
}

function mayHaveBody({ headers }: IncomingMessage): boolean {
    return headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;
}

function getHost(request: IncomingMessage): string {
    return (request.headers.host ?? "").replace(/:\d+$/, "");
}
