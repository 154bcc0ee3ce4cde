/**
 * Errors of the project. Expected failures are outcome values; these errors are for broken invariants and for the
 * edges of programs, where a stable code and a hint help the operator.
 */
import ModernError from "modern-errors";

/** Stable codes, for scripts and searches. */
export enum ErrorCode {
    BrokenInvariant = "ERR_BILBERRYCROFT_BROKEN_INVARIANT",
    BadSettings = "ERR_BILBERRYCROFT_BAD_SETTINGS",
    BadUsage = "ERR_BILBERRYCROFT_BAD_USAGE",
    ListenFailed = "ERR_BILBERRYCROFT_LISTEN_FAILED",
}

/** What a `BilberrycroftError` is created from. */
export interface ErrorDetails {
    readonly code: ErrorCode;
    readonly hint?: string;
    readonly cause?: unknown;
}

/** Base class of all errors thrown by the project; created by `createBilberrycroftError`. */
export const BilberrycroftError = ModernError.subclass("BilberrycroftError", {
    props: { code: ErrorCode.BrokenInvariant as ErrorCode, hint: undefined as string | undefined },
});

/** An error with its code and hint. */
export type BilberrycroftFailure = InstanceType<typeof BilberrycroftError>;

/** Creates an error; the message of its cause comes first in the message. */
export function createBilberrycroftError(message: string, details: ErrorDetails): BilberrycroftFailure {
    const { code, hint, cause } = details;
    return new BilberrycroftError(message, { cause, props: { code, hint } });
}

/** Stops the process through the program's edge when a condition that must hold does not. */
export function assertInvariant(condition: boolean, message: string): asserts condition {
    if (!condition) {
        throw createBilberrycroftError(message, {
            code: ErrorCode.BrokenInvariant,
            hint: "This is a fault in bilberrycroft. Keep the log and report it.",
        });
    }
}

/** Makes a `switch` over a discriminated union exhaustive at compile time. */
export function assertNever(value: never): never {
    throw createBilberrycroftError(`unexpected variant ${JSON.stringify(value)}`, { code: ErrorCode.BrokenInvariant });
}
