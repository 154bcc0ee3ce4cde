/**
 * Reads the options of one line and reports each that is unknown, repeated, missing or out of range.
 */
import type { SourceLine, Word } from "./lines";
import { type ProblemCollector, quote } from "./problems";
import { RuleProblemCode } from "./types";

/** Names of tenants, services and routes. They appear in headers and metrics, hence lower-case ASCII. */
const namePattern = /^[a-z][a-z0-9._-]{0,62}$/;

/** Rule of `namePattern` in words. */
export const nameHint = "Use a lower-case letter, then up to 62 lower-case letters, digits, '.', '_' or '-'.";

/** Whether a text can name a tenant, service or route. */
export function isName(text: string): boolean {
    return namePattern.test(text);
}

/** One `name=value` word. */
export interface OptionWord {
    readonly value: string;
    readonly column: number;
}

/** Bounds of a whole number, both included. */
export interface NumberBounds {
    readonly least: number;
    readonly most: number;
}

/** Options of one line. */
export class LineOptions {
    private readonly options = new Map<string, OptionWord>();
    private readonly source: SourceLine;
    private readonly problems: ProblemCollector;
    private readonly endColumn: number;

    constructor(source: SourceLine, words: readonly Word[], known: readonly string[], problems: ProblemCollector) {
        this.source = source;
        this.problems = problems;
        this.endColumn = source.commentColumn;
        for (const word of words) {
            this.add(word, known);
        }
    }

    /** Reports a problem of this line. */
    report(code: RuleProblemCode, column: number, reason: string, hint: string): undefined {
        this.problems.add({ code, line: this.source.line, column, reason, hint, requester: this.source.requester });
        return undefined;
    }

    /** The raw option; reports a missing one. */
    require(name: string, hint: string): OptionWord | undefined {
        const option = this.options.get(name);
        if (option === undefined) {
            this.report(RuleProblemCode.MissingOption, this.endColumn, `option ${name} is missing`, hint);
        }
        return option;
    }

    find(name: string): OptionWord | undefined {
        return this.options.get(name);
    }

    /** A whole number followed by `unit`. */
    readNumber(name: string, bounds: NumberBounds, unit = ""): number | undefined {
        const option = this.options.get(name);
        if (option === undefined) {
            return undefined;
        }
        const digits = option.value.endsWith(unit) ? option.value.slice(0, option.value.length - unit.length) : "";
        const number = parseWholeNumber(digits);
        if (number === undefined || number < bounds.least || number > bounds.most) {
            return this.reportBadValue(name, option, `Use a whole number from ${bounds.least} to ${bounds.most}`
                + `${unit === "" ? "" : `, followed by "${unit}"`}.`);
        }
        return number;
    }

    /** A required choice between fixed values. */
    requireChoice<Value>(name: string, choices: ReadonlyMap<string, Value>): Value | undefined {
        const hint = `Write ${[...choices.keys()].map(choice => `${name}=${choice}`).join(" or ")}.`;
        const option = this.require(name, hint);
        if (option === undefined) {
            return undefined;
        }
        return choices.has(option.value) ? choices.get(option.value) : this.reportBadValue(name, option, hint);
    }

    /** Names separated by commas, each with its column; empty if the option is absent or wrong. */
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
                this.report(RuleProblemCode.BadValue, column, `${quote(text)} in ${name} is not a name`, nameHint);
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

    /** Reports a value that its option does not take. */
    reportBadValue(name: string, option: OptionWord, hint: string): undefined {
        const column = option.column + name.length + 1;
        return this.report(RuleProblemCode.BadValue, column, `${quote(option.value)} is no value for ${name}`, hint);
    }

    private add(word: Word, known: readonly string[]): void {
        const equals = word.text.indexOf("=");
        const name = equals === -1 ? word.text : word.text.slice(0, equals);
        if (equals === -1 || !known.includes(name)) {
            const hint = `Known options here: ${known.map(option => `${option}=`).join(", ")}. `
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

/** At most nine digits without leading zeros, so that every value is an exact number with one spelling. */
export function parseWholeNumber(digits: string): number | undefined {
    return /^(0|[1-9][0-9]{0,8})$/.test(digits) ? Number(digits) : undefined;
}
