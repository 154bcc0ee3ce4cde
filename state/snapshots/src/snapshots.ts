/**
 * Creates and verifies snapshots.
 */
import { parseRules, RuleParseKind, type RuleProblem } from "@bilberrycroft/state.rules";
import { computeDigest } from "./digest";
import { RefusalReason, type Snapshot, type Verification, VerificationKind } from "./types";

/** What a snapshot is created from. */
export type SnapshotFields = Omit<Snapshot, "digest">;

/** Creates a snapshot with its digest. The rules are not checked here. */
export function createSnapshot(fields: SnapshotFields): Snapshot {
    const { version, parent, text, changeId, operator, acceptedAt } = fields;
    const checked: SnapshotFields = { version, parent, text, changeId, operator, acceptedAt };
    return { ...checked, digest: computeDigest(checked) };
}

/** Checks digest, format and the complete rule set. Never throws, whatever the fields hold. */
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
