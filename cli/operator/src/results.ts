/**
 * Results of commands: exit code, JSON data for scripts and text for people.
 */

/** Exit codes of `bilberrycroft`. */
export enum ExitCode {
    Done = 0,
    /** The input was refused, the requested object does not exist, or a node did not respond. */
    Refused = 1,
    /** Invalid arguments or settings. */
    Usage = 2,
    Conflict = 3,
    StoreUnavailable = 4,
    OutcomeUnknown = 5,
    /** The version is accepted, but `--wait` ended before it was in force on every node. */
    NotInForce = 6,
}

export interface CommandResult {
    readonly exitCode: ExitCode;
    /** Printed with `--json`. */
    readonly data: unknown;
    /** Printed without `--json`. */
    readonly lines: readonly string[];
}

/** Creates a result whose JSON data has only a kind and the text. */
export function createFailureResult(exitCode: ExitCode, kind: string, ...lines: readonly string[]): CommandResult {
    return { exitCode, data: { kind, reason: lines.join(" ") }, lines };
}

/** Invalid arguments, settings or addresses; reported with `ExitCode.Usage`. */
export class UsageError extends Error {}
