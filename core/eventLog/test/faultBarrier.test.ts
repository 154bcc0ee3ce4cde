import { ManualClock } from "@bilberrycroft/core.clock";
import { EventLog, FaultBarrier } from "@bilberrycroft/core.eventLog";
import { beforeEach, describe, expect, it } from "vitest";

describe("FaultBarrier", () => {
    let lines: Record<string, unknown>[];
    let faults: FaultBarrier;
    const fail = (): never => {
        throw new Error("unexpected");
    };

    beforeEach(() => {
        lines = [];
        const sink = { write: (line: string) => lines.push(JSON.parse(line) as Record<string, unknown>) > 0 };
        faults = new FaultBarrier(new EventLog({ clock: new ManualClock(), sink, common: {} }));
    });

    it("logs an exception with its scope, fields and stack, counts it and recovers", () => {
        let recoveries = 0;
        faults.run("offer", { call: "c" }, fail, () => recoveries++);
        expect(lines).toMatchObject([{ level: "warn", event: "fault-confined", scope: "offer", call: "c" }]);
        expect(lines[0]?.reason).toMatch(/^Error: unexpected\n +at /);
        expect([faults.count, recoveries]).toEqual([1, 1]);
    });

    it("confines a rejection, and an exception of the recovery", async () => {
        await faults.runAsync("call", {}, async () => fail(), fail);
        expect(lines.map(({ scope }) => scope)).toEqual(["call", "call-recovery"]);
    });

    it("does nothing after a success", async () => {
        faults.run("offer", {}, () => undefined, fail);
        await faults.runAsync("call", {}, async () => undefined, fail);
        expect([faults.count, lines]).toEqual([0, []]);
    });
});
