/**
 * Describes errors of Node's HTTP parser. Which invalid header fields the parser refuses itself depends on the version
 * of Node.js: what it accepts, the check of header fields refuses. Both describe a field in the same way.
 */
import { describeHeader } from "@bilberrycroft/protocol.calls";

/** The fields that Node adds to an error of its parser. */
interface ParserError extends Error {
    readonly code?: string;
    /** Position of the error in `rawPacket`. */
    readonly bytesParsed?: number;
    /** The bytes that the parser was reading; a field may have begun before them. */
    readonly rawPacket?: Buffer;
}

const headerErrorCodes: ReadonlySet<string | undefined> = new Set(["HPE_INVALID_HEADER_TOKEN", "HPE_UNEXPECTED_SPACE"]);
const lineBreak = 0x0a;
const maxLineBytes = 512;

/** Returns a description that names the invalid header, or the code of the error if the name cannot be read. */
export function describeConnectionError(error: Error): string {
    const { code, bytesParsed, rawPacket, message } = error as ParserError;
    if (headerErrorCodes.has(code) && rawPacket !== undefined && bytesParsed !== undefined && bytesParsed > 0) {
        const lineStart = rawPacket.lastIndexOf(lineBreak, bytesParsed - 1) + 1;
        // Without a line break before the error, the field began in an earlier packet.
        if (lineStart > 0) {
            const line = rawPacket.subarray(lineStart, lineStart + maxLineBytes).toString("latin1");
            return describeHeader(line.split(/[:\r\n]/, 1)[0] ?? "");
        }
    }
    return code ?? message;
}
