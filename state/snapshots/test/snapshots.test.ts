import fc from "fast-check";
import { describe, expect, it } from "vitest";
import {
    applyDelta,
    createSnapshot,
    type Delta,
    DeltaOutcomeKind,
    encodeDelta,
    RefusalReason,
    type Snapshot,
    VerificationKind,
    verifySnapshot,
} from "@bilberrycroft/state.snapshots";

const seed = 20_262;

function createTestSnapshot(version: number, text: string): Snapshot {
    const fields = { version, parent: version - 1, text, changeId: `c${version}` };
    return createSnapshot({ ...fields, operator: "mao", acceptedAt: 1_000 * version });
}

describe("snapshots", () => {
    it("computes the same digest in all releases and on all hosts", () => {
        const { digest, ...fields } = createTestSnapshot(1, "service a # A\n");
        expect(digest).toBe("b537ac6344210c8500f1f91dbe2225f9f7695326e44feeb1c2ffb578f41a1843");
        const reordered = Object.fromEntries(Object.entries(fields).reverse()) as unknown as typeof fields;
        expect(createSnapshot(reordered).digest).toBe(digest);
    });

    it("verifies a snapshot after serialization as JSON", () => {
        const received = JSON.parse(JSON.stringify(createTestSnapshot(2, "service a # é"))) as Snapshot;
        expect(verifySnapshot(received)).toMatchObject({ kind: VerificationKind.Verified });
    });

    it.each([
        { name: "changed text", change: { text: "service b # A" } },
        { name: "changed operator", change: { operator: "ken" } },
        { name: "changed version", change: { version: 3 } },
        { name: "an added field", change: { note: "x" } },
        { name: "changed digest", change: { digest: "00" } },
    ])("refuses $name because of the digest", ({ change }) => {
        const refused = verifySnapshot({ ...createTestSnapshot(2, "service a # A"), ...change });
        expect(refused).toMatchObject({ kind: VerificationKind.Refused, reason: RefusalReason.DigestMismatch });
    });

    it.each([
        { version: 0 },
        { version: 1.5 },
        { version: 1 },
        { parent: -1 },
        { acceptedAt: Number.NaN },
        { text: undefined as unknown as string },
        { version: "2" as unknown as number },
    ])("refuses the format of %j even if the digest matches", change => {
        const refused = verifySnapshot(createSnapshot({ ...createTestSnapshot(2, ""), ...change }));
        expect(refused).toMatchObject({ kind: VerificationKind.Refused, reason: RefusalReason.BadFormat });
    });

    it("refuses a snapshot with bad rules completely and returns their problems", () => {
        const refused = verifySnapshot(createTestSnapshot(2, "service a # A\nservice b needs=c # A"));
        expect(refused).toMatchObject({ reason: RefusalReason.BadRules, problems: [{ line: 2 }] });
    });
});

describe("deltas", () => {
    const lines = fc.array(fc.constantFrom("a", "b", "c", "", "d\r"), { maxLength: 20 });
    const texts = lines.map(list => list.join("\n"));

    it("reproduces any next text exactly, including line endings", () => {
        fc.assert(fc.property(texts, texts, (before, after) => {
            const base = createTestSnapshot(1, before);
            const next = createTestSnapshot(2, after);
            const delta = JSON.parse(JSON.stringify(encodeDelta(base, next))) as Delta;
            expect(applyDelta(base, delta)).toEqual({ kind: DeltaOutcomeKind.Applied, snapshot: next });
        }), { seed, numRuns: 500 });
    });

    it("contains only the changed lines of a large file", () => {
        const serviceLines = Array.from({ length: 5_000 }, (_, index) => `service s${index} # A`);
        const base = createTestSnapshot(1, serviceLines.join("\n"));
        const delta = encodeDelta(base, createTestSnapshot(2, serviceLines.with(2_500, "service changed # B").join("\n")));
        expect(delta.edits).toEqual([{ position: 2_500, removed: 1, inserted: ["service changed # B"] }]);
    });

    it("falls back to one edit when the texts have little in common, so that the diff stays cheap", () => {
        const before = Array.from({ length: 20_000 }, (_, index) => `x${index}`);
        const base = createTestSnapshot(1, ["first", ...before, "last"].join("\n"));
        const next = createTestSnapshot(2, ["first", ...before.map(line => `y${line}`), "last"].join("\n"));
        const delta = encodeDelta(base, next);
        expect(delta.edits).toMatchObject([{ position: 1, removed: 20_000 }]);
        expect(applyDelta(base, delta)).toEqual({ kind: DeltaOutcomeKind.Applied, snapshot: next });
    });

    it("refuses a base with another version or digest", () => {
        const delta = encodeDelta(createTestSnapshot(1, "a"), createTestSnapshot(2, "b"));
        expect(applyDelta(createTestSnapshot(3, "a"), delta).kind).toBe(DeltaOutcomeKind.BaseMismatch);
        expect(applyDelta(createTestSnapshot(1, "z"), delta).kind).toBe(DeltaOutcomeKind.BaseMismatch);
    });

    it("never produces a snapshot with a mismatching digest, for any edits", () => {
        const numbers = fc.oneof(fc.integer({ min: -2, max: 6 }), fc.double(), fc.constant(Number.MAX_SAFE_INTEGER));
        const inserted = fc.array(fc.string(), { maxLength: 3 });
        const edit = fc.record({ position: numbers, removed: numbers, inserted });
        const edits = fc.array(edit, { maxLength: 3 });
        const base = createTestSnapshot(1, "a\nb\nc");
        const next = createTestSnapshot(2, "a\nc\nd");
        const delta = encodeDelta(base, next);
        fc.assert(fc.property(edits, corrupted => {
            const outcome = applyDelta(base, { ...delta, edits: corrupted });
            expect(outcome.kind === DeltaOutcomeKind.Applied ? outcome.snapshot : next).toEqual(next);
        }), { seed, numRuns: 2_000 });
    });

    it.each([{ version: 9 }, { operator: "x" }, { digest: "0" }, { changeId: "x" }, { extra: 1 }])(
        "refuses metadata that was changed to %j",
        change => {
            const base = createTestSnapshot(1, "a");
            const delta = encodeDelta(base, createTestSnapshot(2, "b"));
            const outcome = applyDelta(base, { ...delta, next: { ...delta.next, ...change } });
            expect(outcome.kind).toBe(DeltaOutcomeKind.Corrupt);
        },
    );

    it("refuses edits that grow the text beyond the limit", () => {
        const base = createTestSnapshot(1, "a");
        const huge = createTestSnapshot(2, "é".repeat(450_001));
        expect(applyDelta(base, encodeDelta(base, huge)).kind).toBe(DeltaOutcomeKind.Corrupt);
    });
});
