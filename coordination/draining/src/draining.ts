/**
 * State machine of a node's graceful shutdown. It waits a bounded time for the announcement to propagate and for
 * the store, and waits for calls in flight without a limit.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import { assertNever } from "@bilberrycroft/core.errors";
import {
    type DrainingInput,
    DrainingInputKind,
    type DrainingOutput,
    DrainingOutputKind,
    DrainingState,
    type WaitingReport,
} from "./types";

export interface DrainingOptions {
    readonly clock: Clock;
}

/** The announcement reaches every node within this time. Until then, callers still select this node. */
export const announcementPropagationMs: Milliseconds = 3_000;
/** Timeout for the inputs `LeaseHandedOver` and `PeersNotified`. */
export const announcementTimeoutMs: Milliseconds = 5_000;
/** A shutdown that takes longer reports what it is waiting for. */
export const firstReportAfterMs: Milliseconds = 30_000;
export const reportIntervalMs: Milliseconds = 5_000;

export class Draining {
    private readonly clock: Clock;
    private currentState = DrainingState.Serving;
    private requestedAt: Milliseconds = 0;
    private nextReportAt: Milliseconds = 0;
    private calls = 0;
    private isLeaseHandedOver = false;
    private arePeersNotified = false;
    private isListenerClosed = false;

    constructor(options: DrainingOptions) {
        this.clock = options.clock;
    }

    get state(): DrainingState {
        return this.currentState;
    }

    /** Handles an input and returns the resulting outputs, in order. */
    handle(message: DrainingInput): readonly DrainingOutput[] {
        switch (message.kind) {
            case DrainingInputKind.StopRequested:
                return this.currentState === DrainingState.Serving ? this.startDraining() : [];
            case DrainingInputKind.LeaseHandedOver:
                this.isLeaseHandedOver = true;
                break;
            case DrainingInputKind.PeersNotified:
                this.arePeersNotified = true;
                break;
            case DrainingInputKind.CallsInFlight:
                this.calls = message.calls;
                break;
            case DrainingInputKind.ListenerClosed:
                this.isListenerClosed = true;
                break;
            default:
                return assertNever(message);
        }
        return this.advance();
    }

    /** Handles timeouts and due reports. Must be called periodically. */
    tick(): readonly DrainingOutput[] {
        return [...this.advance(), ...this.reportIfDue()];
    }

    private startDraining(): readonly DrainingOutput[] {
        this.currentState = DrainingState.Draining;
        this.requestedAt = this.clock.now();
        this.nextReportAt = this.requestedAt + firstReportAfterMs;
        return [
            { kind: DrainingOutputKind.AnnounceDraining },
            { kind: DrainingOutputKind.HandOverLease },
            { kind: DrainingOutputKind.NotifyPeers },
        ];
    }

    private advance(): readonly DrainingOutput[] {
        const outputs: DrainingOutput[] = [];
        if (this.currentState === DrainingState.Draining && this.isAnnouncementComplete()) {
            this.currentState = DrainingState.Finishing;
            outputs.push({ kind: DrainingOutputKind.StopListening });
        }
        if (this.currentState === DrainingState.Finishing && this.isListenerClosed && this.calls === 0) {
            this.currentState = DrainingState.Stopped;
            outputs.push({ kind: DrainingOutputKind.Exit });
        }
        return outputs;
    }

    private isAnnouncementComplete(): boolean {
        const elapsed = this.clock.now() - this.requestedAt;
        const hasBothInputs = this.isLeaseHandedOver && this.arePeersNotified;
        return elapsed >= announcementPropagationMs && (hasBothInputs || elapsed >= announcementTimeoutMs);
    }

    private reportIfDue(): readonly WaitingReport[] {
        const now = this.clock.now();
        const isStopping = this.currentState === DrainingState.Draining
            || this.currentState === DrainingState.Finishing;
        if (!isStopping || now < this.nextReportAt) {
            return [];
        }
        this.nextReportAt = now + reportIntervalMs;
        return [{
            kind: DrainingOutputKind.ReportWaiting,
            elapsedMs: now - this.requestedAt,
            calls: this.calls,
            lease: !this.isLeaseHandedOver,
            peers: !this.arePeersNotified,
            listener: !this.isListenerClosed,
        }];
    }
}
