/**
 * Structured log lines: one JSON object a line on standard output.
 *
 * Each kind of event has a rate; what exceeds it is counted and told with the next line of that kind. A line is dropped
 * and counted too while the reader of standard output does not keep up, so that logging never blocks nor grows memory.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import { type ConsolaInstance, createConsola } from "consola/core";

/** Values of a line. */
export type EventFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Where lines go. */
export interface LineSink {
    /** Takes a line without its end; `false` if the sink is full and took nothing. */
    write(line: string): boolean;
}

/** Options of `EventLog`. */
export interface EventLogOptions {
    readonly clock: Clock;
    readonly sink: LineSink;
    /** Fields of every line, such as the node. */
    readonly common: EventFields;
    /** Lines a second of one kind; 20 by default. */
    readonly linesPerSecond?: number;
}

/** Enough to show the course of an incident; at 300 bytes a line and ten busy kinds it stays under 60 KB/s. */
const defaultLinesPerSecond = 20;
/** Shows that the ordinary goes on, at little cost. */
const sampleLinesPerSecond = 1;
const rateWindowMs: Milliseconds = 1_000;

interface EventRate {
    windowStart: Milliseconds;
    count: number;
    dropped: number;
}

/** Writes events. */
export class EventLog {
    private readonly rates = new Map<string, EventRate>();
    private readonly consola: ConsolaInstance;
    private droppedLines = 0;

    constructor(private readonly options: EventLogOptions) {
        this.consola = createConsola({
            level: Number.POSITIVE_INFINITY,
            reporters: [{ log: ({ args }) => this.writeLine(String(args[0])) }],
        });
    }

    /** Lines that were dropped since the start. */
    get dropped(): number {
        return this.droppedLines;
    }

    /** Records an event of the usual course. */
    info(event: string, fields: EventFields = {}): void {
        this.record("info", event, fields, this.linesPerSecond);
    }

    /** Records one event in a while of a kind that is frequent and ordinary; the line tells how many were left out. */
    sample(event: string, fields: EventFields = {}): void {
        this.record("info", event, fields, sampleLinesPerSecond);
    }

    /** Records an event that a person may have to look at. */
    warn(event: string, fields: EventFields = {}): void {
        this.record("warn", event, fields, this.linesPerSecond);
    }

    private get linesPerSecond(): number {
        return this.options.linesPerSecond ?? defaultLinesPerSecond;
    }

    private record(level: "info" | "warn", event: string, fields: EventFields, linesPerSecond: number): void {
        const { clock, common } = this.options;
        const now = clock.now();
        const rate = this.getRate(event, now);
        if (rate.count >= linesPerSecond) {
            rate.dropped++;
            this.droppedLines++;
            return;
        }
        rate.count++;
        const dropped = rate.dropped === 0 ? undefined : rate.dropped;
        rate.dropped = 0;
        const time = new Date(clock.wallTime()).toISOString();
        const line = { time, uptimeMs: Math.round(now), level, event, ...common, ...fields, dropped };
        this.consola.log(JSON.stringify(line));
    }

    private writeLine(line: string): void {
        if (!this.options.sink.write(line)) {
            this.droppedLines++;
        }
    }

    private getRate(event: string, now: Milliseconds): EventRate {
        const existing = this.rates.get(event);
        if (existing === undefined) {
            const created = { windowStart: now, count: 0, dropped: 0 };
            this.rates.set(event, created);
            return created;
        }
        if (now - existing.windowStart >= rateWindowMs) {
            existing.windowStart = now;
            existing.count = 0;
        }
        return existing;
    }
}

/** Standard output, which takes nothing while its reader does not keep up. */
export class StandardOutput implements LineSink {
    private isFull = false;

    write(line: string): boolean {
        if (this.isFull) {
            return false;
        }
        this.isFull = !process.stdout.write(`${line}\n`);
        if (this.isFull) {
            process.stdout.once("drain", () => {
                this.isFull = false;
            });
        }
        return true;
    }
}
