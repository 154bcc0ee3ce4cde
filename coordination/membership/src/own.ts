/**
 * The entry that this node owns. Every change raises its revision; nothing that other nodes say changes it otherwise.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import type { Head, Sender, Suspicion } from "./messages";
import { compareProcesses, hasEnded } from "./precedence";
import { needsRefutation } from "./suspicions";
import type { MembershipTable } from "./table";
import { Liveness, type Entry, type ReportedRefusal, type Target } from "./types";
import type { UpdateQueue } from "./updates";

/** Identity of a node; fixed for the run of its process. */
export type Identity = Pick<
    Entry,
    "node" | "host" | "zone" | "region" | "controlAddress" | "callAddress" | "incarnation"
>;

/** What other nodes' knowledge of this host means for this process. */
export enum HostClaim {
    /** Nothing that concerns this process. */
    None = "none",
    /** This process took precedence by raising its incarnation. */
    Raised = "raised",
    /** A later process runs on the host. */
    Superseded = "superseded",
}

/** A new process may find its predecessor with a later incarnation, if the host's clock was set back, for this long. */
const takeoverPeriodMs: Milliseconds = 60_000;

/** The own entry, as the table holds it. */
export class OwnEntry {
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

    /** The entry as it is now. */
    get entry(): Entry {
        return this.table.get(this.node) as Entry;
    }

    /** Whether the node has left; it then keeps silent. */
    get hasLeft(): boolean {
        return hasEnded(this.entry);
    }

    /** This node as the writer of a message. */
    get sender(): Sender {
        const { node, host, zone, controlAddress } = this.entry;
        return { node, host, zone, controlAddress };
    }

    /** Version and digest in force. */
    get head(): Head {
        return { version: this.entry.version, digest: this.entry.digest };
    }

    /** Takes the targets in place of those listed before. */
    setTargets(targets: readonly Target[]): void {
        this.change({ targets });
    }

    /** Takes a new version in force. */
    activate(head: Head): void {
        const { refusal, revision } = this.entry;
        if (refusal !== undefined && refusal.version <= head.version) {
            this.change({ ...head, refusal: undefined });
            return;
        }
        const since = this.table.contentRevisionOf(this.node);
        this.table.mergeReport({ node: this.node, since, revision: revision + 1 }, head);
        this.queue.addVersion(this.node);
    }

    /** Reports a version that this node refused. */
    refuse(refusal: ReportedRefusal): void {
        this.change({ refusal });
    }

    /** Leaves the table after a planned stop. */
    leave(): void {
        this.change({ liveness: Liveness.Left });
    }

    /** Raises the revision if a suspicion concerns the current one. */
    refuteSuspicion(suspicion: Suspicion): boolean {
        return needsRefutation(suspicion, this.entry) && this.refute(suspicion.revision);
    }

    /** Raises the revision if a peer holds this process for ended, or claims to know a later revision. */
    refuteEntry(claim: Entry): boolean {
        const own = this.entry;
        const differs = hasEnded(claim) ? claim.revision >= own.revision : claim.revision > own.revision;
        return differs && this.refute(claim.revision);
    }

    /** Judges an entry of another process on this host. */
    judgeHostClaim(claim: Entry): HostClaim {
        const own = this.entry;
        if (hasEnded(claim) || compareProcesses(claim, own) < 0) {
            return HostClaim.None;
        }
        if (this.hasLeft || this.clock.now() - this.startedAt > takeoverPeriodMs) {
            return HostClaim.Superseded;
        }
        this.change({ incarnation: claim.incarnation + 1 });
        return HostClaim.Raised;
    }

    private refute(revision: number): boolean {
        if (this.hasLeft) {
            return false;
        }
        this.change({}, revision);
        return true;
    }

    private change(change: Partial<Entry>, atLeast: number = 0): void {
        const own = this.entry;
        const revision = Math.max(own.revision, atLeast) + 1;
        this.table.merge({ ...own, liveness: Liveness.Alive, ...change, revision });
        this.queue.add(this.node);
    }
}
