/**
 * Types of snapshots, their verification and the deltas between them.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import type { RuleProblem, RuleSet } from "@bilberrycroft/state.rules";

/** One accepted version of the configuration. */
export interface Snapshot {
    /** Increases by one with each accepted change. */
    readonly version: number;
    /** Version that this one replaced; 0 for the first version. */
    readonly parent: number;
    /** SHA-256 of all other fields, in hexadecimal. */
    readonly digest: string;
    /** The rules file, verbatim. */
    readonly text: string;
    /** Chosen by the operator's client so that it can recognize its own write. */
    readonly changeId: string;
    /** Name of the operator who applied the version. */
    readonly operator: string;
    /** Wall-clock time of the operator's client. */
    readonly acceptedAt: Milliseconds;
}

/** Identifies a snapshot by version and digest. */
export interface ConfigurationHead {
    readonly version: number;
    readonly digest: string;
}

/** Replaces `removed` lines of the base, starting at `position`, with `inserted`. */
export interface LineEdit {
    /** Zero-based index of the first affected line of the base. */
    readonly position: number;
    /** Number of lines removed. */
    readonly removed: number;
    readonly inserted: readonly string[];
}

/** Difference between a snapshot and an older one. */
export interface Delta {
    readonly base: ConfigurationHead;
    /** The next snapshot without its text. */
    readonly next: Omit<Snapshot, "text">;
    /** Sorted by position. Positions refer to the base. */
    readonly edits: readonly LineEdit[];
}

export enum VerificationKind {
    Verified = "verified",
    Refused = "refused",
}

/** A snapshot whose format, digest and rules are valid. */
export interface VerifiedSnapshot {
    readonly snapshot: Snapshot;
    readonly rules: RuleSet;
}

/** Reason why a snapshot was refused. */
export enum RefusalReason {
    DigestMismatch = "digest mismatch",
    /** A field, such as version or parent, has a value that no operator's client writes. */
    BadFormat = "bad format",
    BadRules = "bad rules",
}

export type Verification =
    | { readonly kind: VerificationKind.Verified; readonly verified: VerifiedSnapshot }
    | {
        readonly kind: VerificationKind.Refused;
        readonly reason: RefusalReason;
        readonly problems: readonly RuleProblem[];
    };

export enum DeltaOutcomeKind {
    Applied = "applied",
    BaseMismatch = "base mismatch",
    Corrupt = "corrupt",
}

export type DeltaOutcome =
    | { readonly kind: DeltaOutcomeKind.Applied; readonly snapshot: Snapshot }
    | { readonly kind: DeltaOutcomeKind.BaseMismatch }
    | { readonly kind: DeltaOutcomeKind.Corrupt };
