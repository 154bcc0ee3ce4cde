import fc from "fast-check";
import { beforeEach, describe, expect, it } from "vitest";
import { ManualClock } from "@bilberrycroft/core.clock";
import { configurationHistoryKey, currentConfigurationKey } from "@bilberrycroft/protocol.store";
import { createSnapshot, type Snapshot } from "@bilberrycroft/state.snapshots";
import { ApplyOutcomeKind, applyRules, type OperatorContext, undoVersion, UndoOutcomeKind } from "../src/index";
import { Fault, FakeStore } from "./fakeStore";

const writeCurrentCall = `write ${currentConfigurationKey}`;
const readCurrentCall = `read ${currentConfigurationKey}`;
const texts = ["service a # Aiko", "service a slots=2 # Ken", "service a # Aiko\nservice b # Mao", "service c # Yui"];

let store: FakeStore;
let changeCount: number;

function createContext(name: string): OperatorContext {
    const createChangeId = (): string => `${name}-${++changeCount}`;
    return { store, clock: new ManualClock(), operator: name, createChangeId, sleep: async () => undefined };
}

async function apply(name: string, text: string | undefined, base?: number) {
    return await applyRules(createContext(name), { text: text ?? "", base });
}

function getAccepted(): Snapshot {
    return JSON.parse(store.objects.get(currentConfigurationKey)?.value ?? "{}") as Snapshot;
}

function createOtherSnapshot(text = ""): Snapshot {
    return createSnapshot({ version: 1, parent: 0, text, changeId: "other", operator: "other", acceptedAt: 0 });
}

/** Returns every version that took effect, archived or accepted. */
function listVersions(): readonly Snapshot[] {
    const all = [...store.objects.values()].map(object => JSON.parse(object.value) as Snapshot);
    return [...new Map(all.map(snapshot => [snapshot.version, snapshot])).values()];
}

/** Fails consecutive calls of one kind; `undefined` lets a call succeed. */
function failCalls(call: string, ...faults: readonly (Fault | undefined)[]): void {
    const remaining = [...faults];
    store.onCall = actual => actual === call ? remaining.shift() : undefined;
}

/** Runs `action` before the nth call of one kind. */
function interleave(call: string, nth: number, action: () => Promise<unknown>, fault?: Fault): void {
    let callCount = 0;
    store.onCall = async actual => {
        if (actual !== call || ++callCount !== nth) {
            return undefined;
        }
        store.onCall = () => undefined;
        await action();
        return fault;
    };
}

beforeEach(() => {
    store = new FakeStore();
    changeCount = 0;
});

describe("applyRules", () => {
    it("numbers versions, records author and parent, and archives the replaced snapshot unchanged", async () => {
        await apply("mao", texts[0]);
        const first = store.objects.get(currentConfigurationKey)?.value;
        expect(getAccepted()).toMatchObject({ version: 1, parent: 0, operator: "mao", changeId: "mao-1" });
        const outcome = await apply("ken", texts[1], 1);
        expect(outcome).toMatchObject({ kind: ApplyOutcomeKind.Applied, changes: [{ name: "a", requester: "Ken" }] });
        expect(getAccepted()).toMatchObject({ version: 2, parent: 1, operator: "ken" });
        expect(store.objects.get(configurationHistoryKey(1))?.value).toBe(first);
    });

    it("does not call the store for rules that are refused", async () => {
        expect(await apply("mao", "service a")).toMatchObject({ kind: ApplyOutcomeKind.Refused, problems: [{ line: 1 }] });
        expect(store.calls).toEqual([]);
    });

    it("refuses a text whose JSON encoding exceeds the object size limit of the store", async () => {
        const quotes = `service a # Aiko: ${"\"".repeat(899_000)}`;
        expect((await apply("mao", quotes)).kind).toBe(ApplyOutcomeKind.Refused);
        expect(store.objects.size).toBe(0);
    });

    it("creates no version for a text that is already accepted, regardless of the base", async () => {
        await apply("mao", texts[0]);
        expect((await apply("ken", texts[0], 0)).kind).toBe(ApplyOutcomeKind.Unchanged);
        expect(getAccepted().version).toBe(1);
    });

    describe("concurrent updates", () => {
        it("reports which rules the winning update changed, its operator and the requesters", async () => {
            await apply("mao", texts[0]);
            interleave(writeCurrentCall, 1, () => apply("ken", texts[1]));
            const outcome = await apply("yui", `${texts[0]}\nservice z # Z`);
            expect(outcome).toMatchObject({
                kind: ApplyOutcomeKind.Conflict,
                conflict: {
                    baseVersion: 1,
                    currentVersion: 2,
                    complete: true,
                    versions: [{ operator: "ken", changes: [{ name: "a", requester: "Ken", contested: false }] }],
                },
            });
            expect(getAccepted().operator).toBe("ken");
        });

        it("lists each version since an older base and marks rules that both changed", async () => {
            for (const [index, text] of texts.entries()) {
                await apply(`operator${index}`, text);
            }
            const outcome = await apply("yui", "service a slots=9 # Yui", 1);
            const versions = [
                { version: 2, changes: [{ name: "a", contested: true }] },
                { version: 3, changes: [{ name: "a", contested: true }, { name: "b", contested: false }] },
                { version: 4 },
            ];
            const conflict = { baseVersion: 1, currentVersion: 4, complete: true, versions };
            expect(outcome).toMatchObject({ conflict });
            store.objects.delete(configurationHistoryKey(2));
            expect(await apply("yui", "service a slots=9 # Yui", 1)).toMatchObject({ conflict: { complete: false } });
        });
    });

    describe("lost responses", () => {
        beforeEach(() => apply("mao", texts[0]));

        it.each([
            { name: "a lost response", faults: [Fault.LostResponse] },
            { name: "a lost request", faults: [Fault.LostRequest] },
            { name: "a lost request, then a lost response", faults: [Fault.LostRequest, Fault.LostResponse] },
            { name: "a lost request, then an outage", faults: [Fault.LostRequest, Fault.Down] },
        ])("applies exactly once after $name", async ({ faults }) => {
            failCalls(writeCurrentCall, ...faults);
            const outcome = await apply("ken", texts[1]);
            expect(outcome).toMatchObject({ kind: ApplyOutcomeKind.Applied, supersededBy: undefined });
            expect(listVersions().map(({ version, changeId }) => [version, changeId])).toEqual([[2, "ken-2"], [1, "mao-1"]]);
        });

        it("recognizes its own change after a later update replaced it", async () => {
            store.onCall = async call => {
                if (call !== writeCurrentCall) {
                    return undefined;
                }
                // The later update is written between the lost response and the read-back.
                interleave(readCurrentCall, 1, () => apply("yui", texts[2]));
                return Fault.LostResponse;
            };
            expect(await apply("ken", texts[1])).toMatchObject({ kind: ApplyOutcomeKind.Applied, supersededBy: 3 });
            expect(getAccepted()).toMatchObject({ version: 3, operator: "yui" });
        });

        it("reports a conflict if the request was lost and another update won", async () => {
            interleave(writeCurrentCall, 1, () => apply("yui", texts[2]), Fault.LostRequest);
            expect(await apply("ken", texts[1])).toMatchObject({ kind: ApplyOutcomeKind.Conflict });
            expect(getAccepted()).toMatchObject({ version: 2, operator: "yui" });
        });

        it("reports an unknown outcome if the read-back fails, and finds the change on a retry", async () => {
            let written = false;
            store.onCall = call => {
                written ||= call === writeCurrentCall;
                return call === writeCurrentCall ? Fault.LostResponse : written ? Fault.Down : undefined;
            };
            const outcome = await apply("ken", texts[1]);
            expect(outcome).toMatchObject({ kind: ApplyOutcomeKind.Unknown, version: 2, changeId: "ken-2" });
            store.onCall = () => undefined;
            expect((await apply("ken", texts[1], 1)).kind).toBe(ApplyOutcomeKind.Unchanged);
            expect(getAccepted()).toMatchObject({ version: 2, changeId: "ken-2" });
        });

        it("continues after a lost response of the archive write", async () => {
            failCalls(`write ${configurationHistoryKey(1)}`, Fault.LostResponse);
            expect((await apply("ken", texts[1])).kind).toBe(ApplyOutcomeKind.Applied);
        });
    });

    it.each([readCurrentCall, `write ${configurationHistoryKey(1)}`, writeCurrentCall])(
        "changes nothing when the store is down at %s",
        async call => {
            await apply("mao", texts[0]);
            failCalls(call, Fault.Down, Fault.Down, Fault.Down);
            expect((await apply("ken", texts[1])).kind).toBe(ApplyOutcomeKind.StoreUnavailable);
            expect(getAccepted().version).toBe(1);
        },
    );

    it("refuses to replace an object that is not a snapshot or whose digest does not match", async () => {
        await apply("mao", texts[0]);
        const altered = JSON.stringify({ ...getAccepted(), operator: "x" });
        for (const value of ["{", "7", "{}", altered]) {
            store.objects.set(currentConfigurationKey, { revision: "x", value });
            expect((await apply("ken", texts[1])).kind).toBe(ApplyOutcomeKind.BrokenRecord);
        }
    });

    it("does not replace a version if the archive has another snapshot of that version", async () => {
        await apply("mao", texts[0]);
        store.objects.set(configurationHistoryKey(1), { revision: "x", value: JSON.stringify(createOtherSnapshot(texts[1])) });
        expect((await apply("ken", texts[1])).kind).toBe(ApplyOutcomeKind.BrokenRecord);
        expect(getAccepted().version).toBe(1);
    });

    it("does not reuse the version of a deleted snapshot", async () => {
        await apply("mao", texts[0]);
        await apply("mao", texts[1]);
        store.objects.delete(currentConfigurationKey);
        await apply("ken", texts[2]);
        expect(getAccepted()).toMatchObject({ version: 3, parent: 1 });
    });

    it("reports the actual outcome under arbitrary faults of two concurrent updates", async () => {
        const fault = fc.constantFrom(undefined, undefined, ...Object.values(Fault));
        const faults = fc.array(fault, { minLength: 2, maxLength: 16 });
        const outcomeKinds = new Set<ApplyOutcomeKind>();
        await fc.assert(fc.asyncProperty(faults, faults, fc.nat({ max: 8 }), async (kenFaults, yuiFaults, yuiStart) => {
            store = new FakeStore();
            await apply("mao", texts[0]);
            let kenCalls = 0;
            const failKenCalls = async (): Promise<Fault | undefined> => {
                const index = kenCalls++;
                if (index === yuiStart) {
                    let yuiCalls = 0;
                    store.onCall = () => yuiFaults[yuiCalls++];
                    await apply("yui", texts[2]);
                    store.onCall = failKenCalls;
                }
                return kenFaults[index];
            };
            store.onCall = failKenCalls;
            const outcome = await apply("ken", texts[1]);
            outcomeKinds.add(outcome.kind);
            const kenVersions = listVersions().filter(snapshot => snapshot.operator === "ken");
            const numbers = listVersions().map(snapshot => snapshot.version).toSorted((left, right) => left - right);
            expect(numbers).toEqual(numbers.map((_, index) => index + 1));
            if (outcome.kind !== ApplyOutcomeKind.Unknown) {
                expect(kenVersions).toHaveLength(outcome.kind === ApplyOutcomeKind.Applied ? 1 : 0);
            }
            expect(kenVersions.length).toBeLessThanOrEqual(1);
        }), { seed: 20_263, numRuns: 2_000 });
        // The generated faults must reach the writes, or the property would hold trivially.
        const { Applied, Conflict, StoreUnavailable, Unknown } = ApplyOutcomeKind;
        expect([...outcomeKinds]).toEqual(expect.arrayContaining([Applied, Conflict, StoreUnavailable, Unknown]));
    });
});

describe("undoVersion", () => {
    beforeEach(async () => {
        await apply("mao", texts[0]);
        await apply("mao", texts[1]);
    });

    it("creates a new version with the older content, and a second undo reverts the first", async () => {
        await undoVersion(createContext("ken"));
        expect(getAccepted()).toMatchObject({ version: 3, text: texts[0], operator: "ken" });
        await undoVersion(createContext("ken"));
        expect(getAccepted()).toMatchObject({ version: 4, text: texts[1] });
    });

    it("restores a given version", async () => {
        await apply("mao", texts[2]);
        await undoVersion(createContext("ken"), 1);
        expect(getAccepted()).toMatchObject({ version: 4, text: texts[0] });
        expect((await undoVersion(createContext("ken"), 4)).kind).toBe(ApplyOutcomeKind.Unchanged);
    });

    it("refuses versions that do not exist", async () => {
        expect((await undoVersion(createContext("ken"), 9)).kind).toBe(UndoOutcomeKind.NoSuchVersion);
        store = new FakeStore();
        expect((await undoVersion(createContext("ken"))).kind).toBe(UndoOutcomeKind.NothingToUndo);
        await apply("mao", texts[0]);
        expect((await undoVersion(createContext("ken"))).kind).toBe(UndoOutcomeKind.NothingToUndo);
    });

    it("does not undo a version that another operator applied during the undo", async () => {
        interleave(`read ${configurationHistoryKey(1)}`, 1, () => apply("yui", texts[2]));
        expect((await undoVersion(createContext("ken"))).kind).toBe(ApplyOutcomeKind.Conflict);
        expect(getAccepted()).toMatchObject({ version: 3, operator: "yui" });
    });
});
