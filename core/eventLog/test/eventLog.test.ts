import { ManualClock } from "@bilberrycroft/core.clock";
import { EventLog, type LineSink } from "@bilberrycroft/core.eventLog";
import { beforeEach, describe, expect, it } from "vitest";

describe("EventLog", () => {
    let clock: ManualClock;
    let lines: Record<string, unknown>[];
    let isFull: boolean;
    let log: EventLog;

    beforeEach(() => {
        clock = new ManualClock();
        lines = [];
        isFull = false;
        const sink: LineSink = {
            write: line => {
                if (!isFull) {
                    lines.push(JSON.parse(line) as Record<string, unknown>);
                }
                return !isFull;
            },
        };
        log = new EventLog({ clock, sink, common: { node: "n" }, linesPerSecond: 3 });
    });

    it("writes one object per line with wall time, uptime, level, event and fields", () => {
        clock.advance(1_500);
        log.warn("store-lost", { reason: "timeout" });
        expect(lines).toEqual([
            { time: new Date(clock.wallTime()).toISOString(), uptimeMs: 1_500, level: "warn", event: "store-lost", node: "n", reason: "timeout" },
        ]);
    });

    it("limits the rate of each kind and reports the number of dropped events with the next line", () => {
        for (let count = 0; count < 10; count++) {
            log.info("busy", { count });
            log.info("other");
        }
        expect(lines.filter(({ event }) => event === "busy")).toHaveLength(3);
        clock.advance(1_000);
        log.info("busy");
        expect(lines.at(-1)).toMatchObject({ event: "busy", dropped: 7 });
        expect(log.dropped).toBe(14);
    });

    it("samples frequent events", () => {
        for (let count = 0; count < 10; count++) {
            log.sample("answered");
        }
        expect(lines).toHaveLength(1);
    });

    it("drops and counts lines while the sink is full, and resumes afterwards", () => {
        isFull = true;
        log.info("a");
        isFull = false;
        log.info("b");
        expect(lines.map(({ event }) => event)).toEqual(["b"]);
        expect(log.dropped).toBe(1);
    });
});
