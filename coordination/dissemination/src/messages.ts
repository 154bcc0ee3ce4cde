/**
 * Messages of dissemination.
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

/** The functions of `@bilberrycroft/state.snapshots` that the decision uses. */
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

/** A live node as membership lists it. */
export interface ZonedPeer extends Peer {
    readonly zone: string;
}

/** Kinds of `ConfigurationSource`. */
export enum ConfigurationSourceKind {
    Store = "store",
    Peer = "peer",
}

/** Where a snapshot or a floor comes from. */
export type ConfigurationSource =
    | { readonly kind: ConfigurationSourceKind.Store }
    | { readonly kind: ConfigurationSourceKind.Peer; readonly peer: Peer };

/** Kinds of `FetchReply`. */
export enum FetchReplyKind {
    Delta = "delta",
    Snapshot = "snapshot",
    /** The node has nothing newer in force. */
    Nothing = "nothing",
}

/** Response to a fetch of another node. */
export type FetchReply =
    | { readonly kind: FetchReplyKind.Delta; readonly delta: Delta }
    | { readonly kind: FetchReplyKind.Snapshot; readonly snapshot: Snapshot }
    | { readonly kind: FetchReplyKind.Nothing };

/** Kinds of `DisseminationInput`. */
export enum DisseminationInputKind {
    SnapshotReceived = "snapshot received",
    DeltaReceived = "delta received",
    HeadHeard = "head heard",
    FloorLearned = "floor learned",
    StoreUnavailable = "store unavailable",
    FetchFailed = "fetch failed",
    FetchRequested = "fetch requested",
    PeersChanged = "peers changed",
    RosterLearned = "roster learned",
    Tick = "tick",
}

/** Messages that dissemination takes. `call` names the fetch that a message ends; pushes have none. */
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
        /** What a peer has in force, and the version that it remembers for this host; 0 stands for none. */
        readonly kind: DisseminationInputKind.HeadHeard;
        readonly from: Peer;
        readonly head: ConfigurationHead;
        readonly rememberedVersion: number;
        /** Whether the message replies to a call of this process, and was therefore written after its start. */
        readonly inReply: boolean;
    }
    | {
        /** From the store: the version that a read returned, 0 if there is none yet. */
        readonly kind: DisseminationInputKind.FloorLearned;
        readonly version: number;
        readonly source: ConfigurationSourceKind;
    }
    /** A read of the store failed. */
    | { readonly kind: DisseminationInputKind.StoreUnavailable }
    /** The call failed, or the peer had nothing newer. */
    | { readonly kind: DisseminationInputKind.FetchFailed; readonly call: number }
    | { readonly kind: DisseminationInputKind.FetchRequested; readonly token: number; readonly baseVersion: number }
    | { readonly kind: DisseminationInputKind.PeersChanged; readonly peers: readonly ZonedPeer[] }
    /** How many other members the zone's roster lists. */
    | { readonly kind: DisseminationInputKind.RosterLearned; readonly otherMembers: number }
    | { readonly kind: DisseminationInputKind.Tick };

/** Kinds of `DisseminationOutput`. */
export enum DisseminationOutputKind {
    Activate = "activate",
    Fetch = "fetch",
    ReplyFetch = "reply fetch",
    Announce = "announce",
    ReportRefused = "report refused",
    ReportDamaged = "report damaged",
    ReportConflict = "report conflict",
}

/** Messages that dissemination gives. */
export type DisseminationOutput =
    | { readonly kind: DisseminationOutputKind.Activate; readonly verified: VerifiedSnapshot }
    | {
        readonly kind: DisseminationOutputKind.Fetch;
        readonly call: number;
        readonly from: Peer;
        /** 0 asks for a whole snapshot. */
        readonly baseVersion: number;
        readonly timeoutMs: Milliseconds;
    }
    | { readonly kind: DisseminationOutputKind.ReplyFetch; readonly token: number; readonly reply: FetchReply }
    | {
        readonly kind: DisseminationOutputKind.Announce;
        readonly head: ConfigurationHead;
        /** From the version that was in force before; absent if there was none. */
        readonly delta: Delta | undefined;
        readonly to: readonly Peer[];
    }
    | {
        readonly kind: DisseminationOutputKind.ReportRefused;
        readonly version: number;
        readonly digest: string;
        readonly problems: readonly RuleProblem[];
    }
    /** A snapshot or delta did not match its own digest; says nothing about the version. */
    | {
        readonly kind: DisseminationOutputKind.ReportDamaged;
        readonly version: number;
        readonly from: Peer | undefined;
    }
    | {
        /** Two digests under one version number. */
        readonly kind: DisseminationOutputKind.ReportConflict;
        readonly version: number;
        readonly heldDigest: string;
        readonly otherDigest: string;
        readonly from: Peer | undefined;
    };
