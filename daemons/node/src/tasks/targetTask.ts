/**
 * Task that keeps routing up to date with the membership table: targets, callers and connection limits.
 */
import type { Dispatcher } from "@bilberrycroft/coordination.admission";
import { type Entry, Liveness, type LocatedTarget, type Membership } from "@bilberrycroft/coordination.membership";
import type { Router, RoutingTarget } from "@bilberrycroft/coordination.routing";
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import type { TargetClient } from "@bilberrycroft/transport.calls";
import { auditTime, type Observable, type Subscription } from "rxjs";

// A returning zone changes many entries at once; one pass over the table serves them all.
const gatherMs: Milliseconds = 20;

/** Options of a `TargetTask`. */
export interface TargetTaskOptions {
    readonly membership: Membership;
    readonly tableChanges: Observable<unknown>;
    readonly dispatcher: Dispatcher;
    readonly router: Router;
    readonly client: TargetClient;
    readonly clock: Clock;
    readonly node: string;
}

/** Owns the connection from membership to routing. */
export class TargetTask {
    private readonly subscription: Subscription;

    constructor(private readonly options: TargetTaskOptions) {
        this.subscription = options.tableChanges.pipe(auditTime(gatherMs)).subscribe(() => this.update());
    }

    /** Ends the task. */
    stop(): void {
        this.subscription.unsubscribe();
    }

    private update(): void {
        const { membership, dispatcher, router, client, clock, node } = this.options;
        const wallTime = clock.wallTime();
        const targets = membership.targets().map(located => toRoutingTarget(located, wallTime));
        const callers = membership.entries().filter(isRunning).sort(byZone).map(entry => entry.node);
        dispatcher.setTargets(targets);
        router.setCallers(Math.max(1, callers.length), Math.max(0, callers.indexOf(node)));
        client.retainTargets(new Set(targets.map(target => target.address)));
        for (const target of targets) {
            client.setConnectionLimit(target.address, router.connectionShare(target.id));
        }
    }
}

function isRunning(entry: { readonly liveness: Liveness }): boolean {
    return entry.liveness === Liveness.Alive || entry.liveness === Liveness.Suspect;
}

/** `since` is from the clock of the target's host; a difference between the clocks shifts only the ramp. */
function toRoutingTarget(located: LocatedTarget, wallTime: Milliseconds): RoutingTarget {
    const { target, zone } = located;
    return {
        id: target.id,
        service: target.service,
        address: target.address,
        zone,
        state: target.state,
        slots: target.slots,
        connections: target.connections,
        reachable: located.reachable && isRunning(located),
        stateAgeMs: Math.max(0, wallTime - target.since),
    };
}

/** Callers of one zone get neighbouring ranks, so that their connections go to targets of that zone first. */
function byZone(left: Entry, right: Entry): number {
    const leftKey = `${left.zone}/${left.node}`;
    const rightKey = `${right.zone}/${right.node}`;
    return leftKey < rightKey ? -1 : 1;
}
