/**
 * Messages between nodes beside those of membership, and what operators read from a node.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import type { Peer } from "@bilberrycroft/coordination.dissemination";
import type { OwnedOutcomeKind, RecordedResponse } from "@bilberrycroft/coordination.idempotency";
import type { Entry } from "@bilberrycroft/coordination.membership";
import type { ConfigurationHead, Delta } from "@bilberrycroft/state.snapshots";

/** A version that the sender has just activated. */
export interface ConfigurationPush {
    readonly from: Peer;
    readonly head: ConfigurationHead;
    /** From the version that the sender had before; absent if it had none, or if the delta is as large as the text. */
    readonly delta?: Delta;
}

/** What the node that claimed a key knows of its call, with the response in the form of the record. */
export type ClaimAnswer =
    | { readonly kind: OwnedOutcomeKind.Ran; readonly response: RecordedResponse }
    | { readonly kind: Exclude<OwnedOutcomeKind, OwnedOutcomeKind.Ran> };

/** One entry of a node's membership table. */
export interface MemberReport {
    readonly entry: Entry;
    /** Time since the entry was heard. Entries of idle nodes are not repeated, so a high age alone is no fault. */
    readonly ageMs: Milliseconds;
    /** The entry's zone does not respond to the reporting node. */
    readonly zoneUnreachable: boolean;
}

/** What one node knows of the fleet. */
export interface StatusReport {
    readonly node: string;
    readonly zone: string;
    /** Version in force; 0 before the first. */
    readonly version: number;
    /** Digest of the version in force; empty before the first. */
    readonly digest: string;
    /** Highest accepted version that the node has heard of. */
    readonly heardHead: ConfigurationHead | undefined;
    /** Why the node serves no calls; `undefined` if it serves. */
    readonly notServing: string | undefined;
    /** Whether the node's last call to the store was answered. */
    readonly storeReachable: boolean;
    /** The whole membership table, the node's own entry included. */
    readonly members: readonly MemberReport[];
}

/** Result of asking a node to stop. */
export interface DrainReport {
    readonly node: string;
    /** State of the node's stop. */
    readonly state: string;
}
