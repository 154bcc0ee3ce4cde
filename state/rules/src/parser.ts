/**
 * Parser for rules files. The result is either the complete rule set or the list of all problems.
 */
import { type SourceLine, readRuleLines } from "./lines";
import { isName, LineOptions, nameHint, type NumberBounds, parseWholeNumber } from "./options";
import { ProblemCollector, quote } from "./problems";
import { RuleSetBuilder } from "./references";
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

/** The store limits a value to 1 MB; the difference is reserved for the other fields of a snapshot. */
export const maxRulesBytes = 900_000;

const maxPathLength = 255;
const weightBounds: NumberBounds = { minimum: 1, maximum: 100 };
const rateBounds: NumberBounds = { minimum: 1, maximum: 1_000_000 };
const slotsBounds: NumberBounds = { minimum: 1, maximum: 10_000 };
const connectionsBounds: NumberBounds = { minimum: 1, maximum: 100_000 };
const priorityBounds: NumberBounds = { minimum: 1, maximum: 9 };
const defaultWeight = 1;
const defaultPriority = 5;
const maxTimeoutMs = 3_600_000;
const millisecondsPerSecond = 1_000;
/** Allows the characters of a path segment that need no percent-encoding (RFC 3986, pchar). */
const pathPattern = /^(?:\/[A-Za-z0-9._~!$&'()*+,;=:@-]+)+$/;
const dotSegment = /\/\.{1,2}(?:\/|$)/;
const pathHint = "Use / or /segment/segment without a trailing slash, empty or dot segments, or percent-encoding; "
    + `at most ${maxPathLength} characters.`;
const timeoutHint = "Use a whole number followed by \"ms\" or \"s\", from 1ms to 3600s.";
const runTimeClasses: ReadonlyMap<string, RunTimeClass> = new Map([
    ["short", RunTimeClass.Short],
    ["long", RunTimeClass.Long],
]);
const yesNoValues: ReadonlyMap<string, boolean> = new Map([["yes", true], ["no", false]]);
const optionNames: ReadonlyMap<string, readonly string[]> = new Map([
    [RuleKind.Tenant, ["weight", "rate"]],
    [RuleKind.Service, ["slots", "connections", "needs"]],
    [RuleKind.Route, ["path", "to", "class", "timeout", "repeat", "needs", "tenants", "rate", "priority"]],
]);

/** Parses a rules file and reports all problems together. A file with any problem is refused completely. */
export function parseRules(text: string): RuleParse {
    const problems = new ProblemCollector();
    const builder = new RuleSetBuilder(problems);
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
        readRule(source, builder, problems);
    }
    builder.checkReferences();
    builder.checkCycles();
    return problems.isEmpty
        ? { kind: RuleParseKind.Accepted, rules: builder.build() }
        : { kind: RuleParseKind.Refused, problems: problems.list() };
}

function readRule(source: SourceLine, builder: RuleSetBuilder, problems: ProblemCollector): void {
    const [kindWord, nameWord, ...rest] = source.words;
    const knownOptions = optionNames.get(kindWord?.text ?? "");
    const hasName = nameWord !== undefined && !nameWord.text.includes("=");
    const optionWords = hasName || nameWord === undefined ? rest : [nameWord, ...rest];
    const options = new LineOptions(
        source,
        knownOptions === undefined ? [] : optionWords,
        knownOptions ?? [],
        problems,
    );
    validateLine(source, options);
    if (kindWord === undefined || knownOptions === undefined) {
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
        const reason = hasName ? `${quote(nameWord.text)} is not a valid name` : `the name of the ${kind} is missing`;
        options.report(RuleProblemCode.BadValue, nameWord?.column ?? source.commentColumn, reason, nameHint);
    }
    else {
        name = nameWord.text;
        builder.declare({ kind, name, line: source.line, column: nameWord.column, options });
    }
    const origin: RuleOrigin = {
        line: source.line,
        text: source.text,
        requester: source.requester ?? "",
        reason: source.reason,
    };
    readOptions(kind, name, origin, options, builder);
}

function validateLine(source: SourceLine, options: LineOptions): void {
    if (source.requester === undefined) {
        options.report(
            RuleProblemCode.MissingRequester,
            source.commentColumn,
            "the line has no requester",
            "End the line with \"# <requester>\" or \"# <requester>: <reason>\".",
        );
    }
    if (source.forbiddenColumn !== undefined) {
        options.report(
            RuleProblemCode.BadValue,
            source.forbiddenColumn,
            "the line contains a control character, a bidirectional override or an unpaired surrogate",
            "Remove the character; it may be invisible in an editor.",
        );
    }
}

function readOptions(
    kind: RuleKind,
    name: string,
    origin: RuleOrigin,
    options: LineOptions,
    builder: RuleSetBuilder,
): void {
    switch (kind) {
        case RuleKind.Tenant:
            builder.tenants.set(name, readTenant(name, origin, options));
            break;
        case RuleKind.Service:
            builder.services.set(name, readService(name, origin, options, builder));
            break;
        case RuleKind.Route:
            builder.routes.set(name, readRoute(name, origin, options, builder));
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

function readService(name: string, origin: RuleOrigin, options: LineOptions, builder: RuleSetBuilder): ServiceRule {
    const needs = options.readNames("needs");
    builder.addReferences(RuleKind.Service, needs, options);
    if (name !== "") {
        builder.addNeeds(name, needs, options);
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

/** Invalid values are replaced by placeholders. The rule is never used then, because the file has a problem. */
function readRoute(name: string, origin: RuleOrigin, options: LineOptions, builder: RuleSetBuilder): RouteRule {
    const needs = options.readNames("needs");
    const tenants = options.readNames("tenants");
    builder.addReferences(RuleKind.Service, needs, options);
    builder.addReferences(RuleKind.Tenant, tenants, options);
    return {
        kind: RuleKind.Route,
        name,
        path: readPath(options, origin.line, builder) ?? "",
        to: readDestination(options, builder) ?? "",
        runTimeClass: options.requireChoice("class", runTimeClasses) ?? RunTimeClass.Short,
        timeoutMs: readTimeout(options) ?? 0,
        repeatable: options.requireChoice("repeat", yesNoValues) ?? false,
        needs: needs.map(need => need.text),
        tenants: tenants.map(tenant => tenant.text),
        ratePerSecond: options.readNumber("rate", rateBounds, "/s"),
        priority: options.readNumber("priority", priorityBounds) ?? defaultPriority,
        ...origin,
    };
}

function readPath(options: LineOptions, line: number, builder: RuleSetBuilder): string | undefined {
    const option = options.require("path", "Write path=/prefix.");
    if (option === undefined) {
        return undefined;
    }
    const path = option.value;
    const isWellFormed = path.length <= maxPathLength && (path === "/" || pathPattern.test(path)) && !dotSegment.test(path);
    if (!isWellFormed) {
        return options.reportBadValue("path", option, pathHint);
    }
    builder.declarePath(path, line, option.column, options);
    return path;
}

function readDestination(options: LineOptions, builder: RuleSetBuilder): string | undefined {
    const option = options.require("to", "Write to=<service>.");
    if (option === undefined) {
        return undefined;
    }
    if (!isName(option.value)) {
        return options.reportBadValue("to", option, nameHint);
    }
    builder.addReferences(RuleKind.Service, [{ text: option.value, column: option.column + "to=".length }], options);
    return option.value;
}

function readTimeout(options: LineOptions): number | undefined {
    const option = options.require("timeout", timeoutHint);
    if (option === undefined) {
        return undefined;
    }
    const isInMilliseconds = option.value.endsWith("ms");
    const unitLength = isInMilliseconds ? 2 : 1;
    const amount = option.value.endsWith("s") ? parseWholeNumber(option.value.slice(0, -unitLength)) : undefined;
    const timeoutMs = (amount ?? 0) * (isInMilliseconds ? 1 : millisecondsPerSecond);
    return timeoutMs >= 1 && timeoutMs <= maxTimeoutMs
        ? timeoutMs
        : options.reportBadValue("timeout", option, timeoutHint);
}
