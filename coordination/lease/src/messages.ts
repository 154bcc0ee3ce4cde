/**
 * Inputs and outputs of `Lease`, and the record that it keeps in the platform store.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import type { ZoneSummary } from "./summary";

/** A live node of the zone. */
export interface LeaseMember {
    readonly node: string;
    readonly controlAddress: string;
}

/** The zone's object in the store. It holds the lease, a sample of the members and the zone summary. */
export interface LeaseRecord {
    /** Node that is the zone's reader; absent after a handover. */
    readonly holder: string | undefined;
    /** Control address of the node that wrote the record. */
    readonly address: string;
    /** Increases by one with each change of holder. */
    readonly term: number;
    /** Increases with each write that the node sends, so that the holder recognizes its own writes. */
    readonly renewal: number;
    /** Random sample of live members, for nodes that join. */
    readonly members: readonly LeaseMember[];
    readonly summary: ZoneSummary;
}

export enum LeaseConditionKind {
    Absent = "absent",
    Revision = "revision",
}

/** Precondition of a write: the object does not exist, or has this revision. */
export type LeaseCondition =
    | { readonly kind: LeaseConditionKind.Absent }
    | { readonly kind: LeaseConditionKind.Revision; readonly revision: string };

export enum LeaseOutcomeKind {
    Done = "done",
    Absent = "absent",
    Conflict = "conflict",
    Unavailable = "unavailable",
    /** The write may have taken effect. */
    Unknown = "unknown",
}

export type LeaseReadOutcome =
    | {
        readonly kind: LeaseOutcomeKind.Done;
        readonly revision: string;
        /** `undefined` if the object is not a valid record. */
        readonly record: LeaseRecord | undefined;
    }
    | { readonly kind: LeaseOutcomeKind.Absent }
    | { readonly kind: LeaseOutcomeKind.Unavailable };

export type LeaseWriteOutcome =
    | { readonly kind: LeaseOutcomeKind.Done; readonly revision: string }
    | { readonly kind: LeaseOutcomeKind.Conflict }
    | { readonly kind: LeaseOutcomeKind.Unavailable }
    | { readonly kind: LeaseOutcomeKind.Unknown };

export enum LeaseInputKind {
    Tick = "tick",
    MembersChanged = "members changed",
    LeaseRead = "lease read",
    LeaseWritten = "lease written",
    Stop = "stop",
}

export type LeaseInput =
    | { readonly kind: LeaseInputKind.Tick }
    | {
        readonly kind: LeaseInputKind.MembersChanged;
        /** Live members of the zone, including this node. */
        readonly members: readonly LeaseMember[];
        readonly summary: ZoneSummary;
    }
    | { readonly kind: LeaseInputKind.LeaseRead; readonly call: number; readonly outcome: LeaseReadOutcome }
    | { readonly kind: LeaseInputKind.LeaseWritten; readonly call: number; readonly outcome: LeaseWriteOutcome }
    /** Graceful shutdown: hand the lease over. */
    | { readonly kind: LeaseInputKind.Stop };

export enum LeaseOutputKind {
    ReadLease = "read lease",
    WriteLease = "write lease",
    StartReading = "start reading",
    StopReading = "stop reading",
    Released = "released",
}

/** Why a node stops acting as the zone's reader. */
export enum StopReason {
    /** Another node holds the lease. */
    Lost = "lost",
    /** No renewal was confirmed within `leaseValidityMs`. */
    Expired = "expired",
    /** The node is shutting down gracefully. */
    HandedOver = "handed over",
}

export type LeaseOutput =
    | { readonly kind: LeaseOutputKind.ReadLease; readonly call: number; readonly timeoutMs: Milliseconds }
    | {
        readonly kind: LeaseOutputKind.WriteLease;
        readonly call: number;
        readonly condition: LeaseCondition;
        readonly record: LeaseRecord;
        readonly timeoutMs: Milliseconds;
    }
    | { readonly kind: LeaseOutputKind.StartReading; readonly term: number }
    | { readonly kind: LeaseOutputKind.StopReading; readonly reason: StopReason }
    /** The graceful shutdown no longer needs the store. */
    | { readonly kind: LeaseOutputKind.Released };
