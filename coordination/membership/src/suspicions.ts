/**
 * Suspicions of nodes of the own zone. A node is held dead only after two distinct observers failed to reach it and
 * 2 s passed in which it could refute; one broken path between two hosts is therefore not a verdict.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import type { Random } from "@bilberrycroft/core.random";
import {
    confirmersPerSuspicion,
    maxSuspicions,
    recentContactMs,
    requiredObservers,
    suspicionExpiryMs,
    suspicionMs,
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
    confirmersAskedAt: Milliseconds;
    /** Whether this node called the suspect as a confirmer. */
    called: boolean;
}

/** What a node needs to judge suspicions. */
export interface SuspicionsOptions {
    readonly clock: Clock;
    readonly random: Random;
    readonly table: MembershipTable;
    readonly self: string;
    readonly zone: string;
    /** Time of the last reply of any node. */
    readonly lastContactAt: () => Milliseconds | undefined;
}

/** What `Suspicions.advance` decided. */
export interface SuspicionStep {
    /** Nodes declared dead. */
    readonly dead: readonly string[];
    /** Whether a suspicion changed so that peers have to learn of it now. */
    readonly urgent: boolean;
}

/** What `Suspicions.hear` decided. */
export interface HeardSuspicion {
    readonly urgent: boolean;
    /** Whether this node has to call the suspect. */
    readonly confirm: boolean;
}

/** Open suspicions as one node sees them. */
export class Suspicions {
    private readonly options: SuspicionsOptions;
    private readonly records = new Map<string, SuspicionRecord>();

    constructor(options: SuspicionsOptions) {
        this.options = options;
    }

    /** Notes a failed call of this node to a node of its zone; true if that is news for peers. */
    observeFailure(node: string): boolean {
        const entry = this.options.table.getLive(node);
        if (entry === undefined || entry.zone !== this.options.zone) {
            return false;
        }
        const record = this.currentRecord(node) ?? this.open(node, entry.revision);
        if (record.observers.has(this.options.self)) {
            return false;
        }
        record.observers.add(this.options.self);
        this.chooseConfirmers(record);
        return true;
    }

    /** Merges what a peer suspects. */
    hear(suspicion: Suspicion): HeardSuspicion {
        const entry = this.options.table.getLive(suspicion.node);
        const relevant = entry !== undefined
            && entry.zone === this.options.zone
            && entry.revision === suspicion.revision
            && suspicion.observers.length > 0;
        if (!relevant) {
            return { urgent: false, confirm: false };
        }
        const record = this.currentRecord(suspicion.node) ?? this.open(suspicion.node, suspicion.revision);
        const observersBefore = record.observers.size;
        suspicion.observers.slice(0, requiredObservers).forEach(observer => record.observers.add(observer));
        const confirm = suspicion.confirmers.includes(this.options.self) && !record.called;
        record.called ||= confirm;
        return { urgent: record.observers.size > observersBefore, confirm };
    }

    /** Open suspicions for a message; the one about the receiver always goes with it, so that it can refute. */
    toSend(receiver: string): readonly Suspicion[] {
        const records = [...this.records.values()].sort((left, right) => right.since - left.since);
        const about = this.records.get(receiver);
        const ordered = about === undefined ? records : [about, ...records.filter(record => record !== about)];
        return ordered.slice(0, maxSuspicions).map(toMessage);
    }

    /** Ends what was refuted or is confirmed. */
    advance(): SuspicionStep {
        const dead: string[] = [];
        let urgent = false;
        for (const record of [...this.records.values()]) {
            if (this.isSettled(record)) {
                this.records.delete(record.node);
            }
            else if (this.isConfirmed(record)) {
                this.records.delete(record.node);
                this.options.table.declareDead(record.node);
                dead.push(record.node);
            }
            else {
                urgent = this.askAgain(record) || urgent;
            }
        }
        return { dead, urgent };
    }

    /** Drops all suspicions, after a pause in which refutations could not arrive. */
    reset(): void {
        for (const node of this.records.keys()) {
            this.options.table.setSuspected(node, false);
        }
        this.records.clear();
    }

    private open(node: string, revision: number): SuspicionRecord {
        const now = this.options.clock.now();
        const record: SuspicionRecord = {
            node,
            revision,
            observers: new Set(),
            confirmers: [],
            since: now,
            confirmersAskedAt: now,
            called: false,
        };
        this.records.set(node, record);
        this.options.table.setSuspected(node, true);
        return record;
    }

    /** The suspicion of the current revision; an older one was refuted. */
    private currentRecord(node: string): SuspicionRecord | undefined {
        const record = this.records.get(node);
        return record === undefined || this.isSettled(record) ? undefined : record;
    }

    private isSettled(record: SuspicionRecord): boolean {
        const entry = this.options.table.getLive(record.node);
        return entry === undefined || entry.revision > record.revision;
    }

    private isConfirmed(record: SuspicionRecord): boolean {
        const age = this.options.clock.now() - record.since;
        const enough = record.observers.size >= requiredObservers || this.isOnlyPossibleObserver(record);
        return age >= suspicionMs && enough;
    }

    /**
     * With nobody left to confirm, this node decides alone, unless it may be the one that is cut off. Only contact
     * after the suspicion shows that it is not: a cut-off node suspects a small zone within the time of a few rounds.
     */
    private isOnlyPossibleObserver(record: SuspicionRecord): boolean {
        const { table, self, zone, lastContactAt, clock } = this.options;
        if (!record.observers.has(self)) {
            return false;
        }
        const others = table.entries().filter(entry => entry.node !== self && entry.node !== record.node);
        if (others.length === 0) {
            return true;
        }
        const lastContact = lastContactAt();
        const inContact = lastContact !== undefined
            && lastContact > record.since
            && clock.now() - lastContact <= recentContactMs;
        return inContact && !others.some(entry => entry.zone === zone && entry.liveness === Liveness.Alive);
    }

    /** Chooses other confirmers if the first ones gave no second observation, and drops hearsay that nobody renews. */
    private askAgain(record: SuspicionRecord): boolean {
        const now = this.options.clock.now();
        if (!record.observers.has(this.options.self)) {
            if (now - record.since >= suspicionExpiryMs) {
                this.records.delete(record.node);
                this.options.table.setSuspected(record.node, false);
            }
            return false;
        }
        if (now - record.confirmersAskedAt < suspicionMs) {
            return false;
        }
        this.chooseConfirmers(record);
        return true;
    }

    private chooseConfirmers(record: SuspicionRecord): void {
        const { table, zone, self, random, clock } = this.options;
        const candidates = table.entriesIn(zone)
            .filter(entry => entry.node !== self && entry.node !== record.node && entry.liveness === Liveness.Alive);
        record.confirmers = random.shuffle(candidates).slice(0, confirmersPerSuspicion).map(entry => entry.node);
        record.confirmersAskedAt = clock.now();
    }
}

/** Whether a suspicion of a node about itself calls for a refutation. */
export function needsRefutation(suspicion: Suspicion, own: Pick<Entry, "node" | "revision">): boolean {
    return suspicion.node === own.node && suspicion.revision >= own.revision;
}

function toMessage(record: SuspicionRecord): Suspicion {
    const { node, revision, confirmers } = record;
    return { node, revision, observers: [...record.observers].slice(0, requiredObservers), confirmers };
}
