/**
 * Task of calls: owns the call listener's requests, the connections to targets, and the state of routing, admission,
 * retries and quarantine.
 */
import { createHash, randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { type DispatchEvent, type Dispatcher, type TenantLimits } from "@bilberrycroft/coordination.admission";
import { type CallAtCrash, type Quarantine, QuarantineDecisionKind, type QuarantineReport } from "@bilberrycroft/coordination.quarantine";
import type { Retries } from "@bilberrycroft/coordination.retries";
import type { Router } from "@bilberrycroft/coordination.routing";
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import type { Logger } from "@bilberrycroft/core.logger";
import { CallOutcome, CallReason } from "@bilberrycroft/protocol.calls";
import { CallCounter, type CallHistograms } from "@bilberrycroft/state.histograms";
import { findRoute, type RouteRule, type RuleSet } from "@bilberrycroft/state.rules";
import type { VerifiedSnapshot } from "@bilberrycroft/state.snapshots";
import { BodyOutcomeKind, probeListener, readBody, type TargetClient } from "@bilberrycroft/transport.calls";
import { interval, Subject, type Subscription } from "rxjs";
import {
    type AcceptedCall,
    AdditionalAttempt,
    type BrokenConnection,
    CallExecution,
    type CallResult,
    type CallServices,
} from "./callExecution";
import { type CallHead, readCallHead } from "./callRequest";
import type { Claims } from "./claims";
import { bodyTooLargeStatus, sendOwnResponse } from "./responses";

// Queued calls are started by the completions of others; the tick only expires them and repairs a missed start. It runs
// while calls wait: steady ticks of this task and of the claims took half of an idle node's processor time.
const tickMs: Milliseconds = 20;
const reportIntervalMs: Milliseconds = 500;
const crashProbeDelayMs: Milliseconds = 20;
const anonymousTenant = "anonymous";
// Leaves the caller's node time to respond before the caller itself gives up.
const deadlineMarginMs: Milliseconds = 2;

/** Options of a `CallTask`. */
export interface CallTaskOptions {
    readonly clock: Clock;
    readonly dispatcher: Dispatcher;
    readonly router: Router;
    readonly retries: Retries;
    readonly quarantine: Quarantine;
    readonly claims: Claims;
    readonly targets: TargetClient;
    readonly histograms: CallHistograms;
    readonly maxRequestBytes: number;
    readonly logger: Logger;
}

interface BrokenConnections {
    readonly address: string;
    readonly brokeAt: Milliseconds;
    readonly calls: CallAtCrash[];
    /** Settles when it is known whether the target died. */
    judged: Promise<void>;
}

/** Carries the calls of a node. */
export class CallTask {
    /** Number of calls in flight, whenever it changes. */
    readonly inFlight = new Subject<number>();
    /** Crashes and completions of suspected requests, for the other nodes. */
    readonly quarantineReports = new Subject<readonly QuarantineReport[]>();

    private configuration: VerifiedSnapshot | undefined;
    private isClosing = false;
    private calls = 0;
    private readonly executions = new Map<string, CallExecution>();
    private readonly broken = new Map<string, BrokenConnections>();
    private readonly services: CallServices;
    private readonly reporting: Subscription;
    private tickTimer: NodeJS.Timeout | undefined;

    constructor(private readonly options: CallTaskOptions) {
        this.services = {
            clock: options.clock,
            dispatcher: options.dispatcher,
            retries: options.retries,
            targets: options.targets,
            dispatch: events => this.dispatch(events),
            callQueued: () => this.scheduleTick(),
            distanceMeasured: (zone, roundTripMs) => options.router.recordDistance({ zone, roundTripMs }),
            connectionBroke: broken => this.connectionBroke(broken),
            mayRepeat: fingerprint => this.mayRepeat(fingerprint),
            countAttempt: kind => options.histograms.count(attemptCounters[kind]),
        };
        this.reporting = interval(reportIntervalMs).subscribe(() => this.shareReports());
    }

    /** Carries new calls under another rule set; calls in progress keep theirs. */
    activate(configuration: VerifiedSnapshot): void {
        this.configuration = configuration;
        this.options.retries.retainRoutes(new Set(configuration.rules.routes.keys()));
    }

    /** Calls in progress. */
    get callsInProgress(): number {
        return this.calls;
    }

    /** Refuses calls that still arrive on open connections. */
    refuseNewCalls(): void {
        this.isClosing = true;
    }

    /** Ends the task's timers and idle connections. */
    stop(): void {
        this.reporting.unsubscribe();
        clearTimeout(this.tickTimer);
        this.options.targets.close();
    }

    /** Takes one request of a caller. */
    handle(request: IncomingMessage, response: ServerResponse): void {
        this.changeInFlight(1);
        void this.carry(request, response).finally(() => this.changeInFlight(-1));
    }

    private async carry(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const startedAt = this.options.clock.now();
        const head = readCallHead(request);
        const { configuration } = this;
        if (head === CallReason.BadRequest) {
            return this.refuse(response, CallReason.BadRequest);
        }
        if (configuration === undefined) {
            return this.refuse(response, CallReason.NoConfiguration, notServingRetryMs);
        }
        if (this.isClosing) {
            return this.refuse(response, CallReason.Draining, notServingRetryMs);
        }
        const route = findRoute(configuration.rules, head.path);
        if (route === undefined) {
            return this.refuse(response, CallReason.NoRoute);
        }
        if (route.tenants.length > 0 && !route.tenants.includes(head.tenant ?? "")) {
            return this.refuse(response, CallReason.TenantNotAllowed);
        }
        const body = await readBody(request, this.options.maxRequestBytes);
        if (body.kind !== BodyOutcomeKind.Complete) {
            response.setHeader("connection", "close");
            const status = body.kind === BodyOutcomeKind.TooLarge ? bodyTooLargeStatus : undefined;
            return this.refuse(response, CallReason.BadRequest, undefined, status);
        }
        const call = this.accept({ head, request, body: body.body, route, startedAt, configuration });
        const result = await this.run(call, response);
        this.record(call, result, startedAt);
    }

    private accept(options: {
        readonly head: CallHead;
        readonly request: IncomingMessage;
        readonly body: Buffer;
        readonly route: RouteRule;
        readonly startedAt: Milliseconds;
        readonly configuration: VerifiedSnapshot;
    }): AcceptedCall {
        const { head, request, body, route, startedAt, configuration } = options;
        const timeoutMs = Math.min(route.timeoutMs, head.timeoutMs ?? route.timeoutMs);
        const tenant = shareOf(configuration.rules, head.tenant);
        return {
            head,
            received: request.headers,
            body,
            submitted: {
                callId: randomUUID(),
                route,
                tenant,
                deadlineAt: startedAt + Math.max(1, timeoutMs - deadlineMarginMs),
                depth: head.depth,
            },
            fingerprint: this.options.quarantine.fingerprint({
                method: head.method,
                path: head.url,
                tenant: tenant.name,
                bodyDigest: body.length === 0 ? "" : createHash("sha256").update(body).digest("hex"),
            }),
            version: configuration.snapshot.version,
        };
    }

    private async run(call: AcceptedCall, response: ServerResponse): Promise<CallResult> {
        await this.crashesJudged(call.fingerprint);
        const held = this.options.quarantine.check(call.fingerprint);
        if (held.kind === QuarantineDecisionKind.Held) {
            this.options.histograms.count(CallCounter.Quarantines);
            return this.refuseAccepted(call, response, CallReason.Quarantined, held.retryAfterMs);
        }
        const result = call.submitted.route.repeatable
            ? await this.execute(call, response)
            : await this.options.claims.carryOnce(call, response, () => this.execute(call, response));
        if (result.outcome === CallOutcome.Done) {
            this.options.quarantine.callCompleted(call.fingerprint);
        }
        return result;
    }

    private async execute(call: AcceptedCall, response: ServerResponse): Promise<CallResult> {
        const { callId } = call.submitted;
        const execution = new CallExecution(call, response, this.services);
        this.executions.set(callId, execution);
        const onClose = (): void => {
            if (!response.writableFinished) {
                execution.callerLeft();
            }
        };
        response.once("close", onClose);
        const result = await execution.run();
        response.off("close", onClose);
        this.executions.delete(callId);
        return result;
    }

    private refuseAccepted(
        call: AcceptedCall,
        response: ServerResponse,
        reason: CallReason,
        retryAfterMs: Milliseconds,
    ): CallResult {
        sendOwnResponse(response, { outcome: CallOutcome.NotRun, reason, retryAfterMs, version: call.version });
        return { outcome: CallOutcome.NotRun, reason, target: undefined, answer: undefined };
    }

    private refuse(
        response: ServerResponse,
        reason: CallReason,
        retryAfterMs?: Milliseconds,
        status?: number,
    ): void {
        const version = this.configuration?.snapshot.version ?? 0;
        sendOwnResponse(response, { outcome: CallOutcome.NotRun, reason, retryAfterMs, version, status });
    }

    private record(call: AcceptedCall, result: CallResult, startedAt: Milliseconds): void {
        const { histograms, clock } = this.options;
        const { route, tenant } = call.submitted;
        if (result.reason === CallReason.Overloaded) {
            histograms.count(CallCounter.Sheds);
        }
        histograms.record({
            tenant: tenant.name,
            runTimeClass: route.runTimeClass,
            route: route.name,
            target: result.target,
            outcome: result.reason ?? result.outcome,
            latencyMs: clock.now() - startedAt,
        });
    }

    private dispatch(events: readonly DispatchEvent[]): void {
        for (const event of events) {
            this.executions.get(event.callId)?.dispatched(event);
        }
    }

    private scheduleTick(): void {
        if (this.tickTimer !== undefined || this.options.dispatcher.queuedCalls === 0) {
            return;
        }
        this.tickTimer = setTimeout(() => {
            this.tickTimer = undefined;
            this.dispatch(this.options.dispatcher.tick());
            this.scheduleTick();
        }, tickMs);
    }

    private changeInFlight(change: number): void {
        this.calls += change;
        this.inFlight.next(this.calls);
    }

    /** Gathers the calls whose connections to one target broke together, then finds out whether the target died. */
    private connectionBroke({ target, address, fingerprint, ageMs }: BrokenConnection): void {
        const known = this.broken.get(target);
        if (known !== undefined) {
            known.calls.push({ fingerprint, ageMs });
            return;
        }
        const brokeAt = this.options.clock.wallTime();
        const calls = [{ fingerprint, ageMs }];
        const broken: BrokenConnections = { address, brokeAt, calls, judged: Promise.resolve() };
        this.broken.set(target, broken);
        broken.judged = new Promise(resolve => setTimeout(resolve, crashProbeDelayMs))
            .then(() => this.judgeBroken(target, broken));
    }

    /** Waits until it is known which targets died with this request in flight, so that it is held in time. */
    private async crashesJudged(fingerprint: string): Promise<void> {
        for (const { calls, judged } of [...this.broken.values()]) {
            if (calls.some(call => call.fingerprint === fingerprint)) {
                await judged;
            }
        }
    }

    private async mayRepeat(fingerprint: string): Promise<boolean> {
        await this.crashesJudged(fingerprint);
        return this.options.quarantine.check(fingerprint).kind !== QuarantineDecisionKind.Held;
    }

    private async judgeBroken(target: string, broken: BrokenConnections): Promise<void> {
        const isListening = await probeListener(broken.address);
        this.broken.delete(target);
        if (isListening) {
            return;
        }
        this.options.logger.warn("Target died with calls in flight.", { target, calls: broken.calls.length });
        this.options.quarantine.targetCrashed({ target, inFlight: broken.calls, at: broken.brokeAt });
        this.shareReports();
    }

    /** Membership passes each report on once, however often it is handed over. */
    private shareReports(): void {
        const reports = this.options.quarantine.reportsToShare();
        if (reports.length > 0) {
            this.quarantineReports.next(reports);
        }
    }
}

const notServingRetryMs: Milliseconds = 1_000;

const attemptCounters: Readonly<Record<AdditionalAttempt, CallCounter>> = {
    [AdditionalAttempt.Retry]: CallCounter.Retries,
    [AdditionalAttempt.Hedge]: CallCounter.Hedges,
};

const anonymousShare: TenantLimits = { name: anonymousTenant, weight: 1, ratePerSecond: undefined };

/** Callers without a tenant, or with one that the rules do not name, share one anonymous tenant. */
function shareOf(rules: RuleSet, tenant: string | undefined): TenantLimits {
    return (tenant === undefined ? undefined : rules.tenants.get(tenant)) ?? anonymousShare;
}
