/**
 * SWIM-style suspicions of nodes in this zone. A node is marked as dead only after two distinct observers failed to
 * reach it and it had 2 s to refute. A broken path between two hosts is therefore not enough.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import type { Random } from "@bilberrycroft/core.random";
import {
    confirmersPerSuspicion,
    maxSuspicionsPerExchange,
    recentContactWindowMs,
    requiredObservers,
    suspicionExpiryMs,
    suspicionTimeoutMs,
} from "./limits";
import type { Suspicion } from "./messages";
import type { MembershipTable } from "./table";
import { Liveness, type Entry } from "./types";

interface SuspicionRecord {
    readonly node: string;
    readonly revision: number;
    readonly observers: Set<string>;
    confirmers: readonly string[];
    readonly since: Milliseconds;
    confirmersSelectedAt: Milliseconds;
    /** Whether this node probed the suspect as a confirmer. */
    isProbed: boolean;
}

export interface SuspicionsOptions {
    readonly clock: Clock;
    readonly random: Random;
    readonly table: MembershipTable;
    readonly self: string;
    readonly zone: string;
    /** Time of the last message from any node. */
    readonly lastContactAt: () => Milliseconds | undefined;
}

/** Result of `Suspicions.evaluate`. */
export interface SuspicionChanges {
    /** Nodes marked as dead. */
    readonly dead: readonly string[];
    /** Whether a suspicion has to be pushed to peers now. */
    readonly isUrgent: boolean;
}

/** Result of `Suspicions.handleSuspicion`. */
export interface SuspicionResult {
    /** Whether the suspicion has to be pushed to peers now. */
    readonly isUrgent: boolean;
    /** Whether this node has to probe the suspect as a confirmer. */
    readonly mustProbe: boolean;
}

/** Unresolved suspicions that this node holds. */
export class Suspicions {
    private readonly options: SuspicionsOptions;
    private readonly records = new Map<string, SuspicionRecord>();

    constructor(options: SuspicionsOptions) {
        this.options = options;
    }

    /** Records a failed call to a node of this zone; true if it is a new observation that has to be pushed to peers. */
    recordFailure(node: string): boolean {
        const entry = this.options.table.getLive(node);
        if (entry === undefined || entry.zone !== this.options.zone) {
            return false;
        }
        const record = this.currentRecord(node) ?? this.createRecord(node, entry.revision);
        if (record.observers.has(this.options.self)) {
            return false;
        }
        record.observers.add(this.options.self);
        this.selectConfirmers(record);
        return true;
    }

    /** Merges a suspicion from a peer. */
    handleSuspicion(suspicion: Suspicion): SuspicionResult {
        const entry = this.options.table.getLive(suspicion.node);
        const isRelevant = entry !== undefined
            && entry.zone === this.options.zone
            && entry.revision === suspicion.revision
            && suspicion.observers.length > 0;
        if (!isRelevant) {
            return { isUrgent: false, mustProbe: false };
        }
        const record = this.currentRecord(suspicion.node) ?? this.createRecord(suspicion.node, suspicion.revision);
        const observersBefore = record.observers.size;
        suspicion.observers.slice(0, requiredObservers).forEach(observer => record.observers.add(observer));
        const mustProbe = suspicion.confirmers.includes(this.options.self) && !record.isProbed;
        record.isProbed ||= mustProbe;
        return { isUrgent: record.observers.size > observersBefore, mustProbe };
    }

    /** Suspicions for one message; always includes one about the receiver, so that the receiver can refute it. */
    selectForMessage(receiver: string): readonly Suspicion[] {
        const records = [...this.records.values()].sort((left, right) => right.since - left.since);
        const aboutReceiver = this.records.get(receiver);
        const ordered = aboutReceiver === undefined
            ? records
            : [aboutReceiver, ...records.filter(record => record !== aboutReceiver)];
        return ordered.slice(0, maxSuspicionsPerExchange).map(toMessage);
    }

    /** Removes refuted and expired suspicions, marks confirmed suspects as dead, and renews the others. */
    evaluate(): SuspicionChanges {
        const dead: string[] = [];
        let isUrgent = false;
        for (const record of [...this.records.values()]) {
            if (this.isObsolete(record)) {
                this.records.delete(record.node);
            }
            else if (this.isConfirmed(record)) {
                this.records.delete(record.node);
                this.options.table.markDead(record.node);
                dead.push(record.node);
            }
            else {
                isUrgent = this.renew(record) || isUrgent;
            }
        }
        return { dead, isUrgent };
    }

    /** Removes all suspicions after a pause of this process, during which refutations could not arrive. */
    reset(): void {
        for (const node of this.records.keys()) {
            this.options.table.setSuspected(node, false);
        }
        this.records.clear();
    }

    private createRecord(node: string, revision: number): SuspicionRecord {
        const now = this.options.clock.now();
        const record: SuspicionRecord = {
            node,
            revision,
            observers: new Set(),
            confirmers: [],
            since: now,
            confirmersSelectedAt: now,
            isProbed: false,
        };
        this.records.set(node, record);
        this.options.table.setSuspected(node, true);
        return record;
    }

    /** The suspicion of the node's current revision; one of an older revision was refuted. */
    private currentRecord(node: string): SuspicionRecord | undefined {
        const record = this.records.get(node);
        return record === undefined || this.isObsolete(record) ? undefined : record;
    }

    private isObsolete(record: SuspicionRecord): boolean {
        const entry = this.options.table.getLive(record.node);
        return entry === undefined || entry.revision > record.revision;
    }

    private isConfirmed(record: SuspicionRecord): boolean {
        const age = this.options.clock.now() - record.since;
        const hasEnoughObservers = record.observers.size >= requiredObservers || this.canDecideAlone(record);
        return age >= suspicionTimeoutMs && hasEnoughObservers;
    }

    /**
     * Whether this node may mark the suspect as dead without a second observer: no other node of the zone is alive, and
     * this node is not isolated itself. Only contact after the suspicion rules out isolation, because an isolated node
     * suspects all nodes of a small zone within a few rounds.
     */
    private canDecideAlone(record: SuspicionRecord): boolean {
        const { table, self, zone, lastContactAt, clock } = this.options;
        if (!record.observers.has(self)) {
            return false;
        }
        const others = table.entries().filter(entry => entry.node !== self && entry.node !== record.node);
        if (others.length === 0) {
            return true;
        }
        const lastContact = lastContactAt();
        const hasRecentContact = lastContact !== undefined
            && lastContact > record.since
            && clock.now() - lastContact <= recentContactWindowMs;
        return hasRecentContact && !others.some(entry => entry.zone === zone && entry.liveness === Liveness.Alive);
    }

    /**
     * Selects other confirmers if the first ones reported no failure. Removes an expired suspicion that this node did
     * not observe itself. True if the suspicion has to be pushed to peers now.
     */
    private renew(record: SuspicionRecord): boolean {
        const now = this.options.clock.now();
        if (!record.observers.has(this.options.self)) {
            if (now - record.since >= suspicionExpiryMs) {
                this.records.delete(record.node);
                this.options.table.setSuspected(record.node, false);
            }
            return false;
        }
        if (now - record.confirmersSelectedAt < suspicionTimeoutMs) {
            return false;
        }
        this.selectConfirmers(record);
        return true;
    }

    private selectConfirmers(record: SuspicionRecord): void {
        const { table, zone, self, random, clock } = this.options;
        const candidates = table.entriesIn(zone)
            .filter(entry => entry.node !== self && entry.node !== record.node && entry.liveness === Liveness.Alive);
        record.confirmers = random.shuffle(candidates).slice(0, confirmersPerSuspicion).map(entry => entry.node);
        record.confirmersSelectedAt = clock.now();
    }
}

/** Whether a suspicion refers to the current revision of the local entry and has to be refuted. */
export function needsRefutation(suspicion: Suspicion, local: Pick<Entry, "node" | "revision">): boolean {
    return suspicion.node === local.node && suspicion.revision >= local.revision;
}

function toMessage(record: SuspicionRecord): Suspicion {
    const { node, revision, confirmers } = record;
    return { node, revision, observers: [...record.observers].slice(0, requiredObservers), confirmers };
}
