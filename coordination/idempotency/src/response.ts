/**
 * Responses as they are recorded for callers that send their call again.
 */

/** Larger bodies are not kept; a resend of their call is responded to as unknown. */
export const maxKeptBodyBytes = 4_096;
/** Responses with more header text are not kept. */
export const maxKeptHeaderBytes = 2_048;

/** One response header. */
export interface ResponseHeader {
    readonly name: string;
    readonly value: string;
}

/** A target's complete response. */
export interface TargetResponse {
    readonly status: number;
    readonly headers: readonly ResponseHeader[];
    readonly body: Uint8Array;
}

/** A response in a shard. */
export interface RecordedResponse {
    readonly status: number;
    readonly headers: readonly ResponseHeader[];
    /** Base64. */
    readonly body: string;
}

/** Converts a response for the record; `undefined` if it is too large to be kept. */
export function recordResponse(response: TargetResponse): RecordedResponse | undefined {
    const headerBytes = response.headers.reduce((sum, header) => sum + header.name.length + header.value.length, 0);
    if (response.body.byteLength > maxKeptBodyBytes || headerBytes > maxKeptHeaderBytes) {
        return undefined;
    }
    return {
        status: response.status,
        headers: response.headers,
        body: Buffer.from(response.body).toString("base64"),
    };
}

/** Converts a recorded response back. */
export function replayResponse(recorded: RecordedResponse): TargetResponse {
    return { status: recorded.status, headers: recorded.headers, body: Buffer.from(recorded.body, "base64") };
}
