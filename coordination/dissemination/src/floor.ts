/**
 * The lowest version that a node may activate. Hosts keep no state: a new process does not know what its host had in
 * force, and learns it from the store or from peers before it serves anything.
 */
import { peersForStart } from "./limits";
import type { DisseminationInput, DisseminationInputKind } from "./messages";

type HeardHead = Extract<DisseminationInput, { readonly kind: DisseminationInputKind.HeadHeard }>;

/** Why a node can not activate its first version yet. */
export enum StartBlocker {
    None = "none",
    /** The store was not read, and was not found unavailable either. */
    StoreNotRead = "store not read",
    /** The store is unavailable and too few peers with a version in force were heard. */
    TooFewPeers = "too few peers",
    /** The version is older than what the store, the peers or this host have had in force. */
    BelowFloor = "below floor",
}

/** What a node knows of versions that it may not fall below. */
export class Floor {
    private lowest = 0;
    private storeWasRead = false;
    private storeIsUnavailable = false;
    private otherMembers = Number.POSITIVE_INFINITY;
    private highestInForce = 0;
    private readonly heardPeers = new Set<string>();

    /** The lowest version that may be activated, as far as known. */
    get version(): number {
        return this.lowest;
    }

    /** Raises the floor. */
    raise(version: number): void {
        this.lowest = Math.max(this.lowest, version);
    }

    /** A read of the store returned this version; whatever was in force anywhere before is not higher. */
    noteStoreRead(version: number): void {
        this.storeWasRead = true;
        this.raise(version);
    }

    /** A read of the store failed. */
    noteStoreUnavailable(): void {
        this.storeIsUnavailable = true;
    }

    /** The roster of the zone lists this many other members. */
    noteRoster(otherMembers: number): void {
        this.otherMembers = otherMembers;
    }

    /**
     * A peer told its version in force and what it remembers for this host. Only a reply counts as heard: a request can
     * have been written before this process started, and then lacks what its predecessor had in force last.
     */
    notePeer({ from, head, rememberedVersion, inReply }: HeardHead): void {
        this.raise(rememberedVersion);
        this.highestInForce = Math.max(this.highestInForce, head.version);
        // A peer without a version in force has just started itself and vouches for nothing.
        if (inReply && head.version > 0 && this.heardPeers.size < peersForStart) {
            this.heardPeers.add(from.node);
        }
    }

    /** What keeps a node that serves nothing yet from activating a version. */
    blockerOf(version: number): StartBlocker {
        if (version < this.lowest) {
            return StartBlocker.BelowFloor;
        }
        if (this.storeWasRead) {
            return StartBlocker.None;
        }
        if (!this.storeIsUnavailable) {
            return StartBlocker.StoreNotRead;
        }
        if (this.heardPeers.size < this.requiredPeers()) {
            return StartBlocker.TooFewPeers;
        }
        return version < this.highestInForce ? StartBlocker.BelowFloor : StartBlocker.None;
    }

    private requiredPeers(): number {
        return this.otherMembers >= peersForStart ? peersForStart : 1;
    }
}
