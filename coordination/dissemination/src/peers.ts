/**
 * Peers: which version each has in force, whom to fetch from and whom to push to.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import type { Random } from "@bilberrycroft/core.random";
import type { ConfigurationHead } from "@bilberrycroft/state.snapshots";
import { eagerOtherPeers, eagerZonePeers, maxPeerHeads, peerRetryMs } from "./limits";
import type { Peer, ZonedPeer } from "./messages";

interface PeerHead {
    readonly peer: Peer;
    readonly head: ConfigurationHead;
}

/** Options of `Peers`. */
export interface PeersOptions {
    readonly clock: Clock;
    readonly random: Random;
    readonly node: string;
    readonly zone: string;
}

/** What one node knows of its peers' versions. */
export class Peers {
    private readonly options: PeersOptions;
    /** In order of the last message, oldest first. */
    private readonly heads = new Map<string, PeerHead>();
    private readonly notBefore = new Map<string, Milliseconds>();
    private live: readonly ZonedPeer[] = [];

    constructor(options: PeersOptions) {
        this.options = options;
    }

    /** Takes the live nodes; heads of nodes that are gone are dropped. */
    setLive(peers: readonly ZonedPeer[]): void {
        this.live = peers.filter(peer => peer.node !== this.options.node);
        const nodes = new Set(this.live.map(peer => peer.node));
        for (const node of [...this.heads.keys()]) {
            if (!nodes.has(node)) {
                this.heads.delete(node);
                this.notBefore.delete(node);
            }
        }
    }

    /** Notes a peer's version in force. A message that was overtaken by a later one does not lower it. */
    noteHead(peer: Peer, head: ConfigurationHead): void {
        const known = this.heads.get(peer.node);
        if (known !== undefined && known.head.version > head.version) {
            return;
        }
        this.heads.delete(peer.node);
        this.heads.set(peer.node, { peer, head });
        this.dropOldest();
    }

    /** Does not ask a peer again for a while. */
    avoid(node: string): void {
        this.notBefore.set(node, this.options.clock.now() + peerRetryMs);
    }

    /** A peer with the highest version above `version` that `accepts` allows; peers that failed lately are left out. */
    chooseSource(version: number, accepts: (head: ConfigurationHead) => boolean): Peer | undefined {
        const now = this.options.clock.now();
        const sources = [...this.heads.values()]
            .filter(({ head }) => head.version > version && accepts(head))
            .filter(({ peer }) => now >= (this.notBefore.get(peer.node) ?? 0));
        const highest = sources.reduce((best, { head }) => Math.max(best, head.version), 0);
        const best = sources.filter(({ head }) => head.version === highest);
        return best.length === 0 ? undefined : best[this.options.random.nextInteger(best.length)]?.peer;
    }

    /** Random peers for an eager push, without those known to have the version. */
    choosePushTargets(version: number): readonly Peer[] {
        const { random, zone } = this.options;
        const lacking = this.live.filter(peer => (this.heads.get(peer.node)?.head.version ?? 0) < version);
        const inZone = lacking.filter(peer => peer.zone === zone);
        const elsewhere = lacking.filter(peer => peer.zone !== zone);
        return [
            ...random.shuffle(inZone).slice(0, eagerZonePeers),
            ...random.shuffle(elsewhere).slice(0, eagerOtherPeers),
        ].map(({ node, controlAddress }) => ({ node, controlAddress }));
    }

    private dropOldest(): void {
        for (const node of this.heads.keys()) {
            if (this.heads.size <= maxPeerHeads) {
                return;
            }
            this.heads.delete(node);
            this.notBefore.delete(node);
        }
    }
}
