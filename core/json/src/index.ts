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
