/**
 * Parses the options of one line and reports options that are unknown, repeated, missing or out of range.
 */
import type { SourceLine, Word } from "./lines";
import { type ProblemCollector, quote } from "./problems";
import { RuleProblemCode } from "./types";

/** Names of tenants, services and routes. Limited to lower-case ASCII because they appear in headers and metrics. */
const namePattern = /^[a-z][a-z0-9._-]{0,62}$/;

/** Describes `namePattern` in messages. */
export const nameHint = "Use a lower-case letter, then up to 62 lower-case letters, digits, '.', '_' or '-'.";

/** Whether the text is a valid name of a tenant, service or route. */
export function isName(text: string): boolean {
    return namePattern.test(text);
}

/** Value of one `name=value` word, with the column of the word. */
export interface ParsedOption {
    readonly value: string;
    readonly column: number;
}

/** Inclusive range of a whole number. */
export interface NumberBounds {
    readonly minimum: number;
    readonly maximum: number;
}

/** The options of one line. */
export class LineOptions {
    private readonly options = new Map<string, ParsedOption>();
    private readonly source: SourceLine;
    private readonly problems: ProblemCollector;
    private readonly endColumn: number;

    constructor(source: SourceLine, words: readonly Word[], knownNames: readonly string[], problems: ProblemCollector) {
        this.source = source;
        this.problems = problems;
        this.endColumn = source.commentColumn;
        for (const word of words) {
            this.add(word, knownNames);
        }
    }

    /** Reports a problem of this line. */
    report(code: RuleProblemCode, column: number, reason: string, hint: string): undefined {
        this.problems.add({ code, line: this.source.line, column, reason, hint, requester: this.source.requester });
        return undefined;
    }

    /** Returns the unparsed option. Reports a problem if it is missing. */
    require(name: string, hint: string): ParsedOption | undefined {
        const option = this.options.get(name);
        if (option === undefined) {
            this.report(RuleProblemCode.MissingOption, this.endColumn, `option ${name} is missing`, hint);
        }
        return option;
    }

    find(name: string): ParsedOption | undefined {
        return this.options.get(name);
    }

    /** Parses an optional whole number followed by `unit`. Reports a problem if the value is invalid. */
    readNumber(name: string, bounds: NumberBounds, unit = ""): number | undefined {
        const option = this.options.get(name);
        if (option === undefined) {
            return undefined;
        }
        const digits = option.value.endsWith(unit) ? option.value.slice(0, option.value.length - unit.length) : "";
        const number = parseWholeNumber(digits);
        if (number === undefined || number < bounds.minimum || number > bounds.maximum) {
            return this.reportBadValue(name, option, `Use a whole number from ${bounds.minimum} to ${bounds.maximum}`
                + `${unit === "" ? "" : `, followed by "${unit}"`}.`);
        }
        return number;
    }

    /** Parses a required option with a fixed set of values. Reports a problem if it is missing or invalid. */
    requireChoice<Value>(name: string, choices: ReadonlyMap<string, Value>): Value | undefined {
        const hint = `Write ${[...choices.keys()].map(choice => `${name}=${choice}`).join(" or ")}.`;
        const option = this.require(name, hint);
        if (option === undefined) {
            return undefined;
        }
        return choices.has(option.value) ? choices.get(option.value) : this.reportBadValue(name, option, hint);
    }

    /** Parses names separated by commas, each with its column. Reports invalid and repeated names and omits them. */
    readNames(name: string): readonly Word[] {
        const option = this.options.get(name);
        if (option === undefined) {
            return [];
        }
        const names: Word[] = [];
        const seen = new Set<string>();
        let column = option.column + name.length + 1;
        for (const text of option.value.split(",")) {
            if (!isName(text)) {
                this.report(RuleProblemCode.BadValue, column, `${quote(text)} in ${name} is not a valid name`, nameHint);
            }
            else if (seen.has(text)) {
                this.report(
                    RuleProblemCode.BadValue,
                    column,
                    `${name} lists ${quote(text)} twice`,
                    "Remove one of them.",
                );
            }
            else {
                seen.add(text);
                names.push({ text, column });
            }
            column += text.length + 1;
        }
        return names;
    }

    /** Reports an invalid value of an option. */
    reportBadValue(name: string, option: ParsedOption, hint: string): undefined {
        const column = option.column + name.length + 1;
        return this.report(RuleProblemCode.BadValue, column, `${quote(option.value)} is not a valid value for ${name}`, hint);
    }

    private add(word: Word, knownNames: readonly string[]): void {
        const equals = word.text.indexOf("=");
        const name = equals === -1 ? word.text : word.text.slice(0, equals);
        if (equals === -1 || !knownNames.includes(name)) {
            const hint = `Valid options: ${knownNames.map(option => `${option}=`).join(", ")}. `
                + "A comment starts with # after a space.";
            this.report(RuleProblemCode.UnknownOption, word.column, `unknown word ${quote(word.text)}`, hint);
        }
        else if (this.options.has(name)) {
            this.report(
                RuleProblemCode.DuplicateOption,
                word.column,
                `option ${name} is given twice`,
                "Remove one of them.",
            );
        }
        else {
            this.options.set(name, { value: word.text.slice(equals + 1), column: word.column });
        }
    }
}

/** Accepts at most nine digits without leading zeros, so that every value is exact and has only one spelling. */
export function parseWholeNumber(digits: string): number | undefined {
    return /^(0|[1-9][0-9]{0,8})$/.test(digits) ? Number(digits) : undefined;
}
