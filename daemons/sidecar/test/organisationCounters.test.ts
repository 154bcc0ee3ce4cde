import { CallMetrics } from "@bilberrycroft/daemons.sidecar";
import { CallOutcome, CallReason } from "@bilberrycroft/protocol.calls";
import { describe, expect, it } from "vitest";
import { OrganisationCounters } from "../src/organisationCounters";

const labels = "outcome=\"done\"";

describe("calls by organisation", () => {
    // Guards against metrics that grow with the number of organisations.
    it("are counted for the ten largest and for all others together, and none is lost", () => {
        const counters = new OrganisationCounters();
        let calls = 0;
        for (let round = 0; round < 40; round++) {
            for (let index = 0; index < 200; index++) {
                const size = index >= 150 && index < 160 ? 20 : 1;
                for (let call = 0; call < size; call++) {
                    calls++;
                    counters.record(`o-${index}`, labels);
                }
            }
            if (round % 10 === 0) {
                counters.list();
            }
        }
        const counts = counters.list();
        const names = counts.map(({ organisation }) => organisation).sort();
        expect(names).toEqual([...Array.from({ length: 10 }, (_, index) => `o-${150 + index}`), "other"]);
        expect(counts.reduce((sum, { count }) => sum + count, 0)).toBe(calls);
    });

    it("are rendered with escaped names and the reason of a refusal, and not without organisations", () => {
        const metrics = new CallMetrics();
        const call = { route: "r", service: "s", outcome: CallOutcome.Done, reason: undefined, latencyMs: 1 };
        metrics.recordCall(call);
        metrics.recordRefusal(CallReason.NotAuthenticated);
        expect(metrics.render([])).not.toContain("organisation");
        metrics.recordCall({ ...call, organisation: "a \"b\" \\" });
        metrics.recordRefusal(CallReason.Quarantined, "other");
        const text = metrics.render([]);
        expect(text).toContain("{organisation=\"a \\\"b\\\" \\\\\",outcome=\"done\",reason=\"\"} 1\n");
        expect(text).toContain("{organisation=\"other\",outcome=\"not-run\",reason=\"quarantined\"} 1\n");
    });
});
