/**
 * Messages of a planned stop.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";

/** States of a node's stop. */
export enum DrainingState {
    Serving = "serving",
    /** The stop is announced; the listener still takes calls and responds with `connection: close`. */
    Draining = "draining",
    /** The listener is closed; calls in flight are completed. */
    Finishing = "finishing",
    Stopped = "stopped",
}

/** Kinds of `DrainingMessage`. */
export enum DrainingMessageKind {
    StopRequested = "stop-requested",
    /** The lease was handed over, or the node held none. */
    LeaseHandedOver = "lease-handed-over",
    /** Peers acknowledged the announcement, or there are none. */
    PeersTold = "peers-told",
    /** The number of calls in flight changed. */
    CallsInFlight = "calls-in-flight",
    /** The listener is closed and no connection is open that could bring a call. */
    ListenerClosed = "listener-closed",
}

/** What the tasks observe. */
export type DrainingMessage =
    | { readonly kind: DrainingMessageKind.StopRequested }
    | { readonly kind: DrainingMessageKind.LeaseHandedOver }
    | { readonly kind: DrainingMessageKind.PeersTold }
    | { readonly kind: DrainingMessageKind.CallsInFlight; readonly calls: number }
    | { readonly kind: DrainingMessageKind.ListenerClosed };

/** Kinds of `DrainingOutput`. */
export enum DrainingOutputKind {
    AnnounceDraining = "announce-draining",
    HandOverLease = "hand-over-lease",
    TellPeers = "tell-peers",
    StopListening = "stop-listening",
    ReportWaiting = "report-waiting",
    Exit = "exit",
}

/** What a stop waits for. */
export interface WaitingReport {
    readonly kind: DrainingOutputKind.ReportWaiting;
    /** Time since the stop was requested. */
    readonly elapsedMs: Milliseconds;
    /** Calls in flight. */
    readonly calls: number;
    /** The lease has not been handed over. */
    readonly lease: boolean;
    /** Peers have not acknowledged the announcement. */
    readonly peers: boolean;
    /** The listener has not closed. */
    readonly listener: boolean;
}

/** What the tasks have to do. */
export type DrainingOutput =
    | { readonly kind: DrainingOutputKind.AnnounceDraining }
    | { readonly kind: DrainingOutputKind.HandOverLease }
    | { readonly kind: DrainingOutputKind.TellPeers }
    | { readonly kind: DrainingOutputKind.StopListening }
    | WaitingReport
    | { readonly kind: DrainingOutputKind.Exit };
