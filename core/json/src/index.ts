/**
 * JSON that other processes wrote and that may be malformed.
 */

/** Parses a text; `undefined` if it is not JSON. The result still has to be checked by schema. */
export function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}

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
