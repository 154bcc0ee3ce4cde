/**
 * The table of nodes: one entry for each live process, tombstones of ended processes for a day, and digests by zone.
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
    /** Revision of the last known change to anything but the version in force. */
    contentRevision: number;
    confirmedAt: Milliseconds;
}

interface EndedRecord {
    readonly entry: Entry;
    readonly endedAt: Milliseconds;
}

export enum MergeResult {
    Applied = "applied",
    /** The table already holds the same revision. */
    Same = "same",
    /** The table holds a newer revision or a newer process of the host, or the end of the process is too long ago. */
    Stale = "stale",
    /** The version report builds on an entry revision that the table does not hold. */
    Gap = "gap",
}

export class MembershipTable {
    readonly digests = new ZoneDigests();
    readonly hosts: HostVersions;
    private readonly clock: Clock;
    private readonly live = new Map<string, TableRecord>();
    private readonly ended = new Map<string, EndedRecord>();
    private readonly nodeOfHost = new Map<string, string>();
    private readonly zones = new Map<string, Map<string, TableRecord>>();
    private readonly pendingChanges = new Map<string, Entry>();

    constructor(clock: Clock) {
        this.clock = clock;
        this.hosts = new HostVersions(clock);
    }

    /** Merges an entry from this or another node. `endedForMs` is the time since the process of the entry ended. */
    merge(entry: Entry, endedForMs: Milliseconds = 0): MergeResult {
        const existing = this.get(entry.node);
        const order = existing === undefined ? 1 : compareEntries(entry, existing);
        if (order <= 0) {
            return order === 0 ? MergeResult.Same : MergeResult.Stale;
        }
        this.hosts.record(entry.host, entry.version, endedForMs);
        if (hasEnded(entry)) {
            return this.markEnded(entry, endedForMs);
        }
        return this.supersedeEarlierProcess(entry) ? this.put(entry) : MergeResult.Stale;
    }

    /** Merges the version in force of a node whose entry is otherwise unchanged since `report.since`. */
    mergeVersionReport(report: RevisionReport, head: Head): MergeResult {
        const record = this.live.get(report.node);
        if (record === undefined) {
            return this.ended.has(report.node) ? MergeResult.Stale : MergeResult.Gap;
        }
        const existing = record.entry;
        if (existing.revision >= report.revision) {
            return existing.revision === report.revision ? MergeResult.Same : MergeResult.Stale;
        }
        if (existing.revision < report.since) {
            return MergeResult.Gap;
        }
        const { version, digest } = head;
        const contentRevision = record.contentRevision;
        this.hosts.record(existing.host, version);
        this.put({ ...existing, revision: report.revision, version, digest, liveness: Liveness.Alive });
        record.contentRevision = contentRevision;
        return MergeResult.Applied;
    }

    /** Sets the local view of a live node: Alive or Suspect. */
    setSuspected(node: string, isSuspected: boolean): void {
        const record = this.live.get(node);
        const liveness = isSuspected ? Liveness.Suspect : Liveness.Alive;
        if (record !== undefined && record.entry.liveness !== liveness) {
            record.entry = { ...record.entry, liveness };
            this.pendingChanges.set(node, record.entry);
        }
    }

    /** Marks a live node as dead at its current revision. */
    markDead(node: string): void {
        const record = this.live.get(node);
        if (record !== undefined) {
            this.merge({ ...record.entry, liveness: Liveness.Dead });
        }
    }

    /** Records direct contact with a node. */
    recordContact(node: string): void {
        const record = this.live.get(node);
        if (record !== undefined) {
            record.confirmedAt = this.clock.now();
        }
    }

    /** The entry of a node, ended or not. */
    get(node: string): Entry | undefined {
        return (this.live.get(node) ?? this.ended.get(node))?.entry;
    }

    /** The entry of a live node. */
    getLive(node: string): Entry | undefined {
        return this.live.get(node)?.entry;
    }

    liveEntryOfHost(host: string): Entry | undefined {
        const node = this.nodeOfHost.get(host);
        return node === undefined ? undefined : this.getLive(node);
    }

    /** Revision of the last change to anything but the version in force. */
    contentRevisionOf(node: string): number {
        return this.live.get(node)?.contentRevision ?? 0;
    }

    /** Time of the last direct contact or change; `undefined` if the table has no live entry of the node. */
    lastConfirmedAt(node: string): Milliseconds | undefined {
        return this.live.get(node)?.confirmedAt;
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

    /** Zones with live entries, sorted by name. */
    zoneNames(): readonly string[] {
        return [...this.zones.keys()].sort(compareText);
    }

    /** Entries of ended processes of one zone, or of all zones. */
    endedEntries(zone?: string): readonly EndedEntry[] {
        const now = this.clock.now();
        return [...this.ended.values()]
            .filter(record => zone === undefined || record.entry.zone === zone)
            .map(record => ({ entry: record.entry, endedForMs: now - record.endedAt }));
    }

    /** Entries changed since the previous call. */
    drainChanges(): readonly Entry[] {
        const entries = [...this.pendingChanges.values()];
        this.pendingChanges.clear();
        return entries;
    }

    /** Removes entries of ended processes that are older than a day or exceed the limit. */
    prune(): void {
        const oldest = this.clock.now() - endedRetentionMs;
        for (const [node, record] of this.ended) {
            if (record.endedAt < oldest || this.ended.size > maxEndedEntries) {
                this.ended.delete(node);
            }
        }
    }

    private put(entry: Entry): MergeResult {
        const record = this.live.get(entry.node) ?? { entry, contentRevision: 0, confirmedAt: 0 };
        record.entry = entry;
        record.contentRevision = entry.revision;
        record.confirmedAt = this.clock.now();
        this.ended.delete(entry.node);
        this.live.set(entry.node, record);
        this.nodeOfHost.set(entry.host, entry.node);
        this.zoneRecords(entry.zone).set(entry.node, record);
        this.digests.put(entry);
        this.pendingChanges.set(entry.node, entry);
        return MergeResult.Applied;
    }

    private markEnded(entry: Entry, endedForMs: Milliseconds): MergeResult {
        if (endedForMs > endedRetentionMs) {
            return MergeResult.Stale;
        }
        this.removeLive(entry.node);
        this.ended.set(entry.node, { entry, endedAt: this.clock.now() - endedForMs });
        this.pendingChanges.set(entry.node, entry);
        return MergeResult.Applied;
    }

    /** Ends the older process of the entry's host; false if the table holds the newer process. */
    private supersedeEarlierProcess(entry: Entry): boolean {
        const current = this.liveEntryOfHost(entry.host);
        if (current === undefined || current.node === entry.node) {
            return true;
        }
        if (compareProcesses(entry, current) < 0) {
            return false;
        }
        this.markEnded({ ...current, liveness: Liveness.Dead }, 0);
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
