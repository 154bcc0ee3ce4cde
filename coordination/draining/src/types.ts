/**
 * States, inputs and outputs of a graceful shutdown.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";

export enum DrainingState {
    Serving = "serving",
    /** The shutdown is announced. The listener still accepts calls and responds with `connection: close`. */
    Draining = "draining",
    /** The listener is closing or closed. Calls in flight are completed. */
    Finishing = "finishing",
    Stopped = "stopped",
}

export enum DrainingInputKind {
    StopRequested = "stop-requested",
    /** The lease was handed over, or the node held none. */
    LeaseHandedOver = "lease-handed-over",
    /** The time for the announcement to propagate has passed. Peers send no acknowledgement. */
    PeersNotified = "peers-told",
    CallsInFlight = "calls-in-flight",
    /** The listener is closed and no connection is open on which a call could arrive. */
    ListenerClosed = "listener-closed",
}

export type DrainingInput =
    | { readonly kind: DrainingInputKind.StopRequested }
    | { readonly kind: DrainingInputKind.LeaseHandedOver }
    | { readonly kind: DrainingInputKind.PeersNotified }
    | { readonly kind: DrainingInputKind.CallsInFlight; readonly calls: number }
    | { readonly kind: DrainingInputKind.ListenerClosed };

export enum DrainingOutputKind {
    AnnounceDraining = "announce-draining",
    HandOverLease = "hand-over-lease",
    /** Wait for the announcement to propagate, then send `PeersNotified`. */
    NotifyPeers = "tell-peers",
    StopListening = "stop-listening",
    ReportWaiting = "report-waiting",
    Exit = "exit",
}

/** Report of what the shutdown is waiting for. */
export interface WaitingReport {
    readonly kind: DrainingOutputKind.ReportWaiting;
    /** Time since the shutdown was requested. */
    readonly elapsedMs: Milliseconds;
    /** Number of calls in flight. */
    readonly calls: number;
    /** Whether the lease has not been handed over yet. */
    readonly lease: boolean;
    /** Whether `PeersNotified` has not been received yet. */
    readonly peers: boolean;
    /** Whether the listener has not closed yet. */
    readonly listener: boolean;
}

/** An action for the drain task, or a report. */
export type DrainingOutput =
    | { readonly kind: DrainingOutputKind.AnnounceDraining }
    | { readonly kind: DrainingOutputKind.HandOverLease }
    | { readonly kind: DrainingOutputKind.NotifyPeers }
    | { readonly kind: DrainingOutputKind.StopListening }
    | WaitingReport
    | { readonly kind: DrainingOutputKind.Exit };
