/**
 * Makes a new version with the content of an older one. Versions only ever rise.
 */
import { type ApplyOutcome, ApplyOutcomeKind, applyRules, type OperatorContext, toFailure } from "./applying";
import { readArchived, readCurrent, RecordOutcomeKind } from "./records";

/** Kinds of `UndoOutcome` that an update does not have. */
export enum UndoOutcomeKind {
    NothingToUndo = "nothing to undo",
    NoSuchVersion = "no such version",
}

/** Result of an undo. */
export type UndoOutcome =
    | ApplyOutcome
    | { readonly kind: UndoOutcomeKind.NothingToUndo }
    | { readonly kind: UndoOutcomeKind.NoSuchVersion; readonly version: number };

/** Restores `version`, by default the one that the accepted version replaced. */
export async function undoVersion(context: OperatorContext, version?: number): Promise<UndoOutcome> {
    const current = await readCurrent(context.store);
    if (current.kind === RecordOutcomeKind.Absent) {
        return { kind: UndoOutcomeKind.NothingToUndo };
    }
    if (current.kind !== RecordOutcomeKind.Found) {
        return toFailure(current);
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
            // The base is the version whose effect the operator wants to undo, not whatever is accepted by now.
            return await applyRules(context, { text: archived.snapshot.text, base: snapshot.version });
        case RecordOutcomeKind.Absent:
            return { kind: UndoOutcomeKind.NoSuchVersion, version: restored };
        default:
            return toFailure(archived);
    }
}
