/**
 * Checks of JSON that another process wrote.
 */

/** Fields of a JSON object that are not checked yet. */
export type UncheckedFields = Readonly<Record<string, unknown>>;

export function isRecord(value: unknown): value is UncheckedFields {
    return typeof value === "object" && Boolean(value) && !Array.isArray(value);
}

export function isText(value: unknown): value is string {
    return typeof value === "string" && value.length > 0;
}

export function isNumber(value: unknown): value is number {
    return typeof value === "number" && Number.isFinite(value);
}
