/**
 * Handles the requests of the call listener. Owns the connections to targets and the state of routing, admission,
 * retries and quarantine.
 */
import { createHash, randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { type DispatchEvent, type Dispatcher, type TenantLimits } from "@bilberrycroft/coordination.admission";
import type { BufferAccount, BufferBudget } from "@bilberrycroft/coordination.forwarding";
import { type CallAtCrash, type Quarantine, QuarantineDecisionKind, type QuarantineReport } from "@bilberrycroft/coordination.quarantine";
import type { Retries } from "@bilberrycroft/coordination.retries";
import type { Router } from "@bilberrycroft/coordination.routing";
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import type { Logger } from "@bilberrycroft/core.logger";
import { CallOutcome, CallReason } from "@bilberrycroft/protocol.calls";
import { CallCounter, type CallHistograms } from "@bilberrycroft/state.histograms";
import { findRoute, type RouteRule, type RuleSet } from "@bilberrycroft/state.rules";
import type { VerifiedSnapshot } from "@bilberrycroft/state.snapshots";
import { BodyOutcomeKind, joinParts, probeListener, readBodyParts, type TargetClient } from "@bilberrycroft/transport.calls";
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
import { bodyTooLargeStatus, sendLocalResponse } from "./responses";

// Queued calls start when other calls complete; the tick only expires them and recovers from a missed start. It runs
// only while calls are queued: if this task and the claims ticked permanently, an idle node would spend half of its CPU
// time on these ticks.
const tickMs: Milliseconds = 20;
const reportIntervalMs: Milliseconds = 500;
const crashProbeDelayMs: Milliseconds = 20;
/** Evictions come in thousands a second; one line tells of them. */
const evictionLogIntervalMs: Milliseconds = 1_000;
const anonymousTenant = "anonymous";
// The node times out this much earlier, so that its response reaches the caller before the caller's own timeout.
const deadlineMarginMs: Milliseconds = 2;

export interface CallTaskOptions {
    readonly clock: Clock;
    readonly dispatcher: Dispatcher;
    readonly router: Router;
    readonly retries: Retries;
    readonly quarantine: Quarantine;
    readonly claims: Claims;
    readonly targetClient: TargetClient;
    readonly histograms: CallHistograms;
    readonly maxRequestBytes: number;
    /** Counts the memory that is held for callers. */
    readonly bufferBudget: BufferBudget;
    readonly logger: Logger;
}

/** A target with connections that broke while calls were in flight; kept until its listener is probed. */
interface BrokenTarget {
    readonly address: string;
    readonly brokeAt: Milliseconds;
    readonly calls: CallAtCrash[];
    /** Resolves when the probe has determined whether the target crashed. */
    probed: Promise<void>;
}

export class CallTask {
    /** Emits the number of calls in flight each time it changes. */
    readonly inFlight = new Subject<number>();
    /** Emits crashes and completions of suspected requests, to be sent to other nodes. */
    readonly quarantineReports = new Subject<readonly QuarantineReport[]>();

    private configuration: VerifiedSnapshot | undefined;
    private isClosing = false;
    private inFlightCount = 0;
    private readonly executions = new Map<string, CallExecution>();
    private readonly brokenTargets = new Map<string, BrokenTarget>();
    private readonly services: CallServices;
    private readonly reportSubscription: Subscription;
    private nextEvictionLogAt: Milliseconds = 0;
    private tickTimer: NodeJS.Timeout | undefined;

    constructor(private readonly options: CallTaskOptions) {
        this.services = {
            clock: options.clock,
            dispatcher: options.dispatcher,
            retries: options.retries,
            targetClient: options.targetClient,
            dispatch: events => this.dispatch(events),
            handleQueued: () => this.scheduleTick(),
            recordRoundTrip: (zone, roundTripMs) => options.router.recordDistance({ zone, roundTripMs }),
            handleBrokenConnection: broken => this.handleBrokenConnection(broken),
            isRetryAllowed: fingerprint => this.isRetryAllowed(fingerprint),
            countAttempt: kind => options.histograms.count(attemptCounters[kind]),
        };
        this.reportSubscription = interval(reportIntervalMs).subscribe(() => this.publishReports());
    }

    /** Applies another rule set to new calls; calls in progress keep theirs. */
    activate(configuration: VerifiedSnapshot): void {
        this.configuration = configuration;
        this.options.retries.retainRoutes(new Set(configuration.rules.routes.keys()));
    }

    get callsInFlight(): number {
        return this.inFlightCount;
    }

    /** Refuses calls that arrive on connections that are still open. */
    refuseNewCalls(): void {
        this.isClosing = true;
    }

    /** Stops the timers and destroys the connections to targets. */
    stop(): void {
        this.reportSubscription.unsubscribe();
        clearTimeout(this.tickTimer);
        this.options.targetClient.close();
    }

    handle(request: IncomingMessage, response: ServerResponse): void {
        this.changeInFlight(1);
        void this.processCall(request, response).finally(() => this.changeInFlight(-1));
    }

    private async processCall(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const startedAt = this.options.clock.now();
        const head = readCallHead(request);
        const { configuration } = this;
        if (head === CallReason.BadRequest) {
            return this.refuse(response, CallReason.BadRequest);
        }
        if (configuration === undefined) {
            return this.refuse(response, CallReason.NoConfiguration, notServingRetryAfterMs);
        }
        if (this.isClosing) {
            return this.refuse(response, CallReason.Draining, notServingRetryAfterMs);
        }
        const route = findRoute(configuration.rules, head.path);
        if (route === undefined) {
            return this.refuse(response, CallReason.NoRoute);
        }
        if (route.tenants.length > 0 && !route.tenants.includes(head.tenant ?? "")) {
            return this.refuse(response, CallReason.TenantNotAllowed);
        }
        const { bufferBudget, maxRequestBytes } = this.options;
        if (bufferBudget.isExhausted && mayHaveBody(request)) {
            return this.refuseEvicted(response);
        }
        let account: BufferAccount | undefined;
        const body = await readBodyParts(request, maxRequestBytes, holder => account = bufferBudget.open(holder));
        if (body.kind === BodyOutcomeKind.Evicted) {
            return this.refuseEvicted(response);
        }
        if (body.kind !== BodyOutcomeKind.Complete) {
            response.setHeader("connection", "close");
            const status = body.kind === BodyOutcomeKind.TooLarge ? bodyTooLargeStatus : undefined;
            return this.refuse(response, CallReason.BadRequest, undefined, status);
        }
        account?.keep();
        const call = this.accept({ head, request, body: joinParts(body.parts), route, startedAt, configuration });
        const result = await this.run(call, response).finally(() => account?.set(0));
        this.recordResult(call, result, startedAt);
    }

    /** Refuses a request whose memory is needed for others; the rest of its body cannot be told from a next request. */
    refuseEvicted(response: ServerResponse): void {
        response.setHeader("connection", "close");
        const now = this.options.clock.now();
        if (now >= this.nextEvictionLogAt) {
            this.nextEvictionLogAt = now + evictionLogIntervalMs;
            const { evictions, used } = this.options.bufferBudget;
            this.options.logger.warn("Requests gave up their memory.", { evictions, buffered: used });
        }
        this.refuse(response, CallReason.Overloaded, notServingRetryAfterMs);
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
        const tenant = findTenantLimits(configuration.rules, head.tenant);
        return {
            head,
            receivedHeaders: request.headers,
            body,
            submitted: {
                callId: randomUUID(),
                route,
                tenant,
                deadlineAt: startedAt + Math.max(1, timeoutMs - deadlineMarginMs),
                depth: head.depth,
            },
            fingerprint: this.options.quarantine.computeFingerprint({
                method: head.method,
                path: head.url,
                tenant: tenant.name,
                bodyDigest: body.length === 0 ? "" : createHash("sha256").update(body).digest("hex"),
            }),
            version: configuration.snapshot.version,
        };
    }

    private async run(call: AcceptedCall, response: ServerResponse): Promise<CallResult> {
        await this.waitForCrashProbes(call.fingerprint);
        const decision = this.options.quarantine.check(call.fingerprint);
        if (decision.kind === QuarantineDecisionKind.Held) {
            this.options.histograms.count(CallCounter.Quarantines);
            return this.refuseAccepted(call, response, CallReason.Quarantined, decision.retryAfterMs);
        }
        const result = call.submitted.route.repeatable
            ? await this.execute(call, response)
            : await this.options.claims.executeOnce(call, response, () => this.execute(call, response));
        if (result.outcome === CallOutcome.Done) {
            this.options.quarantine.recordCompletion(call.fingerprint);
        }
        return result;
    }

    private async execute(call: AcceptedCall, response: ServerResponse): Promise<CallResult> {
        const { callId } = call.submitted;
        const execution = new CallExecution(call, response, this.services);
        this.executions.set(callId, execution);
        const onClose = (): void => {
            if (!response.writableFinished) {
                execution.handleCallerDisconnect();
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
        sendLocalResponse(response, { outcome: CallOutcome.NotRun, reason, retryAfterMs, version: call.version });
        return { outcome: CallOutcome.NotRun, reason, target: undefined, response: undefined };
    }

    private refuse(
        response: ServerResponse,
        reason: CallReason,
        retryAfterMs?: Milliseconds,
        status?: number,
    ): void {
        const version = this.configuration?.snapshot.version ?? 0;
        sendLocalResponse(response, { outcome: CallOutcome.NotRun, reason, retryAfterMs, version, status });
    }

    private recordResult(call: AcceptedCall, result: CallResult, startedAt: Milliseconds): void {
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
            this.executions.get(event.callId)?.handleDispatch(event);
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
        this.inFlightCount += change;
        this.inFlight.next(this.inFlightCount);
    }

    /** Collects the calls whose connections to one target broke together, then probes whether the target crashed. */
    private handleBrokenConnection({ target, address, fingerprint, ageMs }: BrokenConnection): void {
        const existing = this.brokenTargets.get(target);
        if (existing !== undefined) {
            existing.calls.push({ fingerprint, ageMs });
            return;
        }
        const brokeAt = this.options.clock.wallTime();
        const calls = [{ fingerprint, ageMs }];
        const broken: BrokenTarget = { address, brokeAt, calls, probed: Promise.resolve() };
        this.brokenTargets.set(target, broken);
        broken.probed = new Promise(resolve => setTimeout(resolve, crashProbeDelayMs))
            .then(() => this.checkForCrash(target, broken));
    }

    /** Waits for the probes of targets that had this request in flight: the quarantine check needs their results. */
    private async waitForCrashProbes(fingerprint: string): Promise<void> {
        for (const { calls, probed } of [...this.brokenTargets.values()]) {
            if (calls.some(call => call.fingerprint === fingerprint)) {
                await probed;
            }
        }
    }

    private async isRetryAllowed(fingerprint: string): Promise<boolean> {
        await this.waitForCrashProbes(fingerprint);
        return this.options.quarantine.check(fingerprint).kind !== QuarantineDecisionKind.Held;
    }

    private async checkForCrash(target: string, broken: BrokenTarget): Promise<void> {
        const isListening = await probeListener(broken.address);
        this.brokenTargets.delete(target);
        if (isListening) {
            return;
        }
        this.options.logger.warn("Target crashed with calls in flight.", { target, calls: broken.calls.length });
        this.options.quarantine.recordTargetCrash({ target, inFlight: broken.calls, at: broken.brokeAt });
        this.publishReports();
    }

    /** Membership forwards each report only once, even if it is published again. */
    private publishReports(): void {
        const reports = this.options.quarantine.reportsToShare();
        if (reports.length > 0) {
            this.quarantineReports.next(reports);
        }
    }
}

const notServingRetryAfterMs: Milliseconds = 1_000;

const attemptCounters: Readonly<Record<AdditionalAttempt, CallCounter>> = {
    [AdditionalAttempt.Retry]: CallCounter.Retries,
    [AdditionalAttempt.Hedge]: CallCounter.Hedges,
};

function mayHaveBody({ headers }: IncomingMessage): boolean {
    return headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;
}

const anonymousLimits: TenantLimits = { name: anonymousTenant, weight: 1, ratePerSecond: undefined };

/** Callers without a tenant, or with one that the rules do not define, share one anonymous tenant. */
function findTenantLimits(rules: RuleSet, tenant: string | undefined): TenantLimits {
    return (tenant === undefined ? undefined : rules.tenants.get(tenant)) ?? anonymousLimits;
}
