/**
 * Collects the problems of one rules file.
 */
import { type RuleProblem, RuleProblemCode } from "./types";

/** Further problems are only counted, so that a hostile file cannot exhaust a node's memory. */
export const maxReportedProblems = 1_000;

/** Longest excerpt of a rules file that a reason quotes. */
const maxQuotedLength = 60;

/** Quotes an excerpt of the file and shortens it if needed. */
export function quote(excerpt: string): string {
    return excerpt.length <= maxQuotedLength ? `"${excerpt}"` : `"${excerpt.slice(0, maxQuotedLength)}..."`;
}

/** A bounded list of problems. */
export class ProblemCollector {
    private readonly problems: RuleProblem[] = [];
    private uncounted = 0;

    get isEmpty(): boolean {
        return this.problems.length === 0;
    }

    add(problem: RuleProblem): void {
        if (this.problems.length < maxReportedProblems) {
            this.problems.push(problem);
        }
        else {
            this.uncounted++;
        }
    }

    /** Problems in the order of the file. */
    list(): readonly RuleProblem[] {
        const sorted = this.problems.toSorted(
            (left, right) => left.line - right.line || left.column - right.column,
        );
        if (this.uncounted > 0) {
            sorted.push({
                code: RuleProblemCode.TooManyProblems,
                line: 1,
                column: 1,
                reason: `${this.uncounted} further problems are not listed`,
                hint: "Correct the listed problems and check the file again.",
                requester: undefined,
            });
        }
        return sorted;
    }
}
