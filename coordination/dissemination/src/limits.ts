/**
 * Timeouts and size limits of dissemination.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";

/** Maximum snapshots cached as bases of deltas. */
export const maxCachedSnapshots = 8;

/** Maximum refused digests kept, so that a refused version is not fetched again. Also limits conflicting digests. */
export const maxRefusedDigests = 64;

/** Maximum peers whose version in force is kept: three times the fleet size. */
export const maxPeerHeads = 2_048;

/** Timeout of a fetch; three attempts fit into the 6 s within which a version has to be in force. */
export const fetchTimeoutMs: Milliseconds = 2_000;

/** Backoff of a peer whose fetch failed. */
export const peerRetryDelayMs: Milliseconds = 5_000;

/** Number of peers in the zone that receive an eager push. */
export const eagerZonePeers = 3;

/** Number of peers in other zones that receive an eager push. */
export const eagerOtherZonePeers = 1;

/** Number of peers with a version in force that have to reply before a start without the store. */
export const requiredPeersForStart = 2;
