/**
 * Target stand-in: combines listener, slots, faults, lifecycle and announcements.
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
import { RunStatistics, type TargetCounters } from "./runStatistics";
import { Lifecycle } from "./lifecycle";
import { Listener } from "./listener";
import { RunTimes } from "./runTimes";
import { type TargetSettings, type TargetSettingsInput, targetSettingsSchema } from "./settings";
import { Slots } from "./slots";

export interface TargetStandinOptions extends TargetSettingsInput {
    /** Clock of deadlines and of the cold start; uses the clock of the host by default. */
    readonly clock?: Clock;
    /** Schedules all delays; uses the timers of the host by default. */
    readonly scheduler?: SchedulerLike;
    /** Called instead of the simulated crash when a call triggers one; a standalone process exits here. */
    readonly onCrash?: () => void;
}

export interface TargetStandin {
    readonly id: string;
    /** `host:port`; stays the same across crashes. */
    readonly address: string;
    state(): TargetState;
    counters(): TargetCounters;
    /** Number of runs by idempotency key. */
    runs(): ReadonlyMap<string, number>;
    /** Replaces the active faults; `{}` ends all faults. */
    inject(fault: TargetFault): void;
    /** Closes every connection, stops listening and restarts cold after `crashDownMs`. */
    crash(): void;
    /** Announces the drain and sheds new calls after the grace period. Resolves when the last call has ended. */
    drain(): Promise<void>;
    /** Stops immediately, without an announcement. */
    close(): Promise<void>;
}

/** Starts a stand-in. Resolves when it listens; rejects with `ListenFailed` if it cannot. */
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

const drainPollIntervalMs: Milliseconds = 20;

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
    private readonly controlledTarget: ControlledTarget;
    private drainResult: Promise<void> | undefined;
    private isClosed = false;

    constructor(private readonly options: RunningTargetOptions) {
        const { settings, clock, scheduler } = options;
        const { nodeControl, nodeCalls } = settings;
        this.innerCalls = nodeCalls === undefined ? undefined : new InnerCalls(nodeCalls, scheduler);
        this.context = {
            settings,
            clock,
            scheduler,
            slots: new Slots(settings, scheduler),
            statistics: new RunStatistics(),
            lifecycle: new Lifecycle(clock, settings),
            faults: new TargetFaults(scheduler, { crashOn: settings.crashOn }),
            runTimes: new RunTimes(settings),
            innerCalls: this.innerCalls,
            crash: options.onCrash ?? (() => this.crash()),
        };
        this.controlledTarget = {
            inject: fault => this.inject(fault),
            describeRuns: () => this.context.statistics.describe(),
            describeCounters: () => this.counters(),
            drain: () => this.drain(),
        };
        const onRequest = (request: IncomingMessage, response: ServerResponse): void => this.handle(request, response);
        this.listener = new Listener({ ...settings, scheduler, onRequest });
        this.announcer = nodeControl === undefined
            ? undefined
            : new Announcer(nodeControl, scheduler, () => this.createAnnouncement());
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
        return this.context.statistics.counters();
    }

    runs(): ReadonlyMap<string, number> {
        return this.context.statistics.runs();
    }

    inject(fault: TargetFault): void {
        this.context.faults.inject(fault);
    }

    crash(): void {
        const { statistics, lifecycle, scheduler, settings } = this.context;
        statistics.crashes++;
        lifecycle.markGone();
        this.announcer?.stop();
        this.listener.closeImmediately();
        scheduler.schedule(() => this.reopenListener(), settings.crashDownMs);
    }

    drain(): Promise<void> {
        this.drainResult ??= this.performDrain();
        return this.drainResult;
    }

    async close(): Promise<void> {
        this.isClosed = true;
        this.context.lifecycle.markGone();
        this.context.faults.clear();
        this.announcer?.close();
        const finished = this.listener.closeGracefully();
        this.listener.closeImmediately();
        await finished;
        this.innerCalls?.close();
    }

    private handle(request: IncomingMessage, response: ServerResponse): void {
        response.on("error", () => undefined);
        if (handleControlRequest(this.controlledTarget, request, response)) {
            return;
        }
        // The call starts only after its complete request was received, so a truncated request never runs.
        request.on("error", () => undefined);
        request.on("end", () => new TargetCall(this.context, request, response).handle());
        request.resume();
    }

    private reopenListener(): void {
        if (this.isClosed) {
            return;
        }
        this.listener.reopen(() => {
            if (this.isClosed) {
                return this.listener.closeImmediately();
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
        // The listener stays open until the last call has ended, so that late callers receive "not-run".
        while (slots.calls > 0) {
            await sleep(scheduler, drainPollIntervalMs);
        }
        await this.listener.closeGracefully();
        lifecycle.markGone();
        this.announcer?.announce();
        this.announcer?.stop();
    }

    private createAnnouncement(): ReturnType<Announcer["createAnnouncement"]> {
        const { id, service, slots, connections } = this.options.settings;
        return { id, service, address: this.address, state: this.state(), slots, connections };
    }
}
