/**
 * Calls of one service and class that wait for a target.
 *
 * Served by rank, then by weighted fair queueing between tenants (start-time fair: each tenant's virtual time advances
 * by run time divided by weight), then oldest first; newest first once the queue has not been empty for a while,
 * because then the oldest calls are the least likely to meet their deadlines.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import type { PendingCall } from "./types";

/** A queue that was never empty for this long does not absorb a burst; it is an overload. */
const overloadedAfterMs = 50;
/** Cost of a call whose run time is not known. */
const unknownRunTimeMs = 1;

interface TenantQueue {
    readonly calls: PendingCall[];
    virtualTime: number;
}

/** Tenants with waiting calls of one rank. */
interface RankQueue {
    readonly tenants: Map<string, TenantQueue>;
    virtualTime: number;
}

/** Waiting calls of one service and class. */
export class CallQueue {
    private readonly ranks = new Map<number, RankQueue>();
    private readonly byId = new Map<string, PendingCall>();
    private filledSince: Milliseconds = 0;

    get size(): number {
        return this.byId.size;
    }

    /** Whether the queue has not been empty for so long that newer calls go first. */
    isOverloaded(now: Milliseconds): boolean {
        return this.size > 0 && now - this.filledSince > overloadedAfterMs;
    }

    /** Number of waiting calls of the rank or a higher one. */
    countFrom(rank: number): number {
        let count = 0;
        for (const [other, queue] of this.ranks) {
            if (other >= rank) {
                queue.tenants.forEach(tenant => count += tenant.calls.length);
            }
        }
        return count;
    }

    /** Highest rank that waits, or `undefined`. */
    get highestRank(): number | undefined {
        return this.size === 0 ? undefined : Math.max(...this.ranks.keys());
    }

    push(pending: PendingCall, now: Milliseconds): void {
        if (this.size === 0) {
            this.filledSince = now;
        }
        const rank = this.ranks.get(pending.rank) ?? { tenants: new Map<string, TenantQueue>(), virtualTime: 0 };
        this.ranks.set(pending.rank, rank);
        const name = pending.call.tenant.name;
        const tenant = rank.tenants.get(name) ?? { calls: [], virtualTime: rank.virtualTime };
        rank.tenants.set(name, tenant);
        tenant.calls.push(pending);
        this.byId.set(pending.call.callId, pending);
    }

    /** The call to serve next, left in the queue. */
    peek(now: Milliseconds): PendingCall | undefined {
        const highest = this.highestRank;
        const rank = highest === undefined ? undefined : this.ranks.get(highest);
        const tenant = rank === undefined ? undefined : leastServed(rank);
        return tenant?.calls.at(this.isOverloaded(now) ? -1 : 0);
    }

    /** Removes a call that is served, and charges its tenant. */
    serve(pending: PendingCall): void {
        const rank = this.ranks.get(pending.rank);
        const tenant = rank?.tenants.get(pending.call.tenant.name);
        if (rank !== undefined && tenant !== undefined) {
            rank.virtualTime = tenant.virtualTime;
            tenant.virtualTime += Math.max(pending.expectedMs, unknownRunTimeMs) / pending.call.tenant.weight;
        }
        this.remove(pending.call.callId);
    }

    /** Removes a call without charge; `undefined` if it does not wait here. */
    remove(callId: string): PendingCall | undefined {
        const pending = this.byId.get(callId);
        if (pending === undefined) {
            return undefined;
        }
        this.byId.delete(callId);
        const rank = this.ranks.get(pending.rank) as RankQueue;
        const name = pending.call.tenant.name;
        const tenant = rank.tenants.get(name) as TenantQueue;
        tenant.calls.splice(tenant.calls.indexOf(pending), 1);
        if (tenant.calls.length === 0) {
            rank.tenants.delete(name);
        }
        if (rank.tenants.size === 0) {
            this.ranks.delete(pending.rank);
        }
        return pending;
    }

    /** The call to shed first: lowest rank, tenant with the most waiting calls for its weight, oldest. */
    get firstToShed(): PendingCall | undefined {
        const rank = this.size === 0 ? undefined : this.ranks.get(Math.min(...this.ranks.keys()));
        let longest: TenantQueue | undefined;
        let longestBacklog = 0;
        for (const tenant of rank?.tenants.values() ?? []) {
            const weight = tenant.calls[0]?.call.tenant.weight ?? 1;
            if (tenant.calls.length / weight > longestBacklog) {
                longest = tenant;
                longestBacklog = tenant.calls.length / weight;
            }
        }
        return longest?.calls[0];
    }

    /** Removes and returns the calls that can no longer start in time. */
    expire(now: Milliseconds): PendingCall[] {
        const expired = [...this.byId.values()].filter(pending => pending.startBy <= now);
        expired.forEach(pending => this.remove(pending.call.callId));
        return expired;
    }
}

function leastServed(rank: RankQueue): TenantQueue | undefined {
    let least: TenantQueue | undefined;
    for (const tenant of rank.tenants.values()) {
        if (least === undefined || tenant.virtualTime < least.virtualTime) {
            least = tenant;
        }
    }
    return least;
}
