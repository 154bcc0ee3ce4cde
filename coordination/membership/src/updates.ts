/**
 * Which entries the next exchanges carry. Each change is sent to about 3·log2(n) peers and fewer once peers send it
 * back: most copies are redundant by then, and an idle fleet has to fall silent.
 */
import { maxUpdates, maxVersionReports } from "./limits";
import type { VersionReport } from "./messages";
import { hasEnded } from "./precedence";
import type { MembershipTable } from "./table";
import { Liveness, type Entry } from "./types";

/** What `UpdateQueue.take` chose. */
export interface ChosenUpdates {
    readonly updates: readonly Entry[];
    readonly versions: readonly VersionReport[];
}

/** Nodes whose entries still have to be sent, with the number of peers left. */
export class UpdateQueue {
    private readonly table: MembershipTable;
    private readonly whole = new Map<string, number>();
    private readonly versions = new Map<string, number>();

    constructor(table: MembershipTable) {
        this.table = table;
    }

    /** Sends the whole entry of a node. */
    add(node: string, peers: number = this.peersPerChange(3)): void {
        this.versions.delete(node);
        this.whole.set(node, Math.max(peers, this.whole.get(node) ?? 0));
    }

    /** Sends the version in force of a node; the rest of its entry did not change. */
    addVersion(node: string): void {
        const peers = this.peersPerChange(1.5);
        if (this.whole.has(node)) {
            this.add(node, peers);
        }
        else {
            this.versions.set(node, peers);
        }
    }

    /** Notes that a peer sent what is queued here. */
    heardAgain(node: string): void {
        halve(this.whole, node);
        halve(this.versions, node);
    }

    /** Whether something waits that concerns a zone. */
    hasPending(zone: string): boolean {
        const concerns = (node: string): boolean => this.table.get(node)?.zone === zone;
        return [...this.whole.keys()].some(concerns) || [...this.versions.keys()].some(concerns);
    }

    /** Takes what the next message carries, least sent first. `accepts` is asked for the zone of each entry. */
    take(accepts: (zone: string) => boolean): ChosenUpdates {
        return {
            updates: this.chooseFrom(this.whole, maxUpdates, accepts).map(asSent),
            versions: this.groupByVersion(this.chooseFrom(this.versions, maxVersionReports, accepts)),
        };
    }

    private peersPerChange(factor: number): number {
        return Math.ceil(factor * Math.log2(this.table.size + 1));
    }

    private chooseFrom(queue: Map<string, number>, limit: number, accepts: (zone: string) => boolean): Entry[] {
        const chosen: Entry[] = [];
        for (const [node] of [...queue].sort((left, right) => right[1] - left[1])) {
            const entry = this.table.get(node);
            if (entry === undefined) {
                queue.delete(node);
            }
            else if (chosen.length < limit && accepts(entry.zone)) {
                chosen.push(entry);
                countDown(queue, node);
            }
        }
        return chosen;
    }

    private groupByVersion(entries: readonly Entry[]): readonly VersionReport[] {
        const groups = new Map<string, Entry[]>();
        for (const entry of entries.filter(candidate => !hasEnded(candidate))) {
            const group = groups.get(entry.digest) ?? [];
            groups.set(entry.digest, group);
            group.push(entry);
        }
        return [...groups.values()].map(group => this.reportOf(group));
    }

    private reportOf(group: readonly Entry[]): VersionReport {
        const nodes = group.map(({ node, revision }) => ({
            node,
            since: this.table.contentRevisionOf(node),
            revision,
        }));
        return { version: group[0]?.version ?? 0, digest: group[0]?.digest ?? "", nodes };
    }
}

/** Suspicions travel on their own, with their observers. */
function asSent(entry: Entry): Entry {
    return entry.liveness === Liveness.Suspect ? { ...entry, liveness: Liveness.Alive } : entry;
}

function countDown(queue: Map<string, number>, node: string): void {
    setRemaining(queue, node, (queue.get(node) ?? 0) - 1);
}

function halve(queue: Map<string, number>, node: string): void {
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
