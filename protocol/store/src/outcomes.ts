/**
 * Outcomes shared by all store implementations.
 */
import { StoreOutcomeKind, type UnavailableStore } from "./types";

/** Creates the outcome of a call that did not take effect. */
export function createUnavailableOutcome(reason: string): UnavailableStore {
    return { kind: StoreOutcomeKind.Unavailable, reason };
}
