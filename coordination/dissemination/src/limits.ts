/**
 * Times and bounds of dissemination.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";

/** Snapshots kept as bases of deltas. */
export const maxHeldSnapshots = 8;

/** Refused digests kept, so that a refused version is not fetched again. */
export const maxRefusedDigests = 64;

/** Peers whose version in force is kept; three times the fleet. */
export const maxPeerHeads = 2_048;

/** A fetch ends after this time; three tries fit into the 6 s in which a version has to be in force. */
export const fetchTimeoutMs: Milliseconds = 2_000;

/** A peer whose fetch failed is not asked again for this long. */
export const peerRetryMs: Milliseconds = 5_000;

/** Peers of the own zone that receive an eager push. */
export const eagerZonePeers = 3;

/** Peers of other zones that receive an eager push. */
export const eagerOtherPeers = 1;

/** Peers that have to be heard before a start without the store. */
export const peersForStart = 2;
