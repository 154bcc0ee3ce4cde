/**
 * Inputs and outputs of `Dissemination`, and the types that they carry.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import type { RuleProblem } from "@bilberrycroft/state.rules";
import type {
    ConfigurationHead,
    Delta,
    DeltaOutcome,
    Snapshot,
    Verification,
    VerifiedSnapshot,
} from "@bilberrycroft/state.snapshots";

/** The functions of `@bilberrycroft/state.snapshots` that `Dissemination` uses. */
export interface SnapshotFunctions {
    readonly verifySnapshot: (snapshot: Snapshot) => Verification;
    readonly encodeDelta: (base: Snapshot, next: Snapshot) => Delta;
    readonly applyDelta: (base: Snapshot, delta: Delta) => DeltaOutcome;
}

/** A node to fetch from or push to. */
export interface Peer {
    readonly node: string;
    readonly controlAddress: string;
}

/** A live node with its zone. */
export interface ZonedPeer extends Peer {
    readonly zone: string;
}

export enum ConfigurationSourceKind {
    Store = "store",
    Peer = "peer",
}

/** Origin of a snapshot. */
export type ConfigurationSource =
    | { readonly kind: ConfigurationSourceKind.Store }
    | { readonly kind: ConfigurationSourceKind.Peer; readonly peer: Peer };

export enum FetchReplyKind {
    Delta = "delta",
    Snapshot = "snapshot",
    /** The node has no newer version in force. */
    Nothing = "nothing",
}

/** Reply to a fetch from another node. */
export type FetchReply =
    | { readonly kind: FetchReplyKind.Delta; readonly delta: Delta }
    | { readonly kind: FetchReplyKind.Snapshot; readonly snapshot: Snapshot }
    | { readonly kind: FetchReplyKind.Nothing };

export enum DisseminationInputKind {
    SnapshotReceived = "snapshot received",
    DeltaReceived = "delta received",
    HeadReceived = "head heard",
    FloorLearned = "floor learned",
    StoreUnavailable = "store unavailable",
    FetchFailed = "fetch failed",
    FetchRequested = "fetch requested",
    PeersChanged = "peers changed",
    RosterLearned = "roster learned",
    Tick = "tick",
}

/** Inputs of `Dissemination`. `call` identifies the fetch that the message replies to; pushes have none. */
export type DisseminationInput =
    | {
        readonly kind: DisseminationInputKind.SnapshotReceived;
        readonly snapshot: Snapshot;
        readonly source: ConfigurationSource;
        readonly call?: number;
    }
    | {
        readonly kind: DisseminationInputKind.DeltaReceived;
        readonly delta: Delta;
        readonly from: Peer;
        readonly call?: number;
    }
    | {
        /** A peer's version in force, and the version that it recorded for this host; 0 if none. */
        readonly kind: DisseminationInputKind.HeadReceived;
        readonly from: Peer;
        readonly head: ConfigurationHead;
        readonly rememberedVersion: number;
        /** Whether this is a reply to a call of this process, and was therefore written after its start. */
        readonly inReply: boolean;
    }
    | {
        /** A lower bound for the version to activate. From the store: the version that a read returned, 0 if none. */
        readonly kind: DisseminationInputKind.FloorLearned;
        readonly version: number;
        readonly source: ConfigurationSourceKind;
    }
    /** A read of the store failed. */
    | { readonly kind: DisseminationInputKind.StoreUnavailable }
    /** The call failed, or the peer had no newer version. */
    | { readonly kind: DisseminationInputKind.FetchFailed; readonly call: number }
    | { readonly kind: DisseminationInputKind.FetchRequested; readonly token: number; readonly baseVersion: number }
    | { readonly kind: DisseminationInputKind.PeersChanged; readonly peers: readonly ZonedPeer[] }
    /** Number of other members in the zone's roster. */
    | { readonly kind: DisseminationInputKind.RosterLearned; readonly otherMembers: number }
    | { readonly kind: DisseminationInputKind.Tick };

export enum DisseminationOutputKind {
    Activate = "activate",
    Fetch = "fetch",
    ReplyFetch = "reply fetch",
    Announce = "announce",
    ReportRefused = "report refused",
    ReportCorrupt = "report damaged",
    ReportConflict = "report conflict",
}

/** Outputs of `Dissemination`. */
export type DisseminationOutput =
    | { readonly kind: DisseminationOutputKind.Activate; readonly verified: VerifiedSnapshot }
    | {
        readonly kind: DisseminationOutputKind.Fetch;
        readonly call: number;
        readonly from: Peer;
        /** Version of the base for a delta; 0 requests a full snapshot. */
        readonly baseVersion: number;
        readonly timeoutMs: Milliseconds;
    }
    | { readonly kind: DisseminationOutputKind.ReplyFetch; readonly token: number; readonly reply: FetchReply }
    | {
        readonly kind: DisseminationOutputKind.Announce;
        readonly head: ConfigurationHead;
        /** Delta from the previous version in force; `undefined` if there was none. */
        readonly delta: Delta | undefined;
        readonly to: readonly Peer[];
    }
    | {
        readonly kind: DisseminationOutputKind.ReportRefused;
        readonly version: number;
        readonly digest: string;
        readonly problems: readonly RuleProblem[];
    }
    /** A snapshot, received or built from a delta, did not match its digest; the version itself is not refused. */
    | {
        readonly kind: DisseminationOutputKind.ReportCorrupt;
        readonly version: number;
        readonly from: Peer | undefined;
    }
    | {
        /** Two different digests have the same version number. */
        readonly kind: DisseminationOutputKind.ReportConflict;
        readonly version: number;
        readonly heldDigest: string;
        readonly otherDigest: string;
        readonly from: Peer | undefined;
    };
