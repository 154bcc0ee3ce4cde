import { EntryWriteKind, LocalEntry } from "@bilberrycroft/coordination.registration";
import { type NodeEntry, TargetPhase } from "@bilberrycroft/protocol.forwarding";
import { beforeEach, describe, expect, it } from "vitest";

const createEntry = (phase = TargetPhase.Ready): NodeEntry => ({
    node: "n",
    zone: "z",
    address: "10.0.0.1:1",
    processors: 1,
    target: { id: "i", service: "s", slots: 2, phase, startedAt: 1, coldUntil: 0 },
    crashes: [],
});

describe("entry in the store", () => {
    let entry: LocalEntry;

    beforeEach(() => {
        entry = new LocalEntry();
    });

    it("writes nothing before the desired entry is set", () => {
        expect(entry.nextWrite().kind).toBe(EntryWriteKind.None);
    });

    it("creates the entry, and creates it again after another process removed it", () => {
        entry.setDesired(createEntry());
        expect(entry.nextWrite().kind).toBe(EntryWriteKind.Create);
        entry.handleWriteSuccess(createEntry(), 7);
        expect(entry.isCurrent).toBe(true);
        entry.setStored(undefined);
        expect(entry.nextWrite().kind).toBe(EntryWriteKind.Create);
    });

    it("replaces a different entry at the revision that was read, so that a late write has no effect", () => {
        entry.setDesired(createEntry());
        entry.handleWriteSuccess(createEntry(), 7);
        entry.setDesired(createEntry(TargetPhase.Draining));
        expect(entry.nextWrite()).toMatchObject({ kind: EntryWriteKind.Replace, revision: 7 });
        entry.setStored({ revision: 9, value: createEntry() });
        expect(entry.nextWrite()).toMatchObject({ revision: 9 });
    });

    it("ignores a read that is older than its last write", () => {
        entry.setDesired(createEntry());
        entry.handleWriteSuccess(createEntry(), 7);
        entry.setStored({ revision: 5, value: createEntry(TargetPhase.Draining) });
        expect(entry.isCurrent).toBe(true);
    });

    it("replaces an entry that another writer corrupted", () => {
        entry.setDesired(createEntry());
        entry.setStored({ revision: 3, value: { node: 5 } });
        expect(entry.nextWrite()).toMatchObject({ kind: EntryWriteKind.Replace, revision: 3 });
    });

    it("backs off after each failure and resets after a success", () => {
        const first = entry.handleWriteFailure();
        expect(entry.handleWriteFailure()).toBeGreaterThan(first);
        entry.handleWriteSuccess(createEntry(), 1);
        expect(entry.handleWriteFailure()).toBe(first);
    });
});
