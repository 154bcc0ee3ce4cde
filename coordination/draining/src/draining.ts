/**
 * Decides the steps of a planned stop. It ends when the last call in flight has ended; peers and the store are given a
 * bounded time, calls are not.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import { assertNever } from "@bilberrycroft/core.errors";
import {
    type DrainingMessage,
    DrainingMessageKind,
    type DrainingOutput,
    DrainingOutputKind,
    DrainingState,
    type WaitingReport,
} from "./types";

/** What `Draining` is created from. */
export interface DrainingOptions {
    readonly clock: Clock;
}

/** Longest time that the announcement takes to reach every node. Until then callers still choose this node. */
export const announcementSpreadMs: Milliseconds = 3_000;
/** Longest wait for the store to take the lease and for peers to acknowledge. */
export const acknowledgementTimeoutMs: Milliseconds = 5_000;
/** A stop that takes longer reports what it waits for. */
export const firstReportMs: Milliseconds = 30_000;
/** Time between reports. */
export const reportIntervalMs: Milliseconds = 5_000;

/** The stop of one node. */
export class Draining {
    private readonly clock: Clock;
    private currentState = DrainingState.Serving;
    private requestedAt: Milliseconds = 0;
    private nextReportAt: Milliseconds = 0;
    private calls = 0;
    private leaseHandedOver = false;
    private peersTold = false;
    private listenerClosed = false;

    constructor(options: DrainingOptions) {
        this.clock = options.clock;
    }

    /** State of the stop. */
    get state(): DrainingState {
        return this.currentState;
    }

    /** Takes in what the tasks observe. */
    receive(message: DrainingMessage): readonly DrainingOutput[] {
        switch (message.kind) {
            case DrainingMessageKind.StopRequested:
                return this.currentState === DrainingState.Serving ? this.start() : [];
            case DrainingMessageKind.LeaseHandedOver:
                this.leaseHandedOver = true;
                break;
            case DrainingMessageKind.PeersTold:
                this.peersTold = true;
                break;
            case DrainingMessageKind.CallsInFlight:
                this.calls = message.calls;
                break;
            case DrainingMessageKind.ListenerClosed:
                this.listenerClosed = true;
                break;
            default:
                return assertNever(message);
        }
        return this.advance();
    }

    /** Takes in that time has passed. */
    tick(): readonly DrainingOutput[] {
        return [...this.advance(), ...this.reportIfDue()];
    }

    private start(): readonly DrainingOutput[] {
        this.currentState = DrainingState.Draining;
        this.requestedAt = this.clock.now();
        this.nextReportAt = this.requestedAt + firstReportMs;
        return [
            { kind: DrainingOutputKind.AnnounceDraining },
            { kind: DrainingOutputKind.HandOverLease },
            { kind: DrainingOutputKind.TellPeers },
        ];
    }

    private advance(): readonly DrainingOutput[] {
        const outputs: DrainingOutput[] = [];
        if (this.currentState === DrainingState.Draining && this.announcementIsOver()) {
            this.currentState = DrainingState.Finishing;
            outputs.push({ kind: DrainingOutputKind.StopListening });
        }
        if (this.currentState === DrainingState.Finishing && this.listenerClosed && this.calls === 0) {
            this.currentState = DrainingState.Stopped;
            outputs.push({ kind: DrainingOutputKind.Exit });
        }
        return outputs;
    }

    private announcementIsOver(): boolean {
        const elapsed = this.clock.now() - this.requestedAt;
        const acknowledged = this.leaseHandedOver && this.peersTold;
        return elapsed >= announcementSpreadMs && (acknowledged || elapsed >= acknowledgementTimeoutMs);
    }

    private reportIfDue(): readonly WaitingReport[] {
        const now = this.clock.now();
        const stopping = this.currentState === DrainingState.Draining || this.currentState === DrainingState.Finishing;
        if (!stopping || now < this.nextReportAt) {
            return [];
        }
        this.nextReportAt = now + reportIntervalMs;
        return [{
            kind: DrainingOutputKind.ReportWaiting,
            elapsedMs: now - this.requestedAt,
            calls: this.calls,
            lease: !this.leaseHandedOver,
            peers: !this.peersTold,
            listener: !this.listenerClosed,
        }];
    }
}
