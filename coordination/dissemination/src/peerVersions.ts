/**
 * Versions in force on peers, and the selection of peers for fetches and pushes.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import type { Random } from "@bilberrycroft/core.random";
import type { ConfigurationHead } from "@bilberrycroft/state.snapshots";
import { eagerOtherZonePeers, eagerZonePeers, maxPeerHeads, peerRetryDelayMs } from "./limits";
import type { Peer, ZonedPeer } from "./messages";

interface PeerHead {
    readonly peer: Peer;
    readonly head: ConfigurationHead;
}

export interface PeerVersionsOptions {
    readonly clock: Clock;
    readonly random: Random;
    readonly node: string;
    readonly zone: string;
}

export class PeerVersions {
    private readonly options: PeerVersionsOptions;
    /** Ordered by the last message, oldest first. */
    private readonly heads = new Map<string, PeerHead>();
    private readonly retryNotBefore = new Map<string, Milliseconds>();
    private livePeers: readonly ZonedPeer[] = [];

    constructor(options: PeerVersionsOptions) {
        this.options = options;
    }

    /** Replaces the live nodes and removes the heads of all others. */
    setLivePeers(peers: readonly ZonedPeer[]): void {
        this.livePeers = peers.filter(peer => peer.node !== this.options.node);
        const nodes = new Set(this.livePeers.map(peer => peer.node));
        for (const node of [...this.heads.keys()]) {
            if (!nodes.has(node)) {
                this.heads.delete(node);
                this.retryNotBefore.delete(node);
            }
        }
    }

    /** Records a peer's version in force. A delayed message does not lower it. */
    recordHead(peer: Peer, head: ConfigurationHead): void {
        const existing = this.heads.get(peer.node);
        if (existing !== undefined && existing.head.version > head.version) {
            return;
        }
        this.heads.delete(peer.node);
        this.heads.set(peer.node, { peer, head });
        this.evictOldest();
    }

    /** Excludes a peer from `selectSource` for `peerRetryDelayMs`. */
    backOff(node: string): void {
        this.retryNotBefore.set(node, this.options.clock.now() + peerRetryDelayMs);
    }

    /** A random peer with the highest version above `version` that `accepts` allows; omits peers in backoff. */
    selectSource(version: number, accepts: (head: ConfigurationHead) => boolean): Peer | undefined {
        const now = this.options.clock.now();
        const sources = [...this.heads.values()]
            .filter(({ head }) => head.version > version && accepts(head))
            .filter(({ peer }) => now >= (this.retryNotBefore.get(peer.node) ?? 0));
        const highest = sources.reduce((best, { head }) => Math.max(best, head.version), 0);
        const best = sources.filter(({ head }) => head.version === highest);
        return best.length === 0 ? undefined : best[this.options.random.nextInteger(best.length)]?.peer;
    }

    /** Random peers for an eager push; omits peers that reported the version or a higher one. */
    selectPushPeers(version: number): readonly Peer[] {
        const { random, zone } = this.options;
        const outdated = this.livePeers.filter(peer => (this.heads.get(peer.node)?.head.version ?? 0) < version);
        const inZone = outdated.filter(peer => peer.zone === zone);
        const otherZones = outdated.filter(peer => peer.zone !== zone);
        return [
            ...random.shuffle(inZone).slice(0, eagerZonePeers),
            ...random.shuffle(otherZones).slice(0, eagerOtherZonePeers),
        ].map(({ node, controlAddress }) => ({ node, controlAddress }));
    }

    private evictOldest(): void {
        for (const node of this.heads.keys()) {
            if (this.heads.size <= maxPeerHeads) {
                return;
            }
            this.heads.delete(node);
            this.retryNotBefore.delete(node);
        }
    }
}
