/**
 * Selects the peers for gossip rounds. Within the zone, the sorted node names form a ring, and in each second of wall
 * time every node calls the node at the same distance around it. All nodes shuffle the distances with the same seed.
 * While clocks agree, each node is called about once per second and a failed node is noticed within two seconds. While
 * clocks disagree, the order is random.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import { createSeededRandom, type Random } from "@bilberrycroft/core.random";
import { crossZoneRoundIntervalMs, reconnectIntervalMs, zoneRoundIntervalMs } from "./limits";
import type { KnownMember } from "./messages";
import { compareText } from "./precedence";
import type { MembershipTable } from "./table";
import { Liveness, type Entry } from "./types";
import type { ZoneContacts } from "./zones";

export interface GossipRoundsOptions {
    readonly clock: Clock;
    readonly random: Random;
    readonly table: MembershipTable;
    readonly contacts: ZoneContacts;
    readonly self: string;
    readonly zone: string;
    /** Configured members, which may be missing from the table. */
    readonly peers: readonly KnownMember[];
}

/** Gossip schedule of one node. */
export class GossipRounds {
    private readonly options: GossipRoundsOptions;
    private nextZoneRoundAt: Milliseconds;
    private nextCrossZoneRoundAt: Milliseconds;
    private nextReconnectAt: Milliseconds;
    private probesUnreachableNext = false;
    private cycle = -1;
    private cycleDistances: readonly number[] = [];

    constructor(options: GossipRoundsOptions) {
        this.options = options;
        const now = options.clock.now();
        this.nextZoneRoundAt = now + options.random.nextInteger(zoneRoundIntervalMs);
        this.nextCrossZoneRoundAt = now + options.random.nextInteger(crossZoneRoundIntervalMs);
        this.nextReconnectAt = now + options.random.nextInteger(reconnectIntervalMs);
    }

    /** Peers whose exchange is due now. */
    selectDuePeers(): readonly Entry[] {
        const now = this.options.clock.now();
        const due: (Entry | undefined)[] = [this.selectProbePeer()];
        if (now >= this.nextZoneRoundAt) {
            this.nextZoneRoundAt = nextDueAt(this.nextZoneRoundAt, now, zoneRoundIntervalMs);
            due.push(this.selectZonePeer());
        }
        if (now >= this.nextCrossZoneRoundAt) {
            this.nextCrossZoneRoundAt = nextDueAt(this.nextCrossZoneRoundAt, now, crossZoneRoundIntervalMs);
            due.push(this.selectCrossZonePeer());
        }
        return due.filter(entry => entry !== undefined);
    }

    /** A node marked as dead or a configured peer that the table lacks, once per `reconnectIntervalMs`. */
    selectReconnectPeer(): Entry | KnownMember | undefined {
        const now = this.options.clock.now();
        if (now < this.nextReconnectAt) {
            return undefined;
        }
        this.nextReconnectAt = nextDueAt(this.nextReconnectAt, now, reconnectIntervalMs);
        const { table, peers } = this.options;
        const liveAddresses = new Set(table.entries().map(entry => entry.controlAddress));
        const dead = table.endedEntries()
            .map(({ entry }) => entry)
            .filter(entry => entry.liveness === Liveness.Dead && table.liveEntryOfHost(entry.host) === undefined);
        return this.pickRandom([...dead, ...peers].filter(member => !liveAddresses.has(member.controlAddress)));
    }

    /** Random live peers for an eager push. */
    selectEagerPeers(zonePeerCount: number, otherZonePeerCount: number): readonly Entry[] {
        const { random, table, zone, self } = this.options;
        const inZone = table.entriesIn(zone).filter(entry => entry.node !== self && entry.liveness === Liveness.Alive);
        const others = this.otherZones().flatMap(other => table.entriesIn(other));
        return [
            ...random.shuffle(inZone).slice(0, zonePeerCount),
            ...this.pickSeveral(others, otherZonePeerCount),
        ];
    }

    private selectProbePeer(): Entry | undefined {
        const { contacts, table } = this.options;
        const zone = contacts.dequeuePendingProbe();
        return zone === undefined
            ? undefined
            : this.pickRandom(table.entriesIn(zone).filter(entry => !contacts.hasFailed(zone, entry.node)));
    }

    private selectZonePeer(): Entry | undefined {
        const { table, zone, self, clock } = this.options;
        const ring = [...table.entriesIn(zone)].sort((left, right) => compareText(left.node, right.node));
        const selfIndex = ring.findIndex(entry => entry.node === self);
        if (ring.length < 2 || selfIndex < 0) {
            return undefined;
        }
        const round = Math.floor(clock.wallTime() / zoneRoundIntervalMs);
        return ring[(selfIndex + this.ringDistance(round, ring.length - 1)) % ring.length];
    }

    /** Distance around the ring, from 1 to `count`; each occurs once in a cycle of `count` rounds. */
    private ringDistance(round: number, count: number): number {
        const cycle = Math.floor(round / count);
        if (cycle !== this.cycle || this.cycleDistances.length !== count) {
            this.cycle = cycle;
            const distances = Array.from({ length: count }, (_, index) => index + 1);
            this.cycleDistances = createSeededRandom(cycle).shuffle(distances);
        }
        return this.cycleDistances[round - cycle * count] ?? 1;
    }

    /** While zones are unreachable, every second round probes one of them. */
    private selectCrossZonePeer(): Entry | undefined {
        const { contacts, table, random } = this.options;
        const unreachable = contacts.unreachableZones().filter(zone => table.entriesIn(zone).length > 0);
        this.probesUnreachableNext = unreachable.length > 0 && !this.probesUnreachableNext;
        const zones = this.probesUnreachableNext ? random.shuffle(unreachable).slice(0, 1) : this.otherZones();
        return this.pickRandom(zones.flatMap(zone => table.entriesIn(zone)));
    }

    private otherZones(): readonly string[] {
        const { table, contacts, zone } = this.options;
        return table.zoneNames().filter(other => other !== zone && contacts.isReachable(other));
    }

    private pickRandom<Member>(entries: readonly Member[]): Member | undefined {
        return entries.length === 0 ? undefined : entries[this.options.random.nextInteger(entries.length)];
    }

    private pickSeveral(entries: readonly Entry[], count: number): readonly Entry[] {
        const picked = Array.from({ length: count }, () => this.pickRandom(entries));
        return picked.filter(entry => entry !== undefined);
    }
}

/** Next due time; rounds missed during a pause are skipped. */
function nextDueAt(due: Milliseconds, now: Milliseconds, interval: Milliseconds): Milliseconds {
    return due + interval > now ? due + interval : now + interval;
}
