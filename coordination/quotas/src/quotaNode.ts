/**
 * Quotas at one node: its calls, its requests to accounting nodes, and its replies as an accounting node.
 *
 * Combines the allowances, the ledger and the contacts of the node. A node asks the first responding node in the order
 * of an organisation, and grants only if it is itself the first that responds. Two nodes that disagree about which
 * nodes respond therefore rarely both grant, and both withhold the parts of nodes that they cannot reach.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import type { Random } from "@bilberrycroft/core.random";
import {
    type Allowance,
    type AllowanceAsk,
    type AllowanceGrant,
    AllowanceGrantKind,
    type AllowanceRequest,
    maxAsksPerRequest,
    type QuotaLimit,
} from "@bilberrycroft/protocol.forwarding";
import { selectAccountingNode } from "./accountingNode";
import { NodeContacts, type QuotaPeer } from "./nodeContacts";
import { admitted, type GrantOrigin, QuotaAllowances, type QuotaDecision, QuotaDecisionKind, QuotaRefusalCause } from "./quotaAllowances";
import type { QuotaBound } from "./quotaBound";
import { ledgerIntervalMs, maxAccounts, QuotaLedger } from "./quotaLedger";

export interface QuotaNodeOptions {
    readonly clock: Clock;
    readonly random: Random;
    /** Name of this node. */
    readonly node: string;
    readonly bound: QuotaBound;
    /** Called when another node becomes the accounting node of an organisation, as this node sees it. */
    onAccountingNodeChanged?(organisation: string, from: string, to: string): void;
}

/** A request to send to another node. */
export interface OutgoingRequest {
    readonly id: number;
    readonly to: string;
    readonly message: AllowanceRequest;
}

/** Why a request got no reply. */
export enum NoReplyCause {
    /** The connection could not be established, or broke. */
    Broken = "broken",
    /** Nothing arrived from the node in time. */
    Silent = "silent",
    /** Something else arrived from the node in time. It is busy, and another accounting node would grant twice. */
    Slow = "slow",
}

/** Receives the decision on a call that had to wait. */
export type DecisionHandler = (decision: QuotaDecision) => void;

/**
 * Time for which a request may remain without a reply. A round trip between zones takes 8 ms, but a process with a
 * quarter of a core may not run for 75 ms of every 100 ms, at either end.
 */
export const replyTimeoutMs: Milliseconds = 150;
/** Time for which a call waits for a grant; longer waits would use up the latency objective of short calls. */
export const maxCallWaitMs: Milliseconds = 150;
/** Delay before a node that declined is asked again: it may be checking the node that it prefers. */
const declinedDelayMs: Milliseconds = 40;
const waitingIntervalMs: Milliseconds = 20;
const checkIntervalMs: Milliseconds = 50;
/** The share of responding nodes is counted at most once in this time, because it takes a pass over all nodes. */
const shareValidityMs: Milliseconds = 50;

interface WaitingCall {
    readonly since: Milliseconds;
    readonly decide: DecisionHandler;
}

interface PendingRequest {
    readonly to: string;
    readonly asks: readonly AllowanceAsk[];
    readonly sentAt: Milliseconds;
}

interface VersionedLimit {
    readonly version: number;
    readonly limit: QuotaLimit;
}

/** Calls decided since the start. */
export interface QuotaCounts {
    readonly admitted: number;
    readonly refusedOverLimit: number;
    readonly refusedWithoutReply: number;
}

export class QuotaNode {
    readonly contacts: NodeContacts;
    readonly allowances: QuotaAllowances;
    private readonly ledger: QuotaLedger;
    private limits: ReadonlyMap<string, QuotaLimit> = new Map();
    private version = 0;
    /** Limits of versions that other nodes have and this one does not. */
    private readonly learnedLimits = new Map<string, VersionedLimit>();
    private readonly waitingCalls = new Map<string, WaitingCall[]>();
    private readonly pendingRequests = new Map<number, PendingRequest>();
    private readonly organisationsInFlight = new Set<string>();
    private readonly notBefore = new Map<string, Milliseconds>();
    private readonly selectedNodes = new Map<string, string>();
    private outbox = new Map<string, AllowanceAsk[]>();
    private lastRequestId = 0;
    private appliedChanges = -1;
    private readonly shares = new Map<boolean, { readonly share: number; readonly at: Milliseconds }>();
    private readonly decided = { admitted: 0, refusedOverLimit: 0, refusedWithoutReply: 0 };

    constructor(private readonly options: QuotaNodeOptions) {
        const { clock, random, node, bound } = options;
        this.contacts = new NodeContacts({ clock, node });
        this.allowances = new QuotaAllowances({ clock, random, bound, countNodes: () => this.contacts.nodes.length });
        this.ledger = new QuotaLedger({
            clock,
            bound,
            respondingShare: isSubstitute => this.getRespondingShare(isSubstitute),
        });
    }

    get counts(): QuotaCounts {
        return this.decided;
    }

    /** Number of organisations for which this node is the accounting node. */
    get accounts(): number {
        return this.ledger.size;
    }

    setNodes(peers: readonly QuotaPeer[]): void {
        this.contacts.setNodes(peers);
        this.applyChanges();
    }

    /** Replaces the limits by those of a configuration version; organisations without a limit are not listed. */
    setLimits(version: number, limits: ReadonlyMap<string, QuotaLimit>): void {
        this.version = version;
        this.limits = limits;
        this.allowances.setLimits(limits);
        for (const [organisation, learned] of this.learnedLimits) {
            if (learned.version <= version) {
                this.learnedLimits.delete(organisation);
            }
        }
        [this.notBefore, this.selectedNodes].forEach(entries =>
            [...entries.keys()].filter(name => !limits.has(name)).forEach(name => entries.delete(name)));
        [...this.waitingCalls.keys()].forEach(organisation => this.settle(organisation));
        this.appliedChanges = -1;
        this.applyChanges();
    }

    /** Decides a call, or returns `undefined` and passes the decision to `decide` later. */
    acquire(organisation: string, decide: DecisionHandler): QuotaDecision | undefined {
        if (!this.allowances.hasLimit(organisation)) {
            return admitted;
        }
        this.allowances.recordCall(organisation);
        const decision = this.allowances.decide(organisation);
        if (decision !== undefined && !this.isWorthWaiting(organisation, decision)) {
            this.count(decision);
            this.request(organisation);
            return decision;
        }
        const waiting = this.waitingCalls.get(organisation) ?? [];
        this.waitingCalls.set(organisation, waiting);
        // This node may be the accounting node, in which case the decision is made before `request` returns.
        let immediate: QuotaDecision | undefined;
        let hasReturned = false;
        const handler: DecisionHandler = made => {
            if (hasReturned) {
                decide(made);
            }
            immediate = made;
        };
        waiting.push({ since: this.options.clock.now(), decide: handler });
        this.request(organisation);
        hasReturned = true;
        return immediate;
    }

    /** Replies to a request of another node. */
    handleRequest({ node, configurationVersion, asks }: AllowanceRequest): Allowance {
        this.contacts.recordRequest(node);
        const grants = asks.map(ask => this.answer(node, ask, configurationVersion));
        return { grants, reachesReceiver: this.contacts.isResponding(node) };
    }

    /** Handles the reply to a request; a second reply to the same request is ignored. */
    handleReply(id: number, { grants, reachesReceiver }: Allowance): void {
        const pending = this.pendingRequests.get(id);
        if (pending === undefined) {
            return;
        }
        this.pendingRequests.delete(id);
        this.contacts.recordReply(pending.to, reachesReceiver);
        const byOrganisation = new Map(grants.map(grant => [grant.organisation, grant]));
        for (const { organisation } of pending.asks) {
            this.organisationsInFlight.delete(organisation);
            const grant = byOrganisation.get(organisation) ?? { kind: AllowanceGrantKind.Declined, organisation };
            this.applyGrant(grant, { from: pending.to, askedAt: pending.sentAt });
        }
    }

    /** Handles the end of a request without a reply. */
    handleNoReply(id: number, cause: NoReplyCause): void {
        const pending = this.pendingRequests.get(id);
        if (pending === undefined) {
            return;
        }
        this.pendingRequests.delete(id);
        if (cause !== NoReplyCause.Slow) {
            this.contacts.recordFailure(pending.to, pending.sentAt);
        }
        for (const { organisation } of pending.asks) {
            this.organisationsInFlight.delete(organisation);
            this.allowances.markUncertain(organisation);
            if (cause !== NoReplyCause.Broken) {
                this.allowances.markUnanswered(organisation);
                this.takeWaiting(organisation, () => true)
                    .forEach(call => this.finish(call, this.allowances.decideByEqualPart(organisation)));
            }
            this.request(organisation);
        }
    }

    /** Expires waiting calls, maintains the ledger and schedules checks; must be called as `nextAdvanceMs` says. */
    advance(): void {
        const now = this.options.clock.now();
        for (const organisation of [...this.waitingCalls.keys()]) {
            this.takeWaiting(organisation, ({ since }) => now - since >= maxCallWaitMs)
                .forEach(call => this.finish(call, this.allowances.decideByEqualPart(organisation)));
            this.request(organisation);
        }
        this.ledger.advance();
        if (this.ledger.isTight) {
            this.contacts.wantZones();
        }
        this.applyChanges();
    }

    /** Time until `advance` is needed; `undefined` while there is nothing to do. */
    get nextAdvanceMs(): Milliseconds | undefined {
        if (this.waitingCalls.size > 0) {
            return waitingIntervalMs;
        }
        if (this.contacts.hasWanted) {
            return checkIntervalMs;
        }
        return this.ledger.size > 0 ? ledgerIntervalMs : undefined;
    }

    /** Requests to send now. Each ends with `handleReply` or `handleNoReply`, at the latest after `replyTimeoutMs`. */
    takeRequests(): readonly OutgoingRequest[] {
        const { outbox } = this;
        this.outbox = new Map();
        const requests: OutgoingRequest[] = [];
        for (const [to, asks] of outbox) {
            for (let first = 0; first < asks.length; first += maxAsksPerRequest) {
                requests.push(this.createRequest(to, asks.slice(first, first + maxAsksPerRequest)));
            }
        }
        if (this.contacts.hasWanted) {
            this.contacts.takeDueChecks().forEach(node => requests.push(this.createRequest(node, [])));
        }
        return requests;
    }

    private createRequest(to: string, asks: readonly AllowanceAsk[]): OutgoingRequest {
        const id = ++this.lastRequestId;
        const { node, clock } = this.options;
        this.pendingRequests.set(id, { to, asks, sentAt: clock.now() });
        return { id, to, message: { node, configurationVersion: this.version, asks } };
    }

    /** Asks for the tokens that the organisation needs, unless a request is in flight. */
    private request(organisation: string): void {
        const { clock, node } = this.options;
        const isTooEarly = clock.now() < (this.notBefore.get(organisation) ?? Number.NEGATIVE_INFINITY);
        if (this.organisationsInFlight.has(organisation) || isTooEarly) {
            return;
        }
        const waitingCalls = this.waitingCalls.get(organisation)?.length ?? 0;
        const to = this.allowances.needsAsk(organisation, waitingCalls) ? this.select(organisation) : undefined;
        const ask = to === undefined ? undefined : this.allowances.createAsk(organisation, waitingCalls, to);
        if (ask === undefined || to === undefined) {
            return;
        }
        this.recordSelection(organisation, to);
        if (to === node) {
            return this.applyGrant(this.answer(node, ask, this.version), { from: node, askedAt: clock.now() });
        }
        this.organisationsInFlight.add(organisation);
        const asks = this.outbox.get(to) ?? [];
        this.outbox.set(to, asks);
        asks.push(ask);
    }

    private applyGrant(grant: AllowanceGrant, origin: GrantOrigin): void {
        const { organisation } = grant;
        if (grant.kind === AllowanceGrantKind.Declined) {
            this.notBefore.set(organisation, this.options.clock.now() + declinedDelayMs);
            return;
        }
        this.allowances.handleGrant(grant, origin);
        this.settle(organisation);
    }

    /** Decides the waiting calls in their order, as far as that is possible without another request. */
    private settle(organisation: string): void {
        const waiting = this.waitingCalls.get(organisation);
        if (waiting === undefined) {
            return;
        }
        while (waiting.length > 0) {
            const decision = this.allowances.decide(organisation);
            if (decision === undefined) {
                return this.request(organisation);
            }
            this.finish(waiting.shift() as WaitingCall, decision);
        }
        this.waitingCalls.delete(organisation);
    }

    private takeWaiting(organisation: string, isTaken: (call: WaitingCall) => boolean): readonly WaitingCall[] {
        const waiting = this.waitingCalls.get(organisation) ?? [];
        const remaining = waiting.filter(call => !isTaken(call));
        if (remaining.length === 0) {
            this.waitingCalls.delete(organisation);
        }
        else {
            this.waitingCalls.set(organisation, remaining);
        }
        return waiting.filter(isTaken);
    }

    private finish(call: WaitingCall, decision: QuotaDecision): void {
        this.count(decision);
        call.decide(decision);
    }

    private count(decision: QuotaDecision): void {
        if (decision.kind === QuotaDecisionKind.Admitted) {
            this.decided.admitted++;
        }
        else if (decision.cause === QuotaRefusalCause.OverLimit) {
            this.decided.refusedOverLimit++;
        }
        else {
            this.decided.refusedWithoutReply++;
        }
    }

    /** Whether a call that the equal part does not cover should wait, because another accounting node may reply. */
    private isWorthWaiting(organisation: string, decision: QuotaDecision): boolean {
        if (decision.kind === QuotaDecisionKind.Admitted || decision.cause !== QuotaRefusalCause.NoReply) {
            return false;
        }
        const selected = this.select(organisation);
        return selected !== undefined && !this.contacts.hasFailed(selected);
    }

    private answer(from: string, ask: AllowanceAsk, version: number): AllowanceGrant {
        const { organisation } = ask;
        const selected = this.select(organisation);
        if (selected !== this.options.node) {
            if (selected !== undefined) {
                this.contacts.want(selected);
            }
            return { kind: AllowanceGrantKind.Declined, organisation };
        }
        const limit = this.getLimit(ask, version);
        if (limit === undefined) {
            // The version in force here has no limit for this organisation any more.
            const unlimited = { tokens: ask.tokens, validMs: replyTimeoutMs, pauseMs: 0, retryAfterMs: 0 };
            return { kind: AllowanceGrantKind.Granted, organisation, ...unlimited };
        }
        const isOpen = this.ledger.open(organisation, limit, this.isSubstitute(organisation));
        return isOpen
            ? { kind: AllowanceGrantKind.Granted, organisation, ...this.ledger.grant(from, ask) }
            : { kind: AllowanceGrantKind.Declined, organisation };
    }

    /** Limit of the newest version that this node knows. */
    private getLimit({ organisation, limit }: AllowanceAsk, version: number): QuotaLimit | undefined {
        const learned = this.learnedLimits.get(organisation);
        if (version > (learned?.version ?? this.version)
            && (learned !== undefined || this.learnedLimits.size < maxAccounts)) {
            this.learnedLimits.set(organisation, { version, limit });
            return limit;
        }
        return learned?.limit ?? this.limits.get(organisation);
    }

    /** First node in the order of the organisation that responds. Silent nodes before it are checked. */
    private select(organisation: string): string | undefined {
        const { nodes } = this.contacts;
        const preferred = selectAccountingNode(organisation, nodes);
        if (preferred === undefined || this.contacts.isResponding(preferred)) {
            return preferred;
        }
        const skipped = new Set<string>();
        let selected: string | undefined = preferred;
        while (selected !== undefined && !this.contacts.isResponding(selected)) {
            this.contacts.want(selected);
            skipped.add(selected);
            selected = selectAccountingNode(organisation, nodes, node => !skipped.has(node));
        }
        return selected;
    }

    private isSubstitute(organisation: string): boolean {
        return selectAccountingNode(organisation, this.contacts.nodes) !== this.options.node;
    }

    private recordSelection(organisation: string, to: string): void {
        const from = this.selectedNodes.get(organisation);
        this.selectedNodes.set(organisation, to);
        if (from !== undefined && from !== to) {
            this.options.onAccountingNodeChanged?.(organisation, from, to);
        }
    }

    /**
     * Opens and closes accounts after a change of the limits, the nodes or their contacts. Buckets are opened before
     * the first request, so that an organisation that calls rarely finds a full one.
     */
    private applyChanges(): void {
        if (this.appliedChanges === this.contacts.changes) {
            return;
        }
        this.appliedChanges = this.contacts.changes;
        const isResponding = (node: string): boolean => this.contacts.isResponding(node);
        for (const organisation of new Set([...this.limits.keys(), ...this.ledger.organisations])) {
            const selected = selectAccountingNode(organisation, this.contacts.nodes, isResponding);
            const limit = this.learnedLimits.get(organisation)?.limit ?? this.limits.get(organisation);
            if (selected === this.options.node && limit !== undefined) {
                this.ledger.open(organisation, limit, this.isSubstitute(organisation));
            }
            else {
                this.ledger.close(organisation);
            }
        }
    }

    private getRespondingShare(isSubstitute: boolean): number {
        const now = this.options.clock.now();
        const cached = this.shares.get(isSubstitute);
        if (cached !== undefined && now - cached.at < shareValidityMs) {
            return cached.share;
        }
        const share = this.contacts.computeRespondingShare(isSubstitute);
        this.shares.set(isSubstitute, { share, at: now });
        return share;
    }
}
