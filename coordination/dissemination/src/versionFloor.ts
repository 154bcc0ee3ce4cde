/**
 * The lowest version that a node may activate. Hosts keep no state: a new process has to get the version that its host
 * had in force from the store or from peers before its first activation.
 */
import { requiredPeersForStart } from "./limits";
import type { DisseminationInput, DisseminationInputKind } from "./messages";

type PeerHeadInput = Extract<DisseminationInput, { readonly kind: DisseminationInputKind.HeadReceived }>;

/** Why a node cannot activate its first version yet. */
export enum StartBlocker {
    None = "none",
    /** No read of the store has succeeded or failed yet. */
    StoreNotRead = "store not read",
    /** The store is unavailable, and too few peers with a version in force have replied. */
    TooFewPeers = "too few peers",
    /** The version is lower than one that the store returned, or that peers or this host had in force. */
    BelowFloor = "below floor",
}

/** Lower bounds on the version to activate, from the store and from peers. */
export class VersionFloor {
    private minVersion = 0;
    private isStoreRead = false;
    private isStoreUnavailable = false;
    private otherMembers = Number.POSITIVE_INFINITY;
    private highestInForce = 0;
    private readonly repliedPeers = new Set<string>();

    /** The lowest version that may be activated, according to the inputs so far. */
    get version(): number {
        return this.minVersion;
    }

    /** Raises the floor; a lower version has no effect. */
    raise(version: number): void {
        this.minVersion = Math.max(this.minVersion, version);
    }

    /** Records the version that a read of the store returned; no host had a higher one in force before the read. */
    recordStoreRead(version: number): void {
        this.isStoreRead = true;
        this.raise(version);
    }

    /** Records a failed read of the store. */
    recordStoreUnavailable(): void {
        this.isStoreUnavailable = true;
    }

    /** Records the number of other members in the zone's roster. */
    recordRoster(otherMembers: number): void {
        this.otherMembers = otherMembers;
    }

    /**
     * Records a peer's version in force and the version that it recorded for this host. Only a reply counts towards the
     * required peers: a request may have been written before this process started, and then lacks the last version
     * of its predecessor.
     */
    recordPeerHead({ from, head, rememberedVersion, inReply }: PeerHeadInput): void {
        this.raise(rememberedVersion);
        this.highestInForce = Math.max(this.highestInForce, head.version);
        // A peer without a version in force has just started and does not count.
        if (inReply && head.version > 0 && this.repliedPeers.size < requiredPeersForStart) {
            this.repliedPeers.add(from.node);
        }
    }

    /** The reason why a node without a version in force cannot activate a version yet. */
    blockerOf(version: number): StartBlocker {
        if (version < this.minVersion) {
            return StartBlocker.BelowFloor;
        }
        if (this.isStoreRead) {
            return StartBlocker.None;
        }
        if (!this.isStoreUnavailable) {
            return StartBlocker.StoreNotRead;
        }
        if (this.repliedPeers.size < this.requiredPeers()) {
            return StartBlocker.TooFewPeers;
        }
        return version < this.highestInForce ? StartBlocker.BelowFloor : StartBlocker.None;
    }

    private requiredPeers(): number {
        return this.otherMembers >= requiredPeersForStart ? requiredPeersForStart : 1;
    }
}
