/**
 * Quotas of organisations over all nodes: owns the requests to accounting nodes, their timeouts and the timer of the
 * decisions in `QuotaNode`. Exists only where the deployment has quotas.
 */
import {
    admitted,
    NoReplyCause,
    type OutgoingRequest,
    type QuotaCounts,
    type QuotaDecision,
    QuotaDecisionKind,
    QuotaNode,
    replyTimeoutMs,
} from "@bilberrycroft/coordination.quotas";
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import { assertNever } from "@bilberrycroft/core.errors";
import type { EventLog, FaultBarrier } from "@bilberrycroft/core.eventLog";
import type { Random } from "@bilberrycroft/core.random";
import {
    type Allowance,
    AllowanceGrantKind,
    type AllowanceRequest,
    type NodeEntry,
    type QuotaLimit,
} from "@bilberrycroft/protocol.forwarding";
import type { MeshConfiguration } from "@bilberrycroft/state.routes";
import { AllowanceOutcomeKind, type PeerClient } from "@bilberrycroft/transport.forwarding";
import type { QuotaSettings } from "../settings";

export interface QuotaTaskOptions {
    readonly clock: Clock;
    readonly random: Random;
    /** Name of this node. */
    readonly node: string;
    readonly settings: QuotaSettings;
    readonly client: PeerClient;
    readonly log: EventLog;
    readonly faults: FaultBarrier;
}

export class QuotaTask {
    private readonly quota: QuotaNode;
    private addresses: ReadonlyMap<string, string> = new Map();
    private timer: NodeJS.Timeout | undefined;
    private advanceAt: Milliseconds = Number.POSITIVE_INFINITY;
    private isSendScheduled = false;
    private isStopped = false;

    constructor(private readonly options: QuotaTaskOptions) {
        const { clock, random, node, settings, log } = options;
        this.quota = new QuotaNode({
            clock,
            random,
            node,
            bound: settings,
            onAccountingNodeChanged: (organisation, from, to) =>
                log.info("accounting-node-changed", { organisation, from, to }),
        });
    }

    get counts(): QuotaCounts {
        return this.quota.counts;
    }

    /** Unexpired tokens of all organisations. */
    get heldTokens(): number {
        return this.quota.allowances.heldTokens;
    }

    get oldestTokenAgeMs(): Milliseconds {
        return this.quota.allowances.oldestTokenAgeMs;
    }

    /** Number of organisations for which this node is the accounting node. */
    get accounts(): number {
        return this.quota.accounts;
    }

    setNodes(entries: readonly NodeEntry[]): void {
        this.addresses = new Map(entries.map(({ node, address }) => [node, address]));
        this.quota.setNodes(entries);
        this.scheduleWork();
    }

    setConfiguration({ version, organisations }: MeshConfiguration): void {
        const limits = new Map<string, QuotaLimit>();
        for (const { name, callsPerSecond, burst } of organisations) {
            if (callsPerSecond !== undefined) {
                limits.set(name, { callsPerSecond, burst });
            }
        }
        this.quota.setLimits(version, limits);
        this.scheduleWork();
    }

    /** Decides whether a call of the organisation may run. The promise resolves within `maxCallWaitMs`. */
    acquire(organisation: string): QuotaDecision | Promise<QuotaDecision> {
        if (this.isStopped) {
            return admitted;
        }
        let resolveLater: ((decision: QuotaDecision) => void) | undefined;
        const decision = this.quota.acquire(organisation, made => {
            this.logRefusal(organisation, made);
            resolveLater?.(made);
        });
        this.scheduleWork();
        if (decision !== undefined) {
            this.logRefusal(organisation, decision);
            return decision;
        }
        return new Promise(resolve => {
            resolveLater = resolve;
        });
    }

    /** Replies to a request of another node. */
    handleRequest(request: AllowanceRequest): Allowance {
        const allowance = this.quota.handleRequest(request);
        this.scheduleWork();
        return allowance;
    }

    stop(): void {
        this.isStopped = true;
        clearTimeout(this.timer);
    }

    private logRefusal(organisation: string, decision: QuotaDecision): void {
        if (decision.kind === QuotaDecisionKind.Refused) {
            const { cause, retryAfterMs } = decision;
            this.options.log.sample("quota-refused", { organisation, cause, retryAfterMs: Math.round(retryAfterMs) });
        }
    }

    /** Sends what the node has to send, after all calls that arrived together have been decided, and sets the timer. */
    private scheduleWork(): void {
        if (this.isStopped) {
            return;
        }
        if (!this.isSendScheduled) {
            this.isSendScheduled = true;
            setImmediate(() => {
                this.isSendScheduled = false;
                this.options.faults.run("quota-requests", {}, () => this.sendRequests());
            });
        }
        const delayMs = this.quota.nextAdvanceMs;
        const now = this.options.clock.now();
        if (delayMs === undefined || this.advanceAt <= now + delayMs) {
            return;
        }
        clearTimeout(this.timer);
        this.advanceAt = now + delayMs;
        this.timer = setTimeout(() => {
            this.advanceAt = Number.POSITIVE_INFINITY;
            this.options.faults.run("quota-timer", {}, () => this.quota.advance());
            this.scheduleWork();
        }, delayMs);
    }

    private sendRequests(): void {
        if (this.isStopped) {
            return;
        }
        for (const request of this.quota.takeRequests()) {
            void this.options.faults.runAsync("quota-request", { peer: request.to }, () => this.send(request));
        }
    }

    private async send({ id, to, message }: OutgoingRequest): Promise<void> {
        const address = this.addresses.get(to);
        if (address === undefined) {
            // The node has left the table since it was selected.
            return this.endWithoutReply(id, NoReplyCause.Broken);
        }
        const outcome = await this.options.client.requestAllowance(address, message, replyTimeoutMs);
        if (this.isStopped) {
            return;
        }
        switch (outcome.kind) {
            case AllowanceOutcomeKind.Received:
                this.quota.handleReply(id, outcome.allowance);
                return this.scheduleWork();
            case AllowanceOutcomeKind.Broken:
                return this.endWithoutReply(id, NoReplyCause.Broken);
            case AllowanceOutcomeKind.Silent:
                this.endWithoutReply(id, NoReplyCause.Silent);
                if (!this.quota.contacts.isResponding(to)) {
                    // After a partition, a connection may stay silent for seconds until TCP sends again.
                    this.options.client.renewConnections(address);
                }
                return;
            case AllowanceOutcomeKind.Slow:
                return this.endWithoutReply(id, NoReplyCause.Slow);
            default:
                return assertNever(outcome);
        }
    }

    private endWithoutReply(id: number, cause: NoReplyCause): void {
        this.quota.handleNoReply(id, cause);
        this.scheduleWork();
    }
}

/** Reply of a node that has no quotas, because its settings differ from those of the sender. */
export function declineAllowances({ asks }: AllowanceRequest): Allowance {
    const grants = asks.map(({ organisation }) => ({ kind: AllowanceGrantKind.Declined as const, organisation }));
    return { grants, reachesReceiver: true };
}
