/**
 * Messages between nodes beside those of membership, and what operators read from a node.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import type { OwnedOutcomeKind, RecordedResponse } from "@bilberrycroft/coordination.idempotency";
import type { Entry } from "@bilberrycroft/coordination.membership";
import type { ConfigurationHead, Delta, Snapshot } from "@bilberrycroft/state.snapshots";

/** Kinds of `ConfigurationUpdate`. */
export enum ConfigurationUpdateKind {
    Delta = "delta",
    Snapshot = "snapshot",
    /** The sender has nothing newer than the receiver asked for. */
    Nothing = "nothing",
}

/** A newer version of the configuration. */
export type ConfigurationUpdate =
    | { readonly kind: ConfigurationUpdateKind.Delta; readonly delta: Delta }
    | { readonly kind: ConfigurationUpdateKind.Snapshot; readonly snapshot: Snapshot }
    | { readonly kind: ConfigurationUpdateKind.Nothing };

/** A version pushed by a node that just activated it. */
export interface ConfigurationPush {
    /** Control address of the sender, for a fetch when the delta's base is missing. */
    readonly controlAddress: string;
    readonly node: string;
    readonly update: ConfigurationUpdate;
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
