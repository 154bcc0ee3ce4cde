import { ObjectTable, parseObjectChanges } from "@bilberrycroft/coordination.relay";
import type { CollectionChange } from "@bilberrycroft/protocol.store";
import fc from "fast-check";
import { describe, expect, it } from "vitest";

const change = (name: string, revision: number, isRemoved = false): CollectionChange =>
    ({ object: { name, revision, value: `${name} ${revision}` }, isRemoved });

describe("ObjectTable", () => {
    it("applies the last change of each object in a watch", () => {
        const table = new ObjectTable();
        table.apply([change("a", 1), change("a", 2, true), change("b", 3), change("b", 4, true), change("b", 5)], 5);
        expect([...table.objects.keys()]).toEqual(["b"]);
    });

    it("returns a snapshot for a node without objects and for one that is older than the tombstones", () => {
        const table = new ObjectTable();
        table.replaceAll([{ name: "a", revision: 3, value: 1 }], 7);
        expect(table.changesSince(0)).toMatchObject({ base: 0, revision: 7, objects: [{ name: "a" }] });
        expect(table.changesSince(5)).toMatchObject({ base: 0 });
        expect(table.changesSince(7)).toMatchObject({ base: 7, objects: [], removed: [] });
    });

    it("ignores outdated changes and deltas from an unknown base revision", () => {
        const table = new ObjectTable();
        table.replaceAll([{ name: "a", revision: 3, value: 1 }], 7);
        expect(table.applyRemote({ base: 0, revision: 6, newestChange: 6, objects: [], removed: [] })).toBe(false);
        expect(table.applyRemote({ base: 8, revision: 9, newestChange: 9, objects: [], removed: ["a"] })).toBe(false);
        expect(table.objects.size).toBe(1);
    });

    it("reports a removal as the newest change, regardless of the removed object's revision", () => {
        const table = new ObjectTable();
        table.replaceAll([{ name: "a", revision: 3, value: 1 }], 7);
        table.apply([change("a", 3, true)], 9);
        expect(table.newestChange).toBe(9);
        const reader = new ObjectTable();
        reader.replaceAll([{ name: "a", revision: 3, value: 1 }], 7);
        reader.replaceAll([], 9);
        expect(reader.newestChange).toBe(9);
    });

    it("keeps an object that was created again after a removal that arrives late", () => {
        const table = new ObjectTable();
        table.apply([change("a", 2)], 2);
        const recreated = { base: 2, revision: 9, newestChange: 8, objects: [change("a", 8).object], removed: [] };
        expect(table.applyRemote(recreated)).toBe(true);
        table.apply([change("a", 4, true)], 5);
        expect(table.objects.get("a")?.revision).toBe(8);
    });

    it("converges to the store from deltas of any node and after any delay", () => {
        const step = fc.record({
            name: fc.constantFrom("a", "b", "c", "d"),
            isRemoved: fc.boolean(),
            reader: fc.integer({ min: 0, max: 2 }),
            follower: fc.integer({ min: 0, max: 2 }),
        });
        fc.assert(fc.property(fc.array(step, { maxLength: 60 }), steps => {
            const history: CollectionChange[] = [];
            const stored = new Map<string, number>();
            const tables = [0, 1, 2].map(() => new ObjectTable());
            const watch = (table: ObjectTable): void =>
                table.apply(history.filter(({ object }) => object.revision > table.revision), history.length + 1);
            for (const { name, isRemoved, reader, follower } of steps) {
                const revision = history.length + 2;
                history.push(change(name, revision, isRemoved));
                if (isRemoved) {
                    stored.delete(name);
                }
                else {
                    stored.set(name, revision);
                }
                watch(tables[reader] as ObjectTable);
                const to = tables[follower] as ObjectTable;
                to.applyRemote((tables[reader] as ObjectTable).changesSince(to.revision));
            }
            for (const table of tables) {
                watch(table);
                expect(new Map([...table.objects].map(([name, object]) => [name, object.revision]))).toEqual(stored);
            }
        }), { seed: 11, numRuns: 2_000 });
    });

    it("rejects changes of which any part is malformed", () => {
        const valid = { base: 0, revision: 2, newestChange: 2, objects: [{ name: "a", revision: 1, value: 1 }], removed: ["b"] };
        expect(parseObjectChanges(valid)).toEqual(valid);
        const damaged: unknown[] = [
            undefined,
            "text",
            ...Object.keys(valid).map(key => ({ ...valid, [key]: undefined })),
            { ...valid, objects: [{ name: "a" }] },
            { ...valid, removed: [1] },
        ];
        damaged.forEach(value => expect(parseObjectChanges(value)).toBeUndefined());
    });
});
