/**
 * Whom the next exchange goes to. Within the zone every node takes the same shuffled order of distances around a ring
 * of node names, chosen by the second of wall time: while clocks agree, each node is called about once in each second
 * and a dead one is noticed within two. While clocks disagree, the order is merely random.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import { createSeededRandom, type Random } from "@bilberrycroft/core.random";
import { crossZoneRoundMs, reconnectRoundMs, zoneRoundMs } from "./limits";
import type { KnownMember } from "./messages";
import { compareText } from "./precedence";
import type { MembershipTable } from "./table";
import { Liveness, type Entry } from "./types";
import type { ZoneContacts } from "./zones";

/** What the choice of peers depends on. */
export interface RoundsOptions {
    readonly clock: Clock;
    readonly random: Random;
    readonly table: MembershipTable;
    readonly contacts: ZoneContacts;
    readonly self: string;
    readonly zone: string;
    /** Members from the settings, who may be unknown to the table. */
    readonly peers: readonly KnownMember[];
}

/** Schedule of exchanges of one node. */
export class Rounds {
    private readonly options: RoundsOptions;
    private nextZoneRoundAt: Milliseconds;
    private nextCrossZoneRoundAt: Milliseconds;
    private nextReconnectAt: Milliseconds;
    private tryUnreachableNext = false;
    private cycle = -1;
    private cycleDistances: readonly number[] = [];

    constructor(options: RoundsOptions) {
        this.options = options;
        const now = options.clock.now();
        this.nextZoneRoundAt = now + options.random.nextInteger(zoneRoundMs);
        this.nextCrossZoneRoundAt = now + options.random.nextInteger(crossZoneRoundMs);
        this.nextReconnectAt = now + options.random.nextInteger(reconnectRoundMs);
    }

    /** Peers whose turn it is now. */
    takeDue(): readonly Entry[] {
        const now = this.options.clock.now();
        const due: (Entry | undefined)[] = [this.takeCheck()];
        if (now >= this.nextZoneRoundAt) {
            this.nextZoneRoundAt = following(this.nextZoneRoundAt, now, zoneRoundMs);
            due.push(this.zonePeer());
        }
        if (now >= this.nextCrossZoneRoundAt) {
            this.nextCrossZoneRoundAt = following(this.nextCrossZoneRoundAt, now, crossZoneRoundMs);
            due.push(this.crossZonePeer());
        }
        return due.filter(entry => entry !== undefined);
    }

    /** A node that is held dead, or a configured peer that the table lacks, once in a while. */
    takeReconnect(): Entry | KnownMember | undefined {
        const now = this.options.clock.now();
        if (now < this.nextReconnectAt) {
            return undefined;
        }
        this.nextReconnectAt = following(this.nextReconnectAt, now, reconnectRoundMs);
        const { table, peers } = this.options;
        const known = new Set(table.entries().map(entry => entry.controlAddress));
        const dead = table.endedEntries()
            .map(({ entry }) => entry)
            .filter(entry => entry.liveness === Liveness.Dead && table.processOf(entry.host) === undefined);
        return this.pick([...dead, ...peers].filter(member => !known.has(member.controlAddress)));
    }

    /** Random live peers for an eager push. */
    eagerPeers(zonePeers: number, otherZonePeers: number): readonly Entry[] {
        const { random, table, zone, self } = this.options;
        const inZone = table.entriesIn(zone).filter(entry => entry.node !== self && entry.liveness === Liveness.Alive);
        const others = this.otherZones().flatMap(other => table.entriesIn(other));
        return [
            ...random.shuffle(inZone).slice(0, zonePeers),
            ...this.pickSome(others, otherZonePeers),
        ];
    }

    private takeCheck(): Entry | undefined {
        const { contacts, table } = this.options;
        const zone = contacts.takeWantedCheck();
        return zone === undefined
            ? undefined
            : this.pick(table.entriesIn(zone).filter(entry => !contacts.hasFailed(zone, entry.node)));
    }

    private zonePeer(): Entry | undefined {
        const { table, zone, self, clock } = this.options;
        const ring = [...table.entriesIn(zone)].sort((left, right) => compareText(left.node, right.node));
        const own = ring.findIndex(entry => entry.node === self);
        if (ring.length < 2 || own < 0) {
            return undefined;
        }
        const round = Math.floor(clock.wallTime() / zoneRoundMs);
        return ring[(own + this.distance(round, ring.length - 1)) % ring.length];
    }

    /** Distance around the ring, from 1 to `count`; each comes once in a cycle of `count` rounds. */
    private distance(round: number, count: number): number {
        const cycle = Math.floor(round / count);
        if (cycle !== this.cycle || this.cycleDistances.length !== count) {
            this.cycle = cycle;
            const distances = Array.from({ length: count }, (_, index) => index + 1);
            this.cycleDistances = createSeededRandom(cycle).shuffle(distances);
        }
        return this.cycleDistances[round - cycle * count] ?? 1;
    }

    /** While zones are out of reach, every second turn tries one of them. */
    private crossZonePeer(): Entry | undefined {
        const { contacts, table, random } = this.options;
        const unreachable = contacts.unreachableZones().filter(zone => table.entriesIn(zone).length > 0);
        this.tryUnreachableNext = unreachable.length > 0 && !this.tryUnreachableNext;
        const zones = this.tryUnreachableNext ? random.shuffle(unreachable).slice(0, 1) : this.otherZones();
        return this.pick(zones.flatMap(zone => table.entriesIn(zone)));
    }

    private otherZones(): readonly string[] {
        const { table, contacts, zone } = this.options;
        return table.zoneNames().filter(other => other !== zone && contacts.isReachable(other));
    }

    private pick<Member>(entries: readonly Member[]): Member | undefined {
        return entries.length === 0 ? undefined : entries[this.options.random.nextInteger(entries.length)];
    }

    private pickSome(entries: readonly Entry[], count: number): readonly Entry[] {
        const picked = Array.from({ length: count }, () => this.pick(entries));
        return picked.filter(entry => entry !== undefined);
    }
}

/** Next time in the rhythm; rounds missed during a pause are not made up. */
function following(due: Milliseconds, now: Milliseconds, interval: Milliseconds): Milliseconds {
    return due + interval > now ? due + interval : now + interval;
}
