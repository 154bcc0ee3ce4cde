/**
 * Creates and processes exchanges, join replies and table copies.
 */
import {
    crashReportSendCount,
    joinsPerSecond,
    maxEntriesQueuedPerPull,
    maxUpdatesPerExchange,
    pulledEntryPeers,
} from "./limits";
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
import { HostClaimOutcome } from "./localEntry";
import type { MembershipParts } from "./parts";
import { compareEntries, hasEnded, isUrgentChange } from "./precedence";
import { MergeResult } from "./table";
import { Liveness, type Entry } from "./types";

export interface ExchangeResult {
    readonly outputs: readonly MembershipOutput[];
    /** Suspects that this node has to probe. */
    readonly suspectsToProbe: readonly string[];
    /** Zones whose table is to be pulled from the sender. */
    readonly zonesToPull: readonly string[];
}

export type Receiver = Pick<Sender, "node" | "host" | "zone">;

export class ExchangeProcessor {
    private readonly parts: MembershipParts;

    constructor(parts: MembershipParts) {
        this.parts = parts;
    }

    /** Creates an exchange; `receiverDigests` are given if it is a reply. */
    createExchange(receiver: Receiver, receiverDigests?: readonly ZoneDigest[]): Exchange {
        const { table, localEntry, updateQueue, suspicions, crashReports, contacts } = this.parts;
        const peerDigests = new Map(receiverDigests?.map(({ zone, digest }) => [zone, digest]));
        const differs = (zone: string): boolean =>
            receiverDigests === undefined || peerDigests.get(zone) !== table.digests.digestOf(zone);
        // Sent to the receiver itself, which refutes it.
        const endedReceivers = this.findEnded(receiver.node);
        const { updates, versions } = updateQueue.select(differs, maxUpdatesPerExchange - endedReceivers.length);
        const isSameZone = receiver.zone === localEntry.entry.zone;
        return {
            from: localEntry.sender,
            head: localEntry.head,
            digests: table.digests.all(),
            updates: [...endedReceivers.filter(entry => !updates.includes(entry)), ...updates],
            versions,
            suspicions: isSameZone ? suspicions.selectForMessage(receiver.node) : [],
            crashReports: crashReports.selectForMessage(),
            unreachableZones: isSameZone ? contacts.unreachableZones() : [],
            rememberedVersion: table.hosts.versionOf(receiver.host),
            receiverUnknown: table.get(receiver.node) === undefined,
        };
    }

    /** Processes an exchange, either a request or a reply. */
    handleExchange(exchange: Exchange, inReply: boolean): ExchangeResult {
        const { updateQueue, localEntry, contacts, crashReports } = this.parts;
        const outputs = [...this.recordContact(exchange, inReply)];
        if (exchange.receiverUnknown) {
            updateQueue.add(localEntry.entry.node);
        }
        outputs.push(...exchange.updates.flatMap(entry => this.handleUpdate(entry)));
        exchange.versions.forEach(report => this.mergeVersionReport(report));
        if (exchange.from.zone === localEntry.entry.zone) {
            contacts.handleUnreachableReport(exchange.unreachableZones.filter(zone => zone !== localEntry.entry.zone));
        }
        const newReports = crashReports.add(exchange.crashReports, crashReportSendCount);
        if (newReports.length > 0) {
            outputs.push({ kind: MembershipOutputKind.CrashReportsReceived, reports: newReports });
        }
        const suspectsToProbe = this.handleSuspicions(exchange);
        return { outputs, suspectsToProbe, zonesToPull: this.compareDigests(exchange) };
    }

    /** Creates a copy of the table or of one zone. */
    createTableCopy(receiverHost: string | undefined, zone?: string): TableCopy {
        const { table, localEntry, joiner } = this.parts;
        const versionInForce = (host: string): number => table.liveEntryOfHost(host)?.version ?? 0;
        return {
            from: localEntry.sender,
            head: localEntry.head,
            entries: zone === undefined ? table.entries() : table.entriesIn(zone),
            ended: table.endedEntries(zone),
            remembered: table.hosts.listAbove(versionInForce),
            rememberedVersion: receiverHost === undefined ? 0 : table.hosts.versionOf(receiverHost),
            complete: !joiner.isActive(),
        };
    }

    /** Creates a join reply with the table, or with the address of another member if the join rate is exceeded. */
    createJoinReply(entry: Entry): JoinReply {
        const { joinRateLimit, table, random, localEntry } = this.parts;
        if (joinRateLimit.tryAcquire()) {
            return { kind: JoinReplyKind.Joined, table: this.createTableCopy(entry.host) };
        }
        const self = localEntry.entry;
        const others = table.entriesIn(self.zone)
            .filter(other => other.liveness === Liveness.Alive)
            .filter(other => other.node !== entry.node && other.node !== self.node);
        const other = others[random.nextInteger(Math.max(1, others.length))]?.controlAddress;
        return { kind: JoinReplyKind.Busy, other, retryAfterMs: 1_000 / joinsPerSecond };
    }

    mergeTableCopy(copy: TableCopy): readonly MembershipOutput[] {
        const { table } = this.parts;
        copy.remembered.forEach(({ host, version, ageMs }) => table.hosts.record(host, version, ageMs));
        copy.ended.forEach(({ entry, endedForMs }) => this.mergeRemoteEntry(entry, endedForMs));
        const merged = copy.entries.flatMap(entry => this.mergeRemoteEntry(entry).outputs);
        return [...merged, ...this.recordContact(copy, true)];
    }

    /** Queues the zone's entries that the sender of the copy lacks, or holds in an older state. */
    queueEntriesForPeer(copy: TableCopy, zone: string): void {
        const { table, updateQueue } = this.parts;
        const peerEntries = new Map(copy.entries.map(entry => [entry.node, entry]));
        const isNewer = (entry: Entry): boolean => {
            const peerEntry = peerEntries.get(entry.node);
            return peerEntry === undefined || compareEntries({ ...entry, liveness: peerEntry.liveness }, peerEntry) > 0;
        };
        const newer = table.entriesIn(zone).filter(isNewer).slice(0, maxEntriesQueuedPerPull);
        newer.forEach(entry => updateQueue.add(entry.node, pulledEntryPeers));
        const endedHere = copy.entries.filter(entry => {
            const local = table.get(entry.node);
            return local !== undefined && hasEnded(local);
        });
        endedHere.slice(0, maxEntriesQueuedPerPull).forEach(entry => updateQueue.add(entry.node, pulledEntryPeers));
    }

    /** Merges a received entry and queues it for other peers if it changed the table. */
    handleUpdate(entry: Entry): readonly MembershipOutput[] {
        const { table, updateQueue, flags } = this.parts;
        const before = table.get(entry.node);
        const { result, outputs } = this.mergeRemoteEntry(entry);
        if (result === MergeResult.Applied) {
            updateQueue.add(entry.node);
            flags.hasUrgentCrossZoneChange ||= isUrgentChange(before, entry);
        }
        else if (result === MergeResult.Same) {
            updateQueue.reduceRemaining(entry.node);
        }
        return outputs;
    }

    /** Merges a received entry. Entries of this node or of its host are evaluated as claims first. */
    private mergeRemoteEntry(
        entry: Entry,
        endedForMs: number = 0,
    ): { readonly result: MergeResult; readonly outputs: readonly MembershipOutput[] } {
        const { localEntry, table, flags, updateQueue } = this.parts;
        const self = localEntry.entry;
        if (entry.node === self.node) {
            flags.hasUrgentCrossZoneChange = localEntry.refuteEntry(entry) || flags.hasUrgentCrossZoneChange;
            const isSame = entry.revision === self.revision;
            if (isSame) {
                updateQueue.reduceRemaining(self.node);
            }
            return { result: MergeResult.Stale, outputs: [] };
        }
        const claim = entry.host === self.host ? localEntry.evaluateHostClaim(entry) : HostClaimOutcome.None;
        if (claim === HostClaimOutcome.Superseded) {
            const outputs: MembershipOutput[] = [{ kind: MembershipOutputKind.Superseded, by: entry.node }];
            return { result: MergeResult.Stale, outputs };
        }
        return { result: table.merge(entry, endedForMs), outputs: [] };
    }

    private mergeVersionReport(report: VersionReport): void {
        const { table, updateQueue, localEntry } = this.parts;
        const head: Head = { version: report.version, digest: report.digest };
        for (const node of report.nodes.filter(candidate => candidate.node !== localEntry.entry.node)) {
            const result = table.mergeVersionReport(node, head);
            if (result === MergeResult.Applied) {
                updateQueue.addVersion(node.node);
            }
            else if (result === MergeResult.Same) {
                updateQueue.reduceRemaining(node.node);
            }
        }
    }

    private handleSuspicions(exchange: Exchange): readonly string[] {
        const { localEntry, suspicions, flags } = this.parts;
        const suspectsToProbe: string[] = [];
        for (const suspicion of exchange.suspicions) {
            if (suspicion.node === localEntry.entry.node) {
                flags.hasUrgentChange = localEntry.refuteSuspicion(suspicion) || flags.hasUrgentChange;
                continue;
            }
            const { isUrgent, mustProbe } = suspicions.handleSuspicion(suspicion);
            flags.hasUrgentChange ||= isUrgent;
            if (mustProbe) {
                suspectsToProbe.push(suspicion.node);
            }
        }
        return suspectsToProbe;
    }

    private compareDigests(exchange: Exchange): readonly string[] {
        const { table, comparison } = this.parts;
        const zonesToPull: string[] = [];
        const peerDigests = new Map(exchange.digests.map(({ zone, digest }) => [zone, digest]));
        const zones = new Set([...peerDigests.keys(), ...table.zoneNames()]);
        for (const zone of zones) {
            const local = { zone, digest: table.digests.digestOf(zone) };
            const peerDigest = peerDigests.get(zone) ?? emptyZoneDigest;
            if (local.digest === peerDigest && zone === exchange.from.zone) {
                comparison.recordMatch(zone);
            }
            if (this.isPullDue(local, peerDigest)) {
                zonesToPull.push(zone);
            }
        }
        return zonesToPull;
    }

    /** While updates of a zone are queued, its digests are expected to differ. */
    private isPullDue(local: ZoneDigest, peerDigest: string): boolean {
        const { comparison, updateQueue } = this.parts;
        const isSpreading = local.digest !== peerDigest && updateQueue.hasPending(local.zone);
        return !isSpreading && comparison.compare(local, peerDigest);
    }

    private recordContact(message: Exchange | TableCopy, inReply: boolean): readonly MembershipOutput[] {
        const { from, head } = message;
        const { table, contacts, localEntry, flags, clock } = this.parts;
        const self = localEntry.entry;
        flags.lastContactAt = clock.now();
        table.recordContact(from.node);
        if (from.zone !== self.zone) {
            contacts.recordContact(from.zone);
        }
        return [{
            kind: MembershipOutputKind.HeadReceived,
            from: from.node,
            controlAddress: from.controlAddress,
            head,
            rememberedVersion: Math.max(message.rememberedVersion, table.hosts.versionOf(self.host)),
            inReply,
        }];
    }

    /** The node's entry if it is marked as ended. */
    private findEnded(node: string): Entry[] {
        const entry = this.parts.table.get(node);
        return entry !== undefined && hasEnded(entry) ? [entry] : [];
    }
}

/** Digest of a zone without live entries. */
const emptyZoneDigest = "000000000000";
