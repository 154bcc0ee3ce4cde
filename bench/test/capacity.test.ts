import { compareRules, parseRules, RuleParseKind, type RuleSet } from "@bilberrycroft/state.rules";
import { describe, expect, it } from "vitest";
import { Schedule } from "../src/capacity/carrier";
import { createRulesText, serviceCount } from "../src/capacity/rulesFile";
import { summarize } from "../src/capacity/statistics";

function parse(changes: number): RuleSet {
    const parsed = parseRules(createRulesText(changes));
    if (parsed.kind !== RuleParseKind.Accepted) {
        throw new Error(JSON.stringify(parsed.problems));
    }
    return parsed.rules;
}

describe("capacity bench", () => {
    describe("rules file", () => {
        it("is accepted with the services of the design size", () => {
            // Guards against a bench whose nodes refuse every version and so measure nothing.
            expect(parse(0).services.size).toBe(serviceCount);
        });

        it("differs in one rule after each change, also after all routes changed once", () => {
            // Guards against changes that are no changes, which the operators' client would not apply.
            for (const changes of [0, 1, 119, 120, 121]) {
                expect(compareRules(parse(changes), parse(changes + 1))).toHaveLength(1);
            }
        });
    });

    describe("schedule", () => {
        it("runs work in order of time and keeps work that is due later", () => {
            // Guards against messages that overtake each other or get lost when work schedules more work.
            const schedule = new Schedule();
            const ran: string[] = [];
            schedule.after(2, () => ran.push("second"));
            schedule.after(1, () => {
                ran.push("first");
                schedule.after(2, () => ran.push("third"));
            });
            schedule.advance(2);
            expect(ran).toEqual(["first", "second"]);
            schedule.advance(1);
            expect(ran).toEqual(["first", "second", "third"]);
        });

        it("gives up at the limit when the condition never holds", () => {
            // Guards against a run without end when a fleet never converges.
            expect(new Schedule().advanceUntil(() => false, 100)).toBe(Infinity);
        });
    });

    describe("summary", () => {
        it("takes the lower middle as the median and keeps the highest value", () => {
            // Guards against a summary that hides the slowest node.
            expect(summarize([4, 1, 3, 2])).toEqual({ count: 4, mean: 2.5, p50: 2, max: 4 });
        });
    });
});
