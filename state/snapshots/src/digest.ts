/**
 * Digest of a snapshot: SHA-256 over canonical JSON.
 */
import { createHash } from "node:crypto";

/** Computes the digest over every field except `digest`, whatever the fields are. */
export function computeDigest(snapshot: object): string {
    const fields = Object.entries(snapshot).filter(([name]) => name !== "digest");
    return createHash("sha256").update(toCanonicalJson(Object.fromEntries(fields))).digest("hex");
}

/** JSON with sorted keys and no white space, so that equal values have equal bytes on every host. */
function toCanonicalJson(value: object): string {
    return JSON.stringify(value, (_name, field: unknown) => isPlainObject(field) ? sortKeys(field) : field);
}

function isPlainObject(value: unknown): value is Readonly<Record<string, unknown>> {
    return value instanceof Object && !Array.isArray(value);
}

function sortKeys(value: Readonly<Record<string, unknown>>): Readonly<Record<string, unknown>> {
    return Object.fromEntries(Object.entries(value).toSorted(([left], [right]) => left < right ? -1 : 1));
}
