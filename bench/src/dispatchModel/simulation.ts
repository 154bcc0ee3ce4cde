/**
 * Discrete-event simulation for the dispatch model: an event queue (binary heap) on a manual clock, and targets with
 * slots.
 */
import { ManualClock } from "@bilberrycroft/core.clock";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import type { ReportedLoad } from "@bilberrycroft/protocol.calls";

interface ScheduledEvent {
    readonly at: Milliseconds;
    readonly sequence: number;
    readonly run: () => void;
}

/** Runs events in time order; events at the same time run in the order in which they were scheduled. */
export class Simulation {
    readonly clock = new ManualClock();
    private readonly heap: ScheduledEvent[] = [];
    private nextSequence = 0;

    runAfter(delayMs: Milliseconds, run: () => void): void {
        this.heap.push({ at: this.clock.now() + delayMs, sequence: this.nextSequence++, run });
        this.siftUp(this.heap.length - 1);
    }

    runUntil(end: Milliseconds): void {
        for (let next = this.heap[0]; next !== undefined && next.at <= end; next = this.heap[0]) {
            this.removeFirst();
            this.clock.advance(Math.max(0, next.at - this.clock.now()));
            next.run();
        }
    }

    private removeFirst(): void {
        const last = this.heap.pop() as ScheduledEvent;
        if (this.heap.length > 0) {
            this.heap[0] = last;
            this.siftDown();
        }
    }

    private siftUp(start: number): void {
        let index = start;
        while (index > 0 && this.isBefore(index, (index - 1) >> 1)) {
            this.swap(index, (index - 1) >> 1);
            index = (index - 1) >> 1;
        }
    }

    private siftDown(): void {
        let index = 0;
        for (;;) {
            const leftChild = 2 * index + 1;
            const earlierChild = leftChild + 1 < this.heap.length && this.isBefore(leftChild + 1, leftChild)
                ? leftChild + 1
                : leftChild;
            if (earlierChild >= this.heap.length || !this.isBefore(earlierChild, index)) {
                return;
            }
            this.swap(index, earlierChild);
            index = earlierChild;
        }
    }

    private isBefore(first: number, second: number): boolean {
        const a = this.heap[first] as ScheduledEvent;
        const b = this.heap[second] as ScheduledEvent;
        return a.at < b.at || (a.at === b.at && a.sequence < b.sequence);
    }

    private swap(first: number, second: number): void {
        const moved = this.heap[first] as ScheduledEvent;
        this.heap[first] = this.heap[second] as ScheduledEvent;
        this.heap[second] = moved;
    }
}

/** A period in which the calls of a target take `factor` times as long. */
export interface Slowdown {
    readonly target: number;
    readonly from: Milliseconds;
    readonly until: Milliseconds;
    readonly factor: number;
}

/** How a target reports its load. */
export enum LoadReporting {
    Honest = "honest",
    AlwaysIdle = "always-idle",
    AlwaysFull = "always-full",
    Late = "late",
}

export interface TargetResponse {
    /** `false` if the target refused the call. */
    readonly ran: boolean;
    readonly load: ReportedLoad;
}

export interface ModelTargetOptions {
    readonly simulation: Simulation;
    readonly index: number;
    readonly slots: number;
    /** Run times are divided by it. */
    readonly speed: number;
    readonly slowdowns: readonly Slowdown[];
    readonly reporting: LoadReporting;
}

interface QueuedCall {
    remainingMs: Milliseconds;
    readonly respond: (response: TargetResponse) => void;
}

const minStepMs = 0.25;
const reportDelayMs = 200;
/** Queued calls per slot above which a target refuses calls. High, to model a server that has no limits. */
const maxQueuedPerSlot = 1_000;

/** A target with a fixed number of slots, a FIFO queue and slowdowns. */
export class ModelTarget {
    private running = 0;
    private readonly queue: QueuedCall[] = [];
    private readonly loadHistory: { readonly at: Milliseconds; readonly calls: number }[] = [];

    constructor(private readonly options: ModelTargetOptions) {}

    accept(runTimeMs: Milliseconds, respond: (response: TargetResponse) => void): void {
        const { slots } = this.options;
        if (this.running >= slots && this.queue.length >= slots * maxQueuedPerSlot) {
            respond({ ran: false, load: this.reportLoad() });
            return;
        }
        this.queue.push({ remainingMs: runTimeMs / this.options.speed, respond });
        this.startQueuedCalls();
    }

    private startQueuedCalls(): void {
        while (this.running < this.options.slots && this.queue.length > 0) {
            const call = this.queue.shift() as QueuedCall;
            this.running++;
            this.advanceCall(call);
        }
    }

    /**
     * Runs a call to its end or to the next start or end of a slowdown, whichever comes first. Steps to a slowdown
     * boundary last at least `minStepMs`.
     */
    private advanceCall(call: QueuedCall): void {
        const now = this.options.simulation.clock.now();
        const factor = this.getSlowdownFactor(now);
        const untilChangeMs = this.findNextSlowdownChange(now) - now;
        const elapsedMs = Math.min(call.remainingMs * factor, Math.max(untilChangeMs, minStepMs));
        this.options.simulation.runAfter(elapsedMs, () => {
            call.remainingMs -= elapsedMs / factor;
            if (call.remainingMs > 1e-9) {
                this.advanceCall(call);
                return;
            }
            // Targets write the response headers, which report the load, before the call leaves its slot.
            const load = this.reportLoad();
            this.running--;
            this.startQueuedCalls();
            call.respond({ ran: true, load });
        });
    }

    private getSlowdownFactor(now: Milliseconds): number {
        const { slowdowns, index } = this.options;
        return slowdowns.find(slow => slow.target === index && slow.from <= now && now < slow.until)?.factor ?? 1;
    }

    private findNextSlowdownChange(now: Milliseconds): Milliseconds {
        const { slowdowns, index } = this.options;
        const changeTimes = slowdowns.filter(slow => slow.target === index).flatMap(slow => [slow.from, slow.until]);
        return Math.min(Number.POSITIVE_INFINITY, ...changeTimes.filter(at => at > now));
    }

    private reportLoad(): ReportedLoad {
        const { slots, reporting, simulation } = this.options;
        const calls = this.running + this.queue.length;
        switch (reporting) {
            case LoadReporting.Honest:
                return { calls, slots };
            case LoadReporting.AlwaysIdle:
                return { calls: 0, slots };
            case LoadReporting.AlwaysFull:
                return { calls: slots * 4, slots };
            case LoadReporting.Late:
                this.loadHistory.push({ at: simulation.clock.now(), calls });
                while ((this.loadHistory[1]?.at ?? Infinity) <= simulation.clock.now() - reportDelayMs) {
                    this.loadHistory.shift();
                }
                return { calls: this.loadHistory[0]?.calls ?? calls, slots };
        }
    }
}
