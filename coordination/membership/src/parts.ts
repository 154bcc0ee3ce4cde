/**
 * Creates the components of membership and connects them.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import type { Random } from "@bilberrycroft/core.random";
import { CrashReportQueue } from "./crashes";
import { JoinRateLimit, Joiner } from "./joining";
import type { KnownMember } from "./messages";
import { LocalEntry, type Identity } from "./localEntry";
import { DigestComparison } from "./digestComparison";
import { GossipRounds } from "./rounds";
import { Suspicions } from "./suspicions";
import { MembershipTable } from "./table";
import { LocalTargets } from "./targets";
import { UpdateQueue } from "./updates";
import { ZoneContacts } from "./zones";

export interface MembershipOptions {
    readonly clock: Clock;
    readonly random: Random;
    readonly identity: Identity;
    /** Configured members. */
    readonly peers: readonly KnownMember[];
}

/** State that several components share. */
export interface MembershipFlags {
    lastContactAt: Milliseconds | undefined;
    /** A change has to be pushed before the next gossip round. */
    hasUrgentChange: boolean;
    /** A change has to be pushed to other zones too. */
    hasUrgentCrossZoneChange: boolean;
}

export interface MembershipParts {
    readonly clock: Clock;
    readonly random: Random;
    readonly flags: MembershipFlags;
    readonly table: MembershipTable;
    readonly updateQueue: UpdateQueue;
    readonly localEntry: LocalEntry;
    readonly localTargets: LocalTargets;
    readonly contacts: ZoneContacts;
    readonly gossipRounds: GossipRounds;
    readonly suspicions: Suspicions;
    readonly comparison: DigestComparison;
    readonly crashReports: CrashReportQueue;
    readonly joiner: Joiner;
    readonly joinRateLimit: JoinRateLimit;
}

export function createMembershipParts(options: MembershipOptions): MembershipParts {
    const { clock, random, identity, peers } = options;
    const { node: self, zone, controlAddress: localAddress } = identity;
    const flags: MembershipFlags = {
        lastContactAt: undefined,
        hasUrgentChange: false,
        hasUrgentCrossZoneChange: false,
    };
    const table = new MembershipTable(clock);
    const queue = new UpdateQueue(table);
    const contacts = new ZoneContacts(clock, table);
    const lastContactAt = (): Milliseconds | undefined => flags.lastContactAt;
    return {
        clock,
        random,
        flags,
        table,
        updateQueue: queue,
        localEntry: new LocalEntry(identity, clock, table, queue),
        localTargets: new LocalTargets(clock),
        contacts,
        gossipRounds: new GossipRounds({ clock, random, table, contacts, self, zone, peers }),
        suspicions: new Suspicions({ clock, random, table, self, zone, lastContactAt }),
        comparison: new DigestComparison(clock),
        crashReports: new CrashReportQueue(random),
        joiner: new Joiner({ clock, random, zone, localAddress, peers }),
        joinRateLimit: new JoinRateLimit(clock),
    };
}
