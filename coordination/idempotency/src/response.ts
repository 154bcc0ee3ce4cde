/**
 * Recorded responses, which are replayed to callers that resend a call.
 */

/** A response with a larger body is not recorded; a resend of its call is refused with an unknown outcome. */
export const maxRecordedBodyBytes = 4_096;
/** A response whose header names and values exceed this size is not recorded. */
export const maxRecordedHeaderBytes = 2_048;

export interface ResponseHeader {
    readonly name: string;
    readonly value: string;
}

export interface TargetResponse {
    readonly status: number;
    readonly headers: readonly ResponseHeader[];
    readonly body: Uint8Array;
}

/** A response as stored in a shard. */
export interface RecordedResponse {
    readonly status: number;
    readonly headers: readonly ResponseHeader[];
    /** Base64. */
    readonly body: string;
}

/** Converts a response to its stored form. Returns `undefined` if it is too large to be recorded. */
export function recordResponse(response: TargetResponse): RecordedResponse | undefined {
    const headerBytes = response.headers.reduce((sum, header) => sum + header.name.length + header.value.length, 0);
    if (response.body.byteLength > maxRecordedBodyBytes || headerBytes > maxRecordedHeaderBytes) {
        return undefined;
    }
    return {
        status: response.status,
        headers: response.headers,
        body: Buffer.from(response.body).toString("base64"),
    };
}

/** Restores a response from its stored form. */
export function replayResponse(recorded: RecordedResponse): TargetResponse {
    return { status: recorded.status, headers: recorded.headers, body: Buffer.from(recorded.body, "base64") };
}
