/**
 * The table of nodes: one entry for each live process, entries of ended processes for a day, and digests by zone.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import { ZoneDigests } from "./digests";
import { HostVersions } from "./hosts";
import { endedRetentionMs, maxEndedEntries } from "./limits";
import type { EndedEntry, Head, RevisionReport } from "./messages";
import { compareEntries, compareProcesses, compareText, hasEnded } from "./precedence";
import { Liveness, type Entry } from "./types";

interface TableRecord {
    entry: Entry;
    /** Revision of the last change to anything but the version in force, as far as known. */
    contentRevision: number;
    observedAt: Milliseconds;
}

interface EndedRecord {
    readonly entry: Entry;
    readonly endedAt: Milliseconds;
}

/** What a merge did. */
export enum MergeResult {
    Applied = "applied",
    /** The table said the same already. */
    Same = "same",
    /** The table held something later. */
    Stale = "stale",
    /** The report needs an entry that the table does not hold. */
    Gap = "gap",
}

/** The membership table of one node. */
export class MembershipTable {
    readonly digests = new ZoneDigests();
    readonly hosts: HostVersions;
    private readonly clock: Clock;
    private readonly live = new Map<string, TableRecord>();
    private readonly ended = new Map<string, EndedRecord>();
    private readonly nodeOfHost = new Map<string, string>();
    private readonly zones = new Map<string, Map<string, TableRecord>>();
    private readonly changed = new Map<string, Entry>();

    constructor(clock: Clock) {
        this.clock = clock;
        this.hosts = new HostVersions(clock);
    }

    /** Merges what another node or this one says of a node. */
    merge(entry: Entry, endedForMs: Milliseconds = 0): MergeResult {
        const known = this.get(entry.node);
        const order = known === undefined ? 1 : compareEntries(entry, known);
        if (order <= 0) {
            return order === 0 ? MergeResult.Same : MergeResult.Stale;
        }
        this.hosts.remember(entry.host, entry.version, endedForMs);
        if (hasEnded(entry)) {
            return this.end(entry, endedForMs);
        }
        return this.supersedeEarlierProcess(entry) ? this.put(entry) : MergeResult.Stale;
    }

    /** Merges the version in force of a node whose other content is known. */
    mergeReport(report: RevisionReport, head: Head): MergeResult {
        const record = this.live.get(report.node);
        if (record === undefined) {
            return this.ended.has(report.node) ? MergeResult.Stale : MergeResult.Gap;
        }
        const known = record.entry;
        if (known.revision >= report.revision) {
            return known.revision === report.revision ? MergeResult.Same : MergeResult.Stale;
        }
        if (known.revision < report.since) {
            return MergeResult.Gap;
        }
        const { version, digest } = head;
        const contentRevision = record.contentRevision;
        this.hosts.remember(known.host, version);
        this.put({ ...known, revision: report.revision, version, digest, liveness: Liveness.Alive });
        record.contentRevision = contentRevision;
        return MergeResult.Applied;
    }

    /** Sets the local view of a live node: Alive or Suspect. */
    setSuspected(node: string, suspected: boolean): void {
        const record = this.live.get(node);
        const liveness = suspected ? Liveness.Suspect : Liveness.Alive;
        if (record !== undefined && record.entry.liveness !== liveness) {
            record.entry = { ...record.entry, liveness };
            this.changed.set(node, record.entry);
        }
    }

    /** Declares a live node dead at the revision that is known. */
    declareDead(node: string): void {
        const record = this.live.get(node);
        if (record !== undefined) {
            this.merge({ ...record.entry, liveness: Liveness.Dead });
        }
    }

    /** Notes direct contact with a node. */
    touch(node: string): void {
        const record = this.live.get(node);
        if (record !== undefined) {
            record.observedAt = this.clock.now();
        }
    }

    /** The entry of a node, ended or not. */
    get(node: string): Entry | undefined {
        return (this.live.get(node) ?? this.ended.get(node))?.entry;
    }

    /** The entry of a node that has not ended. */
    getLive(node: string): Entry | undefined {
        return this.live.get(node)?.entry;
    }

    /** The live process of a host. */
    processOf(host: string): Entry | undefined {
        const node = this.nodeOfHost.get(host);
        return node === undefined ? undefined : this.getLive(node);
    }

    /** Revision of the last change to anything but the version in force. */
    contentRevisionOf(node: string): number {
        return this.live.get(node)?.contentRevision ?? 0;
    }

    /** Time of the last direct contact or change; `undefined` if the node is not known as live. */
    observedAt(node: string): Milliseconds | undefined {
        return this.live.get(node)?.observedAt;
    }

    get size(): number {
        return this.live.size;
    }

    /** Live entries of all zones. */
    entries(): readonly Entry[] {
        return [...this.live.values()].map(record => record.entry);
    }

    /** Live entries of one zone. */
    entriesIn(zone: string): readonly Entry[] {
        return [...this.zones.get(zone)?.values() ?? []].map(record => record.entry);
    }

    /** Zones with live entries, in order of name. */
    zoneNames(): readonly string[] {
        return [...this.zones.keys()].sort(compareText);
    }

    /** Entries of ended processes, of one zone or of all. */
    endedEntries(zone?: string): readonly EndedEntry[] {
        const now = this.clock.now();
        return [...this.ended.values()]
            .filter(record => zone === undefined || record.entry.zone === zone)
            .map(record => ({ entry: record.entry, endedForMs: now - record.endedAt }));
    }

    /** Entries changed since the last call. */
    takeChanges(): readonly Entry[] {
        const entries = [...this.changed.values()];
        this.changed.clear();
        return entries;
    }

    /** Drops entries of ended processes that are older than a day or too many. */
    prune(): void {
        const oldest = this.clock.now() - endedRetentionMs;
        for (const [node, record] of this.ended) {
            if (record.endedAt < oldest || this.ended.size > maxEndedEntries) {
                this.ended.delete(node);
            }
        }
    }

    private put(entry: Entry): MergeResult {
        const record = this.live.get(entry.node) ?? { entry, contentRevision: 0, observedAt: 0 };
        record.entry = entry;
        record.contentRevision = entry.revision;
        record.observedAt = this.clock.now();
        this.ended.delete(entry.node);
        this.live.set(entry.node, record);
        this.nodeOfHost.set(entry.host, entry.node);
        this.zoneRecords(entry.zone).set(entry.node, record);
        this.digests.put(entry);
        this.changed.set(entry.node, entry);
        return MergeResult.Applied;
    }

    private end(entry: Entry, endedForMs: Milliseconds): MergeResult {
        if (endedForMs > endedRetentionMs) {
            return MergeResult.Stale;
        }
        this.removeLive(entry.node);
        this.ended.set(entry.node, { entry, endedAt: this.clock.now() - endedForMs });
        this.changed.set(entry.node, entry);
        return MergeResult.Applied;
    }

    /** A later process of a host replaces an earlier one; false if the table holds the later one. */
    private supersedeEarlierProcess(entry: Entry): boolean {
        const current = this.processOf(entry.host);
        if (current === undefined || current.node === entry.node) {
            return true;
        }
        if (compareProcesses(entry, current) < 0) {
            return false;
        }
        this.end({ ...current, liveness: Liveness.Dead }, 0);
        return true;
    }

    private removeLive(node: string): void {
        const entry = this.getLive(node);
        if (entry === undefined) {
            return;
        }
        this.live.delete(node);
        this.digests.remove(entry);
        const records = this.zoneRecords(entry.zone);
        records.delete(node);
        if (records.size === 0) {
            this.zones.delete(entry.zone);
        }
        if (this.nodeOfHost.get(entry.host) === node) {
            this.nodeOfHost.delete(entry.host);
        }
    }

    private zoneRecords(zone: string): Map<string, TableRecord> {
        const records = this.zones.get(zone) ?? new Map<string, TableRecord>();
        this.zones.set(zone, records);
        return records;
    }
}
