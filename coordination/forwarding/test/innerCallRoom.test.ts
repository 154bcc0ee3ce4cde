import { ManualClock } from "@bilberrycroft/core.clock";
import { beforeEach, describe, expect, it } from "vitest";
import { InnerCallRoom } from "@bilberrycroft/coordination.forwarding";

describe("calls whose inner calls find no room", () => {
    let clock: ManualClock;
    let room: InnerCallRoom;

    beforeEach(() => {
        clock = new ManualClock();
        room = new InnerCallRoom(clock);
    });

    const record = (refused: number, accepted: number): void => {
        Array.from({ length: refused }, () => room.recordInnerCall("parent", true));
        Array.from({ length: accepted }, () => room.recordInnerCall("parent", false));
    };
    const refusedOf = (calls: number, route = "parent"): number =>
        Array.from({ length: calls }, (_, index) => room.refuses(route, () => index / calls)).filter(Boolean).length;

    it("are refused in part, other routes not", () => {
        record(70, 30);
        const refused = refusedOf(10);
        expect(refused).toBeGreaterThan(4);
        expect(refused).toBeLessThan(10);
        expect(refusedOf(10, "other")).toBe(0);
    });

    // Guards against a target that never learns of new room, and against refusals for a few unlucky inner calls.
    it("are started again when their inner calls are accepted, and after a time without any", () => {
        record(70, 30);
        record(0, 500);
        expect(refusedOf(10)).toBe(0);
        record(2_000, 0);
        expect(refusedOf(20)).toBeLessThan(20);
        clock.advance(20_000);
        expect(refusedOf(10)).toBe(0);
        record(3, 0);
        expect(refusedOf(10)).toBe(0);
    });
});
