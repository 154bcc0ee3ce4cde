/**
 * Requests that crash their targets. This first version holds nothing back.
 */

/** Kinds of `QuarantineDecision`. */
export enum QuarantineDecisionKind {
    Allowed = "allowed",
    Held = "held",
}

/** Whether a request may be sent. */
export type QuarantineDecision =
    | { readonly kind: QuarantineDecisionKind.Allowed }
    | { readonly kind: QuarantineDecisionKind.Held; readonly retryAfterMs: number };

/** What identifies a request. */
export interface RequestIdentity {
    readonly method: string;
    readonly path: string;
    readonly tenant: string;
    readonly bodyDigest: string;
}

/** Quarantine of one node. */
export class Quarantine {
    constructor(_options: unknown) {}

    /** Identifies a request. */
    fingerprint(identity: RequestIdentity): string {
        return JSON.stringify(identity);
    }

    /** Decides for a request. */
    check(_fingerprint: string): QuarantineDecision {
        return { kind: QuarantineDecisionKind.Allowed };
    }

    /** Takes a completed request. */
    completed(_fingerprint: string): void {}

    /** Takes a crash. */
    targetCrashed(_crash: unknown): void {}

    /** Takes other nodes' reports. */
    mergeReports(_reports: unknown): void {}
}
