/**
 * Reads a rules file. The result is the whole rule set or the list of its problems.
 */
import { type SourceLine, readRuleLines } from "./lines";
import { isName, LineOptions, nameHint, type NumberBounds, parseWholeNumber } from "./options";
import { ProblemCollector, quote } from "./problems";
import { RuleDraft } from "./references";
import {
    type RouteRule,
    RuleKind,
    type RuleOrigin,
    type RuleParse,
    RuleParseKind,
    RuleProblemCode,
    RunTimeClass,
    type ServiceRule,
    type TenantRule,
} from "./types";

/** Leaves room for the other fields of a snapshot within the store's limit of 1 MB for a value. */
export const maxRulesBytes = 900_000;

const maxPathLength = 255;
const weightBounds: NumberBounds = { least: 1, most: 100 };
const rateBounds: NumberBounds = { least: 1, most: 1_000_000 };
const slotsBounds: NumberBounds = { least: 1, most: 10_000 };
const connectionsBounds: NumberBounds = { least: 1, most: 100_000 };
const priorityBounds: NumberBounds = { least: 1, most: 9 };
const defaultWeight = 1;
const defaultPriority = 5;
const maxTimeoutMs = 3_600_000;
const millisecondsPerSecond = 1_000;
/** Characters that a path segment may hold without percent-encoding (RFC 3986, pchar). */
const pathPattern = /^(?:\/[A-Za-z0-9._~!$&'()*+,;=:@-]+)+$/;
const dotSegment = /\/\.{1,2}(?:\/|$)/;
const pathHint = "Use / or /segment/segment without a trailing slash, empty or dot segments, or percent-encoding; "
    + `at most ${maxPathLength} characters.`;
const timeoutHint = "Use a whole number followed by \"ms\" or \"s\", from 1ms to 3600s.";
const classes: ReadonlyMap<string, RunTimeClass> = new Map([
    ["short", RunTimeClass.Short],
    ["long", RunTimeClass.Long],
]);
const yesOrNo: ReadonlyMap<string, boolean> = new Map([["yes", true], ["no", false]]);
const optionNames: ReadonlyMap<string, readonly string[]> = new Map([
    [RuleKind.Tenant, ["weight", "rate"]],
    [RuleKind.Service, ["slots", "connections", "needs"]],
    [RuleKind.Route, ["path", "to", "class", "timeout", "repeat", "needs", "tenants", "rate", "priority"]],
]);

/** Parses a rules file. Reports all problems together; a refused file has no effect at all. */
export function parseRules(text: string): RuleParse {
    const problems = new ProblemCollector();
    const draft = new RuleDraft(problems);
    const bytes = Buffer.byteLength(text);
    if (bytes > maxRulesBytes) {
        problems.add({
            code: RuleProblemCode.TooLarge,
            line: 1,
            column: 1,
            reason: `the text has ${bytes} bytes; at most ${maxRulesBytes} are accepted`,
            hint: "Remove rules or shorten their comments.",
            requester: undefined,
        });
        return { kind: RuleParseKind.Refused, problems: problems.list() };
    }
    for (const source of readRuleLines(text)) {
        readRule(source, draft, problems);
    }
    draft.checkReferences();
    draft.checkCycles();
    return problems.isEmpty
        ? { kind: RuleParseKind.Accepted, rules: draft.finish() }
        : { kind: RuleParseKind.Refused, problems: problems.list() };
}

function readRule(source: SourceLine, draft: RuleDraft, problems: ProblemCollector): void {
    const [kindWord, nameWord, ...rest] = source.words;
    const known = optionNames.get(kindWord?.text ?? "");
    const hasName = nameWord !== undefined && !nameWord.text.includes("=");
    const optionWords = hasName || nameWord === undefined ? rest : [nameWord, ...rest];
    const options = new LineOptions(source, known === undefined ? [] : optionWords, known ?? [], problems);
    checkLine(source, options);
    if (kindWord === undefined || known === undefined) {
        const column = kindWord?.column ?? 1;
        options.report(
            RuleProblemCode.UnknownKind,
            column,
            `unknown word ${quote(kindWord?.text ?? "")}`,
            "A line starts with tenant, service or route; a comment line starts with #.",
        );
        return;
    }
    const kind = kindWord.text as RuleKind;
    let name = "";
    if (!hasName || !isName(nameWord.text)) {
        const reason = hasName ? `${quote(nameWord.text)} is not a name` : `the name of the ${kind} is missing`;
        options.report(RuleProblemCode.BadValue, nameWord?.column ?? source.commentColumn, reason, nameHint);
    }
    else {
        name = nameWord.text;
        draft.declare({ kind, name, line: source.line, column: nameWord.column, options });
    }
    const origin: RuleOrigin = {
        line: source.line,
        text: source.text,
        requester: source.requester ?? "",
        reason: source.reason,
    };
    readOptions(kind, name, origin, options, draft);
}

function checkLine(source: SourceLine, options: LineOptions): void {
    if (source.requester === undefined) {
        options.report(
            RuleProblemCode.MissingRequester,
            source.commentColumn,
            "the line names no requester",
            "End the line with \"# <requester>\" or \"# <requester>: <reason>\".",
        );
    }
    if (source.forbiddenColumn !== undefined) {
        options.report(
            RuleProblemCode.BadValue,
            source.forbiddenColumn,
            "the line holds a control character, a bidirectional override or half a surrogate pair",
            "Remove the character; it may be invisible in an editor.",
        );
    }
}

function readOptions(kind: RuleKind, name: string, origin: RuleOrigin, options: LineOptions, draft: RuleDraft): void {
    switch (kind) {
        case RuleKind.Tenant:
            draft.tenants.set(name, readTenant(name, origin, options));
            break;
        case RuleKind.Service:
            draft.services.set(name, readService(name, origin, options, draft));
            break;
        case RuleKind.Route:
            draft.routes.set(name, readRoute(name, origin, options, draft));
            break;
    }
}

function readTenant(name: string, origin: RuleOrigin, options: LineOptions): TenantRule {
    return {
        kind: RuleKind.Tenant,
        name,
        weight: options.readNumber("weight", weightBounds) ?? defaultWeight,
        ratePerSecond: options.readNumber("rate", rateBounds, "/s"),
        ...origin,
    };
}

function readService(name: string, origin: RuleOrigin, options: LineOptions, draft: RuleDraft): ServiceRule {
    const needs = options.readNames("needs");
    draft.refer(RuleKind.Service, needs, options);
    if (name !== "") {
        draft.addNeeds(name, needs, options);
    }
    return {
        kind: RuleKind.Service,
        name,
        slots: options.readNumber("slots", slotsBounds),
        connections: options.readNumber("connections", connectionsBounds),
        needs: needs.map(need => need.text),
        ...origin,
    };
}

/** A value that was refused is filled in here; the rule is dropped then, because the file has a problem. */
function readRoute(name: string, origin: RuleOrigin, options: LineOptions, draft: RuleDraft): RouteRule {
    const needs = options.readNames("needs");
    const tenants = options.readNames("tenants");
    draft.refer(RuleKind.Service, needs, options);
    draft.refer(RuleKind.Tenant, tenants, options);
    return {
        kind: RuleKind.Route,
        name,
        path: readPath(options, origin.line, draft) ?? "",
        to: readDestination(options, draft) ?? "",
        runTimeClass: options.requireChoice("class", classes) ?? RunTimeClass.Short,
        timeoutMs: readTimeout(options) ?? 0,
        repeatable: options.requireChoice("repeat", yesOrNo) ?? false,
        needs: needs.map(need => need.text),
        tenants: tenants.map(tenant => tenant.text),
        ratePerSecond: options.readNumber("rate", rateBounds, "/s"),
        priority: options.readNumber("priority", priorityBounds) ?? defaultPriority,
        ...origin,
    };
}

function readPath(options: LineOptions, line: number, draft: RuleDraft): string | undefined {
    const option = options.require("path", "Write path=/prefix.");
    if (option === undefined) {
        return undefined;
    }
    const path = option.value;
    const wellFormed = path.length <= maxPathLength && (path === "/" || pathPattern.test(path)) && !dotSegment.test(path);
    if (!wellFormed) {
        return options.reportBadValue("path", option, pathHint);
    }
    draft.claimPath(path, line, option.column, options);
    return path;
}

function readDestination(options: LineOptions, draft: RuleDraft): string | undefined {
    const option = options.require("to", "Write to=<service>.");
    if (option === undefined) {
        return undefined;
    }
    if (!isName(option.value)) {
        return options.reportBadValue("to", option, nameHint);
    }
    draft.refer(RuleKind.Service, [{ text: option.value, column: option.column + "to=".length }], options);
    return option.value;
}

function readTimeout(options: LineOptions): number | undefined {
    const option = options.require("timeout", timeoutHint);
    if (option === undefined) {
        return undefined;
    }
    const inMilliseconds = option.value.endsWith("ms");
    const unitLength = inMilliseconds ? 2 : 1;
    const amount = option.value.endsWith("s") ? parseWholeNumber(option.value.slice(0, -unitLength)) : undefined;
    const timeoutMs = (amount ?? 0) * (inMilliseconds ? 1 : millisecondsPerSecond);
    return timeoutMs >= 1 && timeoutMs <= maxTimeoutMs
        ? timeoutMs
        : options.reportBadValue("timeout", option, timeoutHint);
}
