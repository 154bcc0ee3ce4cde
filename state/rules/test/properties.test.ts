import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { parseRules, RuleParseKind, type RuleSet } from "@bilberrycroft/state.rules";

const seed = 20_261;
const declared = ["a", "b", "c"];
/** Includes a name that is not declared. */
const names = fc.constantFrom(...declared, ...declared, "d");
const needs = fc.option(fc.uniqueArray(names, { minLength: 1, maxLength: 2 }).map(list => ` needs=${list.join(",")}`));
const services = fc.tuple(...declared.map(name => needs.map(list => `service ${name}${list ?? ""} # A`)));
const routes = fc.tuple(names, names, names, fc.option(names), needs).map(([name, path, to, tenant, list]) =>
    `route ${name} path=/${path} to=${to} class=short timeout=1s repeat=no`
    + `${tenant ? ` tenants=${tenant}` : ""}${list ?? ""} # A`);
const rulesFiles = fc.tuple(services, fc.array(routes, { maxLength: 3 })).map(([declarations, list]) =>
    [...declarations, ...declared.map(name => `tenant ${name} # A`), ...list].join("\n"));
const pieces = ["service ", "route ", "a", "=", ",", " ", "#", ":", "\n", "\r", "/", "\t", "needs", "9"];
const texts = fc.oneof(
    fc.string({ unit: "binary" }),
    fc.string({ unit: fc.constantFrom(...pieces) }),
    rulesFiles,
);

function findDanglingReferences(rules: RuleSet): readonly string[] {
    const routes = [...rules.routes.values()];
    const needed = [...rules.services.values(), ...routes].flatMap(rule => rule.needs);
    return [
        ...[...needed, ...routes.map(route => route.to)].filter(name => !rules.services.has(name)),
        ...routes.flatMap(route => route.tenants).filter(name => !rules.tenants.has(name)),
    ];
}

describe("parseRules properties", () => {
    it("accepts or refuses any text without throwing, and accepted rules have no dangling references", () => {
        let accepted = 0;
        fc.assert(fc.property(texts, text => {
            const parse = parseRules(text);
            if (parse.kind === RuleParseKind.Accepted) {
                accepted += parse.rules.services.size > 0 ? 1 : 0;
                expect(findDanglingReferences(parse.rules)).toEqual([]);
            }
            else {
                expect(parse.problems.length).toBeGreaterThan(0);
            }
        }), { seed, numRuns: 3_000 });
        // Fails if the generators produce only refused or empty texts.
        expect(accepted).toBeGreaterThan(20);
    });
});
