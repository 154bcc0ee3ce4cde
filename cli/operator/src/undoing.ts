/**
 * Creates a new version with the content of an older one. Version numbers only increase.
 */
import { type ApplyOutcome, ApplyOutcomeKind, applyRules, type OperatorContext, toFailedOutcome } from "./applying";
import { readArchived, readCurrent, RecordOutcomeKind } from "./records";

/** Kinds of `UndoOutcome` in addition to `ApplyOutcomeKind`. */
export enum UndoOutcomeKind {
    NothingToUndo = "nothing to undo",
    NoSuchVersion = "no such version",
}

export type UndoOutcome =
    | ApplyOutcome
    | { readonly kind: UndoOutcomeKind.NothingToUndo }
    | { readonly kind: UndoOutcomeKind.NoSuchVersion; readonly version: number };

/** Restores `version`, by default the version that the accepted one replaced. */
export async function undoVersion(context: OperatorContext, version?: number): Promise<UndoOutcome> {
    const current = await readCurrent(context.store);
    if (current.kind === RecordOutcomeKind.Absent) {
        return { kind: UndoOutcomeKind.NothingToUndo };
    }
    if (current.kind !== RecordOutcomeKind.Found) {
        return toFailedOutcome(current);
    }
    const { snapshot } = current;
    const restored = version ?? snapshot.parent;
    if (restored === snapshot.version) {
        return { kind: ApplyOutcomeKind.Unchanged, snapshot };
    }
    if (restored === 0) {
        return { kind: UndoOutcomeKind.NothingToUndo };
    }
    const archived = await readArchived(context.store, restored);
    switch (archived.kind) {
        case RecordOutcomeKind.Found:
            // The base is the version to undo, so that the update conflicts if another version has been accepted since.
            return await applyRules(context, { text: archived.snapshot.text, base: snapshot.version });
        case RecordOutcomeKind.Absent:
            return { kind: UndoOutcomeKind.NoSuchVersion, version: restored };
        default:
            return toFailedOutcome(archived);
    }
}
