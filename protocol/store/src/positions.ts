/**
 * Positions in the history of a store: its era and a revision in this era, as one ordered integer.
 *
 * A store that comes back from a copy begins a new era and gives out revisions of the previous one again. Positions are
 * ordered by the era first, so that nodes compare, keep and exchange what they have read in different eras as they do
 * within one. In a store without eras, each position equals its revision.
 */
import { isNumber } from "@bilberrycroft/core.json";

/** Bounds that keep positions within the integers that JSON numbers represent exactly. */
const revisionsPerEra = 2 ** 38;
const eras = 2 ** 15;

/** The era of a store that names none. */
export const onlyEra = 0;

/** Returns the position of a revision; `undefined` if the era or the revision is out of range. */
export function createPosition(era: number, revision: number): number | undefined {
    if (era === onlyEra) {
        return revision;
    }
    const isInRange = Number.isInteger(era) && era > 0 && era < eras
        && Number.isInteger(revision) && revision >= 0 && revision < revisionsPerEra;
    return isInRange ? era * revisionsPerEra + revision : undefined;
}

/** Whether the store may have such an era. */
export function isEra(era: unknown): era is number {
    return isNumber(era) && Number.isInteger(era) && era >= onlyEra && era < eras;
}

export function eraOf(position: number): number {
    return Math.floor(position / revisionsPerEra);
}

export function revisionOf(position: number): number {
    return position % revisionsPerEra;
}

/** Returns the position as it is written to the log. */
export function describePosition(position: number): number | string {
    const era = eraOf(position);
    return era === onlyEra ? position : `${era}:${revisionOf(position)}`;
}
