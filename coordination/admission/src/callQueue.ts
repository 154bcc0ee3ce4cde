/**
 * Queue of calls of one service and class.
 *
 * Calls are served by rank, then by weighted fair queueing between tenants (start-time fair queueing: each tenant's
 * virtual time advances by run time divided by weight), then in FIFO order. Once the queue has not been empty for a
 * while, the order within a tenant is LIFO, because the oldest calls are then the least likely to meet their deadlines.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import type { PendingCall } from "./types";

/** A queue that has not been empty for this long indicates overload rather than a burst. */
const overloadThresholdMs = 50;
/** Minimum cost of a call in fair queueing, also used while its run time is unknown. */
const minCostMs = 1;

interface TenantQueue {
    readonly calls: PendingCall[];
    virtualTime: number;
}

/** Queues of the tenants that have waiting calls of one rank. */
interface RankQueue {
    readonly tenants: Map<string, TenantQueue>;
    virtualTime: number;
}

export class CallQueue {
    private readonly ranks = new Map<number, RankQueue>();
    private readonly byId = new Map<string, PendingCall>();
    private nonEmptySince: Milliseconds = 0;

    get size(): number {
        return this.byId.size;
    }

    /** Whether the queue has not been empty for a while, so that a tenant's newest call is served first. */
    isOverloaded(now: Milliseconds): boolean {
        return this.size > 0 && now - this.nonEmptySince > overloadThresholdMs;
    }

    /** Number of calls of this rank or higher. */
    countAtOrAbove(rank: number): number {
        let count = 0;
        for (const [queuedRank, queue] of this.ranks) {
            if (queuedRank >= rank) {
                queue.tenants.forEach(tenant => count += tenant.calls.length);
            }
        }
        return count;
    }

    /** `undefined` if the queue is empty. */
    get highestRank(): number | undefined {
        return this.size === 0 ? undefined : Math.max(...this.ranks.keys());
    }

    push(pending: PendingCall, now: Milliseconds): void {
        if (this.size === 0) {
            this.nonEmptySince = now;
        }
        const rank = this.ranks.get(pending.rank) ?? { tenants: new Map<string, TenantQueue>(), virtualTime: 0 };
        this.ranks.set(pending.rank, rank);
        const name = pending.call.tenant.name;
        const tenant = rank.tenants.get(name) ?? { calls: [], virtualTime: rank.virtualTime };
        rank.tenants.set(name, tenant);
        tenant.calls.push(pending);
        this.byId.set(pending.call.callId, pending);
    }

    /** The call to serve next. It stays in the queue. */
    peek(now: Milliseconds): PendingCall | undefined {
        const highest = this.highestRank;
        const rank = highest === undefined ? undefined : this.ranks.get(highest);
        const tenant = rank === undefined ? undefined : findLeastServed(rank);
        return tenant?.calls.at(this.isOverloaded(now) ? -1 : 0);
    }

    /** Removes a call that starts and advances its tenant's virtual time. */
    serve(pending: PendingCall): void {
        const rank = this.ranks.get(pending.rank);
        const tenant = rank?.tenants.get(pending.call.tenant.name);
        if (rank !== undefined && tenant !== undefined) {
            rank.virtualTime = tenant.virtualTime;
            tenant.virtualTime += Math.max(pending.expectedRunTimeMs, minCostMs) / pending.call.tenant.weight;
        }
        this.remove(pending.call.callId);
    }

    /** Removes a call without charging its tenant. Returns `undefined` if it is not in the queue. */
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

    /** The call to shed first: the oldest of the tenant with the longest backlog per weight in the lowest rank. */
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
        const expired = [...this.byId.values()].filter(pending => pending.latestStartAt <= now);
        expired.forEach(pending => this.remove(pending.call.callId));
        return expired;
    }
}

function findLeastServed(rank: RankQueue): TenantQueue | undefined {
    let least: TenantQueue | undefined;
    for (const tenant of rank.tenants.values()) {
        if (least === undefined || tenant.virtualTime < least.virtualTime) {
            least = tenant;
        }
    }
    return least;
}
