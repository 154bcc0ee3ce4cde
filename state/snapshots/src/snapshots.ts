/**
 * Creation and verification of snapshots.
 */
import { parseRules, RuleParseKind, type RuleProblem } from "@bilberrycroft/state.rules";
import { computeDigest } from "./digest";
import { RefusalReason, type Snapshot, type Verification, VerificationKind } from "./types";

export type SnapshotFields = Omit<Snapshot, "digest">;

/** Creates a snapshot and computes its digest. The rules are not validated. */
export function createSnapshot(fields: SnapshotFields): Snapshot {
    const { version, parent, text, changeId, operator, acceptedAt } = fields;
    const knownFields: SnapshotFields = { version, parent, text, changeId, operator, acceptedAt };
    return { ...knownFields, digest: computeDigest(knownFields) };
}

/** Verifies the format, the digest and the complete rule set. Does not throw, even if fields have the wrong type. */
export function verifySnapshot(snapshot: Snapshot): Verification {
    if (!isWellFormed(snapshot)) {
        return refuse(RefusalReason.BadFormat, []);
    }
    if (computeDigest(snapshot) !== snapshot.digest) {
        return refuse(RefusalReason.DigestMismatch, []);
    }
    const parse = parseRules(snapshot.text);
    return parse.kind === RuleParseKind.Refused
        ? refuse(RefusalReason.BadRules, parse.problems)
        : { kind: VerificationKind.Verified, verified: { snapshot, rules: parse.rules } };
}

function isWellFormed(snapshot: Snapshot): boolean {
    const { version, parent, digest, text, changeId, operator, acceptedAt } = snapshot;
    return [digest, text, changeId, operator].every(field => typeof field === "string")
        && [version, parent].every(Number.isSafeInteger)
        && Number.isFinite(acceptedAt)
        && parent >= 0
        && version > parent;
}

function refuse(reason: RefusalReason, problems: readonly RuleProblem[]): Verification {
    return { kind: VerificationKind.Refused, reason, problems };
}
