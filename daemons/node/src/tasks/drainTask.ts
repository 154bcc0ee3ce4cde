/**
 * Runs the graceful shutdown state machine: feeds it inputs from the other tasks, and performs its outputs.
 */
import {
    type Draining,
    type DrainingInput,
    DrainingInputKind,
    type DrainingOutput,
    DrainingOutputKind,
} from "@bilberrycroft/coordination.draining";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { assertNever } from "@bilberrycroft/core.errors";
import type { Logger } from "@bilberrycroft/core.logger";
import { interval, Subject, type Subscription } from "rxjs";

const tickMs: Milliseconds = 100;

/** Steps of a graceful shutdown that other tasks perform. */
export interface DrainActions {
    /** Announces to all nodes that the targets of this host are draining. */
    announceDraining(): void;
    handOverLease(): Promise<void>;
    /** Resolves after the announcement has had time to spread to the peers. */
    waitForPropagation(): Promise<void>;
    /** Stops accepting calls; resolves when no connection remains on which a call could arrive. */
    stopListening(): Promise<void>;
}

export interface DrainTaskOptions {
    readonly draining: Draining;
    readonly logger: Logger;
    readonly actions: DrainActions;
}

export class DrainTask {
    private readonly inbox = new Subject<DrainingInput>();
    private readonly subscriptions: Subscription[] = [];
    private readonly finished: Promise<void>;
    private resolveFinished: () => void = () => undefined;

    constructor(private readonly options: DrainTaskOptions) {
        this.finished = new Promise(resolve => {
            this.resolveFinished = resolve;
        });
        this.subscriptions.push(
            this.inbox.subscribe(input => this.performAll(options.draining.handle(input))),
        );
    }

    /** State of the shutdown, as reported to operators. */
    get state(): string {
        return this.options.draining.state;
    }

    /** Starts the shutdown, or joins the one in progress; resolves when the process may exit. */
    stop(): Promise<void> {
        if (this.subscriptions.length === 1) {
            this.subscriptions.push(
                interval(tickMs).subscribe(() => this.performAll(this.options.draining.tick())),
            );
        }
        this.inbox.next({ kind: DrainingInputKind.StopRequested });
        return this.finished;
    }

    handleCallsInFlight(calls: number): void {
        this.inbox.next({ kind: DrainingInputKind.CallsInFlight, calls });
    }

    private performAll(outputs: readonly DrainingOutput[]): void {
        for (const output of outputs) {
            this.perform(output);
        }
    }

    private perform(output: DrainingOutput): void {
        const { actions, logger } = this.options;
        switch (output.kind) {
            case DrainingOutputKind.AnnounceDraining:
                return actions.announceDraining();
            case DrainingOutputKind.HandOverLease:
                return this.reportWhenDone(actions.handOverLease(), { kind: DrainingInputKind.LeaseHandedOver });
            case DrainingOutputKind.NotifyPeers:
                return this.reportWhenDone(
                    actions.waitForPropagation(),
                    { kind: DrainingInputKind.PeersNotified },
                );
            case DrainingOutputKind.StopListening:
                return this.reportWhenDone(actions.stopListening(), { kind: DrainingInputKind.ListenerClosed });
            case DrainingOutputKind.ReportWaiting: {
                const { elapsedMs, calls, lease, peers, listener } = output;
                return logger.warn("Graceful shutdown is still in progress.", { elapsedMs, calls, lease, peers, listener });
            }
            case DrainingOutputKind.Exit:
                this.subscriptions.forEach(subscription => subscription.unsubscribe());
                return this.resolveFinished();
            default:
                return assertNever(output);
        }
    }

    private reportWhenDone(action: Promise<void>, input: DrainingInput): void {
        void action.then(() => this.inbox.next(input));
    }
}
