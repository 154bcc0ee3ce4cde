/**
 * Token buckets of the organisations for which this node is the accounting node.
 *
 * Answers load above the limit of an organisation that arrives spread over many nodes: no node alone can tell. A bucket
 * never grants more than it holds. A node that was frozen does not know what its successor granted, so the ledger
 * begins anew after a gap in its own activity.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import {
    type AllowanceAsk,
    type BucketState,
    maxTokensPerGrant,
    type PreviousBucket,
    type QuotaLimit,
} from "@bilberrycroft/protocol.forwarding";
import {
    computeCapacity,
    computeInitialTokens,
    computeLifetimeMs,
    computeLongLifetimeMs,
    computeMaxInitialTokens,
    computeReserve,
    millisecondsPerSecond,
    type QuotaBound,
} from "./quotaBound";

export interface QuotaLedgerOptions {
    readonly clock: Clock;
    readonly bound: QuotaBound;
    /** Share of all nodes that respond to this node; `isSubstitute` if the organisation has another preferred node. */
    readonly respondingShare: (isSubstitute: boolean) => number;
}

/** Tokens granted to a node. */
export interface LedgerGrant {
    readonly tokens: number;
    readonly validMs: Milliseconds;
    readonly pauseMs: Milliseconds;
    readonly retryAfterMs: Milliseconds;
    /** Set if the bucket holds less than another accounting node would begin with. */
    readonly bucket?: BucketState;
}

/** `advance` must be called at this interval while the ledger has accounts. */
export const ledgerIntervalMs: Milliseconds = 250;
/** A longer gap than this counts as a freeze. Nodes select another accounting node after 300 ms and more. */
const maxGapMs: Milliseconds = 700;
/** Bounds memory use; organisations beyond this number are decided by equal parts. */
export const maxAccounts = 4_096;
/** Bounds memory use of one account. */
const maxAskers = 2_048;
/** A bucket filled less than this share limits grants and withholds the parts of nodes that do not respond. */
const tightShare = 0.5;
/** Demand that a grant covers in advance, as a share of the lifetime of tokens. */
const wellFilledPrefetchShare = 0.8;
const tightPrefetchShare = 0.1;
/** Refused nodes ask again after this time for each node that asks, which bounds the requests to about 500 a second. */
const pausePerAskerMs: Milliseconds = 2;
const minPauseMs: Milliseconds = 10;
const maxPauseMs: Milliseconds = 1_000;
/** Nodes that asked within this time share the requests per second. */
const askerLifetimeMs: Milliseconds = 1_000;
/** Grants to one node within this time expire together in the ledger's record. */
const lotResolutionMs: Milliseconds = 30;
/** A rate may be as low as one call in hours; callers are not told to wait longer than this. */
const maxRetryAfterMs: Milliseconds = 60_000;
/** Time until the loss of a zone is noticed: two checks without a reply, and the time until the first. */
const noticeMs: Milliseconds = 600;
/** Part of the reserve that pays for what was granted before a loss was noticed; the change of nodes needs the rest. */
const coveredReserveShare = 0.5;
/** Part of the reserve that may be granted each second although some nodes do not respond. */
const reserveSharePerSecond = 0.03;

/** Tokens granted to a node at about the same time. */
interface GrantedLot {
    tokens: number;
    readonly expiresAt: Milliseconds;
}

interface Asker {
    readonly askedAt: Milliseconds;
    /** Calls per second at the node. */
    readonly demand: number;
    /** Tokens that have not expired; the node may have used them already. */
    readonly lots: GrantedLot[];
}

interface Account {
    limit: QuotaLimit;
    isSubstitute: boolean;
    /** Share of the nodes to which this ledger grants. */
    share: number;
    tokens: number;
    refilledAt: Milliseconds;
    readonly openedAt: Milliseconds;
    /** Tokens granted since then, less those returned. */
    granted: number;
    /** Tokens that may still be used. */
    outstanding: GrantedLot[];
    readonly askers: Map<string, Asker>;
}

export class QuotaLedger {
    private readonly accounts = new Map<string, Account>();
    private readonly lifetimeMs: Milliseconds;
    private activeAt: Milliseconds;

    constructor(private readonly options: QuotaLedgerOptions) {
        this.lifetimeMs = computeLifetimeMs(options.bound);
        this.activeAt = options.clock.now();
    }

    get size(): number {
        return this.accounts.size;
    }

    get organisations(): readonly string[] {
        return [...this.accounts.keys()];
    }

    /** Whether any bucket in use is so empty that the parts of nodes that do not respond matter. */
    get isTight(): boolean {
        return [...this.accounts.values()].some(account =>
            account.askers.size > 0 && this.isAccountTight(account) && this.exceedsReserve(account));
    }

    /**
     * Opens an account, or changes the limit of an existing one. A new bucket is empty. Returns `false` if the ledger
     * is full.
     */
    open(organisation: string, limit: QuotaLimit, isSubstitute: boolean): boolean {
        this.detectGap();
        const existing = this.accounts.get(organisation);
        if (existing === undefined) {
            if (this.accounts.size >= maxAccounts) {
                return false;
            }
            const refilledAt = this.options.clock.now();
            const share = this.options.respondingShare(isSubstitute);
            const tokens = computeInitialTokens(limit, this.options.bound, share);
            this.accounts.set(organisation, {
                limit,
                isSubstitute,
                share,
                tokens,
                refilledAt,
                openedAt: refilledAt,
                granted: 0,
                outstanding: [],
                askers: new Map(),
            });
            return true;
        }
        this.refill(existing);
        existing.isSubstitute = isSubstitute;
        existing.limit = limit;
        existing.tokens = Math.min(existing.tokens, computeCapacity(limit, this.options.bound));
        return true;
    }

    close(organisation: string): void {
        this.accounts.delete(organisation);
    }

    /** Grants tokens of an open account. */
    grant(node: string, { organisation, tokens: asked, demand, returned, previous }: AllowanceAsk): LedgerGrant {
        this.detectGap();
        const account = this.accounts.get(organisation);
        if (account === undefined) {
            return { tokens: 0, validMs: 0, pauseMs: minPauseMs, retryAfterMs: minPauseMs };
        }
        this.refill(account);
        if (previous !== undefined) {
            this.continueBucket(account, previous);
        }
        const now = this.options.clock.now();
        const lots = this.acceptReturn(account, node, returned);
        const isTight = this.isAccountTight(account);
        const prefetchShare = isTight ? tightPrefetchShare : wellFilledPrefetchShare;
        const validMs = isTight ? this.lifetimeMs : computeLongLifetimeMs(this.options.bound);
        const prefetched = Math.floor(demand * prefetchShare * validMs / millisecondsPerSecond);
        const available = Math.max(0, Math.floor(account.tokens));
        const tokens = Math.min(available, asked + prefetched, maxTokensPerGrant);
        account.tokens -= tokens;
        account.granted += tokens;
        const lot = { tokens, expiresAt: now + validMs };
        this.recordAsker(account, node, { askedAt: now, demand, lots: addLot(lots, lot) });
        account.outstanding = addLot(account.outstanding, lot);
        const bucket = this.describeBucket(account);
        if (tokens >= asked) {
            return { tokens, validMs, pauseMs: 0, retryAfterMs: 0, ...bucket };
        }
        const pauseMs = Math.min(maxPauseMs, Math.max(minPauseMs, pausePerAskerMs * account.askers.size));
        const retryAfterMs = Math.min(maxRetryAfterMs, this.estimateRoomMs(account, pauseMs));
        return { tokens, validMs, pauseMs, retryAfterMs, ...bucket };
    }

    /**
     * Continues the bucket of an earlier accounting node, which may have granted on since this one is responsible: what
     * both have granted counts against one bucket. Later reports of the same window are more complete.
     */
    private continueBucket(account: Account, { tokens, heldMs, ageMs }: PreviousBucket): void {
        const responsibleMs = this.options.clock.now() - account.openedAt;
        if (responsibleMs > this.options.bound.windowMs || ageMs + heldMs <= responsibleMs) {
            return;
        }
        const earned = ageMs * this.computeRate(account) / millisecondsPerSecond;
        account.tokens = Math.min(account.tokens, tokens + earned - account.granted);
    }

    private describeBucket({ limit, tokens, openedAt }: Account): { readonly bucket?: BucketState } {
        const heldMs = Math.round(this.options.clock.now() - openedAt);
        return tokens < computeMaxInitialTokens(limit, this.options.bound)
            ? { bucket: { tokens: Math.floor(tokens), heldMs } }
            : {};
    }

    /** Time until a refused call may expect room: after the pause, all nodes ask for the calls that arrive in it. */
    private estimateRoomMs({ tokens, limit, askers }: Account, pauseMs: Milliseconds): Milliseconds {
        const demand = [...askers.values()].reduce((sum, asker) => sum + asker.demand, 0);
        const untilTokenMs = (1 - tokens) / limit.callsPerSecond * millisecondsPerSecond;
        return Math.max(untilTokenMs, pauseMs * Math.max(1, demand / limit.callsPerSecond));
    }

    /** Refills all buckets and drops the nodes that no longer ask. */
    advance(): void {
        this.detectGap();
        const now = this.options.clock.now();
        for (const account of this.accounts.values()) {
            this.refill(account);
            for (const [node, { askedAt }] of account.askers) {
                if (now - askedAt > askerLifetimeMs) {
                    account.askers.delete(node);
                }
            }
        }
    }

    /** Begins all accounts anew if this node did not run for longer than others wait for it. */
    private detectGap(): void {
        const now = this.options.clock.now();
        if (now - this.activeAt > maxGapMs) {
            for (const account of this.accounts.values()) {
                const initial = computeInitialTokens(account.limit, this.options.bound, account.share);
                account.tokens = Math.min(account.tokens, initial);
                account.refilledAt = now;
                account.askers.clear();
            }
        }
        this.activeAt = now;
    }

    private refill(account: Account): void {
        const now = this.options.clock.now();
        if (this.limitsShare(account)) {
            this.updateShare(account);
        }
        const earned = (now - account.refilledAt) * this.computeRate(account) / millisecondsPerSecond;
        account.tokens = Math.max(account.tokens, Math.min(this.computeRoom(account), account.tokens + earned));
        account.refilledAt = now;
    }

    /**
     * Tokens up to which the bucket fills. Together with those outstanding, it never exceeds its capacity by more than
     * the rate over the short lifetime, so that the bound holds for tokens of any lifetime.
     */
    private computeRoom(account: Account): number {
        const { limit } = account;
        const now = this.options.clock.now();
        account.outstanding = account.outstanding.filter(({ expiresAt }) => expiresAt > now);
        const outstanding = account.outstanding.reduce((sum, { tokens }) => sum + tokens, 0);
        const capacity = computeCapacity(limit, this.options.bound);
        const allowedOutstanding = limit.callsPerSecond * this.lifetimeMs / millisecondsPerSecond;
        return Math.min(capacity, capacity + allowedOutstanding - outstanding);
    }

    /** Calls per second for the nodes that respond; those that do not use their parts of the rate by themselves. */
    private computeRate(account: Account): number {
        const { callsPerSecond } = account.limit;
        if (!this.limitsShare(account)) {
            return callsPerSecond;
        }
        const reserve = computeReserve(account.limit, this.options.bound);
        return Math.min(callsPerSecond, account.share * callsPerSecond + reserveSharePerSecond * reserve);
    }

    private limitsShare(account: Account): boolean {
        return account.isSubstitute || (this.isAccountTight(account) && this.exceedsReserve(account));
    }

    /** After a loss of nodes, takes back what was granted in their place before the loss was noticed. */
    private updateShare(account: Account): void {
        const { limit, share: previous, isSubstitute } = account;
        account.share = this.options.respondingShare(isSubstitute);
        const unnoticed = (previous - account.share) * limit.callsPerSecond * noticeMs / millisecondsPerSecond;
        const coveredByReserve = coveredReserveShare * computeReserve(limit, this.options.bound);
        account.tokens -= Math.max(0, unnoticed - coveredByReserve);
    }

    /** Whether the calls of the cut-off nodes in one window may exceed the reserve for failures. */
    private exceedsReserve({ limit }: Account): boolean {
        const { bound } = this.options;
        const quota = limit.callsPerSecond * bound.windowMs / millisecondsPerSecond;
        return quota > computeReserve(limit, bound);
    }

    private isAccountTight({ tokens, limit }: Account): boolean {
        return tokens < tightShare * computeCapacity(limit, this.options.bound);
    }

    /**
     * Puts returned tokens back into the bucket, up to what this ledger granted to the node and has not expired.
     * Returns what the node holds afterwards.
     */
    private acceptReturn(account: Account, node: string, returned: number): GrantedLot[] {
        const now = this.options.clock.now();
        const lots = (account.askers.get(node)?.lots ?? []).filter(({ expiresAt }) => expiresAt > now);
        let remaining = returned;
        for (const lot of lots) {
            const accepted = Math.min(remaining, lot.tokens);
            lot.tokens -= accepted;
            remaining -= accepted;
        }
        const capacity = computeCapacity(account.limit, this.options.bound);
        account.tokens = Math.min(capacity, account.tokens + returned - remaining);
        account.granted -= returned - remaining;
        return lots.filter(({ tokens }) => tokens > 0);
    }

    private recordAsker(account: Account, node: string, asker: Asker): void {
        account.askers.delete(node);
        if (account.askers.size >= maxAskers) {
            account.askers.delete(account.askers.keys().next().value as string);
        }
        account.askers.set(node, asker);
    }
}

/** Adds a grant to the last lot if that was granted just before, so that a node has few lots. */
function addLot(lots: GrantedLot[], { tokens, expiresAt }: GrantedLot): GrantedLot[] {
    const last = lots.at(-1);
    if (last !== undefined && Math.abs(expiresAt - last.expiresAt) < lotResolutionMs) {
        last.tokens += tokens;
    }
    else if (tokens > 0) {
        lots.push({ tokens, expiresAt });
    }
    return lots;
}
