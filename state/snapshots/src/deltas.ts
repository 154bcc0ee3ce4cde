/**
 * Deltas between snapshots, expressed as line edits. Encoding and applying are deterministic.
 */
import { maxRulesBytes } from "@bilberrycroft/state.rules";
import { diffArrays } from "diff";
import { computeDigest } from "./digest";
import { type Delta, type DeltaOutcome, DeltaOutcomeKind, type LineEdit, type Snapshot } from "./types";

/**
 * The cost of the diff grows with the square of the number of edits. Texts with more differences than this get a single
 * edit that replaces everything between their common prefix and suffix.
 */
const maxDiffEdits = 200;

/** Creates the delta from `base` to `next`. */
export function encodeDelta(base: Snapshot, next: Snapshot): Delta {
    const { text, ...metadata } = next;
    return {
        base: { version: base.version, digest: base.digest },
        next: metadata,
        edits: diffLines(base.text.split("\n"), text.split("\n")),
    };
}

/** Applies a delta. An `Applied` snapshot always matches its digest; a delta whose result does not is `Corrupt`. */
export function applyDelta(base: Snapshot, delta: Delta): DeltaOutcome {
    if (delta.base.version !== base.version || delta.base.digest !== base.digest) {
        return { kind: DeltaOutcomeKind.BaseMismatch };
    }
    const text = applyEdits(base.text, delta.edits);
    if (text === undefined) {
        return { kind: DeltaOutcomeKind.Corrupt };
    }
    const snapshot: Snapshot = { ...delta.next, text };
    return computeDigest(snapshot) === snapshot.digest
        ? { kind: DeltaOutcomeKind.Applied, snapshot }
        : { kind: DeltaOutcomeKind.Corrupt };
}

function diffLines(before: string[], after: string[]): readonly LineEdit[] {
    const changes = diffArrays(before, after, { maxEditLength: maxDiffEdits });
    if (changes === undefined) {
        return [createReplacementEdit(before, after)];
    }
    const edits: LineEdit[] = [];
    let position = 0;
    let pending: LineEdit | undefined;
    for (const { added, removed, count, value } of changes) {
        if (!added && !removed) {
            edits.push(...pending === undefined ? [] : [pending]);
            pending = undefined;
            position += count;
            continue;
        }
        pending ??= { position, removed: 0, inserted: [] };
        pending = added
            ? { ...pending, inserted: [...pending.inserted, ...value] }
            : { ...pending, removed: pending.removed + count };
        position += removed ? count : 0;
    }
    return pending === undefined ? edits : [...edits, pending];
}

/** Returns one edit that replaces everything between the common prefix and suffix. */
function createReplacementEdit(before: readonly string[], after: readonly string[]): LineEdit {
    const shorterLength = Math.min(before.length, after.length);
    let prefixLength = 0;
    while (prefixLength < shorterLength && before[prefixLength] === after[prefixLength]) {
        prefixLength++;
    }
    let suffixLength = 0;
    while (
        suffixLength < shorterLength - prefixLength
        && before.at(-1 - suffixLength) === after.at(-1 - suffixLength)
    ) {
        suffixLength++;
    }
    return {
        position: prefixLength,
        removed: before.length - prefixLength - suffixLength,
        inserted: after.slice(prefixLength, after.length - suffixLength),
    };
}

/** Returns `undefined` if an edit is out of range or overlaps an earlier one, or if the text would exceed the limit. */
function applyEdits(text: string, edits: readonly LineEdit[]): string | undefined {
    const lines = text.split("\n");
    const editedLines: string[] = [];
    let nextIndex = 0;
    for (const { position, removed, inserted } of edits) {
        const end = position + removed;
        const isInOrder = Number.isInteger(position) && Number.isInteger(removed)
            && position >= nextIndex && removed >= 0;
        if (!isInOrder || end > lines.length) {
            return undefined;
        }
        appendLines(editedLines, lines.slice(nextIndex, position));
        appendLines(editedLines, inserted);
        nextIndex = end;
    }
    appendLines(editedLines, lines.slice(nextIndex));
    const edited = editedLines.join("\n");
    return Buffer.byteLength(edited) > maxRulesBytes ? undefined : edited;
}

/** Appends in a loop because spreading a large text into `push` exceeds the engine's argument limit. */
function appendLines(target: string[], lines: readonly string[]): void {
    for (const line of lines) {
        target.push(line);
    }
}
