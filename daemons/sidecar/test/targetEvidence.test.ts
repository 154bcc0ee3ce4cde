import { RunResult } from "@bilberrycroft/coordination.forwarding";
import { ManualClock } from "@bilberrycroft/core.clock";
import { RolloutPhase, TargetPhase } from "@bilberrycroft/protocol.forwarding";
import { describe, expect, it } from "vitest";
import { TargetEvidence } from "../src/tasks/targetEvidence";

const target = { id: "t", service: "s", version: "v2", slots: 8, phase: TargetPhase.Ready, startedAt: 1, coldUntil: 0 };

describe("the evidence on a version", () => {
    // Guards against a rollout of a version that leaves calls without a response, which would count as no run.
    it.each([RunResult.Broken, RunResult.Unqueued])("counts calls without a response as failures (%s)", result => {
        const clock = new ManualClock();
        const evidence = new TargetEvidence(clock);
        evidence.setPlan({
            service: "s",
            version: "v2",
            versionsBefore: ["v1"],
            orderRevision: 1,
            durationMs: 60_000,
            isWithdrawn: false,
            phase: RolloutPhase.Testing,
            share: 0.1,
            routeShares: [],
            elapsedMs: 0,
            writer: "n",
        });
        for (let call = 0; call < 10; call++) {
            clock.advance(2_000);
            evidence.record({ target, route: "r", result, startedAt: clock.now() - 1_000 });
        }
        // The first three losses may be restarts of the target.
        expect(evidence.countsOf(target)?.routes).toMatchObject([{ route: "r", runs: 7, failures: 7 }]);
    });
});
