/**
 * Structured log: one JSON object per line on standard output.
 *
 * Each kind of event is rate-limited. Dropped events are counted and reported with the next line of the same kind.
 * Lines are also dropped and counted while the reader of standard output does not keep up, so that logging neither
 * blocks nor accumulates memory.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import { type ConsolaInstance, createConsola } from "consola/core";

export * from "./faultBarrier";

export type EventFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Destination of log lines. */
export interface LineSink {
    /** Writes a line, given without line terminator. Returns `false` if the sink is full and discarded the line. */
    write(line: string): boolean;
}

export interface EventLogOptions {
    readonly clock: Clock;
    readonly sink: LineSink;
    /** Fields of all lines, such as the node. */
    readonly common: EventFields;
    /** Maximum lines per second for each kind of event; 20 by default. */
    readonly linesPerSecond?: number;
}

/** Enough to follow an incident. With 300 bytes per line and ten busy kinds, the output is at most 60 KB/s. */
const defaultLinesPerSecond = 20;
/** One line per second is enough to show that normal operation continues. */
const sampleLinesPerSecond = 1;
const rateWindowMs: Milliseconds = 1_000;

interface EventRate {
    windowStart: Milliseconds;
    count: number;
    dropped: number;
}

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

    /** Number of lines dropped since the start. */
    get dropped(): number {
        return this.droppedLines;
    }

    /** Logs an event of normal operation. */
    info(event: string, fields: EventFields = {}): void {
        this.record("info", event, fields, this.linesPerSecond);
    }

    /** Logs at most one event per second of a frequent kind; the line reports how many were dropped. */
    sample(event: string, fields: EventFields = {}): void {
        this.record("info", event, fields, sampleLinesPerSecond);
    }

    /** Logs an event that may need attention. */
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

/** Standard output as a sink that discards lines while its reader does not keep up. */
export class StandardOutput implements LineSink {
    private isFull = false;
    private isBroken = false;

    constructor() {
        // Without a listener, a write after the reader of a pipe has gone would end the process.
        process.stdout.on("error", error => {
            this.isBroken = true;
            process.stderr.write(`log lines are discarded: ${error.message}\n`);
        });
        process.stderr.on("error", () => undefined);
    }

    write(line: string): boolean {
        if (this.isFull || this.isBroken) {
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
