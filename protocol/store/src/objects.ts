/**
 * Bounds and checks of keys and values that every implementation of the store shares.
 */
import { z } from "zod";
import { createUnavailableOutcome } from "./outcomes";
import {
    maxObjectBytes,
    type UnavailableStore,
    type WriteCondition,
    WriteConditionKind,
} from "./types";

/** Longest wait of one watch; longer requests end after this time. */
export const maxWatchWaitMs = 60_000;

const maxKeyLength = 256;
const keyPattern = /^[A-Za-z0-9][A-Za-z0-9._-]*(\/[A-Za-z0-9][A-Za-z0-9._-]*)*$/;

/** Keys are path segments that start with a letter or digit, so that URLs need no escapes and no normalization. */
export const objectKeySchema = z.string().max(maxKeyLength).regex(keyPattern);

/** Prefixes are the start of a key, or empty. */
export const objectPrefixSchema = z.string().max(maxKeyLength).regex(/^[A-Za-z0-9._/-]*$/);

/** Revisions are opaque, but safe in a quoted entity tag. */
export const objectRevisionSchema = z.string().regex(/^[A-Za-z0-9._:-]{1,64}$/);

/** Refuses a malformed key; `undefined` when the key is well formed. */
export function validateKey(key: string): UnavailableStore | undefined {
    return objectKeySchema.safeParse(key).success ? undefined : createUnavailableOutcome(`malformed key "${key}"`);
}

/** Refuses a malformed prefix of a list; `undefined` when it is well formed. */
export function validatePrefix(prefix: string): UnavailableStore | undefined {
    return objectPrefixSchema.safeParse(prefix).success
        ? undefined
        : createUnavailableOutcome(`malformed prefix "${prefix}"`);
}

/** Refuses a malformed revision; `undefined` when there is none or it is well formed. */
export function validateRevision(revision: string | undefined): UnavailableStore | undefined {
    return revision === undefined || objectRevisionSchema.safeParse(revision).success
        ? undefined
        : createUnavailableOutcome("malformed revision");
}

/** Revision that a condition names. */
export function getConditionRevision(condition: WriteCondition): string | undefined {
    return condition.kind === WriteConditionKind.Revision ? condition.revision : undefined;
}

/** Whether a value is larger than the store takes. */
export function isValueTooLarge(value: string): boolean {
    return Buffer.byteLength(value) > maxObjectBytes;
}

/** Refuses a value that is too large or not JSON; `undefined` when the store takes it. */
export function refuseBadValue(value: string): UnavailableStore | undefined {
    if (isValueTooLarge(value)) {
        return createUnavailableOutcome(`the value exceeds ${maxObjectBytes} bytes`);
    }
    try {
        JSON.parse(value);
        return undefined;
    }
    catch {
        return createUnavailableOutcome("the value is not JSON");
    }
}
