import { ManualClock } from "@bilberrycroft/core.clock";
import { ResponsePacer } from "@bilberrycroft/transport.forwarding";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";

const partBytes = 16_384;
/** 10 Mbit/s. */
const linkBytesPerSecond = 1_250_000;
const maxQueuedBytes = 10 * partBytes;

describe("ResponsePacer", () => {
    let clock: ManualClock;
    let pacer: ResponsePacer;
    let sent: string[];

    beforeEach(() => {
        vi.useFakeTimers();
        clock = new ManualClock();
        pacer = new ResponsePacer({ clock, linkBytesPerSecond, maxQueuedBytes });
        sent = [];
    });
    afterEach(() => {
        pacer.close();
        vi.useRealTimers();
    });

    const add = (name: string, { isAbandoned = false, objectiveMs = 60_000, parts = 1 } = {}): void => {
        const objectiveAt = clock.now() + objectiveMs;
        const response = { objectiveAt, isAbandoned: () => isAbandoned, send: () => sent.push(name) };
        for (let part = 0; part < parts; part++) {
            pacer.add(response, Buffer.alloc(partBytes));
        }
    };
    const advance = (milliseconds: number): void => {
        for (let count = 0; count < milliseconds; count++) {
            clock.advance(1);
            vi.advanceTimersByTime(1);
        }
    };

    it("sends in order and below the link rate", () => {
        for (let part = 0; part < 100; part++) {
            add(String(part));
        }
        advance(500);
        expect(sent.length * partBytes).toBeLessThan(0.9 * 0.5 * linkBytesPerSecond + partBytes);
        expect(sent.length * partBytes).toBeGreaterThan(0.7 * 0.5 * linkBytesPerSecond);
        expect(sent).toEqual(sent.map((_, index) => String(index)));
        advance(1_500);
        expect(sent).toHaveLength(100);
        expect(pacer.backlogMs).toBeLessThan(1);
    });

    it("sends short responses first and those that can no longer meet their objective last", () => {
        add("running");
        add("long", { parts: 20 });
        add("late", { parts: 2, objectiveMs: 1 });
        add("short", { parts: 2 });
        advance(1_000);
        const order = [...new Set(sent)];
        expect(order).toEqual(["running", "short", "long", "late"]);
        expect(sent).toHaveLength(25);
    });

    it("reports the time until the queue has been sent", () => {
        for (let part = 0; part < 65; part++) {
            add(String(part));
        }
        expect(pacer.backlogMs).toBeCloseTo(1_000, -2);
    });

    it("spends no link time on abandoned responses", () => {
        add("first");
        for (let part = 0; part < 50; part++) {
            add("abandoned", { isAbandoned: true });
        }
        add("last");
        advance(30);
        expect(sent).toEqual(["first", "last"]);
    });

    it("sends everything immediately if the link rate is unknown", () => {
        pacer = new ResponsePacer({ clock, linkBytesPerSecond: undefined, maxQueuedBytes });
        for (let part = 0; part < 1_000; part++) {
            add(String(part));
        }
        expect(sent).toHaveLength(1_000);
        expect(pacer.backlogMs).toBe(0);
    });

    it("is full while all responses together have queued what they may", () => {
        add("first", { parts: 8 });
        expect(pacer.isFull).toBe(false);
        add("second", { parts: 8 });
        expect(pacer.isFull).toBe(true);
        for (let elapsedMs = 0; elapsedMs < 1_000; elapsedMs++) {
            clock.advance(1);
            vi.advanceTimersByTime(1);
        }
        expect(pacer.isFull).toBe(false);
        expect(sent).toHaveLength(16);
    });
});
