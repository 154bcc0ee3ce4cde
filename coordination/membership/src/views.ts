/**
 * What other components ask of the membership table.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import type { MembershipParts } from "./parts";
import type { Entry, Liveness, Target } from "./types";

/** One target with what routing and `status` need of its node. */
export interface LocatedTarget {
    readonly target: Target;
    readonly node: string;
    readonly host: string;
    readonly zone: string;
    readonly liveness: Liveness;
    /** False while the whole zone is out of reach. */
    readonly reachable: boolean;
}

/** Queries over the parts of one node. */
export class MembershipViews {
    private readonly parts: MembershipParts;

    constructor(parts: MembershipParts) {
        this.parts = parts;
    }

    /** Targets of live nodes, of one service or of all. */
    locateTargets(service: string | undefined): readonly LocatedTarget[] {
        return this.parts.table.entries().flatMap(entry => this.locate(entry, service));
    }

    /** Time since the entry was last confirmed: by direct contact, or by a member of its zone with the same table. */
    ageOf(node: string): Milliseconds | undefined {
        const { table, comparison, own, clock } = this.parts;
        if (node === own.entry.node) {
            return 0;
        }
        const entry = table.getLive(node);
        const observedAt = table.observedAt(node);
        if (entry === undefined || observedAt === undefined) {
            return undefined;
        }
        return clock.now() - Math.max(observedAt, comparison.lastMatchWithMember(entry.zone) ?? 0);
    }

    private locate(entry: Entry, service: string | undefined): readonly LocatedTarget[] {
        const { node, host, zone, liveness } = entry;
        const reachable = this.parts.contacts.isReachable(zone);
        return entry.targets
            .filter(target => service === undefined || target.service === service)
            .map(target => ({ target, node, host, zone, liveness, reachable }));
    }
}
