/**
 * Selects the nodes of a zone that read the platform store, and the nodes that each node follows for changes.
 *
 * All nodes compute the same order of the nodes in a zone. A node reads the store while fewer than two nodes before it
 * report that they read it; all others follow the first two readers. If nodes disagree about which nodes are alive, the
 * only effect is that more nodes read than necessary. Readers also follow one node in each other zone, so that they
 * receive changes from there if they cannot reach the store.
 */
import { createHash } from "node:crypto";
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";

export interface RelayNode {
    readonly node: string;
    readonly zone: string;
    /** `host:port` at which the node accepts offers and followers. */
    readonly address: string;
    /** Number of CPU cores that the node may use; may be fractional. */
    readonly processors: number;
}

/** How a node receives changes. */
export interface RelayRole {
    /** The node reads the store itself. */
    readonly readsStore: boolean;
    /** The node reads only because it has no other source, so its reads are not urgent. */
    readonly isSubstitute: boolean;
    /** Another node of the zone reads as well, and this one staggers its watches against those of the other. */
    readonly isStaggered: boolean;
    /** Nodes that this node follows, with those of its zone first. */
    readonly follows: readonly RelayNode[];
}

export interface SourceSelectionOptions {
    readonly clock: Clock;
    readonly node: string;
    readonly zone: string;
}

/** With two readers, the loss of one causes no gap. */
const readersPerZone = 2;
/** Maximum number of nodes in a zone that a node follows to find readers before it reads the store itself. */
const maxFollowedPerZone = 4;
/** Interval at which a node sends its state to its followers if nothing changes. */
export const stateIntervalMs: Milliseconds = 500;
/** A node counts as lost after two intervals plus some delay without a message. */
const silenceTimeoutMs: Milliseconds = 2 * stateIntervalMs + 250;
/** Delay before a lost node is tried again. */
const retryDelayMs: Milliseconds = 2_000;

interface FollowedNodeState {
    /** Time of the last message, or of the decision to follow if there was none. */
    lastSeenAt: Milliseconds;
    readsStore: boolean;
    /** The node is not selected before this time. */
    excludedUntil: Milliseconds;
}

export class SourceSelection {
    private zones = new Map<string, RelayNode[]>();
    /** Nodes of all zones in the common order. */
    private order: readonly RelayNode[] = [];
    /** Hashes by node name; the table of nodes changes often, the names in it seldom. */
    private ranks = new Map<string, string>();
    private readonly states = new Map<string, FollowedNodeState>();

    constructor(private readonly options: SourceSelectionOptions) {}

    /** Replaces the known nodes; this node may be included. */
    setNodes(nodes: readonly RelayNode[]): void {
        this.ranks = new Map(nodes.map(({ node }) => [node, this.ranks.get(node) ?? hashOf(node)]));
        const ranked = nodes.map(node => ({ node, rank: this.ranks.get(node.node) ?? "" })).sort((left, right) =>
            right.node.processors - left.node.processors || (left.rank < right.rank ? -1 : 1));
        this.order = ranked.map(({ node }) => node);
        this.zones = new Map();
        for (const { node } of ranked) {
            const inZone = this.zones.get(node.zone) ?? [];
            inZone.push(node);
            this.zones.set(node.zone, inZone);
        }
        const present = new Set(nodes.map(({ node }) => node));
        [...this.states.keys()].filter(node => !present.has(node)).forEach(node => this.states.delete(node));
    }

    /** A followed node sent its state. */
    recordState(node: string, readsStore: boolean): void {
        const state = this.stateOf(node);
        state.lastSeenAt = this.options.clock.now();
        state.readsStore = readsStore;
        state.excludedUntil = Number.NEGATIVE_INFINITY;
    }

    /** The connection to a followed node broke. */
    markLost(node: string): void {
        const state = this.stateOf(node);
        state.readsStore = false;
        state.excludedUntil = this.options.clock.now() + retryDelayMs;
    }

    /** Whether changes are expected from the node, because it is in this zone and reads the store. */
    isSource(node: string): boolean {
        const inZone = this.zones.get(this.options.zone) ?? [];
        return inZone.some(candidate => candidate.node === node) && this.isReader(node);
    }

    /**
     * Number of readers that come before this one: the first readers of all zones in the common order, then the others.
     * Each reader follows the first reader of each zone, so that all of them agree on the first two.
     */
    countReadersBefore(): number {
        const { node: self, zone: ownZone } = this.options;
        const position = this.order.findIndex(({ node }) => node === self);
        const before = this.order.slice(0, Math.max(0, position)).filter(({ node }) => this.wasHeardToRead(node));
        if (!before.some(({ zone }) => zone === ownZone)) {
            return before.length;
        }
        const remote = this.order.filter(({ node, zone }) => zone !== ownZone && this.wasHeardToRead(node));
        return before.filter(({ zone }) => zone === ownZone).length + remote.length;
    }

    /** Returns the current role of this node. Followed nodes without recent messages count as lost. */
    decide(): RelayRole {
        const role = this.chooseRole();
        const followed = new Set(role.follows.map(({ node }) => node));
        for (const [node, { excludedUntil }] of this.states) {
            // A node that is not followed sends no messages, so its silence does not mean that it is lost.
            if (!followed.has(node) && excludedUntil === Number.NEGATIVE_INFINITY) {
                this.states.delete(node);
            }
        }
        return role;
    }

    private chooseRole(): RelayRole {
        const follows: RelayNode[] = [];
        const inZone = this.zones.get(this.options.zone) ?? [];
        let readers = 0;
        let readsStore = false;
        let isStaggered = false;
        for (const candidate of inZone) {
            if (readers >= readersPerZone || follows.length >= maxFollowedPerZone) {
                break;
            }
            if (candidate.node === this.options.node) {
                readsStore = true;
                isStaggered = readers > 0;
                readers++;
            }
            else if (!this.isLost(candidate.node)) {
                follows.push(candidate);
                readers += this.isReader(candidate.node) ? 1 : 0;
            }
        }
        if (readers > 0 && !readsStore) {
            return { readsStore, isSubstitute: false, isStaggered, follows };
        }
        const isSubstitute = !readsStore && follows.length > 0;
        return { readsStore: true, isSubstitute, isStaggered, follows: [...follows, ...this.chooseInRemoteZones()] };
    }

    private chooseInRemoteZones(): RelayNode[] {
        const chosen: RelayNode[] = [];
        for (const [zone, nodes] of this.zones) {
            const candidate = zone === this.options.zone ? undefined : nodes.find(({ node }) => !this.isLost(node));
            if (candidate !== undefined) {
                chosen.push(candidate);
            }
        }
        return chosen;
    }

    private isReader(node: string): boolean {
        return this.states.get(node)?.readsStore === true && !this.isLost(node);
    }

    private wasHeardToRead(node: string): boolean {
        const state = this.states.get(node);
        const now = this.options.clock.now();
        return state?.readsStore === true && now >= state.excludedUntil && now - state.lastSeenAt <= silenceTimeoutMs;
    }

    private isLost(node: string): boolean {
        const state = this.stateOf(node);
        const now = this.options.clock.now();
        if (now < state.excludedUntil) {
            return true;
        }
        if (state.excludedUntil !== Number.NEGATIVE_INFINITY) {
            // The retry delay has passed: the node may be followed again.
            state.excludedUntil = Number.NEGATIVE_INFINITY;
            state.lastSeenAt = now;
            return false;
        }
        if (now - state.lastSeenAt <= silenceTimeoutMs) {
            return false;
        }
        this.markLost(node);
        return true;
    }

    private stateOf(node: string): FollowedNodeState {
        const existing = this.states.get(node);
        if (existing !== undefined) {
            return existing;
        }
        const created = {
            lastSeenAt: this.options.clock.now(),
            readsStore: false,
            excludedUntil: Number.NEGATIVE_INFINITY,
        };
        this.states.set(node, created);
        return created;
    }
}

function hashOf(node: string): string {
    return createHash("sha256").update(node).digest("hex");
}
