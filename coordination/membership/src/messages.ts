/**
 * Messages of membership: plain data that travels between nodes, and the inputs and outputs of the decision.
 */
import type { QuarantineReport } from "@bilberrycroft/coordination.quarantine";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import type { Entry, ReportedRefusal, Target, TargetState } from "./types";

/** Version and digest in force on a node; version 0 and an empty digest before the first. */
export interface Head {
    readonly version: number;
    readonly digest: string;
}

/** The node that wrote a message. */
export interface Sender {
    readonly node: string;
    readonly host: string;
    readonly zone: string;
    readonly controlAddress: string;
}

/** Digest over the entries of one zone that have not ended. */
export interface ZoneDigest {
    readonly zone: string;
    readonly digest: string;
}

/** Doubt about one revision of a node's entry. */
export interface Suspicion {
    readonly node: string;
    readonly revision: number;
    /** Nodes whose own call to the suspect failed. */
    readonly observers: readonly string[];
    /** Nodes asked to call the suspect. */
    readonly confirmers: readonly string[];
}

/** Says that an entry differs from its content at an earlier revision only in the version in force. */
export interface RevisionReport {
    readonly node: string;
    /** Revision of the last change to anything else. */
    readonly since: number;
    readonly revision: number;
}

/** Nodes that have one version in force. A configuration change alters every entry, and whole entries cost too much. */
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
    /** Zones that the sender can not reach; only read within the sender's zone. */
    readonly unreachableZones: readonly string[];
    /** Highest version that the sender remembers for the receiver's host; 0 if none. */
    readonly rememberedVersion: number;
    /** The sender does not hold the receiver's entry. */
    readonly receiverUnknown: boolean;
}

/** An entry whose process is gone, with the time since the sender learned it. */
export interface EndedEntry {
    readonly entry: Entry;
    readonly endedForMs: Milliseconds;
}

/** Version that a host had in force under an earlier process. */
export interface RememberedVersion {
    readonly host: string;
    readonly version: number;
    readonly ageMs: Milliseconds;
}

/** A table, or one zone of it. */
export interface TableCopy {
    readonly from: Sender;
    readonly head: Head;
    readonly entries: readonly Entry[];
    readonly ended: readonly EndedEntry[];
    readonly remembered: readonly RememberedVersion[];
    /** Highest version that the sender remembers for the receiver's host; 0 if none. */
    readonly rememberedVersion: number;
    /** Whether the sender itself has finished joining. */
    readonly complete: boolean;
}

/** Kinds of `JoinReply`. */
export enum JoinReplyKind {
    Joined = "joined",
    Busy = "busy",
}

/** Response to a join. */
export type JoinReply =
    | { readonly kind: JoinReplyKind.Joined; readonly table: TableCopy }
    | {
        readonly kind: JoinReplyKind.Busy;
        /** Control address of another member. */
        readonly other: string | undefined;
        readonly retryAfterMs: Milliseconds;
    };

/** A member that a joining node may ask. */
export interface KnownMember {
    readonly controlAddress: string;
    /** Absent if only the address is configured. */
    readonly zone: string | undefined;
}

/** What a target says of itself in an announcement. */
export interface Announcement {
    readonly id: string;
    readonly service: string;
    readonly address: string;
    readonly state: TargetState;
    readonly slots: number;
    readonly connections: number;
}

/** Kinds of `MembershipInput`. */
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

/** Messages that membership takes. `call` is a call of this node, `token` one that this node has to reply to. */
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
    /** Asks for an exchange with one node now, for example to carry an eager push. */
    | { readonly kind: MembershipInputKind.PushRequested; readonly node: string }
    /** Planned stop begins: own targets become Draining. */
    | { readonly kind: MembershipInputKind.Drain }
    /** Planned stop ends: the node leaves the table. */
    | { readonly kind: MembershipInputKind.Leave };

/** Kinds of `MembershipOutput`. */
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
    HeadHeard = "head heard",
    CrashReportsHeard = "crash reports heard",
    JoinFinished = "join finished",
    Superseded = "superseded",
}

/** Messages that membership gives. Calls end after `timeoutMs` with the input that reports their failure. */
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
    /** State of an own target changed. */
    | { readonly kind: MembershipOutputKind.TargetChanged; readonly target: Target }
    | {
        readonly kind: MembershipOutputKind.ZoneReachabilityChanged;
        readonly zone: string;
        readonly reachable: boolean;
    }
    | {
        readonly kind: MembershipOutputKind.HeadHeard;
        readonly from: string;
        readonly controlAddress: string;
        readonly head: Head;
        /** Version that the peer remembers for this node's host. */
        readonly rememberedVersion: number;
        /** Whether the peer wrote this in reply to a call of this process, and therefore after its start. */
        readonly inReply: boolean;
    }
    | { readonly kind: MembershipOutputKind.CrashReportsHeard; readonly reports: readonly QuarantineReport[] }
    | { readonly kind: MembershipOutputKind.JoinFinished; readonly peers: number }
    /** A later process of the same host took over the host's entry; this one should stop. */
    | { readonly kind: MembershipOutputKind.Superseded; readonly by: string };
