/**
 * Calls of this node that have no result yet.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";

/** Kinds of calls. */
export enum CallKind {
    Exchange = "exchange",
    Join = "join",
    Pull = "pull",
}

/** One call without a result. */
export interface OpenCall {
    readonly kind: CallKind;
    /** Node that was called; empty for a join, which knows only an address. */
    readonly node: string;
    /** Zone of the node, or the zone that is fetched. */
    readonly zone: string;
    readonly endsAt: Milliseconds;
}

/** Open calls by number. Entries whose result never comes end by themselves. */
export class OpenCalls {
    private readonly clock: Clock;
    private readonly calls = new Map<number, OpenCall>();
    private last = 0;

    constructor(clock: Clock) {
        this.clock = clock;
    }

    /** Registers a call. The transport reports its end after `timeoutMs`; twice that is the bound without a report. */
    open(call: Omit<OpenCall, "endsAt">, timeoutMs: Milliseconds): number {
        this.last++;
        this.calls.set(this.last, { ...call, endsAt: this.clock.now() + 2 * timeoutMs });
        return this.last;
    }

    /** Ends a call; `undefined` if it ended before. */
    close(number: number): OpenCall | undefined {
        const call = this.calls.get(number);
        this.calls.delete(number);
        return call;
    }

    /** Ends calls whose report never came. */
    takeOverdue(): readonly OpenCall[] {
        const now = this.clock.now();
        const overdue = [...this.calls].filter(([, call]) => now >= call.endsAt);
        overdue.forEach(([number]) => this.calls.delete(number));
        return overdue.map(([, call]) => call);
    }

    /** Calls that were open when the process was paused prove nothing; returns them. */
    takeAll(): readonly OpenCall[] {
        const calls = [...this.calls.values()];
        this.calls.clear();
        return calls;
    }
}
