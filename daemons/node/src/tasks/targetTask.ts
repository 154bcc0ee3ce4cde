/**
 * Updates routing from the membership table: targets, callers and connection limits.
 */
import type { Dispatcher } from "@bilberrycroft/coordination.admission";
import { type Entry, Liveness, type LocatedTarget, type Membership } from "@bilberrycroft/coordination.membership";
import type { Router, RoutingTarget } from "@bilberrycroft/coordination.routing";
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import type { TargetClient } from "@bilberrycroft/transport.calls";
import { auditTime, type Observable, type Subscription } from "rxjs";

// When a partitioned zone rejoins, many entries change at once; one pass over the table handles all of them.
const coalesceMs: Milliseconds = 20;

export interface TargetTaskOptions {
    readonly membership: Membership;
    readonly tableChanges: Observable<unknown>;
    readonly dispatcher: Dispatcher;
    readonly router: Router;
    readonly client: TargetClient;
    readonly clock: Clock;
    readonly node: string;
}

export class TargetTask {
    private readonly subscription: Subscription;

    constructor(private readonly options: TargetTaskOptions) {
        this.subscription = options.tableChanges.pipe(auditTime(coalesceMs)).subscribe(() => this.update());
    }

    stop(): void {
        this.subscription.unsubscribe();
    }

    private update(): void {
        const { membership, dispatcher, router, client, clock, node } = this.options;
        const wallTime = clock.wallTime();
        const targets = membership.targets().map(located => toRoutingTarget(located, wallTime));
        const callers = membership.entries().filter(isRunning).sort(compareByZone).map(entry => entry.node);
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

/** `since` comes from the clock of the target's host; clock skew only shifts the slow-start ramp of a new target. */
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

/** Gives callers of one zone adjacent ranks, so that their connections go to targets of that zone first. */
function compareByZone(left: Entry, right: Entry): number {
    const leftKey = `${left.zone}/${left.node}`;
    const rightKey = `${right.zone}/${right.node}`;
    return leftKey < rightKey ? -1 : 1;
}
