import * as fc from "fast-check";
import { describe, expect, it } from "vitest";
import { ClaimOutputKind } from "@bilberrycroft/coordination.idempotency";
import { Fleet, type Step, StepKind } from "./fleet";

/** Each kind of step with its share: most calls and answers arrive, so that scenarios get past their first claim. */
const weights: readonly (readonly [StepKind, number])[] = [
    [StepKind.Begin, 10],
    [StepKind.Complete, 14],
    [StepKind.LoseAnswer, 3],
    [StepKind.DropRequest, 1],
    [StepKind.LateWrite, 2],
    [StepKind.ApplyOnly, 3],
    [StepKind.Refuse, 1],
    [StepKind.LandLateWrite, 2],
    [StepKind.Advance, 8],
    [StepKind.Sleep, 1],
    [StepKind.Finish, 2],
    [StepKind.FinishNotRun, 4],
    [StepKind.Reply, 4],
    [StepKind.ReplyLost, 1],
    [StepKind.DelayReply, 2],
    [StepKind.Pause, 1],
    [StepKind.Resume, 2],
    [StepKind.Kill, 1],
];

const step: fc.Arbitrary<Step> = fc.record({
    kind: fc.oneof(...weights.map(([kind, weight]) => ({ arbitrary: fc.constant(kind), weight }))),
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
        const seen = { sends: 0, resends: 0, replays: 0 };
        fc.assert(fc.property(scenario, steps => {
            const fleet = runFleet(steps, true);
            expect(fleet.undecided()).toEqual([]);
            seen.sends += fleet.sends.length;
            seen.resends += fleet.sends.length - new Set(fleet.sends.map(send => send.key)).size;
            seen.replays += [...fleet.decisions.values()].filter(kind => kind === ClaimOutputKind.Replay).length;
        }), { seed, numRuns: 1_500 });
        // Scenarios that never send, resend or replay would show nothing.
        expect(Math.min(seen.sends, seen.resends, seen.replays)).toBeGreaterThan(300);
    });

    it("finds a key that is sent twice when the store ignores the condition of writes, so that it can find one", () => {
        const result = fc.check(fc.property(scenario, steps => void runFleet(steps, false)), { seed, numRuns: 1_500 });
        expect(result.failed).toBe(true);
        expect(String(result.errorInstance)).toContain("was sent twice");
    });
});
