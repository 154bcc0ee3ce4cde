/**
 * Reachability of other zones. A zone in which the probed nodes all stop responding is treated as partitioned, not as
 * failed: its entries are kept and are merged by revision when the zone responds again.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import { failuresForUnreachableZone, recentContactWindowMs } from "./limits";
import type { MembershipTable } from "./table";

interface ZoneContact {
    readonly failed: Set<string>;
    isUnreachable: boolean;
    lastContactAt: Milliseconds | undefined;
    /** The zone is probed on a later tick, because a peer or a failed call indicates that it may be unreachable. */
    isProbePending: boolean;
}

export class ZoneContacts {
    private readonly clock: Clock;
    private readonly table: MembershipTable;
    private readonly contacts = new Map<string, ZoneContact>();
    private readonly pendingChanges = new Set<string>();

    constructor(clock: Clock, table: MembershipTable) {
        this.clock = clock;
        this.table = table;
    }

    /** Records a message from a zone. */
    recordContact(zone: string): void {
        const contact = this.contactOf(zone);
        contact.failed.clear();
        contact.lastContactAt = this.clock.now();
        contact.isProbePending = false;
        this.setUnreachable(zone, false);
    }

    /** Records a failed call to a node of a zone. The failure of a single node is detected within its zone. */
    recordFailure(zone: string, node: string): void {
        const contact = this.contactOf(zone);
        contact.failed.add(node);
        const needed = Math.min(failuresForUnreachableZone, this.table.entriesIn(zone).length);
        const allFailed = contact.failed.size >= needed;
        contact.isProbePending = !allFailed;
        if (allFailed) {
            this.setUnreachable(zone, true);
        }
    }

    /** Schedules probes of zones that a peer cannot reach, except zones with recent contact. */
    handleUnreachableReport(zones: readonly string[]): void {
        for (const zone of zones) {
            const contact = this.contactOf(zone);
            const { lastContactAt } = contact;
            const isRecent = lastContactAt !== undefined && this.clock.now() - lastContactAt <= recentContactWindowMs;
            if (!isRecent && !contact.isUnreachable && this.table.entriesIn(zone).length > 0) {
                contact.isProbePending = true;
            }
        }
    }

    /** Removes and returns a zone to probe outside the regular rounds. */
    dequeuePendingProbe(): string | undefined {
        for (const [zone, contact] of this.contacts) {
            if (contact.isProbePending) {
                contact.isProbePending = false;
                return zone;
            }
        }
        return undefined;
    }

    /** Whether a call to the node failed since the last contact with the zone. */
    hasFailed(zone: string, node: string): boolean {
        return this.contactOf(zone).failed.has(node);
    }

    /** Whether calls to a zone are expected to succeed. */
    isReachable(zone: string): boolean {
        return this.contacts.get(zone)?.isUnreachable !== true;
    }

    unreachableZones(): readonly string[] {
        return [...this.contacts].filter(([, contact]) => contact.isUnreachable).map(([zone]) => zone);
    }

    /** Zones whose reachability changed since the previous call. */
    drainChanges(): readonly string[] {
        const zones = [...this.pendingChanges];
        this.pendingChanges.clear();
        return zones;
    }

    private setUnreachable(zone: string, isUnreachable: boolean): void {
        const contact = this.contactOf(zone);
        if (contact.isUnreachable !== isUnreachable) {
            contact.isUnreachable = isUnreachable;
            this.pendingChanges.add(zone);
        }
    }

    private contactOf(zone: string): ZoneContact {
        const contact = this.contacts.get(zone)
            ?? { failed: new Set<string>(), isUnreachable: false, lastContactAt: undefined, isProbePending: false };
        this.contacts.set(zone, contact);
        return contact;
    }
}
