/**
 * Splits a rules file into lines, words and trailing comments, in one pass without backtracking.
 */

/** A word of a line with its position. */
export interface Word {
    readonly text: string;
    /** One-based, in UTF-16 code units. */
    readonly column: number;
}

/** A line that contains a rule. */
export interface SourceLine {
    /** One-based. */
    readonly line: number;
    /** The complete line without surrounding white space. */
    readonly text: string;
    /** Words that precede the comment. */
    readonly words: readonly Word[];
    readonly requester: string | undefined;
    readonly reason: string | undefined;
    /** Column of the comment, or the column after the last character if there is none. */
    readonly commentColumn: number;
    /** Column of the first forbidden character, if any. */
    readonly forbiddenColumn: number | undefined;
}

/**
 * Control characters and bidirectional overrides can change what a terminal displays. Lone surrogates have no UTF-8
 * encoding, so the text could not be transferred unchanged. Tabs are allowed.
 */
const forbiddenCharacter = /[\p{Cs}\u202a-\u202e\u2066-\u2069]|(?!\t)\p{Cc}/u;
const wordPattern = /\S+/g;
const letterOrDigit = /[\p{L}\p{N}]/u;

/** Yields the lines that contain a rule. Blank lines and comment lines are skipped. */
export function* readRuleLines(text: string): Generator<SourceLine> {
    let line = 0;
    for (const raw of text.split("\n")) {
        line++;
        const trimmed = raw.trim();
        if (trimmed !== "" && !trimmed.startsWith("#")) {
            yield readRuleLine(raw, trimmed, line);
        }
    }
}

function readRuleLine(raw: string, trimmed: string, line: number): SourceLine {
    const words: Word[] = [];
    let comment: string | undefined;
    let commentColumn = raw.trimEnd().length + 1;
    for (const match of raw.matchAll(wordPattern)) {
        if (match[0].startsWith("#")) {
            comment = raw.slice(match.index + 1);
            commentColumn = match.index + 1;
            break;
        }
        words.push({ text: match[0], column: match.index + 1 });
    }
    const forbiddenIndex = raw.trimEnd().search(forbiddenCharacter);
    return {
        line,
        text: trimmed,
        words,
        ...readComment(comment),
        commentColumn,
        forbiddenColumn: forbiddenIndex === -1 ? undefined : forbiddenIndex + 1,
    };
}

/** Parses `<requester>` or `<requester>: <reason>`. A requester contains at least one letter or digit. */
function readComment(comment: string | undefined): Pick<SourceLine, "requester" | "reason"> {
    if (comment === undefined) {
        return { requester: undefined, reason: undefined };
    }
    const colon = comment.indexOf(":");
    const requester = (colon === -1 ? comment : comment.slice(0, colon)).trim();
    const reason = colon === -1 ? "" : comment.slice(colon + 1).trim();
    return {
        requester: letterOrDigit.test(requester) ? requester : undefined,
        reason: reason === "" ? undefined : reason,
    };
}
