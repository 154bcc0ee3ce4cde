import { compareRules, parseRules, RuleParseKind, type RuleSet } from "@bilberrycroft/state.rules";
import { describe, expect, it } from "vitest";
import { Schedule } from "../src/capacity/schedule";
import { createRulesText, serviceCount } from "../src/capacity/rulesFile";
import { summarize } from "../src/capacity/statistics";

function parse(changes: number): RuleSet {
    const parsed = parseRules(createRulesText(changes));
    if (parsed.kind !== RuleParseKind.Accepted) {
        throw new Error(JSON.stringify(parsed.problems));
    }
    return parsed.rules;
}

describe("capacity benchmark", () => {
    describe("rules file", () => {
        it("is valid and has the number of services of the design size", () => {
            // Guards against a benchmark whose nodes reject every version and therefore measure nothing.
            expect(parse(0).services.size).toBe(serviceCount);
        });

        it("differs in one rule after each change, also after every route has changed once", () => {
            // Guards against changes without an effect, which the operator client does not apply.
            for (const changes of [0, 1, 119, 120, 121]) {
                expect(compareRules(parse(changes), parse(changes + 1))).toHaveLength(1);
            }
        });
    });

    describe("schedule", () => {
        it("runs tasks in order of their due time and keeps later tasks", () => {
            // Guards against messages that are reordered or lost when a task schedules another task.
            const schedule = new Schedule();
            const ran: string[] = [];
            schedule.runAfter(2, () => ran.push("second"));
            schedule.runAfter(1, () => {
                ran.push("first");
                schedule.runAfter(2, () => ran.push("third"));
            });
            schedule.advance(2);
            expect(ran).toEqual(["first", "second"]);
            schedule.advance(1);
            expect(ran).toEqual(["first", "second", "third"]);
        });

        it("stops at the time limit when the condition is never met", () => {
            // Guards against an endless run when a fleet does not converge.
            expect(new Schedule().advanceUntil(() => false, 100)).toBe(Infinity);
        });
    });

    describe("summary", () => {
        it("uses the lower of the two middle values as the median and keeps the maximum", () => {
            // Guards against a summary that hides the slowest node.
            expect(summarize([4, 1, 3, 2])).toEqual({ count: 4, mean: 2.5, p50: 2, max: 4 });
        });
    });
});
