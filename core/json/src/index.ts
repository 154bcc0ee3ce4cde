/**
 * Parsing and type guards for untrusted JSON from other processes.
 */

/** Parses JSON; `undefined` if the text is malformed. The caller must validate the shape of the result. */
export function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}

/** A JSON object whose fields are not validated yet. */
export type UncheckedFields = Readonly<Record<string, unknown>>;

export function isRecord(value: unknown): value is UncheckedFields {
    return typeof value === "object" && Boolean(value) && !Array.isArray(value);
}

/** Whether the value is a non-empty string. */
export function isText(value: unknown): value is string {
    return typeof value === "string" && value.length > 0;
}

/** Whether the value is a finite number. */
export function isNumber(value: unknown): value is number {
    return typeof value === "number" && Number.isFinite(value);
}
