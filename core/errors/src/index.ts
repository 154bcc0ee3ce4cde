/**
 * Errors of the project. Expected failures are outcome values. Errors are thrown only for violated invariants and at
 * program entry points, where a stable code and a hint help the operator.
 */
import ModernError from "modern-errors";

/** Stable error codes that scripts and searches can rely on. */
export enum ErrorCode {
    BrokenInvariant = "ERR_BILBERRYCROFT_BROKEN_INVARIANT",
    BadSettings = "ERR_BILBERRYCROFT_BAD_SETTINGS",
    BadUsage = "ERR_BILBERRYCROFT_BAD_USAGE",
    ListenFailed = "ERR_BILBERRYCROFT_LISTEN_FAILED",
}

export interface ErrorDetails {
    readonly code: ErrorCode;
    readonly hint?: string;
    readonly cause?: unknown;
}

/** Base class of all errors thrown by the project. Use `createBilberrycroftError` to create one. */
export const BilberrycroftError = ModernError.subclass("BilberrycroftError", {
    props: { code: ErrorCode.BrokenInvariant as ErrorCode, hint: undefined as string | undefined },
});

export type BilberrycroftFailure = InstanceType<typeof BilberrycroftError>;

/** Creates an error. The message of the cause is prepended to the message. */
export function createBilberrycroftError(message: string, details: ErrorDetails): BilberrycroftFailure {
    const { code, hint, cause } = details;
    return new BilberrycroftError(message, { cause, props: { code, hint } });
}

/** Throws if the condition does not hold. The error propagates to the program's entry point, which exits. */
export function assertInvariant(condition: boolean, message: string): asserts condition {
    if (!condition) {
        throw createBilberrycroftError(message, {
            code: ErrorCode.BrokenInvariant,
            hint: "This is a fault in bilberrycroft. Keep the log and report it.",
        });
    }
}

/** Makes the compiler check that a `switch` over a discriminated union is exhaustive; throws if it is reached. */
export function assertNever(value: never): never {
    throw createBilberrycroftError(`unexpected variant ${JSON.stringify(value)}`, { code: ErrorCode.BrokenInvariant });
}
