/**
 * Discrete-event core of the dispatch model: events in time order on a manual clock, and targets with slots.
 */
import { ManualClock } from "@bilberrycroft/core.clock";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import type { ReportedLoad } from "@bilberrycroft/protocol.calls";

interface ScheduledEvent {
    readonly at: Milliseconds;
    readonly order: number;
    readonly run: () => void;
}

/** Runs events in time order; events of the same instant run in the order in which they were scheduled. */
export class Simulation {
    readonly clock = new ManualClock();
    private readonly heap: ScheduledEvent[] = [];
    private scheduled = 0;

    after(delayMs: Milliseconds, run: () => void): void {
        this.heap.push({ at: this.clock.now() + delayMs, order: this.scheduled++, run });
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
            const left = 2 * index + 1;
            const smaller = left + 1 < this.heap.length && this.isBefore(left + 1, left) ? left + 1 : left;
            if (smaller >= this.heap.length || !this.isBefore(smaller, index)) {
                return;
            }
            this.swap(index, smaller);
            index = smaller;
        }
    }

    private isBefore(first: number, second: number): boolean {
        const a = this.heap[first] as ScheduledEvent;
        const b = this.heap[second] as ScheduledEvent;
        return a.at < b.at || (a.at === b.at && a.order < b.order);
    }

    private swap(first: number, second: number): void {
        const moved = this.heap[first] as ScheduledEvent;
        this.heap[first] = this.heap[second] as ScheduledEvent;
        this.heap[second] = moved;
    }
}

/** A time during which a target runs slower. */
export interface Slowdown {
    readonly target: number;
    readonly from: Milliseconds;
    readonly until: Milliseconds;
    readonly factor: number;
}

/** How a target reports its load. */
export enum Reporting {
    Honest = "honest",
    AlwaysIdle = "always-idle",
    AlwaysFull = "always-full",
    Late = "late",
}

/** A response of a modelled target. */
export interface TargetResponse {
    readonly ran: boolean;
    readonly load: ReportedLoad;
}

/** Options of a `ModelTarget`. */
export interface ModelTargetOptions {
    readonly simulation: Simulation;
    readonly index: number;
    readonly slots: number;
    readonly speed: number;
    readonly slowdowns: readonly Slowdown[];
    readonly reporting: Reporting;
}

interface Work {
    remainingMs: Milliseconds;
    readonly respond: (response: TargetResponse) => void;
}

const stepMs = 0.25;
const lateByMs = 200;
/** A target accepts nearly everything, as a server without limits does; it refuses calls beyond this many per slot. */
const waitingPerSlot = 1_000;

/** A target with slots, a queue in front of them, and times of low speed. */
export class ModelTarget {
    private running = 0;
    private readonly waiting: Work[] = [];
    private readonly reports: { readonly at: Milliseconds; readonly calls: number }[] = [];

    constructor(private readonly options: ModelTargetOptions) {}

    accept(runTimeMs: Milliseconds, respond: (response: TargetResponse) => void): void {
        const { slots } = this.options;
        if (this.running >= slots && this.waiting.length >= slots * waitingPerSlot) {
            respond({ ran: false, load: this.report() });
            return;
        }
        this.waiting.push({ remainingMs: runTimeMs / this.options.speed, respond });
        this.fillSlots();
    }

    private fillSlots(): void {
        while (this.running < this.options.slots && this.waiting.length > 0) {
            const work = this.waiting.shift() as Work;
            this.running++;
            this.continueWork(work);
        }
    }

    /** Outside slowdowns a call takes its whole run time at once; inside it advances in small steps. */
    private continueWork(work: Work): void {
        const now = this.options.simulation.clock.now();
        const factor = this.factorAt(now);
        const untilChange = this.nextChange(now) - now;
        const wallMs = Math.min(work.remainingMs * factor, Math.max(untilChange, stepMs));
        this.options.simulation.after(wallMs, () => {
            work.remainingMs -= wallMs / factor;
            if (work.remainingMs > 1e-9) {
                this.continueWork(work);
                return;
            }
            // Response headers are written while the call still counts.
            const load = this.report();
            this.running--;
            this.fillSlots();
            work.respond({ ran: true, load });
        });
    }

    private factorAt(now: Milliseconds): number {
        const { slowdowns, index } = this.options;
        return slowdowns.find(slow => slow.target === index && slow.from <= now && now < slow.until)?.factor ?? 1;
    }

    private nextChange(now: Milliseconds): Milliseconds {
        const { slowdowns, index } = this.options;
        const changes = slowdowns.filter(slow => slow.target === index).flatMap(slow => [slow.from, slow.until]);
        return Math.min(Number.POSITIVE_INFINITY, ...changes.filter(at => at > now));
    }

    private report(): ReportedLoad {
        const { slots, reporting, simulation } = this.options;
        const calls = this.running + this.waiting.length;
        switch (reporting) {
            case Reporting.Honest:
                return { calls, slots };
            case Reporting.AlwaysIdle:
                return { calls: 0, slots };
            case Reporting.AlwaysFull:
                return { calls: slots * 4, slots };
            case Reporting.Late:
                this.reports.push({ at: simulation.clock.now(), calls });
                while ((this.reports[1]?.at ?? Infinity) <= simulation.clock.now() - lateByMs) {
                    this.reports.shift();
                }
                return { calls: this.reports[0]?.calls ?? calls, slots };
        }
    }
}
