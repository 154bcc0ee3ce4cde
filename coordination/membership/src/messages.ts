/**
 * Messages of membership: data exchanged between nodes, and the inputs and outputs of `Membership`.
 */
import type { QuarantineReport } from "@bilberrycroft/coordination.quarantine";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import type { Entry, ReportedRefusal, Target, TargetState } from "./types";

/** Version and digest in force on a node; 0 and empty before the first activation. */
export interface Head {
    readonly version: number;
    readonly digest: string;
}

/** The node that sent a message. */
export interface Sender {
    readonly node: string;
    readonly host: string;
    readonly zone: string;
    readonly controlAddress: string;
}

/** Digest over the live entries of one zone. */
export interface ZoneDigest {
    readonly zone: string;
    readonly digest: string;
}

/** Suspected failure of a node, at one revision of its entry. */
export interface Suspicion {
    readonly node: string;
    readonly revision: number;
    /** Nodes whose call to the suspect failed. */
    readonly observers: readonly string[];
    /** Nodes that are requested to probe the suspect. */
    readonly confirmers: readonly string[];
}

/** Reports that only the version in force of an entry has changed since an earlier revision. */
export interface RevisionReport {
    readonly node: string;
    /** Revision of the last change to anything but the version in force. */
    readonly since: number;
    readonly revision: number;
}

/**
 * Nodes that have the same version in force. Sent instead of full entries, which are too large to send for every node
 * after each configuration change.
 */
export interface VersionReport {
    readonly version: number;
    readonly digest: string;
    readonly nodes: readonly RevisionReport[];
}

/** Request and reply of an exchange. */
export interface Exchange {
    readonly from: Sender;
    readonly head: Head;
    readonly digests: readonly ZoneDigest[];
    readonly updates: readonly Entry[];
    readonly versions: readonly VersionReport[];
    readonly suspicions: readonly Suspicion[];
    readonly crashReports: readonly QuarantineReport[];
    /** Zones that the sender cannot reach; only evaluated within the sender's zone. */
    readonly unreachableZones: readonly string[];
    /** Highest version that the sender recorded for the receiver's host; 0 if none. */
    readonly rememberedVersion: number;
    /** The sender's table has no entry of the receiver. */
    readonly receiverUnknown: boolean;
}

/** An entry of an ended process, with the time since its end as recorded by the sender. */
export interface EndedEntry {
    readonly entry: Entry;
    readonly endedForMs: Milliseconds;
}

/** Version that a host had in force, recorded `ageMs` ago. */
export interface RememberedVersion {
    readonly host: string;
    readonly version: number;
    readonly ageMs: Milliseconds;
}

/** A copy of a table or of one zone of it. */
export interface TableCopy {
    readonly from: Sender;
    readonly head: Head;
    readonly entries: readonly Entry[];
    readonly ended: readonly EndedEntry[];
    readonly remembered: readonly RememberedVersion[];
    /** Highest version that the sender recorded for the receiver's host; 0 if none. */
    readonly rememberedVersion: number;
    /** Whether the sender has finished joining. */
    readonly complete: boolean;
}

export enum JoinReplyKind {
    Joined = "joined",
    Busy = "busy",
}

/** Response to a join. */
export type JoinReply =
    | { readonly kind: JoinReplyKind.Joined; readonly table: TableCopy }
    | {
        readonly kind: JoinReplyKind.Busy;
        /** Control address of another member to join through. */
        readonly other: string | undefined;
        readonly retryAfterMs: Milliseconds;
    };

/** A member that a node can join through. */
export interface KnownMember {
    readonly controlAddress: string;
    /** `undefined` if only the address is configured. */
    readonly zone: string | undefined;
}

/** Announcement that a target sends to the node on its host. */
export interface Announcement {
    readonly id: string;
    readonly service: string;
    readonly address: string;
    readonly state: TargetState;
    readonly slots: number;
    readonly connections: number;
}

export enum MembershipInputKind {
    Start = "start",
    Tick = "tick",
    RosterRead = "roster read",
    RosterUnavailable = "roster unavailable",
    JoinRequested = "join requested",
    JoinReplied = "join replied",
    JoinFailed = "join failed",
    ExchangeRequested = "exchange requested",
    ExchangeReplied = "exchange replied",
    ExchangeFailed = "exchange failed",
    ZoneRequested = "zone requested",
    ZoneReplied = "zone replied",
    ZoneFailed = "zone failed",
    TargetAnnounced = "target announced",
    VersionActivated = "version activated",
    VersionRefused = "version refused",
    CrashReported = "crash reported",
    ZonesDiscovered = "zones discovered",
    PushRequested = "push requested",
    Drain = "drain",
    Leave = "leave",
}

/** Inputs of `Membership`. `call` identifies a call of this node, `token` a request that this node replies to. */
export type MembershipInput =
    | { readonly kind: MembershipInputKind.Start }
    | { readonly kind: MembershipInputKind.Tick }
    | { readonly kind: MembershipInputKind.RosterRead; readonly members: readonly KnownMember[] }
    | { readonly kind: MembershipInputKind.RosterUnavailable }
    | { readonly kind: MembershipInputKind.JoinRequested; readonly token: number; readonly entry: Entry }
    | { readonly kind: MembershipInputKind.JoinReplied; readonly call: number; readonly reply: JoinReply }
    | { readonly kind: MembershipInputKind.JoinFailed; readonly call: number }
    | { readonly kind: MembershipInputKind.ExchangeRequested; readonly token: number; readonly exchange: Exchange }
    | { readonly kind: MembershipInputKind.ExchangeReplied; readonly call: number; readonly exchange: Exchange }
    | { readonly kind: MembershipInputKind.ExchangeFailed; readonly call: number }
    | { readonly kind: MembershipInputKind.ZoneRequested; readonly token: number; readonly zone: string }
    | { readonly kind: MembershipInputKind.ZoneReplied; readonly call: number; readonly table: TableCopy }
    | { readonly kind: MembershipInputKind.ZoneFailed; readonly call: number }
    | { readonly kind: MembershipInputKind.TargetAnnounced; readonly announcement: Announcement }
    | { readonly kind: MembershipInputKind.VersionActivated; readonly head: Head }
    | { readonly kind: MembershipInputKind.VersionRefused; readonly refusal: ReportedRefusal }
    | { readonly kind: MembershipInputKind.CrashReported; readonly reports: readonly QuarantineReport[] }
    /** Members of other zones, as the store lists them. */
    | { readonly kind: MembershipInputKind.ZonesDiscovered; readonly members: readonly KnownMember[] }
    /** Starts an exchange with one node immediately, for example to send an eager push. */
    | { readonly kind: MembershipInputKind.PushRequested; readonly node: string }
    /** A graceful shutdown begins: the local targets become Draining. */
    | { readonly kind: MembershipInputKind.Drain }
    /** A graceful shutdown ends: the node leaves the table. */
    | { readonly kind: MembershipInputKind.Leave };

export enum MembershipOutputKind {
    ReadRoster = "read roster",
    SendJoin = "send join",
    ReplyJoin = "reply join",
    SendExchange = "send exchange",
    ReplyExchange = "reply exchange",
    PullZone = "pull zone",
    ReplyZone = "reply zone",
    TableChanged = "table changed",
    TargetChanged = "target changed",
    ZoneReachabilityChanged = "zone reachability changed",
    HeadReceived = "head heard",
    CrashReportsReceived = "crash reports heard",
    JoinFinished = "join finished",
    Superseded = "superseded",
}

/** Outputs of `Membership`. A call that gets no reply within `timeoutMs` is reported by its `...Failed` input. */
export type MembershipOutput =
    | { readonly kind: MembershipOutputKind.ReadRoster }
    | {
        readonly kind: MembershipOutputKind.SendJoin;
        readonly call: number;
        readonly to: string;
        readonly entry: Entry;
        readonly timeoutMs: Milliseconds;
    }
    | { readonly kind: MembershipOutputKind.ReplyJoin; readonly token: number; readonly reply: JoinReply }
    | {
        readonly kind: MembershipOutputKind.SendExchange;
        readonly call: number;
        readonly node: string;
        readonly to: string;
        readonly exchange: Exchange;
        readonly timeoutMs: Milliseconds;
    }
    | { readonly kind: MembershipOutputKind.ReplyExchange; readonly token: number; readonly exchange: Exchange }
    | {
        readonly kind: MembershipOutputKind.PullZone;
        readonly call: number;
        readonly to: string;
        readonly zone: string;
        readonly timeoutMs: Milliseconds;
    }
    | { readonly kind: MembershipOutputKind.ReplyZone; readonly token: number; readonly table: TableCopy }
    | { readonly kind: MembershipOutputKind.TableChanged; readonly entries: readonly Entry[] }
    /** The state of a local target changed. */
    | { readonly kind: MembershipOutputKind.TargetChanged; readonly target: Target }
    | {
        readonly kind: MembershipOutputKind.ZoneReachabilityChanged;
        readonly zone: string;
        readonly reachable: boolean;
    }
    | {
        readonly kind: MembershipOutputKind.HeadReceived;
        readonly from: string;
        readonly controlAddress: string;
        readonly head: Head;
        /** Highest version that the peer or this node recorded for this node's host. */
        readonly rememberedVersion: number;
        /** Whether this is a reply to a call of this process, and was therefore written after its start. */
        readonly inReply: boolean;
    }
    | { readonly kind: MembershipOutputKind.CrashReportsReceived; readonly reports: readonly QuarantineReport[] }
    | { readonly kind: MembershipOutputKind.JoinFinished; readonly peers: number }
    /** A newer process, the node `by`, runs on the same host; this one should stop. */
    | { readonly kind: MembershipOutputKind.Superseded; readonly by: string };
