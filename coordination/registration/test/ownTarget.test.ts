import { ManualClock } from "@bilberrycroft/core.clock";
import { HeartbeatOutcomeKind, OwnTarget, type TargetHeartbeat } from "@bilberrycroft/coordination.registration";
import { TargetAvailability, TargetPhase } from "@bilberrycroft/protocol.forwarding";
import fc from "fast-check";
import { beforeEach, describe, expect, it } from "vitest";

const address = "10.0.0.1:80";
const heartbeatIntervalMs = 1_500;

const createHeartbeat = (changes: Partial<TargetHeartbeat> = {}): TargetHeartbeat => ({
    id: "i-1",
    service: "s",
    address,
    slots: 4,
    phase: TargetPhase.Ready,
    coldLeftMs: 0,
    sequence: 1,
    startedAt: 1_000,
    ...changes,
});

describe("OwnTarget", () => {
    let clock: ManualClock;
    let target: OwnTarget;

    beforeEach(() => {
        clock = new ManualClock();
        target = new OwnTarget({ clock, service: "s", address, heartbeatIntervalMs });
    });

    const hear = (changes: Partial<TargetHeartbeat> = {}): HeartbeatOutcomeKind =>
        target.heartbeat(createHeartbeat(changes)).kind;

    it("serves after its first heartbeat and not before", () => {
        expect(target.availability).toBe(TargetAvailability.Down);
        expect(hear()).toBe(HeartbeatOutcomeKind.Changed);
        expect(target.availability).toBe(TargetAvailability.Serving);
        expect(hear({ sequence: 2 })).toBe(HeartbeatOutcomeKind.Refreshed);
    });

    const foreign = [{ service: "other" }, { address: "10.0.0.2:80" }];
    it.each(foreign)("ignores a heartbeat that belongs elsewhere: %s", changes => {
        expect(hear(changes)).toBe(HeartbeatOutcomeKind.Foreign);
        expect(target.announced).toBeUndefined();
    });

    describe("leaving", () => {
        it("stays left after draining, whatever heartbeats of that incarnation still arrive", () => {
            hear();
            hear({ sequence: 3, phase: TargetPhase.Draining });
            hear({ sequence: 2 });
            hear({ sequence: 4 });
            expect(target.availability).toBe(TargetAvailability.Leaving);
        });

        it("leaves at a departure that no draining announced", () => {
            hear();
            expect(target.departed({ id: "i-1", startedAt: 1_000 }).kind).toBe(HeartbeatOutcomeKind.Changed);
            expect(target.availability).toBe(TargetAvailability.Leaving);
        });

        it("ignores the late departure of an earlier incarnation", () => {
            hear({ startedAt: 2_000 });
            target.departed({ id: "i-1", startedAt: 1_000 });
            expect(target.availability).toBe(TargetAvailability.Serving);
        });

        it("remembers across a restart of the node that the target left", () => {
            target.restore({ id: "i-1", service: "s", slots: 4, phase: TargetPhase.Draining, startedAt: 1_000, coldUntil: 0 });
            expect(hear()).toBe(HeartbeatOutcomeKind.Outdated);
            expect(target.availability).not.toBe(TargetAvailability.Serving);
        });

        it("serves the next incarnation, also under the same id", () => {
            hear();
            hear({ sequence: 2, phase: TargetPhase.Draining });
            expect(hear({ startedAt: 5_000 })).toBe(HeartbeatOutcomeKind.Changed);
            expect(target.availability).toBe(TargetAvailability.Serving);
        });
    });

    describe("incarnations", () => {
        it("ignores a delayed heartbeat of an earlier one", () => {
            hear({ id: "i-2", startedAt: 2_000 });
            expect(hear({ id: "i-1", startedAt: 1_000, sequence: 99 })).toBe(HeartbeatOutcomeKind.Outdated);
            expect(target.announced?.id).toBe("i-2");
        });

        it("takes one with an earlier start once the known one is gone, since clocks are set back", () => {
            hear({ id: "i-2", startedAt: 2_000 });
            target.connectionRefused();
            expect(hear({ id: "i-3", startedAt: 1_500 })).toBe(HeartbeatOutcomeKind.Changed);
            expect(target.announced?.id).toBe("i-3");
        });

        it("never goes back to an incarnation that has left, in whatever order messages arrive", () => {
            const message = fc.record({
                startedAt: fc.constantFrom(1_000, 2_000),
                sequence: fc.integer({ min: 1, max: 5 }),
                kind: fc.constantFrom("ready", "draining", "departed"),
            });
            fc.assert(fc.property(fc.array(message, { maxLength: 30 }), messages => {
                const tested = new OwnTarget({ clock: new ManualClock(), service: "s", address, heartbeatIntervalMs });
                const left = new Set<number>();
                for (const { startedAt, sequence, kind } of messages) {
                    if (kind === "departed") {
                        tested.departed({ id: "i-1", startedAt });
                        left.add(startedAt);
                    }
                    else {
                        const phase = kind === "ready" ? TargetPhase.Ready : TargetPhase.Draining;
                        const outcome = tested.heartbeat(createHeartbeat({ startedAt, sequence, phase }));
                        if (phase === TargetPhase.Draining && outcome.kind === HeartbeatOutcomeKind.Changed) {
                            left.add(startedAt);
                        }
                    }
                    if (tested.availability === TargetAvailability.Serving) {
                        expect(left.has(tested.announced?.startedAt ?? 0)).toBe(false);
                    }
                }
            }), { seed: 11, numRuns: 500 });
        });
    });

    describe("silence", () => {
        it("counts as down after missing heartbeats, unless it answers calls", () => {
            hear();
            clock.advance(4 * heartbeatIntervalMs);
            expect(target.availability).toBe(TargetAvailability.Down);
            target.answered();
            expect(target.availability).toBe(TargetAvailability.Serving);
        });

        it("counts as down from a refused connection to its next heartbeat", () => {
            hear();
            target.connectionRefused();
            expect(target.availability).toBe(TargetAvailability.Down);
            expect(hear({ sequence: 2 })).toBe(HeartbeatOutcomeKind.Changed);
            expect(target.availability).toBe(TargetAvailability.Serving);
        });
    });
});
