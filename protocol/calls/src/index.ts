/**
 * What a call carries on the wire besides its HTTP message: request headers, response headers and outcomes.
 */

/** Names of the headers, in the lower case that Node's `http` delivers. */
export enum CallHeader {
    /** Customer on whose behalf the caller calls. */
    Tenant = "x-mesh-tenant",
    /** Milliseconds that are left for the call. */
    Timeout = "x-mesh-timeout-ms",
    /** Number of calls above this one; 0 at the caller. */
    Depth = "x-mesh-depth",
    /** Number of this attempt, from 1. */
    Attempt = "x-mesh-attempt",
    /** Names a call that may not be repeated: a UUID version 7. */
    IdempotencyKey = "idempotency-key",
    /** Response: see `CallOutcome`. */
    Outcome = "x-mesh-outcome",
    /** Response: stable reason of a refusal. */
    Reason = "x-mesh-reason",
    /** Response: version of the configuration that the call was carried under. */
    Version = "x-mesh-version",
    /** Response: calls in the target and its slots, as `<calls>/<slots>`. */
    Load = "x-mesh-load",
    /** Response: `1` when the target is about to leave. */
    Draining = "x-mesh-draining",
    /** Response: `1` when the answer was recorded by an earlier run under the same idempotency key. */
    Replayed = "x-mesh-replayed",
}

/** What is known of a call when its answer is sent. */
export enum CallOutcome {
    /** The whole answer of the target. */
    Done = "done",
    /** No target can have begun the call. */
    NotRun = "not-run",
    /** The call may have run. */
    Unknown = "unknown",
}

/** Stable reasons of answers that a node makes itself. */
export enum CallReason {
    NoConfiguration = "no-configuration",
    NoRoute = "no-route",
    TenantNotAllowed = "tenant-not-allowed",
    RateLimited = "rate-limited",
    NoTarget = "no-target",
    Overloaded = "overloaded",
    DeadlinePassed = "deadline-passed",
    Draining = "draining",
    TargetRefused = "target-refused",
    Quarantined = "quarantined",
    IdempotencyKeyMissing = "idempotency-key-missing",
    IdempotencyKeyMismatch = "idempotency-key-mismatch",
    IdempotencyKeyExpired = "idempotency-key-expired",
    ClaimUnavailable = "claim-unavailable",
    ClaimedElsewhere = "claimed-elsewhere",
    AnswerLost = "answer-lost",
    TimedOut = "timed-out",
    BadRequest = "bad-request",
}

/** Load that a target reports with an answer. */
export interface ReportedLoad {
    readonly calls: number;
    readonly slots: number;
}

/** Formats the load header. */
export function formatLoad(load: ReportedLoad): string {
    return `${load.calls}/${load.slots}`;
}

const loadPattern = /^(\d{1,6})\/(\d{1,6})$/;

/** Parses the load header; anything malformed counts as no report. */
export function parseLoad(header: string | undefined): ReportedLoad | undefined {
    const match = header === undefined ? undefined : loadPattern.exec(header) ?? undefined;
    return match === undefined ? undefined : { calls: Number(match[1]), slots: Number(match[2]) };
}

/** Parses a header that holds a whole number from `minimum` to `maximum`; anything else gives `undefined`. */
export function parseWholeNumber(
    header: string | undefined,
    range: { readonly minimum: number; readonly maximum: number },
): number | undefined {
    if (header === undefined || !/^\d{1,9}$/.test(header)) {
        return undefined;
    }
    const value = Number(header);
    return value >= range.minimum && value <= range.maximum ? value : undefined;
}
