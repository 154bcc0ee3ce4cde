import { ManualClock } from "@bilberrycroft/core.clock";
import { HeartbeatOutcomeKind, LocalTarget, type TargetHeartbeat } from "@bilberrycroft/coordination.registration";
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
    remainingColdMs: 0,
    sequence: 1,
    startedAt: 1_000,
    ...changes,
});

describe("local target", () => {
    let clock: ManualClock;
    let target: LocalTarget;

    beforeEach(() => {
        clock = new ManualClock();
        target = new LocalTarget({ clock, service: "s", address, heartbeatIntervalMs });
    });

    const sendHeartbeat = (changes: Partial<TargetHeartbeat> = {}): HeartbeatOutcomeKind =>
        target.handleHeartbeat(createHeartbeat(changes)).kind;

    it("serves after its first heartbeat and not before", () => {
        expect(target.availability).toBe(TargetAvailability.Down);
        expect(sendHeartbeat()).toBe(HeartbeatOutcomeKind.Changed);
        expect(target.availability).toBe(TargetAvailability.Serving);
        expect(sendHeartbeat({ sequence: 2 })).toBe(HeartbeatOutcomeKind.Refreshed);
    });

    const foreign = [{ service: "other" }, { address: "10.0.0.2:80" }];
    it.each(foreign)("ignores a heartbeat of another service or address: %s", changes => {
        expect(sendHeartbeat(changes)).toBe(HeartbeatOutcomeKind.Foreign);
        expect(target.announced).toBeUndefined();
    });

    describe("leaving", () => {
        it("stays leaving after draining, regardless of later heartbeats of that incarnation", () => {
            sendHeartbeat();
            sendHeartbeat({ sequence: 3, phase: TargetPhase.Draining });
            sendHeartbeat({ sequence: 2 });
            sendHeartbeat({ sequence: 4 });
            expect(target.availability).toBe(TargetAvailability.Leaving);
        });

        it("is leaving after a departure without a draining announcement", () => {
            sendHeartbeat();
            expect(target.handleDeparture({ id: "i-1", startedAt: 1_000 }).kind).toBe(HeartbeatOutcomeKind.Changed);
            expect(target.availability).toBe(TargetAvailability.Leaving);
        });

        it("ignores a late departure of an earlier incarnation", () => {
            sendHeartbeat({ startedAt: 2_000 });
            target.handleDeparture({ id: "i-1", startedAt: 1_000 });
            expect(target.availability).toBe(TargetAvailability.Serving);
        });

        it("stays leaving across a restart of the node", () => {
            target.restore({ id: "i-1", service: "s", slots: 4, phase: TargetPhase.Draining, startedAt: 1_000, coldUntil: 0 });
            expect(sendHeartbeat()).toBe(HeartbeatOutcomeKind.Outdated);
            expect(target.availability).not.toBe(TargetAvailability.Serving);
        });

        it("is leaving if its late heartbeat arrives before the announcement of a previous process", () => {
            sendHeartbeat();
            const stored = { id: "i-1", service: "s", slots: 4, phase: TargetPhase.Draining, startedAt: 1_000, coldUntil: 0 };
            expect(target.restore(stored).kind).toBe(HeartbeatOutcomeKind.Changed);
            expect(target.availability).toBe(TargetAvailability.Leaving);
            expect(target.restore(stored).kind).toBe(HeartbeatOutcomeKind.Refreshed);
            expect(sendHeartbeat({ sequence: 2 })).toBe(HeartbeatOutcomeKind.Refreshed);
            expect(target.availability).toBe(TargetAvailability.Leaving);
        });

        it("serves on if the announcement of a previous process is that of an earlier incarnation", () => {
            sendHeartbeat({ startedAt: 2_000 });
            target.restore({ id: "i-1", service: "s", slots: 4, phase: TargetPhase.Draining, startedAt: 1_000, coldUntil: 0 });
            expect(target.availability).toBe(TargetAvailability.Serving);
        });

        it("serves the next incarnation, even with the same id", () => {
            sendHeartbeat();
            sendHeartbeat({ sequence: 2, phase: TargetPhase.Draining });
            expect(sendHeartbeat({ startedAt: 5_000 })).toBe(HeartbeatOutcomeKind.Changed);
            expect(target.availability).toBe(TargetAvailability.Serving);
        });
    });

    describe("incarnations", () => {
        it("ignores a delayed heartbeat of an earlier incarnation", () => {
            sendHeartbeat({ id: "i-2", startedAt: 2_000 });
            expect(sendHeartbeat({ id: "i-1", startedAt: 1_000, sequence: 99 })).toBe(HeartbeatOutcomeKind.Outdated);
            expect(target.announced?.id).toBe("i-2");
        });

        it("accepts an earlier start time once the current incarnation is down, because clocks can be set back", () => {
            sendHeartbeat({ id: "i-2", startedAt: 2_000 });
            target.recordConnectionRefused();
            expect(sendHeartbeat({ id: "i-3", startedAt: 1_500 })).toBe(HeartbeatOutcomeKind.Changed);
            expect(target.announced?.id).toBe("i-3");
        });

        it("never returns to an incarnation that has departed, in any order of messages", () => {
            const message = fc.record({
                startedAt: fc.constantFrom(1_000, 2_000),
                sequence: fc.integer({ min: 1, max: 5 }),
                kind: fc.constantFrom("ready", "draining", "departed"),
            });
            fc.assert(fc.property(fc.array(message, { maxLength: 30 }), messages => {
                const tested = new LocalTarget({ clock: new ManualClock(), service: "s", address, heartbeatIntervalMs });
                const departed = new Set<number>();
                for (const { startedAt, sequence, kind } of messages) {
                    if (kind === "departed") {
                        tested.handleDeparture({ id: "i-1", startedAt });
                        departed.add(startedAt);
                    }
                    else {
                        const phase = kind === "ready" ? TargetPhase.Ready : TargetPhase.Draining;
                        const outcome = tested.handleHeartbeat(createHeartbeat({ startedAt, sequence, phase }));
                        if (phase === TargetPhase.Draining && outcome.kind === HeartbeatOutcomeKind.Changed) {
                            departed.add(startedAt);
                        }
                    }
                    if (tested.availability === TargetAvailability.Serving) {
                        expect(departed.has(tested.announced?.startedAt ?? 0)).toBe(false);
                    }
                }
            }), { seed: 11, numRuns: 500 });
        });
    });

    describe("silence", () => {
        it("is down after missed heartbeats unless it responds to calls", () => {
            sendHeartbeat();
            clock.advance(4 * heartbeatIntervalMs);
            expect(target.availability).toBe(TargetAvailability.Down);
            target.recordResponse();
            expect(target.availability).toBe(TargetAvailability.Serving);
        });

        it("is down from a refused connection until its next heartbeat", () => {
            sendHeartbeat();
            target.recordConnectionRefused();
            expect(target.availability).toBe(TargetAvailability.Down);
            expect(sendHeartbeat({ sequence: 2 })).toBe(HeartbeatOutcomeKind.Changed);
            expect(target.availability).toBe(TargetAvailability.Serving);
        });
    });
});
