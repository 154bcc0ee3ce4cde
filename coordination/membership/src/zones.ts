/**
 * Which other zones can be reached. A zone whose nodes all stop responding is cut off, not dead: its entries stay and
 * merge by revision when it responds again.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import { failuresForUnreachableZone, recentContactMs } from "./limits";
import type { MembershipTable } from "./table";

interface ZoneContact {
    readonly failed: Set<string>;
    unreachable: boolean;
    lastContactAt: Milliseconds | undefined;
    /** The next exchange should go to this zone, because its state is in doubt. */
    checkWanted: boolean;
}

/** Contact of one node with the other zones. */
export class ZoneContacts {
    private readonly clock: Clock;
    private readonly table: MembershipTable;
    private readonly contacts = new Map<string, ZoneContact>();
    private readonly changed = new Set<string>();

    constructor(clock: Clock, table: MembershipTable) {
        this.clock = clock;
        this.table = table;
    }

    /** Notes a message from a zone. */
    heardFrom(zone: string): void {
        const contact = this.contactOf(zone);
        contact.failed.clear();
        contact.lastContactAt = this.clock.now();
        contact.checkWanted = false;
        this.setUnreachable(zone, false);
    }

    /** Notes a failed call to a node of a zone. One dead node is the business of its own zone. */
    failedToReach(zone: string, node: string): void {
        const contact = this.contactOf(zone);
        contact.failed.add(node);
        const needed = Math.min(failuresForUnreachableZone, this.table.entriesIn(zone).length);
        const allFailed = contact.failed.size >= needed;
        contact.checkWanted = !allFailed;
        if (allFailed) {
            this.setUnreachable(zone, true);
        }
    }

    /** Checks zones that a peer can not reach, unless this node had contact a moment ago. */
    heardUnreachable(zones: readonly string[]): void {
        for (const zone of zones) {
            const contact = this.contactOf(zone);
            const { lastContactAt } = contact;
            const isRecent = lastContactAt !== undefined && this.clock.now() - lastContactAt <= recentContactMs;
            if (!isRecent && !contact.unreachable && this.table.entriesIn(zone).length > 0) {
                contact.checkWanted = true;
            }
        }
    }

    /** A zone to check now, out of turn. */
    takeWantedCheck(): string | undefined {
        for (const [zone, contact] of this.contacts) {
            if (contact.checkWanted) {
                contact.checkWanted = false;
                return zone;
            }
        }
        return undefined;
    }

    /** Whether a node of this zone already failed since the zone was last heard from. */
    hasFailed(zone: string, node: string): boolean {
        return this.contactOf(zone).failed.has(node);
    }

    /** Whether calls to a zone are expected to work. */
    isReachable(zone: string): boolean {
        return this.contacts.get(zone)?.unreachable !== true;
    }

    /** Zones that can not be reached. */
    unreachableZones(): readonly string[] {
        return [...this.contacts].filter(([, contact]) => contact.unreachable).map(([zone]) => zone);
    }

    /** Zones whose reachability changed since the last call. */
    takeChanges(): readonly string[] {
        const zones = [...this.changed];
        this.changed.clear();
        return zones;
    }

    private setUnreachable(zone: string, unreachable: boolean): void {
        const contact = this.contactOf(zone);
        if (contact.unreachable !== unreachable) {
            contact.unreachable = unreachable;
            this.changed.add(zone);
        }
    }

    private contactOf(zone: string): ZoneContact {
        const contact = this.contacts.get(zone)
            ?? { failed: new Set<string>(), unreachable: false, lastContactAt: undefined, checkWanted: false };
        this.contacts.set(zone, contact);
        return contact;
    }
}
