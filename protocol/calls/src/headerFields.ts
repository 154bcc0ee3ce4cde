/**
 * Validity of header fields. Node's HTTP parser accepts some fields that Node refuses to send with an exception, such
 * as a name that ends with a space, so every received header is checked before it is forwarded.
 */

/** Header fields as Node's `http` module delivers them. */
export type HeaderFields = Readonly<Record<string, string | readonly string[] | undefined>>;

/** A token of RFC 9110. */
const namePattern = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;
/** No control characters except the tab. */
const valuePattern = /^[\t\x20-\x7e\x80-\xff]*$/;
const maxReportedNameLength = 64;

export function isHeaderName(name: string): boolean {
    return namePattern.test(name);
}

export function isHeaderValue(value: string): boolean {
    return valuePattern.test(value);
}

/** Describes the first field that HTTP/1.1 does not allow; `undefined` if all are valid. */
export function describeInvalidHeader(headers: HeaderFields): string | undefined {
    for (const [name, value] of Object.entries(headers)) {
        const values = value === undefined || typeof value === "string" ? [value ?? ""] : value;
        if (!isHeaderName(name) || !values.every(isHeaderValue)) {
            return `invalid header ${JSON.stringify(name.slice(0, maxReportedNameLength))}`;
        }
    }
    return undefined;
}
