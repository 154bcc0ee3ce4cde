/**
 * Which version introduced each line.
 */
import { readRuleLines } from "./lines";
import type { Attribution, RecordedVersion } from "./types";

/**
 * For each rule line of the newest version: the version since which the line is present without interruption. The text
 * of a line identifies it, because names are unique and part of the text; versions that a later grammar refuses are
 * attributed as well. The history may come in any order and may have gaps.
 */
export function attributeRules(history: readonly RecordedVersion[]): readonly Attribution[] {
    const ascending = history.toSorted((left, right) => left.version - right.version);
    let attributions: readonly Attribution[] = [];
    let previousVersion = 0;
    for (const recorded of ascending) {
        attributions = attributeVersion(recorded, attributions, recorded.parent === previousVersion);
        previousVersion = recorded.version;
    }
    return attributions;
}

function attributeVersion(
    recorded: RecordedVersion,
    earlier: readonly Attribution[],
    exact: boolean,
): readonly Attribution[] {
    const earlierByText = new Map(earlier.map(attribution => [attribution.text, attribution]));
    const attributions: Attribution[] = [];
    for (const { line, text } of readRuleLines(recorded.text)) {
        const known = earlierByText.get(text);
        const { version, operator, acceptedAt } = known ?? recorded;
        attributions.push({ line, text, version, operator, acceptedAt, exact: known?.exact ?? exact });
    }
    return attributions;
}
