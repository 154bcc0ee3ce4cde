/**
 * Snapshot digests: SHA-256 of canonical JSON.
 */
import { createHash } from "node:crypto";

/** Computes the digest of all fields except `digest`, unknown fields included. */
export function computeDigest(snapshot: object): string {
    const fields = Object.entries(snapshot).filter(([name]) => name !== "digest");
    return createHash("sha256").update(toCanonicalJson(Object.fromEntries(fields))).digest("hex");
}

/** Serializes to JSON with sorted keys and no white space, so that equal values give equal bytes on every host. */
function toCanonicalJson(value: object): string {
    return JSON.stringify(value, (_name, field: unknown) => isPlainObject(field) ? sortKeys(field) : field);
}

function isPlainObject(value: unknown): value is Readonly<Record<string, unknown>> {
    return value instanceof Object && !Array.isArray(value);
}

function sortKeys(value: Readonly<Record<string, unknown>>): Readonly<Record<string, unknown>> {
    return Object.fromEntries(Object.entries(value).toSorted(([left], [right]) => left < right ? -1 : 1));
}
