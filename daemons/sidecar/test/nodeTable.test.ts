import { type NodeEntry, TargetPhase } from "@bilberrycroft/protocol.forwarding";
import { type CollectionObject, createPosition } from "@bilberrycroft/protocol.store";
import { beforeEach, describe, expect, it } from "vitest";
import { NodeTable } from "../src/nodeTable";

describe("the node table", () => {
    const object = (position: number | undefined, phase: TargetPhase, startedAt = 1_000): CollectionObject => {
        const target = { id: "t", service: "s", slots: 4, phase, startedAt, coldUntil: 0 };
        const value: NodeEntry = { node: "n", zone: "z", address: "127.0.0.1:1", processors: 1, target, crashes: [] };
        return { name: "n", revision: position ?? Number.NaN, value };
    };
    const phaseAfter = (table: NodeTable, stored: CollectionObject): TargetPhase | undefined =>
        table.update(new Map([[stored.name, stored]])).entries[0]?.target?.phase;
    let table: NodeTable;

    beforeEach(() => {
        table = new NodeTable();
        phaseAfter(table, object(createPosition(1, 20), TargetPhase.Draining));
    });

    describe("after the store came back from a copy", () => {
        it("keeps a target draining whose acknowledged departure is lost", () => {
            expect(phaseAfter(table, object(createPosition(2, 10), TargetPhase.Ready))).toBe(TargetPhase.Draining);
        });

        it("takes another incarnation as it is", () => {
            expect(phaseAfter(table, object(createPosition(2, 10), TargetPhase.Ready, 2_000))).toBe(TargetPhase.Ready);
        });
    });

    it("takes later entries of the same era as they are", () => {
        expect(phaseAfter(table, object(createPosition(1, 21), TargetPhase.Ready))).toBe(TargetPhase.Ready);
    });
});
