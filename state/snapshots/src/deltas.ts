/**
 * Line edits that make one snapshot from an older one. Both directions are deterministic.
 */
import { maxRulesBytes } from "@bilberrycroft/state.rules";
import { diffArrays } from "diff";
import { computeDigest } from "./digest";
import { type Delta, type DeltaOutcome, DeltaOutcomeKind, type LineEdit, type Snapshot } from "./types";

/**
 * The cost of the comparison grows with the square of the number of edits. Texts that differ by more get one edit over
 * everything between their common first and last lines.
 */
const maxComparedEdits = 200;

/** Describes how to make `next` from `base`. */
export function encodeDelta(base: Snapshot, next: Snapshot): Delta {
    const { text, ...metadata } = next;
    return {
        base: { version: base.version, digest: base.digest },
        next: metadata,
        edits: compareLines(base.text.split("\n"), text.split("\n")),
    };
}

/** Makes the next snapshot. The result's digest always matches its content; anything else is `Corrupt`. */
export function applyDelta(base: Snapshot, delta: Delta): DeltaOutcome {
    if (delta.base.version !== base.version || delta.base.digest !== base.digest) {
        return { kind: DeltaOutcomeKind.BaseMismatch };
    }
    const text = editText(base.text, delta.edits);
    if (text === undefined) {
        return { kind: DeltaOutcomeKind.Corrupt };
    }
    const snapshot: Snapshot = { ...delta.next, text };
    return computeDigest(snapshot) === snapshot.digest
        ? { kind: DeltaOutcomeKind.Applied, snapshot }
        : { kind: DeltaOutcomeKind.Corrupt };
}

function compareLines(before: string[], after: string[]): readonly LineEdit[] {
    const changes = diffArrays(before, after, { maxEditLength: maxComparedEdits });
    if (changes === undefined) {
        return [replaceMiddle(before, after)];
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

/** One edit over everything between the common first and last lines. */
function replaceMiddle(before: readonly string[], after: readonly string[]): LineEdit {
    const shorter = Math.min(before.length, after.length);
    let start = 0;
    while (start < shorter && before[start] === after[start]) {
        start++;
    }
    let end = 0;
    while (end < shorter - start && before.at(-1 - end) === after.at(-1 - end)) {
        end++;
    }
    return {
        position: start,
        removed: before.length - start - end,
        inserted: after.slice(start, after.length - end),
    };
}

/** `undefined` if an edit lies outside the base, overlaps an earlier one, or the text would exceed the limit. */
function editText(text: string, edits: readonly LineEdit[]): string | undefined {
    const lines = text.split("\n");
    const pieces: string[] = [];
    let copied = 0;
    for (const { position, removed, inserted } of edits) {
        const end = position + removed;
        const inOrder = Number.isInteger(position) && Number.isInteger(removed) && position >= copied && removed >= 0;
        if (!inOrder || end > lines.length) {
            return undefined;
        }
        appendLines(pieces, lines.slice(copied, position));
        appendLines(pieces, inserted);
        copied = end;
    }
    appendLines(pieces, lines.slice(copied));
    const edited = pieces.join("\n");
    return Buffer.byteLength(edited) > maxRulesBytes ? undefined : edited;
}

/** Spreading into `push` would exceed the argument limit for large texts. */
function appendLines(pieces: string[], lines: readonly string[]): void {
    for (const line of lines) {
        pieces.push(line);
    }
}
