/**
 * Control messages between nodes other than membership, and the reports that operators read from a node.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import type { Peer } from "@bilberrycroft/coordination.dissemination";
import type { AttemptOutcomeKind, RecordedResponse } from "@bilberrycroft/coordination.idempotency";
import type { Entry } from "@bilberrycroft/coordination.membership";
import type { ConfigurationHead, Delta } from "@bilberrycroft/state.snapshots";

/** Announces a version that the sender has just activated. */
export interface ConfigurationPush {
    readonly from: Peer;
    readonly head: ConfigurationHead;
    /** Delta from the sender's previous version; absent if there was none or the delta is not smaller than the text. */
    readonly delta?: Delta;
}

/** Outcome of a call according to the node that claimed its idempotency key, with the recorded response if it ran. */
export type ClaimReply =
    | { readonly kind: AttemptOutcomeKind.Ran; readonly response: RecordedResponse }
    | { readonly kind: Exclude<AttemptOutcomeKind, AttemptOutcomeKind.Ran> };

/** One entry of a membership table. */
export interface MemberReport {
    readonly entry: Entry;
    /** Time since the entry was last received. Unchanged entries are not resent, so a high age alone is not a fault. */
    readonly ageMs: Milliseconds;
    /** Whether the reporting node receives no responses from the entry's zone. */
    readonly zoneUnreachable: boolean;
}

/** Status of a node and its view of the fleet. */
export interface StatusReport {
    readonly node: string;
    readonly zone: string;
    /** Active version; 0 before the first. */
    readonly version: number;
    /** Digest of the active version; empty before the first. */
    readonly digest: string;
    /** Highest accepted version that the node has or that a peer has reported. */
    readonly heardHead: ConfigurationHead | undefined;
    /** Reason why the node serves no calls; `undefined` if it does. */
    readonly notServing: string | undefined;
    /** Whether the store responded to the node's last call. */
    readonly storeReachable: boolean;
    /** The full membership table, including the entry of the node itself. */
    readonly members: readonly MemberReport[];
}

/** Result of a drain request. */
export interface DrainReport {
    readonly node: string;
    /** Shutdown state of the node. */
    readonly state: string;
}
