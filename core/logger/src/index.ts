/**
 * Text logger on standard error. A line consists of time, level, component, message and an optional JSON object with
 * structured fields.
 */
import { type ConsolaReporter, createConsola } from "consola";

/** Structured fields of a log line. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

export interface Logger {
    debug(message: string, fields?: LogFields): void;
    info(message: string, fields?: LogFields): void;
    warn(message: string, fields?: LogFields): void;
    error(message: string, fields?: LogFields): void;
}

/** Least severe level that is logged. */
export enum LogLevel {
    Error = "error",
    Warn = "warn",
    Info = "info",
    Debug = "debug",
    Silent = "silent",
}

const consolaLevels: Readonly<Record<LogLevel, number>> = {
    [LogLevel.Silent]: -999,
    [LogLevel.Error]: 0,
    [LogLevel.Warn]: 1,
    [LogLevel.Info]: 3,
    [LogLevel.Debug]: 4,
};

const lineReporter: ConsolaReporter = {
    log: entry => {
        const text = entry.args.map(String).join(" ");
        process.stderr.write(`${entry.date.toISOString()} ${entry.type.padEnd(5)} ${entry.tag}: ${text}\n`);
    },
};

export function createLogger(component: string, level: LogLevel = LogLevel.Info): Logger {
    const consola = createConsola({ level: consolaLevels[level], reporters: [lineReporter] }).withTag(component);
    return {
        debug: (message, fields) => consola.debug(formatLine(message, fields)),
        info: (message, fields) => consola.info(formatLine(message, fields)),
        warn: (message, fields) => consola.warn(formatLine(message, fields)),
        error: (message, fields) => consola.error(formatLine(message, fields)),
    };
}

function formatLine(message: string, fields: LogFields | undefined): string {
    return fields === undefined ? message : `${message} ${JSON.stringify(fields)}`;
}

/** A logger that discards everything, for tests and benchmarks. */
export const silentLogger: Logger = {
    debug: () => undefined,
    info: () => undefined,
    warn: () => undefined,
    error: () => undefined,
};
