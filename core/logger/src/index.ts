/**
 * Logs: one short sentence a line with a fixed prefix for each part, and structured fields as one JSON object at the
 * end of the line.
 */
import { type ConsolaReporter, createConsola } from "consola";

/** Values that a log line carries besides its sentence. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Logger of one part of a program. */
export interface Logger {
    debug(sentence: string, fields?: LogFields): void;
    info(sentence: string, fields?: LogFields): void;
    warn(sentence: string, fields?: LogFields): void;
    error(sentence: string, fields?: LogFields): void;
}

/** Least severe level that is written. */
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

/** Creates the logger of one part. */
export function createLogger(component: string, level: LogLevel = LogLevel.Info): Logger {
    const consola = createConsola({ level: consolaLevels[level], reporters: [lineReporter] }).withTag(component);
    return {
        debug: (sentence, fields) => consola.debug(formatLine(sentence, fields)),
        info: (sentence, fields) => consola.info(formatLine(sentence, fields)),
        warn: (sentence, fields) => consola.warn(formatLine(sentence, fields)),
        error: (sentence, fields) => consola.error(formatLine(sentence, fields)),
    };
}

function formatLine(sentence: string, fields: LogFields | undefined): string {
    return fields === undefined ? sentence : `${sentence} ${JSON.stringify(fields)}`;
}

/** A logger that writes nothing, for tests and benches. */
export const silentLogger: Logger = {
    debug: () => undefined,
    info: () => undefined,
    warn: () => undefined,
    error: () => undefined,
};
