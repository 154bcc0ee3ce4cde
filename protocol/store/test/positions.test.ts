import { createPosition, describePosition, eraOf, revisionOf } from "@bilberrycroft/protocol.store";
import fc from "fast-check";
import { describe, expect, it } from "vitest";

describe("positions", () => {
    const era = fc.integer({ min: 0, max: 2 ** 15 - 1 });
    const revision = fc.integer({ min: 0, max: 2 ** 38 - 1 });
    const position = (ofEra: number, ofRevision: number): number => createPosition(ofEra, ofRevision) ?? Number.NaN;

    it("are ordered by the era first; guards against a return of the store that looks like an older state", () => {
        fc.assert(fc.property(era, revision, era, revision, (leftEra, left, rightEra, right) => {
            const expected = Math.sign(leftEra - rightEra) || Math.sign(left - right);
            expect(Math.sign(position(leftEra, left) - position(rightEra, right))).toBe(expected);
        }), { seed: 5 });
    });

    it("keep their era and revision, also as JSON", () => {
        fc.assert(fc.property(era, revision, (ofEra, ofRevision) => {
            const decoded = JSON.parse(JSON.stringify(position(ofEra, ofRevision))) as number;
            expect([eraOf(decoded), revisionOf(decoded)]).toEqual([ofEra, ofRevision]);
        }), { seed: 5 });
    });

    it("equal the revisions of a store without eras", () => {
        expect(createPosition(0, 1_234)).toBe(1_234);
        expect(describePosition(1_234)).toBe(1_234);
        expect(describePosition(position(3, 120))).toBe("3:120");
    });

    it.each([[-1, 1], [1.5, 1], [2 ** 15, 1], [1, -1], [1, 0.5], [1, 2 ** 38]])("do not exist out of range (%s, %s)", (ofEra, ofRevision) => {
        expect(createPosition(ofEra, ofRevision)).toBeUndefined();
    });
});
