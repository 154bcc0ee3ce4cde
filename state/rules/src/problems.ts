/**
 * Collection of the problems of one rules file.
 */
import { type RuleProblem, RuleProblemCode } from "./types";

/** Further problems are only counted, so that a malicious file cannot exhaust a node's memory. */
export const maxReportedProblems = 1_000;

/** Maximum length of an excerpt of a rules file in a reason. */
const maxExcerptLength = 60;

/** Quotes an excerpt of the file, truncated if necessary. */
export function quote(excerpt: string): string {
    return excerpt.length <= maxExcerptLength ? `"${excerpt}"` : `"${excerpt.slice(0, maxExcerptLength)}..."`;
}

/** A list of problems with a limited length. */
export class ProblemCollector {
    private readonly problems: RuleProblem[] = [];
    private unlistedCount = 0;

    get isEmpty(): boolean {
        return this.problems.length === 0;
    }

    add(problem: RuleProblem): void {
        if (this.problems.length < maxReportedProblems) {
            this.problems.push(problem);
        }
        else {
            this.unlistedCount++;
        }
    }

    /** Returns the problems sorted by position in the file. */
    list(): readonly RuleProblem[] {
        const sorted = this.problems.toSorted(
            (left, right) => left.line - right.line || left.column - right.column,
        );
        if (this.unlistedCount > 0) {
            sorted.push({
                code: RuleProblemCode.TooManyProblems,
                line: 1,
                column: 1,
                reason: `${this.unlistedCount} further problems are not listed`,
                hint: "Correct the listed problems and check the file again.",
                requester: undefined,
            });
        }
        return sorted;
    }
}
