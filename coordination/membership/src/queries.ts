/**
 * Queries over the membership table for other components.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import type { MembershipParts } from "./parts";
import type { Entry, Liveness, Target } from "./types";

/** A target with the fields of its node that routing and `status` need. */
export interface LocatedTarget {
    readonly target: Target;
    readonly node: string;
    readonly host: string;
    readonly zone: string;
    readonly liveness: Liveness;
    /** False while the zone is unreachable. */
    readonly reachable: boolean;
}

export class MembershipQueries {
    private readonly parts: MembershipParts;

    constructor(parts: MembershipParts) {
        this.parts = parts;
    }

    /** Targets on live nodes, of one service or of all services. */
    listTargets(service: string | undefined): readonly LocatedTarget[] {
        return this.parts.table.entries().flatMap(entry => this.targetsOfEntry(entry, service));
    }

    /** Time since the entry was last confirmed, directly or by a member of its zone with the same zone digest. */
    ageOf(node: string): Milliseconds | undefined {
        const { table, comparison, localEntry, clock } = this.parts;
        if (node === localEntry.entry.node) {
            return 0;
        }
        const entry = table.getLive(node);
        const confirmedAt = table.lastConfirmedAt(node);
        if (entry === undefined || confirmedAt === undefined) {
            return undefined;
        }
        return clock.now() - Math.max(confirmedAt, comparison.lastMatchAt(entry.zone) ?? 0);
    }

    private targetsOfEntry(entry: Entry, service: string | undefined): readonly LocatedTarget[] {
        const { node, host, zone, liveness } = entry;
        const reachable = this.parts.contacts.isReachable(zone);
        return entry.targets
            .filter(target => service === undefined || target.service === service)
            .map(target => ({ target, node, host, zone, liveness, reachable }));
    }
}
