/**
 * Attribution of rule lines to the versions that introduced them.
 */
import { readRuleLines } from "./lines";
import type { Attribution, RecordedVersion } from "./types";

/**
 * Returns, for each rule line of the newest version, the version since which the line has been present without
 * interruption. Lines are identified by their text, because names are unique and part of the text. The text is not
 * parsed, so versions that the current grammar refuses are attributed too. The history may be in any order and may have
 * gaps.
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
    previousAttributions: readonly Attribution[],
    exact: boolean,
): readonly Attribution[] {
    const previousByText = new Map(previousAttributions.map(attribution => [attribution.text, attribution]));
    const attributions: Attribution[] = [];
    for (const { line, text } of readRuleLines(recorded.text)) {
        const previous = previousByText.get(text);
        const { version, operator, acceptedAt } = previous ?? recorded;
        attributions.push({ line, text, version, operator, acceptedAt, exact: previous?.exact ?? exact });
    }
    return attributions;
}
