/**
 * The entry of this node. Every change increments its revision. Messages from other nodes change it only where this
 * node has to refute them.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import type { Head, Sender, Suspicion } from "./messages";
import { compareProcesses, hasEnded } from "./precedence";
import { needsRefutation } from "./suspicions";
import type { MembershipTable } from "./table";
import { Liveness, type Entry, type ReportedRefusal, type Target } from "./types";
import type { UpdateQueue } from "./updates";

/** Identity of a node; fixed for the lifetime of its process. */
export type Identity = Pick<
    Entry,
    "node" | "host" | "zone" | "region" | "controlAddress" | "callAddress" | "incarnation"
>;

/** Effect on this process of an entry of another process on the same host. */
export enum HostClaimOutcome {
    /** The other process has ended or is older. */
    None = "none",
    /** This process raised its incarnation above that of the other process. */
    Raised = "raised",
    /** A newer process runs on the host. */
    Superseded = "superseded",
}

/**
 * For this time after its start, a process treats a higher incarnation on its host as that of a predecessor. A
 * predecessor has a higher incarnation if the host's clock was set back.
 */
const takeoverPeriodMs: Milliseconds = 60_000;

/** Reads and changes the table's entry of this node. */
export class LocalEntry {
    private readonly clock: Clock;
    private readonly table: MembershipTable;
    private readonly queue: UpdateQueue;
    private readonly node: string;
    private readonly startedAt: Milliseconds;

    constructor(identity: Identity, clock: Clock, table: MembershipTable, queue: UpdateQueue) {
        this.clock = clock;
        this.table = table;
        this.queue = queue;
        this.node = identity.node;
        this.startedAt = clock.now();
        this.table.merge({
            ...identity,
            revision: 1,
            liveness: Liveness.Alive,
            version: 0,
            digest: "",
            refusal: undefined,
            targets: [],
        });
        this.queue.add(this.node);
    }

    get entry(): Entry {
        return this.table.get(this.node) as Entry;
    }

    /** Whether the node has left; it then no longer starts gossip rounds. */
    get hasLeft(): boolean {
        return hasEnded(this.entry);
    }

    /** This node as the sender of a message. */
    get sender(): Sender {
        const { node, host, zone, controlAddress } = this.entry;
        return { node, host, zone, controlAddress };
    }

    /** Version and digest in force. */
    get head(): Head {
        return { version: this.entry.version, digest: this.entry.digest };
    }

    /** Replaces the targets in the entry. */
    setTargets(targets: readonly Target[]): void {
        this.change({ targets });
    }

    /** Sets the version in force and clears a refusal of the same or a lower version. */
    activate(head: Head): void {
        const { refusal, revision } = this.entry;
        if (refusal !== undefined && refusal.version <= head.version) {
            this.change({ ...head, refusal: undefined });
            return;
        }
        const since = this.table.contentRevisionOf(this.node);
        this.table.mergeVersionReport({ node: this.node, since, revision: revision + 1 }, head);
        this.queue.addVersion(this.node);
    }

    /** Publishes a version that this node refused. */
    refuse(refusal: ReportedRefusal): void {
        this.change({ refusal });
    }

    /** Marks this node as Left at the end of a graceful shutdown. */
    leave(): void {
        this.change({ liveness: Liveness.Left });
    }

    /** Increments the revision if a suspicion refers to the current one; true if it did. */
    refuteSuspicion(suspicion: Suspicion): boolean {
        return needsRefutation(suspicion, this.entry) && this.refute(suspicion.revision);
    }

    /** Increments the revision if a peer marks this process as ended or has a higher revision; true if it did. */
    refuteEntry(claim: Entry): boolean {
        const local = this.entry;
        const differs = hasEnded(claim) ? claim.revision >= local.revision : claim.revision > local.revision;
        return differs && this.refute(claim.revision);
    }

    /**
     * Evaluates an entry of another process on this host. Within `takeoverPeriodMs` after its start, this process
     * raises its incarnation above that of a predecessor.
     */
    evaluateHostClaim(claim: Entry): HostClaimOutcome {
        const local = this.entry;
        if (hasEnded(claim) || compareProcesses(claim, local) < 0) {
            return HostClaimOutcome.None;
        }
        if (this.hasLeft || this.clock.now() - this.startedAt > takeoverPeriodMs) {
            return HostClaimOutcome.Superseded;
        }
        this.change({ incarnation: claim.incarnation + 1 });
        return HostClaimOutcome.Raised;
    }

    private refute(revision: number): boolean {
        if (this.hasLeft) {
            return false;
        }
        this.change({}, revision);
        return true;
    }

    private change(change: Partial<Entry>, minRevision: number = 0): void {
        const local = this.entry;
        const revision = Math.max(local.revision, minRevision) + 1;
        this.table.merge({ ...local, liveness: Liveness.Alive, ...change, revision });
        this.queue.add(this.node);
    }
}
