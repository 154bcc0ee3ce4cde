/**
 * Limits and validation of keys, revisions and values, shared by all store implementations.
 */
import { z } from "zod";
import { createUnavailableOutcome } from "./outcomes";
import {
    maxObjectBytes,
    type UnavailableOutcome,
    type WriteCondition,
    WriteConditionKind,
} from "./types";

/** Maximum duration of a watch; longer waits are reduced to it. */
export const maxWatchWaitMs = 60_000;

const maxKeyLength = 256;
const keyPattern = /^[A-Za-z0-9][A-Za-z0-9._-]*(\/[A-Za-z0-9][A-Za-z0-9._-]*)*$/;

/** Keys are path segments that start with a letter or digit, so that URLs need no escaping or normalization. */
export const objectKeySchema = z.string().max(maxKeyLength).regex(keyPattern);

/** A prefix is the start of a key or empty. */
export const objectPrefixSchema = z.string().max(maxKeyLength).regex(/^[A-Za-z0-9._/-]*$/);

/** Revisions are opaque, but restricted to characters that are safe in a quoted entity tag. */
export const objectRevisionSchema = z.string().regex(/^[A-Za-z0-9._:-]{1,64}$/);

/** Returns the outcome for a malformed key; `undefined` if the key is valid. */
export function validateKey(key: string): UnavailableOutcome | undefined {
    return objectKeySchema.safeParse(key).success ? undefined : createUnavailableOutcome(`malformed key "${key}"`);
}

/** Returns the outcome for a malformed list prefix; `undefined` if the prefix is valid. */
export function validatePrefix(prefix: string): UnavailableOutcome | undefined {
    return objectPrefixSchema.safeParse(prefix).success
        ? undefined
        : createUnavailableOutcome(`malformed prefix "${prefix}"`);
}

/** Returns the outcome for a malformed revision; `undefined` if it is valid or absent. */
export function validateRevision(revision: string | undefined): UnavailableOutcome | undefined {
    return revision === undefined || objectRevisionSchema.safeParse(revision).success
        ? undefined
        : createUnavailableOutcome("malformed revision");
}

/** Revision required by a condition; `undefined` if the object must not exist. */
export function getConditionRevision(condition: WriteCondition): string | undefined {
    return condition.kind === WriteConditionKind.Revision ? condition.revision : undefined;
}

export function isValueTooLarge(value: string): boolean {
    return Buffer.byteLength(value) > maxObjectBytes;
}

/** Returns the outcome for a value that is too large or not JSON; `undefined` if the value is valid. */
export function validateValue(value: string): UnavailableOutcome | undefined {
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
