/**
 * Task of a planned stop: carries messages between the draining decision and the other tasks.
 */
import {
    type Draining,
    type DrainingMessage,
    DrainingMessageKind,
    type DrainingOutput,
    DrainingOutputKind,
} from "@bilberrycroft/coordination.draining";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { assertNever } from "@bilberrycroft/core.errors";
import type { Logger } from "@bilberrycroft/core.logger";
import { interval, Subject, type Subscription } from "rxjs";

const tickMs: Milliseconds = 100;

/** What the other tasks do for a planned stop. */
export interface DrainActions {
    /** Tells all nodes that the host's targets are leaving. */
    announceDraining(): void;
    handOverLease(): Promise<void>;
    /** Tells peers that this node leaves. */
    tellPeers(): Promise<void>;
    /** Stops accepting calls; resolves when no connection is left that could bring one. */
    stopListening(): Promise<void>;
}

/** Options of a `DrainTask`. */
export interface DrainTaskOptions {
    readonly draining: Draining;
    readonly logger: Logger;
    readonly actions: DrainActions;
}

/** Owns the planned stop of a node. */
export class DrainTask {
    private readonly inbox = new Subject<DrainingMessage>();
    private readonly subscriptions: Subscription[] = [];
    private readonly finished: Promise<void>;
    private finish: () => void = () => undefined;

    constructor(private readonly options: DrainTaskOptions) {
        this.finished = new Promise(resolve => {
            this.finish = resolve;
        });
        this.subscriptions.push(
            this.inbox.subscribe(message => this.perform(options.draining.receive(message))),
        );
    }

    /** State of the stop, for operators. */
    get state(): string {
        return this.options.draining.state;
    }

    /** Starts the stop, or joins the one in progress; resolves when the process may end. */
    stop(): Promise<void> {
        if (this.subscriptions.length === 1) {
            this.subscriptions.push(
                interval(tickMs).subscribe(() => this.perform(this.options.draining.tick())),
            );
        }
        this.inbox.next({ kind: DrainingMessageKind.StopRequested });
        return this.finished;
    }

    /** Takes the number of calls in flight. */
    callsInFlight(calls: number): void {
        this.inbox.next({ kind: DrainingMessageKind.CallsInFlight, calls });
    }

    private perform(outputs: readonly DrainingOutput[]): void {
        for (const output of outputs) {
            this.performOne(output);
        }
    }

    private performOne(output: DrainingOutput): void {
        const { actions, logger } = this.options;
        switch (output.kind) {
            case DrainingOutputKind.AnnounceDraining:
                return actions.announceDraining();
            case DrainingOutputKind.HandOverLease:
                return this.reportWhenDone(actions.handOverLease(), { kind: DrainingMessageKind.LeaseHandedOver });
            case DrainingOutputKind.NotifyPeers:
                return this.reportWhenDone(actions.tellPeers(), { kind: DrainingMessageKind.PeersAcknowledged });
            case DrainingOutputKind.StopListening:
                return this.reportWhenDone(actions.stopListening(), { kind: DrainingMessageKind.ListenerClosed });
            case DrainingOutputKind.ReportWaiting: {
                const { elapsedMs, calls, lease, peers, listener } = output;
                return logger.warn("Stop is still waiting.", { elapsedMs, calls, lease, peers, listener });
            }
            case DrainingOutputKind.Exit:
                this.subscriptions.forEach(subscription => subscription.unsubscribe());
                return this.finish();
            default:
                return assertNever(output);
        }
    }

    private reportWhenDone(action: Promise<void>, message: DrainingMessage): void {
        void action.then(() => this.inbox.next(message));
    }
}
