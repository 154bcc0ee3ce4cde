/**
 * Which other nodes respond, from this node's own requests.
 *
 * Answers crashes, freezes and partitions: an accounting node that does not respond is replaced, and one that
 * still grants withholds the parts of the nodes that it cannot reach. Nodes are checked only where a decision
 * depends on them.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import { type HashedNode, hashNode } from "./accountingNode";

/** A node of the table. */
export interface QuotaPeer {
    readonly node: string;
    readonly zone: string;
}

export interface NodeContactsOptions {
    readonly clock: Clock;
    /** Name of this node. */
    readonly node: string;
}

/** Requests without a reply after which a node counts as silent. One may be lost to a pause or a broken connection. */
const maxFailures = 2;
/** A node that was heard from within this time needs no check. */
const heardValidityMs: Milliseconds = 200;
/** Time after which silence of a checked node says nothing about the present. */
const knownValidityMs: Milliseconds = 1_500;
/** Delay between two checks of a node; doubles with each failure up to the maximum. */
const minCheckIntervalMs: Milliseconds = 160;
const maxCheckIntervalMs: Milliseconds = 1_000;
/** Nodes of a zone that became silent, without a reply of any other, after which the zone counts as cut off. */
const silentNodesOfCutZone = 2;
/** A node is checked for this long after a decision depended on it. */
const wantedMs: Milliseconds = 2_000;
/** Nodes of each zone that are checked to find out whether the zone is reachable. */
const sampleSize = 4;

interface Contact {
    readonly zone: string;
    /** Time of the last request or reply of the node. */
    heardAt: Milliseconds;
    repliedAt: Milliseconds;
    /** Whether the requests of the node reach this one. */
    reachesThisNode: boolean;
    /** Requests of this node without a reply since the last reply. */
    failures: number;
    failedAt: Milliseconds;
    checkedAt: Milliseconds;
    wantedUntil: Milliseconds;
}

export class NodeContacts {
    private contacts = new Map<string, Contact>();
    private hashedNodes: readonly HashedNode[] = [];
    private readonly samples = new Map<string, string[]>();
    /** Nodes of each zone that became silent since the last reply from the zone. */
    private readonly silentByZone = new Map<string, number>();
    /** Counts the changes of `isResponding`, so that decisions are revised only after one. */
    private changeCount = 0;
    private lastWantedUntil: Milliseconds = Number.NEGATIVE_INFINITY;

    constructor(private readonly options: NodeContactsOptions) {}

    /** All nodes of the table with this one. */
    get nodes(): readonly HashedNode[] {
        return this.hashedNodes;
    }

    get changes(): number {
        return this.changeCount;
    }

    setNodes(peers: readonly QuotaPeer[]): void {
        const previous = this.contacts;
        const isSame = previous.size === peers.length
            && peers.every(({ node, zone }) => previous.get(node)?.zone === zone);
        if (isSame) {
            return;
        }
        this.contacts = new Map(peers.map(({ node, zone }) => {
            const existing = previous.get(node);
            return [node, existing?.zone === zone ? existing : createContact(zone)];
        }));
        this.hashedNodes = [...this.contacts.keys()].map(hashNode);
        this.samples.clear();
        this.silentByZone.clear();
        for (const { node } of [...this.hashedNodes].sort((left, right) => left.hash - right.hash)) {
            const { zone } = this.contacts.get(node) as Contact;
            const sample = this.samples.get(zone) ?? [];
            this.samples.set(zone, sample);
            if (sample.length < sampleSize && node !== this.options.node) {
                sample.push(node);
            }
        }
        this.changeCount++;
    }

    /** A request of the node arrived, which does not show that this node's requests reach it. */
    recordRequest(node: string): void {
        const contact = this.contacts.get(node);
        if (contact !== undefined) {
            contact.heardAt = this.options.clock.now();
            contact.reachesThisNode = true;
        }
    }

    /** The node replied to a request, and said whether its own requests reach this node. */
    recordReply(node: string, reachesThisNode: boolean): void {
        const contact = this.contacts.get(node);
        if (contact !== undefined) {
            const isCutOff = this.isCutOff(contact.zone);
            this.changeCount += isCutOff || contact.failures >= maxFailures ? 1 : 0;
            contact.heardAt = this.options.clock.now();
            contact.repliedAt = contact.heardAt;
            contact.reachesThisNode = reachesThisNode;
            contact.failures = 0;
            this.silentByZone.delete(contact.zone);
            if (isCutOff) {
                this.expediteChecks(contact.zone);
            }
        }
    }

    /** A request that was sent at this time got no reply, or could not be sent. */
    recordFailure(node: string, sentAt: Milliseconds): void {
        const contact = this.contacts.get(node);
        // Requests that were in flight together fail together if this process did not run, and count once.
        if (contact !== undefined && contact.repliedAt <= sentAt && sentAt >= contact.failedAt) {
            contact.failures++;
            contact.failedAt = this.options.clock.now();
            if (contact.failures === maxFailures) {
                this.silentByZone.set(contact.zone, (this.silentByZone.get(contact.zone) ?? 0) + 1);
                this.changeCount++;
            }
        }
    }

    /** Whether the node is expected to reply. A node of a zone that is cut off is not, even if it was never asked. */
    isResponding(node: string): boolean {
        const contact = this.contacts.get(node);
        return node === this.options.node || contact === undefined
            || (contact.failures < maxFailures && !this.isCutOff(contact.zone));
    }

    /** Whether the last request to the node got no reply. */
    hasFailed(node: string): boolean {
        return (this.contacts.get(node)?.failures ?? 0) > 0;
    }

    /** A decision depends on whether the node responds. */
    want(node: string): void {
        const contact = this.contacts.get(node);
        if (contact !== undefined && node !== this.options.node) {
            contact.wantedUntil = this.options.clock.now() + wantedMs;
            this.lastWantedUntil = contact.wantedUntil;
        }
    }

    /** A decision depends on which zones respond. */
    wantZones(): void {
        this.samples.forEach(sample => sample.forEach(node => this.want(node)));
    }

    /** Nodes to check now; each is returned once for each interval. */
    takeDueChecks(): readonly string[] {
        const now = this.options.clock.now();
        const due: string[] = [];
        for (const [node, contact] of this.contacts) {
            const { wantedUntil, heardAt, checkedAt, failures } = contact;
            const intervalMs = Math.min(maxCheckIntervalMs, minCheckIntervalMs * 2 ** Math.max(0, failures - 1));
            const isKnown = failures === 0 && now - heardAt < heardValidityMs;
            if (wantedUntil > now && !isKnown && now - checkedAt >= intervalMs) {
                contact.checkedAt = now;
                due.push(node);
            }
        }
        return due;
    }

    /** Whether any node may have to be checked. */
    get hasWanted(): boolean {
        return this.lastWantedUntil > this.options.clock.now();
    }

    /**
     * Share of all nodes that respond, estimated from the known nodes of each zone. A zone without a known node counts
     * as responding, or as cut off if `isSubstitute`: a substitute may itself be on the smaller side of a partition.
     */
    computeRespondingShare(isSubstitute: boolean): number {
        const now = this.options.clock.now();
        const zones = new Map<string, { size: number; heard: number; silent: number }>();
        for (const [node, { zone, heardAt, reachesThisNode, failures, failedAt }] of this.contacts) {
            const count = zones.get(zone) ?? { size: 0, heard: 0, silent: 0 };
            zones.set(zone, count);
            count.size++;
            // Nodes of a zone that has just been cut off sent their last requests a moment ago.
            const isCutOff = this.isCutOff(zone);
            const isHeard = !isCutOff && failures === 0 && now - heardAt < knownValidityMs;
            if (node === this.options.node || (isHeard && reachesThisNode)) {
                count.heard++;
            }
            else if (isCutOff || isHeard || (failures >= maxFailures && now - failedAt < knownValidityMs)) {
                count.silent++;
            }
        }
        let responding = 0;
        for (const { size, heard, silent } of zones.values()) {
            const known = heard + silent;
            responding += size * (known === 0 ? Number(!isSubstitute) : heard / known);
        }
        return this.contacts.size === 0 ? 1 : responding / this.contacts.size;
    }

    private isCutOff(zone: string): boolean {
        return (this.silentByZone.get(zone) ?? 0) >= silentNodesOfCutZone;
    }

    /** Checks the nodes of a zone immediately, because one of them responds again. */
    private expediteChecks(zone: string): void {
        for (const contact of this.contacts.values()) {
            if (contact.zone === zone) {
                contact.checkedAt = Number.NEGATIVE_INFINITY;
            }
        }
    }
}

function createContact(zone: string): Contact {
    const never = Number.NEGATIVE_INFINITY;
    return {
        zone,
        heardAt: never,
        repliedAt: never,
        reachesThisNode: true,
        failures: 0,
        failedAt: never,
        checkedAt: never,
        wantedUntil: never,
    };
}
