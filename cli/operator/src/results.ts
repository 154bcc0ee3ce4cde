/**
 * What a command hands to the command line: exit code, data for scripts and text for people.
 */

/** Exit codes of `bilberrycroft`. */
export enum ExitCode {
    Done = 0,
    /** Refused, or a check failed. */
    Refused = 1,
    /** Usage or settings. */
    Usage = 2,
    Conflict = 3,
    StoreUnavailable = 4,
    OutcomeUnknown = 5,
    NotInForce = 6,
}

/** Result of a command. */
export interface CommandResult {
    readonly exitCode: ExitCode;
    /** Printed with `--json`. */
    readonly data: unknown;
    /** Printed without `--json`. */
    readonly lines: readonly string[];
}

/** A result without data beyond its sentence. */
export function describeFailure(exitCode: ExitCode, kind: string, ...lines: readonly string[]): CommandResult {
    return { exitCode, data: { kind, reason: lines.join(" ") }, lines };
}

/** Wrong arguments, settings or addresses; reported with `ExitCode.Usage`. */
export class UsageProblem extends Error {}
