/**
 * The parts of membership and how they depend on each other.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import type { Random } from "@bilberrycroft/core.random";
import { CrashReportQueue } from "./crashes";
import { JoinLimit, Joiner } from "./joining";
import type { KnownMember } from "./messages";
import { OwnEntry, type Identity } from "./own";
import { DigestComparison } from "./repair";
import { Rounds } from "./rounds";
import { Suspicions } from "./suspicions";
import { MembershipTable } from "./table";
import { OwnTargets } from "./targets";
import { UpdateQueue } from "./updates";
import { ZoneContacts } from "./zones";

/** Options of `Membership`. */
export interface MembershipOptions {
    readonly clock: Clock;
    readonly random: Random;
    readonly identity: Identity;
    /** Members from the settings. */
    readonly peers: readonly KnownMember[];
}

/** Contact with other nodes and changes that several parts note. */
export interface MembershipFlags {
    lastContactAt: Milliseconds | undefined;
    /** Peers have to learn of a change before the next round. */
    urgent: boolean;
    /** The urgent change concerns other zones too. */
    urgentAcrossZones: boolean;
}

/** Everything that membership consists of. */
export interface MembershipParts {
    readonly clock: Clock;
    readonly random: Random;
    readonly flags: MembershipFlags;
    readonly table: MembershipTable;
    readonly queue: UpdateQueue;
    readonly own: OwnEntry;
    readonly targets: OwnTargets;
    readonly contacts: ZoneContacts;
    readonly rounds: Rounds;
    readonly suspicions: Suspicions;
    readonly comparison: DigestComparison;
    readonly crashReports: CrashReportQueue;
    readonly joiner: Joiner;
    readonly joinLimit: JoinLimit;
}

/** Creates the parts of one node. */
export function createMembershipParts(options: MembershipOptions): MembershipParts {
    const { clock, random, identity, peers } = options;
    const { node: self, zone, controlAddress: ownAddress } = identity;
    const flags: MembershipFlags = { lastContactAt: undefined, urgent: false, urgentAcrossZones: false };
    const table = new MembershipTable(clock);
    const queue = new UpdateQueue(table);
    const contacts = new ZoneContacts(clock, table);
    const lastContactAt = (): Milliseconds | undefined => flags.lastContactAt;
    return {
        clock,
        random,
        flags,
        table,
        queue,
        own: new OwnEntry(identity, clock, table, queue),
        targets: new OwnTargets(clock),
        contacts,
        rounds: new Rounds({ clock, random, table, contacts, self, zone, peers }),
        suspicions: new Suspicions({ clock, random, table, self, zone, lastContactAt }),
        comparison: new DigestComparison(clock),
        crashReports: new CrashReportQueue(random),
        joiner: new Joiner({ clock, random, zone, ownAddress, peers }),
        joinLimit: new JoinLimit(clock),
    };
}
