/**
 * Messages of the lease decision and the record that it keeps in the platform store.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import type { ZoneSummary } from "./summary";

/** A live node of the zone. */
export interface LeaseMember {
    readonly node: string;
    readonly controlAddress: string;
}

/** The zone's object in the store: lease, roster and summary in one. */
export interface LeaseRecord {
    /** Node that reads for the zone; absent after a handover. */
    readonly holder: string | undefined;
    /** Control address of the node that wrote the record. */
    readonly address: string;
    /** Rises by one with each change of holder. */
    readonly term: number;
    /** Rises with each attempt to write within a term, so that the holder recognizes its own write. */
    readonly renewal: number;
    /** Sample of live members, for nodes that join. */
    readonly members: readonly LeaseMember[];
    readonly summary: ZoneSummary;
}

/** Kinds of `LeaseCondition`. */
export enum LeaseConditionKind {
    Absent = "absent",
    Revision = "revision",
}

/** Condition of a write. */
export type LeaseCondition =
    | { readonly kind: LeaseConditionKind.Absent }
    | { readonly kind: LeaseConditionKind.Revision; readonly revision: string };

/** Kinds of store outcomes. */
export enum LeaseOutcomeKind {
    Done = "done",
    Absent = "absent",
    Conflict = "conflict",
    Unavailable = "unavailable",
    /** The write may have taken effect. */
    Unknown = "unknown",
}

/** Result of a read. */
export type LeaseReadOutcome =
    | {
        readonly kind: LeaseOutcomeKind.Done;
        readonly revision: string;
        /** Absent if the object does not hold a valid record. */
        readonly record: LeaseRecord | undefined;
    }
    | { readonly kind: LeaseOutcomeKind.Absent }
    | { readonly kind: LeaseOutcomeKind.Unavailable };

/** Result of a write. */
export type LeaseWriteOutcome =
    | { readonly kind: LeaseOutcomeKind.Done; readonly revision: string }
    | { readonly kind: LeaseOutcomeKind.Conflict }
    | { readonly kind: LeaseOutcomeKind.Unavailable }
    | { readonly kind: LeaseOutcomeKind.Unknown };

/** Kinds of `LeaseInput`. */
export enum LeaseInputKind {
    Tick = "tick",
    MembersChanged = "members changed",
    LeaseRead = "lease read",
    LeaseWritten = "lease written",
    Stop = "stop",
}

/** Messages that the decision takes. */
export type LeaseInput =
    | { readonly kind: LeaseInputKind.Tick }
    | {
        readonly kind: LeaseInputKind.MembersChanged;
        /** Live members of the zone, this node included. */
        readonly members: readonly LeaseMember[];
        readonly summary: ZoneSummary;
    }
    | { readonly kind: LeaseInputKind.LeaseRead; readonly call: number; readonly outcome: LeaseReadOutcome }
    | { readonly kind: LeaseInputKind.LeaseWritten; readonly call: number; readonly outcome: LeaseWriteOutcome }
    /** Planned stop: hand the lease over. */
    | { readonly kind: LeaseInputKind.Stop };

/** Kinds of `LeaseOutput`. */
export enum LeaseOutputKind {
    ReadLease = "read lease",
    WriteLease = "write lease",
    StartReading = "start reading",
    StopReading = "stop reading",
    Released = "released",
}

/** Why a node stops to act as zone reader. */
export enum StopReason {
    /** Another node holds the lease. */
    Lost = "lost",
    /** No renewal was confirmed in time. */
    Expired = "expired",
    /** The lease was handed over for a planned stop. */
    HandedOver = "handed over",
}

/** Messages that the decision gives. */
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
    /** The planned stop no longer needs the store. */
    | { readonly kind: LeaseOutputKind.Released };
