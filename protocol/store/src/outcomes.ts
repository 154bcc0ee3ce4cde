/**
 * Outcomes shared by all store implementations.
 */
import { StoreOutcomeKind, type UnavailableOutcome } from "./types";

/** Creates the outcome of a call that did not take effect. */
export function createUnavailableOutcome(reason: string): UnavailableOutcome {
    return { kind: StoreOutcomeKind.Unavailable, reason };
}
