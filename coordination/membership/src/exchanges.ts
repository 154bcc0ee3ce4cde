/**
 * Content of exchanges and table copies: what a node tells, and what it takes from what it is told.
 */
import { crashReportPeers, joinsPerSecond, pushedBackPerCopy, pushedBackPeers } from "./limits";
import {
    JoinReplyKind,
    MembershipOutputKind,
    type Exchange,
    type Head,
    type JoinReply,
    type MembershipOutput,
    type Sender,
    type TableCopy,
    type VersionReport,
    type ZoneDigest,
} from "./messages";
import { HostClaim } from "./own";
import type { MembershipParts } from "./parts";
import { compareEntries, hasEnded, isUrgentChange } from "./precedence";
import { MergeResult } from "./table";
import { Liveness, type Entry } from "./types";

/** Result of taking an exchange. */
export interface Absorbed {
    readonly outputs: readonly MembershipOutput[];
    /** Suspects that this node has to call. */
    readonly suspectsToCall: readonly string[];
    /** Zones whose table is to be fetched from the sender. */
    readonly zonesToPull: readonly string[];
}

/** Who a message is for. */
export type Receiver = Pick<Sender, "node" | "host" | "zone">;

/** Writes and reads messages for one node. */
export class Exchanges {
    private readonly parts: MembershipParts;

    constructor(parts: MembershipParts) {
        this.parts = parts;
    }

    /** Writes an exchange; `known` are the receiver's digests, if this is a reply. */
    write(receiver: Receiver, known?: readonly ZoneDigest[]): Exchange {
        const { table, own, queue, suspicions, crashReports, contacts } = this.parts;
        const theirs = new Map(known?.map(({ zone, digest }) => [zone, digest]));
        const differs = (zone: string): boolean =>
            known === undefined || theirs.get(zone) !== table.digests.digestOf(zone);
        const { updates, versions } = queue.take(differs);
        const inZone = receiver.zone === own.entry.zone;
        return {
            from: own.sender,
            head: own.head,
            digests: table.digests.all(),
            updates: this.withReceiverIfEnded(updates, receiver),
            versions,
            suspicions: inZone ? suspicions.toSend(receiver.node) : [],
            crashReports: crashReports.take(),
            unreachableZones: inZone ? contacts.unreachableZones() : [],
            rememberedVersion: table.hosts.versionOf(receiver.host),
            receiverUnknown: table.get(receiver.node) === undefined,
        };
    }

    /** Takes an exchange, request or reply. */
    absorb(exchange: Exchange, inReply: boolean): Absorbed {
        const { queue, own, contacts, crashReports } = this.parts;
        const outputs = [...this.noteContact(exchange, inReply)];
        if (exchange.receiverUnknown) {
            queue.add(own.entry.node);
        }
        outputs.push(...exchange.updates.flatMap(entry => this.takeUpdate(entry)));
        exchange.versions.forEach(report => this.takeVersions(report));
        if (exchange.from.zone === own.entry.zone) {
            contacts.heardUnreachable(exchange.unreachableZones.filter(zone => zone !== own.entry.zone));
        }
        const fresh = crashReports.add(exchange.crashReports, crashReportPeers);
        if (fresh.length > 0) {
            outputs.push({ kind: MembershipOutputKind.CrashReportsHeard, reports: fresh });
        }
        const suspectsToCall = this.takeSuspicions(exchange);
        return { outputs, suspectsToCall, zonesToPull: this.compareDigests(exchange) };
    }

    /** Writes a copy of the table, or of one zone. */
    writeCopy(receiverHost: string | undefined, zone?: string): TableCopy {
        const { table, own, joiner } = this.parts;
        const versionInForce = (host: string): number => table.processOf(host)?.version ?? 0;
        return {
            from: own.sender,
            head: own.head,
            entries: zone === undefined ? table.entries() : table.entriesIn(zone),
            ended: table.endedEntries(zone),
            remembered: table.hosts.above(versionInForce),
            rememberedVersion: receiverHost === undefined ? 0 : table.hosts.versionOf(receiverHost),
            complete: !joiner.isActive(),
        };
    }

    /** Responds to a join with the table, or names another member if too many nodes join at once. */
    writeJoinReply(entry: Entry): JoinReply {
        const { joinLimit, table, random, own } = this.parts;
        if (joinLimit.tryTake()) {
            return { kind: JoinReplyKind.Joined, table: this.writeCopy(entry.host) };
        }
        const self = own.entry;
        const others = table.entriesIn(self.zone)
            .filter(other => other.liveness === Liveness.Alive)
            .filter(other => other.node !== entry.node && other.node !== self.node);
        const other = others[random.nextInteger(Math.max(1, others.length))]?.controlAddress;
        return { kind: JoinReplyKind.Busy, other, retryAfterMs: 1_000 / joinsPerSecond };
    }

    /** Takes a copy of a table. */
    absorbCopy(copy: TableCopy): readonly MembershipOutput[] {
        const { table } = this.parts;
        copy.remembered.forEach(({ host, version, ageMs }) => table.hosts.remember(host, version, ageMs));
        copy.ended.forEach(({ entry, endedForMs }) => this.mergeForeign(entry, endedForMs));
        const merged = copy.entries.flatMap(entry => this.mergeForeign(entry).outputs);
        return [...merged, ...this.noteContact(copy, true)];
    }

    /** Sends on what the writer of a zone's copy lacked. */
    pushBack(copy: TableCopy, zone: string): void {
        const { table, queue } = this.parts;
        const theirs = new Map(copy.entries.map(entry => [entry.node, entry]));
        const isNews = (entry: Entry): boolean => {
            const known = theirs.get(entry.node);
            return known === undefined || compareEntries({ ...entry, liveness: known.liveness }, known) > 0;
        };
        const news = table.entriesIn(zone).filter(isNews).slice(0, pushedBackPerCopy);
        news.forEach(entry => queue.add(entry.node, pushedBackPeers));
        const endedHere = copy.entries.filter(entry => {
            const own = table.get(entry.node);
            return own !== undefined && hasEnded(own);
        });
        endedHere.slice(0, pushedBackPerCopy).forEach(entry => queue.add(entry.node, pushedBackPeers));
    }

    /** Takes an entry from elsewhere and sends it on if it is news. */
    takeUpdate(entry: Entry): readonly MembershipOutput[] {
        const { table, queue, flags } = this.parts;
        const before = table.get(entry.node);
        const { result, outputs } = this.mergeForeign(entry);
        if (result === MergeResult.Applied) {
            queue.add(entry.node);
            flags.urgentAcrossZones ||= isUrgentChange(before, entry);
        }
        else if (result === MergeResult.Same) {
            queue.heardAgain(entry.node);
        }
        return outputs;
    }

    /** Merges an entry that is not owned here; claims about this node or its host are judged first. */
    private mergeForeign(
        entry: Entry,
        endedForMs: number = 0,
    ): { readonly result: MergeResult; readonly outputs: readonly MembershipOutput[] } {
        const { own, table, flags, queue } = this.parts;
        const self = own.entry;
        if (entry.node === self.node) {
            flags.urgentAcrossZones = own.refuteEntry(entry) || flags.urgentAcrossZones;
            const isSame = entry.revision === self.revision;
            if (isSame) {
                queue.heardAgain(self.node);
            }
            return { result: MergeResult.Stale, outputs: [] };
        }
        const claim = entry.host === self.host ? own.judgeHostClaim(entry) : HostClaim.None;
        if (claim === HostClaim.Superseded) {
            const outputs: MembershipOutput[] = [{ kind: MembershipOutputKind.Superseded, by: entry.node }];
            return { result: MergeResult.Stale, outputs };
        }
        return { result: table.merge(entry, endedForMs), outputs: [] };
    }

    private takeVersions(report: VersionReport): void {
        const { table, queue, own } = this.parts;
        const head: Head = { version: report.version, digest: report.digest };
        for (const node of report.nodes.filter(candidate => candidate.node !== own.entry.node)) {
            const result = table.mergeReport(node, head);
            if (result === MergeResult.Applied) {
                queue.addVersion(node.node);
            }
            else if (result === MergeResult.Same) {
                queue.heardAgain(node.node);
            }
        }
    }

    private takeSuspicions(exchange: Exchange): readonly string[] {
        const { own, suspicions, flags } = this.parts;
        const suspectsToCall: string[] = [];
        for (const suspicion of exchange.suspicions) {
            if (suspicion.node === own.entry.node) {
                flags.urgent = own.refuteSuspicion(suspicion) || flags.urgent;
                continue;
            }
            const { urgent, confirm } = suspicions.hear(suspicion);
            flags.urgent ||= urgent;
            if (confirm) {
                suspectsToCall.push(suspicion.node);
            }
        }
        return suspectsToCall;
    }

    private compareDigests(exchange: Exchange): readonly string[] {
        const { table, comparison } = this.parts;
        const zonesToPull: string[] = [];
        const theirs = new Map(exchange.digests.map(({ zone, digest }) => [zone, digest]));
        const zones = new Set([...theirs.keys(), ...table.zoneNames()]);
        for (const zone of zones) {
            const own = { zone, digest: table.digests.digestOf(zone) };
            const their = theirs.get(zone) ?? emptyDigest;
            if (own.digest === their && zone === exchange.from.zone) {
                comparison.noteMatchWithMember(zone);
            }
            if (this.isRepairDue(own, their)) {
                zonesToPull.push(zone);
            }
        }
        return zonesToPull;
    }

    /** While updates of a zone still spread, its digests differ anyway. */
    private isRepairDue(own: ZoneDigest, their: string): boolean {
        const { comparison, queue } = this.parts;
        const isSpreading = own.digest !== their && queue.hasPending(own.zone);
        return !isSpreading && comparison.compare(own, their);
    }

    private noteContact(message: Exchange | TableCopy, inReply: boolean): readonly MembershipOutput[] {
        const { from, head } = message;
        const { table, contacts, own, flags, clock } = this.parts;
        const self = own.entry;
        flags.lastContactAt = clock.now();
        table.touch(from.node);
        if (from.zone !== self.zone) {
            contacts.heardFrom(from.zone);
        }
        return [{
            kind: MembershipOutputKind.HeadHeard,
            from: from.node,
            controlAddress: from.controlAddress,
            head,
            rememberedVersion: Math.max(message.rememberedVersion, table.hosts.versionOf(self.host)),
            inReply,
        }];
    }

    /** Tells a node that is held for ended, so that it can refute. */
    private withReceiverIfEnded(updates: readonly Entry[], receiver: Receiver): readonly Entry[] {
        const entry = this.parts.table.get(receiver.node);
        return entry !== undefined && hasEnded(entry) && !updates.includes(entry) ? [entry, ...updates] : updates;
    }
}

/** Digest of a zone without entries. */
const emptyDigest = "000000000000";
