/**
 * A running target: ties listener, slots, faults, state and announcements together.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { type Clock, type Milliseconds, SystemClock } from "@bilberrycroft/core.clock";
import type { TargetState } from "@bilberrycroft/coordination.membership";
import { asyncScheduler, type SchedulerLike } from "rxjs";
import { Announcer } from "./announcer";
import { type CallContext, TargetCall } from "./call";
import { type ControlledTarget, handleControlRequest } from "./control";
import { type TargetFault, TargetFaults } from "./faults";
import { InnerCalls } from "./innerCalls";
import { RunLedger, type TargetCounters } from "./ledger";
import { Lifecycle } from "./lifecycle";
import { Listener } from "./listener";
import { RunTimes } from "./runTimes";
import { type TargetSettings, type TargetSettingsInput, targetSettingsSchema } from "./settings";
import { Slots } from "./slots";

/** Options of `startTargetStandin`. */
export interface TargetStandinOptions extends TargetSettingsInput {
    /** Clock of deadlines and of the cold start; the host's by default. */
    readonly clock?: Clock;
    /** Runs every timer; the host's timers by default. */
    readonly scheduler?: SchedulerLike;
    /** Called in place of the simulated crash; a process of its own exits here. */
    readonly onCrash?: () => void;
}

/** A running stand-in. */
export interface TargetStandin {
    readonly id: string;
    /** `host:port`; stays the same through crashes. */
    readonly address: string;
    state(): TargetState;
    counters(): TargetCounters;
    /** Runs by idempotency key. */
    runs(): ReadonlyMap<string, number>;
    /** Replaces the faults in force; `{}` ends them. */
    inject(fault: TargetFault): void;
    /** Drops every connection, stops listening and comes back cold after `crashDownMs`. */
    crash(): void;
    /** Announces the drain, sheds new calls after the grace, resolves when the last call ended. */
    drain(): Promise<void>;
    /** Ends at once, without an announcement. */
    close(): Promise<void>;
}

/** Starts a stand-in and resolves when it listens. */
export async function startTargetStandin(options: TargetStandinOptions): Promise<TargetStandin> {
    const { clock, scheduler, onCrash, ...settings } = options;
    const target = new RunningTarget({
        settings: targetSettingsSchema.parse(settings),
        clock: clock ?? new SystemClock(),
        scheduler: scheduler ?? asyncScheduler,
        onCrash,
    });
    await target.open();
    return target;
}

interface RunningTargetOptions {
    readonly settings: TargetSettings;
    readonly clock: Clock;
    readonly scheduler: SchedulerLike;
    readonly onCrash: (() => void) | undefined;
}

const drainCheckMs: Milliseconds = 20;

function sleep(scheduler: SchedulerLike, duration: Milliseconds): Promise<void> {
    return new Promise(resolve => {
        scheduler.schedule(() => resolve(), duration);
    });
}

class RunningTarget implements TargetStandin {
    private readonly context: CallContext;
    private readonly listener: Listener;
    private readonly announcer: Announcer | undefined;
    private readonly innerCalls: InnerCalls | undefined;
    private readonly control: ControlledTarget;
    private drained: Promise<void> | undefined;
    private closed = false;

    constructor(private readonly options: RunningTargetOptions) {
        const { settings, clock, scheduler } = options;
        const { nodeControl, nodeCalls } = settings;
        this.innerCalls = nodeCalls === undefined ? undefined : new InnerCalls(nodeCalls, scheduler);
        this.context = {
            settings,
            clock,
            scheduler,
            slots: new Slots(settings, scheduler),
            ledger: new RunLedger(),
            lifecycle: new Lifecycle(clock, settings),
            faults: new TargetFaults(scheduler, { crashOn: settings.crashOn }),
            runTimes: new RunTimes(settings),
            innerCalls: this.innerCalls,
            crash: options.onCrash ?? (() => this.crash()),
        };
        this.control = {
            inject: fault => this.inject(fault),
            describeRuns: () => this.context.ledger.describe(),
            describeCounters: () => this.counters(),
            drain: () => this.drain(),
        };
        const onRequest = (request: IncomingMessage, response: ServerResponse): void => this.handle(request, response);
        this.listener = new Listener({ ...settings, scheduler, onRequest });
        this.announcer = nodeControl === undefined
            ? undefined
            : new Announcer(nodeControl, scheduler, () => this.describe());
    }

    get id(): string {
        return this.options.settings.id;
    }

    get address(): string {
        return this.listener.address;
    }

    async open(): Promise<void> {
        await this.listener.open();
        this.announcer?.start();
    }

    state(): TargetState {
        return this.context.lifecycle.state;
    }

    counters(): TargetCounters {
        return this.context.ledger.counters();
    }

    runs(): ReadonlyMap<string, number> {
        return this.context.ledger.runs();
    }

    inject(fault: TargetFault): void {
        this.context.faults.inject(fault);
    }

    crash(): void {
        const { ledger, lifecycle, scheduler, settings } = this.context;
        ledger.crashes++;
        lifecycle.markGone();
        this.announcer?.stop();
        this.listener.drop();
        scheduler.schedule(() => this.comeBack(), settings.crashDownMs);
    }

    drain(): Promise<void> {
        this.drained ??= this.performDrain();
        return this.drained;
    }

    async close(): Promise<void> {
        this.closed = true;
        this.context.lifecycle.markGone();
        this.context.faults.clear();
        this.announcer?.close();
        const finished = this.listener.finish();
        this.listener.drop();
        await finished;
        this.innerCalls?.close();
    }

    private handle(request: IncomingMessage, response: ServerResponse): void {
        response.on("error", () => undefined);
        if (handleControlRequest(this.control, request, response)) {
            return;
        }
        // The call begins only with its complete request: one that breaks off has not run.
        request.on("error", () => undefined);
        request.on("end", () => new TargetCall(this.context, request, response).handle());
        request.resume();
    }

    private comeBack(): void {
        if (this.closed) {
            return;
        }
        this.listener.reopen(() => {
            if (this.closed) {
                return this.listener.drop();
            }
            this.context.lifecycle.restart();
            this.announcer?.start();
        });
    }

    private async performDrain(): Promise<void> {
        const { lifecycle, scheduler, settings, slots } = this.context;
        lifecycle.startDraining();
        this.announcer?.announce();
        await sleep(scheduler, settings.drainGraceMs);
        lifecycle.startShedding();
        // The listener stays open until the last call ended, so that late callers are told "not run".
        while (slots.calls > 0) {
            await sleep(scheduler, drainCheckMs);
        }
        await this.listener.finish();
        lifecycle.markGone();
        this.announcer?.announce();
        this.announcer?.stop();
    }

    private describe(): ReturnType<Announcer["describe"]> {
        const { id, service, slots, connections } = this.options.settings;
        return { id, service, address: this.address, state: this.state(), slots, connections };
    }
}
