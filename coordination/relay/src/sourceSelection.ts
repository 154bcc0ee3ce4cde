/**
 * Decides which nodes of a zone read the platform's store, and which nodes each one follows to learn of changes.
 *
 * The nodes of a zone have an order that all of them compute alike. A node reads the store while fewer than two nodes
 * before it are heard to read it; all others follow the first two that do. Nodes that disagree on who is alive only
 * read more than necessary. Readers also follow a node of each other zone: where the store does not reach the readers
 * of one zone, they hear of changes from there.
 */
import { createHash } from "node:crypto";
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";

/** A node that may be followed. */
export interface RelayNode {
    readonly node: string;
    readonly zone: string;
    /** `host:port` at which the node takes offers and followers. */
    readonly address: string;
    /** Processor cores that the node may use, with fractions. */
    readonly processors: number;
}

/** What a node does to learn of changes. */
export interface RelayRole {
    /** It reads the store itself. */
    readonly readsStore: boolean;
    /** It does so only for want of a node that it could follow, and may take its time. */
    readonly isSubstitute: boolean;
    /** Nodes that it follows, those of its own zone first. */
    readonly follows: readonly RelayNode[];
}

/** What a `SourceSelection` is created from. */
export interface SourceSelectionOptions {
    readonly clock: Clock;
    readonly node: string;
    readonly zone: string;
}

/** Readers in each zone: one may be lost without a gap. */
const readersInZone = 2;
/** Nodes of a zone that are followed in search of readers, before a node reads for itself. */
const maxFollowedInZone = 4;
/** Interval at which a node tells its followers its state if nothing changes. */
export const stateIntervalMs: Milliseconds = 500;
/** A node that told nothing for two intervals and some delay is taken for lost. */
const silentMs: Milliseconds = 2 * stateIntervalMs + 250;
/** A lost node is tried again after this time. */
const retryMs: Milliseconds = 2_000;

interface FollowedState {
    /** Time of the last message; before the first, that of the decision to follow. */
    heardAt: Milliseconds;
    readsStore: boolean;
    /** Until then the node is passed over. */
    lostUntil: Milliseconds;
}

/** Decisions of one node. */
export class SourceSelection {
    private zones = new Map<string, RelayNode[]>();
    private readonly states = new Map<string, FollowedState>();

    constructor(private readonly options: SourceSelectionOptions) {}

    /** Replaces the known nodes; this one may be among them. */
    setNodes(nodes: readonly RelayNode[]): void {
        const ranked = nodes.map(node => ({ node, rank: rankOf(node.node) })).sort((left, right) =>
            right.node.processors - left.node.processors || (left.rank < right.rank ? -1 : 1));
        this.zones = new Map();
        for (const { node } of ranked) {
            const inZone = this.zones.get(node.zone) ?? [];
            inZone.push(node);
            this.zones.set(node.zone, inZone);
        }
        const present = new Set(nodes.map(({ node }) => node));
        [...this.states.keys()].filter(node => !present.has(node)).forEach(node => this.states.delete(node));
    }

    /** A followed node told its state. */
    stateHeard(node: string, readsStore: boolean): void {
        const state = this.stateOf(node);
        state.heardAt = this.options.clock.now();
        state.readsStore = readsStore;
        state.lostUntil = Number.NEGATIVE_INFINITY;
    }

    /** The connection to a followed node broke. */
    lost(node: string): void {
        const state = this.stateOf(node);
        state.readsStore = false;
        state.lostUntil = this.options.clock.now() + retryMs;
    }

    /** Whether changes are expected from the node: it is in this zone and reads the store. */
    isSource(node: string): boolean {
        const inZone = this.zones.get(this.options.zone) ?? [];
        return inZone.some(known => known.node === node) && this.isReader(node);
    }

    /** What this node does now. Nodes that have gone silent count as lost. */
    decide(): RelayRole {
        const role = this.chooseRole();
        const followed = new Set(role.follows.map(({ node }) => node));
        for (const [node, { lostUntil }] of this.states) {
            // The silence of a node that is not followed says nothing.
            if (!followed.has(node) && lostUntil === Number.NEGATIVE_INFINITY) {
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
        for (const candidate of inZone) {
            if (readers >= readersInZone || follows.length >= maxFollowedInZone) {
                break;
            }
            if (candidate.node === this.options.node) {
                readsStore = true;
                readers++;
            }
            else if (!this.isLost(candidate.node)) {
                follows.push(candidate);
                readers += this.isReader(candidate.node) ? 1 : 0;
            }
        }
        if (readers > 0 && !readsStore) {
            return { readsStore, isSubstitute: false, follows };
        }
        const isSubstitute = !readsStore && follows.length > 0;
        return { readsStore: true, isSubstitute, follows: [...follows, ...this.chooseInOtherZones()] };
    }

    private chooseInOtherZones(): RelayNode[] {
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

    private isLost(node: string): boolean {
        const state = this.stateOf(node);
        const now = this.options.clock.now();
        if (now < state.lostUntil) {
            return true;
        }
        if (state.lostUntil !== Number.NEGATIVE_INFINITY) {
            // Tried again from now on.
            state.lostUntil = Number.NEGATIVE_INFINITY;
            state.heardAt = now;
            return false;
        }
        if (now - state.heardAt <= silentMs) {
            return false;
        }
        this.lost(node);
        return true;
    }

    private stateOf(node: string): FollowedState {
        const known = this.states.get(node);
        if (known !== undefined) {
            return known;
        }
        const created = { heardAt: this.options.clock.now(), readsStore: false, lostUntil: Number.NEGATIVE_INFINITY };
        this.states.set(node, created);
        return created;
    }
}

function rankOf(node: string): string {
    return createHash("sha256").update(node).digest("hex");
}
