import * as fc from "fast-check";
import { describe, expect, it } from "vitest";
import { ClaimOutputKind } from "@bilberrycroft/coordination.idempotency";
import { Fleet, type Step, StepKind } from "./fleet";

/** Relative frequency of each step. Most requests complete, so that scenarios get past their first claim. */
const stepWeights: readonly (readonly [StepKind, number])[] = [
    [StepKind.Begin, 10],
    [StepKind.Complete, 14],
    [StepKind.LoseResponse, 3],
    [StepKind.DropRequest, 1],
    [StepKind.LateWrite, 2],
    [StepKind.ApplyOnly, 3],
    [StepKind.FailUnavailable, 1],
    [StepKind.ApplyLateWrite, 2],
    [StepKind.Advance, 8],
    [StepKind.Sleep, 1],
    [StepKind.Finish, 2],
    [StepKind.FinishNotRun, 4],
    [StepKind.Reply, 4],
    [StepKind.LoseReply, 1],
    [StepKind.DelayReply, 2],
    [StepKind.Pause, 1],
    [StepKind.Resume, 2],
    [StepKind.Kill, 1],
];

const step: fc.Arbitrary<Step> = fc.record({
    kind: fc.oneof(...stepWeights.map(([kind, weight]) => ({ arbitrary: fc.constant(kind), weight }))),
    a: fc.nat(59),
    b: fc.nat(9_999),
});
const scenario = fc.array(step, { minLength: 20, maxLength: 200, size: "max" });
const seed = 20_260;

function runFleet(steps: readonly Step[], conditional: boolean): Fleet {
    const fleet = new Fleet(conditional);
    steps.forEach(next => fleet.run(next));
    fleet.settle();
    return fleet;
}

describe("claims of several nodes under faults", () => {
    it("sends no key twice unless the earlier send was proved not run, and decides every call once", () => {
        const totals = { sends: 0, resends: 0, replays: 0 };
        fc.assert(fc.property(scenario, steps => {
            const fleet = runFleet(steps, true);
            expect(fleet.undecidedCalls()).toEqual([]);
            totals.sends += fleet.sentCalls.length;
            totals.resends += fleet.sentCalls.length - new Set(fleet.sentCalls.map(send => send.key)).size;
            totals.replays += [...fleet.decisions.values()].filter(kind => kind === ClaimOutputKind.Replay).length;
        }), { seed, numRuns: 1_500 });
        // The property holds trivially in scenarios that never send, resend or replay.
        expect(Math.min(totals.sends, totals.resends, totals.replays)).toBeGreaterThan(300);
    });

    it("detects a key that is sent twice when the store ignores the condition of writes, so that the check is not vacuous", () => {
        const result = fc.check(fc.property(scenario, steps => void runFleet(steps, false)), { seed, numRuns: 1_500 });
        expect(result.failed).toBe(true);
        expect(String(result.errorInstance)).toContain("was sent twice");
    });
});
