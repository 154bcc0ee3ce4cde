/**
 * Headers, outcomes and reason codes that calls carry on the wire in addition to the HTTP message.
 */
export * from "./addresses";
export * from "./headerFields";

/** Header names, in lower case as Node's `http` module delivers them. */
export enum CallHeader {
    /** Tenant on whose behalf the call is made. */
    Tenant = "x-mesh-tenant",
    /** Milliseconds remaining until the deadline of the call. */
    Timeout = "x-mesh-timeout-ms",
    /** Number of outer calls; 0 for a call that is not an inner call. */
    Depth = "x-mesh-depth",
    /** Attempt number, starting at 1. */
    Attempt = "x-mesh-attempt",
    /** Idempotency key of a call that must not run twice; a UUID version 7. */
    IdempotencyKey = "idempotency-key",
    /** Response: see `CallOutcome`. */
    Outcome = "x-mesh-outcome",
    /** Response: reason code of a refusal, see `CallReason`. */
    Reason = "x-mesh-reason",
    /** Response: version of the configuration under which the call was handled. */
    Version = "x-mesh-version",
    /** Response: calls running in the target and its number of slots, as `<calls>/<slots>`. */
    Load = "x-mesh-load",
    /** Response: `1` when the target is draining. */
    Draining = "x-mesh-draining",
    /** Response: `1` when the response is the recorded one of an earlier run with the same idempotency key. */
    Replayed = "x-mesh-replayed",
}

/** What is known about the execution of a call when its response is sent. */
export enum CallOutcome {
    /** The target responded in full. */
    Done = "done",
    /** No target has started the call. */
    NotRun = "not-run",
    /** The call may or may not have run. */
    Unknown = "unknown",
}

/** Stable reason codes of responses that a node generates itself. */
export enum CallReason {
    NoConfiguration = "no-configuration",
    NoRoute = "no-route",
    TenantNotAllowed = "tenant-not-allowed",
    RateLimited = "rate-limited",
    /** The organisation has used up its calls over all nodes. */
    QuotaExceeded = "quota-exceeded",
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
    /** The call carries no key of an organisation. */
    NotAuthenticated = "not-authenticated",
    /** The configuration of the node refuses the call, but its peers have a newer one. */
    ConfigurationOutdated = "configuration-outdated",
}

/** Load that a target reports with a response. */
export interface ReportedLoad {
    readonly calls: number;
    readonly slots: number;
}

export function formatLoad(load: ReportedLoad): string {
    return `${load.calls}/${load.slots}`;
}

const loadPattern = /^(\d{1,6})\/(\d{1,6})$/;

/** Parses the load header; `undefined` if it is absent or malformed. */
export function parseLoad(header: string | undefined): ReportedLoad | undefined {
    const match = header === undefined ? undefined : loadPattern.exec(header) ?? undefined;
    return match === undefined ? undefined : { calls: Number(match[1]), slots: Number(match[2]) };
}

/** Parses an integer from `minimum` to `maximum`, both inclusive; `undefined` for anything else. */
export function parseInteger(
    header: string | undefined,
    range: { readonly minimum: number; readonly maximum: number },
): number | undefined {
    if (header === undefined || !/^\d{1,9}$/.test(header)) {
        return undefined;
    }
    const value = Number(header);
    return value >= range.minimum && value <= range.maximum ? value : undefined;
}
