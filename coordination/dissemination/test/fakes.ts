/**
 * Fake snapshots: rules are invalid if their text contains "bad". The digest covers every field, so that corruption is
 * detected as with real snapshots.
 */
import { createHash } from "node:crypto";
import {
    DeltaOutcomeKind,
    RefusalReason,
    VerificationKind,
    type Delta,
    type DeltaOutcome,
    type Snapshot,
    type Verification,
} from "@bilberrycroft/state.snapshots";
import type { Peer, SnapshotFunctions } from "../src/index";

/** Creates a snapshot with a matching digest. */
export function createFakeSnapshot(version: number, text: string = `rules of ${version}`): Snapshot {
    const content = {
        version,
        parent: version - 1,
        text,
        changeId: `change-${version}`,
        operator: "op",
        acceptedAt: version,
    };
    return { ...content, digest: digestOf(content) };
}

/** Functions with the signatures of `@bilberrycroft/state.snapshots`. */
export const fakeSnapshotFunctions: SnapshotFunctions = {
    verifySnapshot,
    encodeDelta: (base, { text, ...next }): Delta => ({
        base: { version: base.version, digest: base.digest },
        next,
        edits: [{ position: 0, removed: 1, inserted: [text] }],
    }),
    applyDelta: (base, delta): DeltaOutcome => base.digest === delta.base.digest
        ? { kind: DeltaOutcomeKind.Applied, snapshot: { ...delta.next, text: delta.edits[0]?.inserted[0] ?? "" } }
        : { kind: DeltaOutcomeKind.BaseMismatch },
};

/** A peer whose address equals its name. */
export function peerNamed(node: string): Peer {
    return { node, controlAddress: node };
}

function verifySnapshot(snapshot: Snapshot): Verification {
    const { digest, ...content } = snapshot;
    if (digest !== digestOf(content)) {
        return { kind: VerificationKind.Refused, reason: RefusalReason.DigestMismatch, problems: [] };
    }
    if (snapshot.text.includes("bad")) {
        return { kind: VerificationKind.Refused, reason: RefusalReason.BadRules, problems: [] };
    }
    const rules = { tenants: new Map(), services: new Map(), routes: new Map() };
    return { kind: VerificationKind.Verified, verified: { snapshot, rules } };
}

function digestOf(content: Omit<Snapshot, "digest">): string {
    const { version, parent, text, changeId, operator, acceptedAt } = content;
    const canonical = JSON.stringify([version, parent, text, changeId, operator, acceptedAt]);
    return createHash("sha256").update(canonical).digest("hex");
}
