import { describe, expect, it } from "vitest";
import {
    attributeRules,
    compareRules,
    findRoute,
    parseRules,
    type RecordedVersion,
    RuleParseKind,
    type RuleSet,
} from "@bilberrycroft/state.rules";

function parseAccepted(text: string): RuleSet {
    const parse = parseRules(text);
    if (parse.kind !== RuleParseKind.Accepted) {
        throw new Error(JSON.stringify(parse.problems));
    }
    return parse.rules;
}

describe("compareRules", () => {
    it("lists added, removed and changed rules with line and requester, but not rules that only moved", () => {
        const before = parseAccepted("service a # A\nservice b # B\nservice c # C");
        const after = parseAccepted("service c # C\ntenant a # T\n\nservice a slots=2 # D");
        const found = compareRules(before, after).map(change =>
            `${change.kind} ${change.ruleKind} ${change.name} ${change.line} ${change.requester}`);
        expect(found).toEqual(["added tenant a 2 T", "removed service b 2 B", "changed service a 4 D"]);
    });
});

describe("findRoute", () => {
    const routes = ["/a", "/a/b/c", "/ab"].map((path, index) =>
        `route r${index} path=${path} to=s class=short timeout=1s repeat=yes # A`);
    const rules = parseAccepted(["service s # A", ...routes].join("\n"));
    const withRoot = parseAccepted(`service s # A\nroute root path=/ to=s class=short timeout=1s repeat=yes # A\n${routes[0]}`);

    it.each([
        ["/a", "/a"],
        ["/a/", "/a"],
        ["/a/b", "/a"],
        ["/a/bc", "/a"],
        ["/a/b/c", "/a/b/c"],
        ["/a/b/cd", "/a"],
        ["/a/b/c/d/e", "/a/b/c"],
        ["/ab", "/ab"],
        ["/abc", undefined],
        ["/", undefined],
        ["", undefined],
        ["a", undefined],
        ["/a?x=/a/b/c", "/a"],
        [`/a/${"/".repeat(100_000)}`, "/a"],
    ])("matches only complete segments of %.20s", (path, expected) => {
        expect(findRoute(rules, path)?.path).toBe(expected);
    });

    it("uses the root route for everything else", () => {
        expect(findRoute(withRoot, "/zzz/yyy")?.name).toBe("root");
        expect(findRoute(withRoot, "/")?.name).toBe("root");
        expect(findRoute(withRoot, "/a/x")?.name).toBe("r0");
    });
});

describe("attributeRules", () => {
    function createRecordedVersion(version: number, text: string, operator: string): RecordedVersion {
        return { version, parent: version - 1, text, operator, acceptedAt: version * 1_000 };
    }

    it("returns the version since which a line is present without interruption, for any order of the history", () => {
        const history = [
            createRecordedVersion(3, "service b # B\n# note\nservice a # A", "yui"),
            createRecordedVersion(1, "service a # A", "ken"),
            createRecordedVersion(2, "service a # A\nservice b # B", "mao"),
        ];
        expect(attributeRules(history)).toEqual([
            { line: 1, text: "service b # B", version: 2, operator: "mao", acceptedAt: 2_000, exact: true },
            { line: 3, text: "service a # A", version: 1, operator: "ken", acceptedAt: 1_000, exact: true },
        ]);
    });

    it("attributes a line that was removed and restored to the version that restored it", () => {
        const history = [createRecordedVersion(1, "service a # A", "ken"), createRecordedVersion(2, "", "mao"), createRecordedVersion(3, "service a # A", "yui")];
        expect(attributeRules(history)[0]).toMatchObject({ version: 3, operator: "yui", exact: true });
    });

    it("marks a line as inexact when the preceding version is missing", () => {
        const history = [createRecordedVersion(1, "", "ken"), createRecordedVersion(3, "service a # A", "mao"), createRecordedVersion(4, "service a # A", "yui")];
        expect(attributeRules(history)[0]).toMatchObject({ version: 3, exact: false });
        expect(attributeRules([])).toEqual([]);
    });
});
