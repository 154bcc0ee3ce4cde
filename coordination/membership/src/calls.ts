/**
 * Calls of this node that are in flight.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";

export enum CallKind {
    Exchange = "exchange",
    Join = "join",
    Pull = "pull",
}

export interface PendingCall {
    readonly kind: CallKind;
    /** Called node; empty for a join, for which only the address is known, and for a pull. */
    readonly node: string;
    /** Zone of the node, or the zone that is pulled; empty for a join. */
    readonly zone: string;
    readonly expiresAt: Milliseconds;
}

/** Calls in flight by id. Calls without a result expire. */
export class PendingCalls {
    private readonly clock: Clock;
    private readonly calls = new Map<number, PendingCall>();
    private lastId = 0;

    constructor(clock: Clock) {
        this.clock = clock;
    }

    /**
     * Adds a call and returns its id. The transport reports its end within `timeoutMs`; without a report it expires
     * after twice that.
     */
    add(call: Omit<PendingCall, "expiresAt">, timeoutMs: Milliseconds): number {
        this.lastId++;
        this.calls.set(this.lastId, { ...call, expiresAt: this.clock.now() + 2 * timeoutMs });
        return this.lastId;
    }

    /** Removes a call; `undefined` if it was already removed. */
    remove(id: number): PendingCall | undefined {
        const call = this.calls.get(id);
        this.calls.delete(id);
        return call;
    }

    /** Removes and returns calls whose end was not reported in time. */
    removeExpired(): readonly PendingCall[] {
        const now = this.clock.now();
        const expired = [...this.calls].filter(([, call]) => now >= call.expiresAt);
        expired.forEach(([id]) => this.calls.delete(id));
        return expired.map(([, call]) => call);
    }

    /** Removes and returns all calls. Used after a pause of this process, which makes calls to healthy peers fail. */
    removeAll(): readonly PendingCall[] {
        const calls = [...this.calls.values()];
        this.calls.clear();
        return calls;
    }
}
