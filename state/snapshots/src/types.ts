/**
 * Versions of the configuration and the differences between them.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import type { RuleProblem, RuleSet } from "@bilberrycroft/state.rules";

/** One accepted version of the configuration. */
export interface Snapshot {
    /** Rises by one with each accepted change. */
    readonly version: number;
    /** Version that this one replaced; 0 for the first. */
    readonly parent: number;
    /** SHA-256, in hexadecimal, over all other fields. */
    readonly digest: string;
    /** The rules file, letter by letter. */
    readonly text: string;
    /** Chosen by the operator's client, so that it recognizes its own write. */
    readonly changeId: string;
    /** Who applied the version. */
    readonly operator: string;
    /** Wall time of the operator's client. */
    readonly acceptedAt: Milliseconds;
}

/** Version and digest of a snapshot. */
export interface ConfigurationHead {
    readonly version: number;
    readonly digest: string;
}

/** Replaces `removed` lines from `position` in the base by `inserted`. */
export interface LineEdit {
    /** Index of the first affected line of the base, from 0. */
    readonly position: number;
    /** Number of lines removed. */
    readonly removed: number;
    readonly inserted: readonly string[];
}

/** How to make one snapshot from an older one. */
export interface Delta {
    readonly base: ConfigurationHead;
    /** The next snapshot without its text. */
    readonly next: Omit<Snapshot, "text">;
    /** In order of position; positions refer to the base. */
    readonly edits: readonly LineEdit[];
}

/** Kinds of `Verification`. */
export enum VerificationKind {
    Verified = "verified",
    Refused = "refused",
}

/** A snapshot whose digest, format and references were all checked. */
export interface VerifiedSnapshot {
    readonly snapshot: Snapshot;
    readonly rules: RuleSet;
}

/** Why a snapshot was refused as a whole. */
export enum RefusalReason {
    DigestMismatch = "digest mismatch",
    /** Version, parent or another field holds a value that no operator's client writes. */
    BadFormat = "bad format",
    BadRules = "bad rules",
}

/** Result of checking a snapshot. */
export type Verification =
    | { readonly kind: VerificationKind.Verified; readonly verified: VerifiedSnapshot }
    | {
        readonly kind: VerificationKind.Refused;
        readonly reason: RefusalReason;
        readonly problems: readonly RuleProblem[];
    };

/** Kinds of `DeltaOutcome`. */
export enum DeltaOutcomeKind {
    Applied = "applied",
    BaseMismatch = "base mismatch",
    Corrupt = "corrupt",
}

/** Result of applying a delta. */
export type DeltaOutcome =
    | { readonly kind: DeltaOutcomeKind.Applied; readonly snapshot: Snapshot }
    | { readonly kind: DeltaOutcomeKind.BaseMismatch }
    | { readonly kind: DeltaOutcomeKind.Corrupt };
