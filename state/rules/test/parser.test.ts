import { readFileSync } from "node:fs";
import { describe, expect, it } from "vitest";
import {
    maxReportedProblems,
    maxRulesBytes,
    parseRules,
    RuleParseKind,
    type RuleProblem,
    RuleProblemCode,
    RunTimeClass,
} from "@bilberrycroft/state.rules";

const service = "service a # Aiko";
const route = "route r path=/r to=a class=short timeout=1s repeat=yes # Aiko";

function parseRefused(text: string): readonly RuleProblem[] {
    const parse = parseRules(text);
    if (parse.kind !== RuleParseKind.Refused) {
        throw new Error("the text was accepted");
    }
    return parse.problems;
}

describe("parseRules", () => {
    it("parses every field, the requester and the reason, so that no input of an operator is lost", () => {
        const parse = parseRules([
            "# a comment line",
            "",
            "tenant t weight=3 rate=20/s # Aiko",
            "service b # Aiko: leaf",
            "service a slots=6 connections=100 needs=b # Aiko: x: y\r",
            "\troute r path=/r/s to=a class=long timeout=250ms repeat=no needs=b tenants=t rate=7/s priority=9 # Émile B.",
        ].join("\n"));
        if (parse.kind !== RuleParseKind.Accepted) {
            throw new Error(JSON.stringify(parse.problems));
        }
        const { tenants, services, routes } = parse.rules;
        expect(tenants.get("t")).toMatchObject({ weight: 3, ratePerSecond: 20, line: 3, reason: undefined });
        expect(services.get("a")).toMatchObject({ slots: 6, connections: 100, needs: ["b"], line: 5, reason: "x: y" });
        expect(services.get("b")).toMatchObject({ slots: undefined, connections: undefined, needs: [] });
        expect(routes.get("r")).toMatchObject({
            path: "/r/s",
            to: "a",
            runTimeClass: RunTimeClass.Long,
            timeoutMs: 250,
            repeatable: false,
            needs: ["b"],
            tenants: ["t"],
            ratePerSecond: 7,
            priority: 9,
            requester: "Émile B.",
            line: 6,
        });
        expect(routes.get("r")?.text.startsWith("route r")).toBe(true);
    });

    it("applies defaults and accepts an empty file", () => {
        expect(parseRules("").kind).toBe(RuleParseKind.Accepted);
        const parse = parseRules(`tenant t # Aiko\n${service}\n${route}`);
        expect(parse).toMatchObject({ kind: RuleParseKind.Accepted });
        if (parse.kind === RuleParseKind.Accepted) {
            expect(parse.rules.tenants.get("t")).toMatchObject({ weight: 1, ratePerSecond: undefined });
            expect(parse.rules.routes.get("r")).toMatchObject({ priority: 5, tenants: [], ratePerSecond: undefined });
        }
    });

    describe("reports code, line and column of a problem", () => {
        const cases = [
            { name: "missing requester", text: "service a", at: "MISSING_REQUESTER 1:10" },
            { name: "requester without a letter", text: "service a # : because", at: "MISSING_REQUESTER 1:11" },
            { name: "unknown first word", text: "servce a # Aiko", at: "UNKNOWN_KIND 1:1" },
            { name: "inherited property name as first word", text: "constructor a # Aiko", at: "UNKNOWN_KIND 1:1" },
            { name: "unknown option", text: "service a slot=6 # Aiko", at: "UNKNOWN_OPTION 1:11" },
            { name: "option without value", text: "service a slots # Aiko", at: "UNKNOWN_OPTION 1:11" },
            { name: "missing name", text: "service slots=6 # Aiko", at: "BAD_VALUE 1:9" },
            { name: "kind alone", text: "service # Aiko", at: "BAD_VALUE 1:9" },
            { name: "upper-case name", text: "service A # Aiko", at: "BAD_VALUE 1:9" },
            { name: "zero", text: "service a slots=0 # Aiko", at: "BAD_VALUE 1:17" },
            { name: "value above the maximum", text: "tenant a weight=101 # Aiko", at: "BAD_VALUE 1:17" },
            { name: "not a whole number", text: "service a slots=1e3 # Aiko", at: "BAD_VALUE 1:17" },
            { name: "comment without a space before it", text: "tenant a weight=3# Aiko", at: "BAD_VALUE 1:17, UNKNOWN_OPTION 1:20, MISSING_REQUESTER 1:24" },
            { name: "rate without unit", text: "tenant a rate=5 # Aiko", at: "BAD_VALUE 1:15" },
            { name: "empty list item", text: `${service}\nservice b needs=a, # Aiko`, at: "BAD_VALUE 2:19" },
            { name: "repeated list item", text: `${service}\nservice b needs=a,a # Aiko`, at: "BAD_VALUE 2:19" },
            { name: "control character", text: "service a # Aiko\u001b[2J", at: "BAD_VALUE 1:17" },
            { name: "bidirectional override", text: "service a # Aiko\u202e", at: "BAD_VALUE 1:17" },
            { name: "unpaired surrogate", text: "service a # Aiko\ud800", at: "BAD_VALUE 1:17" },
            { name: "bad class", text: `${service}\n${route.replace("short", "tiny")}`, at: "BAD_VALUE 2:28" },
            { name: "timeout without unit", text: `${service}\n${route.replace("=1s", "=1")}`, at: "BAD_VALUE 2:42" },
            { name: "timeout too long", text: `${service}\n${route.replace("=1s", "=3601s")}`, at: "BAD_VALUE 2:42" },
            { name: "trailing slash", text: `${service}\n${route.replace("/r", "/r/")}`, at: "BAD_VALUE 2:14" },
            { name: "dot segment", text: `${service}\n${route.replace("/r", "/r/..")}`, at: "BAD_VALUE 2:14" },
            { name: "missing option", text: `${service}\n${route.replace("repeat=yes ", "")}`, at: "MISSING_OPTION 2:45" },
            { name: "duplicate option", text: "service a slots=1 slots=2 # Aiko", at: "DUPLICATE_OPTION 1:19" },
            { name: "duplicate name", text: `${service}\n${service}`, at: "DUPLICATE_NAME 2:9" },
            {
                name: "duplicate path",
                text: `${service}\n${route}\n${route.replace("route r", "route s")}`,
                at: "DUPLICATE_PATH 3:9",
            },
            { name: "dangling destination", text: route, at: "DANGLING_REFERENCE 1:20" },
            { name: "dangling need", text: "service a needs=b # Aiko", at: "DANGLING_REFERENCE 1:17" },
            {
                name: "tenant that is only a service",
                text: `${service}\n${route.replace(" #", " tenants=a #")}`,
                at: "DANGLING_REFERENCE 2:64",
            },
            { name: "service that needs itself", text: "service a needs=a # Aiko", at: "CYCLE 1:17" },
            { name: "cycle", text: "service a needs=b # A\nservice b needs=c # B\nservice c needs=a # C", at: "CYCLE 3:17" },
        ];
        it.each(cases)("$name", ({ text, at }) => {
            const problems = parseRefused(text);
            const found = problems.map(({ code, line, column }) => `${code.slice("ERR_RULES_".length)} ${line}:${column}`);
            expect(found.join(", ")).toBe(at);
            expect(problems.every(({ reason, hint }) => reason !== "" && hint !== "")).toBe(true);
        });
    });

    it("reports all problems of a file together with the requester of each line", () => {
        const problems = parseRefused("service a slots=x needs=zz # Aiko\nwhat # Ken\ntenant t");
        expect(problems.map(problem => [problem.code, problem.requester])).toEqual([
            [RuleProblemCode.BadValue, "Aiko"],
            [RuleProblemCode.DanglingReference, "Aiko"],
            [RuleProblemCode.UnknownKind, "Ken"],
            [RuleProblemCode.MissingRequester, undefined],
        ]);
    });

    it("does not report references to a line that has a problem itself", () => {
        expect(parseRefused(`service a slots=x # Aiko\n${route}`)).toHaveLength(1);
    });

    it("does not report two paths to the same service as a cycle", () => {
        const diamond = "service a needs=b,c # A\nservice b needs=d # A\nservice c needs=d # A\nservice d # A";
        expect(parseRules(diamond).kind).toBe(RuleParseKind.Accepted);
        const looped = parseRefused(diamond.replace("service d", "service d needs=a"));
        expect(looped.map(problem => problem.code)).toEqual([RuleProblemCode.Cycle]);
    });

    describe("malicious input", () => {
        it("refuses a text above the size limit, counted in bytes rather than characters", () => {
            const text = `#${"é".repeat(maxRulesBytes / 2)}`;
            expect(parseRefused(text).map(problem => problem.code)).toEqual([RuleProblemCode.TooLarge]);
            expect(parseRules(text.slice(1)).kind).toBe(RuleParseKind.Refused);
            expect(parseRules(`#${"x".repeat(maxRulesBytes - 1)}`).kind).toBe(RuleParseKind.Accepted);
        });

        it("limits the list of problems and reports that some are not listed", () => {
            const problems = parseRefused("x\n".repeat(400_000));
            expect(problems).toHaveLength(maxReportedProblems + 1);
            expect(problems.at(-1)).toMatchObject({ code: RuleProblemCode.TooManyProblems });
        });

        it("follows a chain of 20,000 needs without exhausting the stack", () => {
            const chain = Array.from({ length: 20_000 }, (_, index) => `service s${index} needs=s${index + 1} # A`);
            expect(parseRules([...chain, "service s20000 # A"].join("\n")).kind).toBe(RuleParseKind.Accepted);
            const looped = parseRefused([...chain, "service s20000 needs=s0 # A"].join("\n"));
            expect(looped.map(problem => problem.code)).toEqual([RuleProblemCode.Cycle]);
        });

        const fillerLength = 200_000;
        const maliciousFillers = ["a".repeat(fillerLength), " ".repeat(fillerLength), "#".repeat(fillerLength), "/a".repeat(fillerLength), "a,".repeat(fillerLength), "=".repeat(fillerLength), "\t=#".repeat(fillerLength)];
        it.each(maliciousFillers.map((filler, index) => ({ filler, index })))("terminates on one long line, case $index", ({ filler }) => {
            const texts = [filler, `service ${filler}`, `service a needs=${filler}`, `service a ${filler} # ${filler}`, `${service}\nroute r path=${filler} to=a class=short timeout=${filler} repeat=yes # Aiko`];
            for (const text of texts) {
                expect(Object.values(RuleParseKind)).toContain(parseRules(text).kind);
            }
        });
    });

    describe("examples", () => {
        it.each(["kyushu", "dakar"])("examples/%s.rules is accepted and has a reason on each line", name => {
            const parse = parseRules(readFileSync(`examples/${name}.rules`, "utf8"));
            if (parse.kind !== RuleParseKind.Accepted) {
                throw new Error(JSON.stringify(parse.problems));
            }
            const { services, tenants, routes } = parse.rules;
            expect(services.size).toBe(4);
            const rules = [...services.values(), ...tenants.values(), ...routes.values()];
            expect(rules.filter(rule => rule.reason === undefined)).toEqual([]);
        });
    });
});
