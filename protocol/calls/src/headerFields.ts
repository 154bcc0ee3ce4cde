/**
 * Validity of header fields. Node's HTTP parser accepts some fields that Node refuses to send with an exception, such
 * as a name that ends with a space, so every received header is checked before it is forwarded.
 */

/** Header fields as Node's `http` module delivers them. */
export type HeaderFields = Readonly<Record<string, unknown>>;

/** A token of RFC 9110. */
const namePattern = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;
/** No control characters except the tab. */
const valuePattern = /^[\t\x20-\x7e\x80-\xff]*$/;
const maxReportedNameLength = 64;

/** Names found valid. Most calls have the same few headers. */
const knownNames = new Set<string>();
const maxKnownNames = 256;

export function isHeaderName(name: string): boolean {
    if (knownNames.has(name)) {
        return true;
    }
    const isValid = namePattern.test(name);
    if (isValid && knownNames.size < maxKnownNames) {
        knownNames.add(name);
    }
    return isValid;
}

/** Whether the value can be sent; a list is sent as several fields. */
export function isHeaderContent(value: unknown): value is string | string[] {
    return typeof value === "string" ? valuePattern.test(value) : Array.isArray(value) && value.every(isHeaderValue);
}

/** Describes the first field that HTTP/1.1 does not allow; `undefined` if all are valid. */
export function describeInvalidHeader(headers: HeaderFields): string | undefined {
    for (const name in headers) {
        if (!isHeaderName(name) || !isHeaderContent(headers[name])) {
            return describeHeader(name);
        }
    }
    return undefined;
}

/** Names an invalid header for a log line: bounded and escaped. */
export function describeHeader(name: string): string {
    return `invalid header ${JSON.stringify(name.slice(0, maxReportedNameLength))}`;
}

function isHeaderValue(value: unknown): boolean {
    return typeof value === "string" && valuePattern.test(value);
}
