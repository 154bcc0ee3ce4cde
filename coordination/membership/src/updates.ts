/**
 * Queue of the changed entries that exchanges carry. Each change is sent to about 3·log2(n) peers, or half as many if
 * only the version in force changed. Once peers send it back, it is sent to fewer, because most copies are redundant
 * by then and an idle fleet must not exchange updates.
 */
import { maxRevisionReportsPerExchange } from "./limits";
import type { VersionReport } from "./messages";
import { hasEnded } from "./precedence";
import type { MembershipTable } from "./table";
import { Liveness, type Entry } from "./types";

export interface SelectedUpdates {
    readonly updates: readonly Entry[];
    readonly versions: readonly VersionReport[];
}

/** Nodes whose entries still have to be sent, with the number of remaining peers. */
export class UpdateQueue {
    private readonly table: MembershipTable;
    private readonly fullEntries = new Map<string, number>();
    private readonly versions = new Map<string, number>();

    constructor(table: MembershipTable) {
        this.table = table;
    }

    /** Queues the full entry of a node. */
    add(node: string, peerCount: number = this.computeFanout(3)): void {
        this.versions.delete(node);
        this.fullEntries.set(node, Math.max(peerCount, this.fullEntries.get(node) ?? 0));
    }

    /** Queues the version in force of a node whose entry is otherwise unchanged. */
    addVersion(node: string): void {
        const peerCount = this.computeFanout(1.5);
        if (this.fullEntries.has(node)) {
            this.add(node, peerCount);
        }
        else {
            this.versions.set(node, peerCount);
        }
    }

    /** Halves the remaining sends of a node's entry, because a peer sent the same entry. */
    reduceRemaining(node: string): void {
        halveRemaining(this.fullEntries, node);
        halveRemaining(this.versions, node);
    }

    /** Whether an entry of the zone is queued. */
    hasPending(zone: string): boolean {
        const isInZone = (node: string): boolean => this.table.get(node)?.zone === zone;
        return [...this.fullEntries.keys()].some(isInZone) || [...this.versions.keys()].some(isInZone);
    }

    /** Selects updates for one message from the zones that `accepts` allows, those with most sends remaining first. */
    select(accepts: (zone: string) => boolean, maxUpdates: number): SelectedUpdates {
        return {
            updates: this.selectFrom(this.fullEntries, maxUpdates, accepts).map(toWireEntry),
            versions: this.groupByVersion(this.selectFrom(this.versions, maxRevisionReportsPerExchange, accepts)),
        };
    }

    private computeFanout(factor: number): number {
        return Math.ceil(factor * Math.log2(this.table.size + 1));
    }

    private selectFrom(queue: Map<string, number>, limit: number, accepts: (zone: string) => boolean): Entry[] {
        const selected: Entry[] = [];
        for (const [node] of [...queue].sort((left, right) => right[1] - left[1])) {
            const entry = this.table.get(node);
            if (entry === undefined) {
                queue.delete(node);
            }
            else if (selected.length < limit && accepts(entry.zone)) {
                selected.push(entry);
                decrementRemaining(queue, node);
            }
        }
        return selected;
    }

    private groupByVersion(entries: readonly Entry[]): readonly VersionReport[] {
        const groups = new Map<string, Entry[]>();
        for (const entry of entries.filter(candidate => !hasEnded(candidate))) {
            const group = groups.get(entry.digest) ?? [];
            groups.set(entry.digest, group);
            group.push(entry);
        }
        return [...groups.values()].map(group => this.createReport(group));
    }

    private createReport(group: readonly Entry[]): VersionReport {
        const nodes = group.map(({ node, revision }) => ({
            node,
            since: this.table.contentRevisionOf(node),
            revision,
        }));
        return { version: group[0]?.version ?? 0, digest: group[0]?.digest ?? "", nodes };
    }
}

/** Suspicions are sent separately, with their observers. */
function toWireEntry(entry: Entry): Entry {
    return entry.liveness === Liveness.Suspect ? { ...entry, liveness: Liveness.Alive } : entry;
}

function decrementRemaining(queue: Map<string, number>, node: string): void {
    setRemaining(queue, node, (queue.get(node) ?? 0) - 1);
}

function halveRemaining(queue: Map<string, number>, node: string): void {
    const remaining = queue.get(node);
    if (remaining !== undefined) {
        setRemaining(queue, node, Math.floor(remaining / 2));
    }
}

function setRemaining(queue: Map<string, number>, node: string, remaining: number): void {
    if (remaining > 0) {
        queue.set(node, remaining);
    }
    else {
        queue.delete(node);
    }
}
